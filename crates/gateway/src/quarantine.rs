//! Requests that crash the upstreams that run them.
//!
//! When the connection of a request breaks while an upstream works on it, the upstream may
//! have crashed, or only the connection is gone. Which of them it was shows at once by
//! whether it still takes connections: the registrations tell of its end seconds later.
//! What is found is kept with the upstreams, which tells all daemons
//! ([`mangofront_engines::QuarantineState`]); here it decides whether a request may be sent.

use std::time::{Duration, Instant};

use compio::runtime::spawn;
use mangofront_engines::{CrashStatus, QuarantineState, RequestFingerprint, key_of};
use mangofront_routes::Upstream;
use mangofront_upstream::{SendError, Target};
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::call::Call;
use crate::fingerprint::Fingerprint;
use crate::gateway::Gateway;
use crate::history::{Failed, History};
use crate::trace;

/// Time for an upstream to take a connection: one that takes none in this is down, or out
/// of reach.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a new connection shows whether its upstream is on the way down: one
/// that ends may still take it and break it at once.
const SETTLING_TIME: Duration = Duration::from_millis(50);

/// Connections that are tried: an upstream that has too many may close one and take the
/// next.
const LOOKS: usize = 2;

/// When a caller may come back with a request that another daemon may try by now.
const RETRY_AFTER_TRIAL: Duration = Duration::from_secs(20);

/// A request that is kept from all upstreams, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct QuarantinedRequest {
    /// Its fingerprint, as in the daemons' lines.
    pub fingerprint: String,
    /// Upstreams that crashed under it.
    pub crashes: usize,
    /// Time until it may be tried again, in milliseconds; 0 once it may.
    pub left_ms: u64,
}

impl From<CrashStatus> for QuarantinedRequest {
    fn from(status: CrashStatus) -> Self {
        let left = match status.quarantine {
            QuarantineState::Quarantined { remaining } => remaining,
            QuarantineState::Open { .. } | QuarantineState::TrialAllowed => Duration::ZERO,
        };
        Self {
            fingerprint: Fingerprint::from(status.request).to_string(),
            crashes: status.crashes,
            left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// Whether a request may be sent to an upstream now.
pub(crate) fn admit(gateway: &Gateway, call: &Call, history: &mut History) -> Result<(), Failed> {
    let name = call.fingerprint.name();
    let upstreams = &gateway.parts().upstreams;
    match upstreams.quarantine_state(name) {
        _ if history.is_trial => Ok(()),
        QuarantineState::Open { .. } => Ok(()),
        QuarantineState::Quarantined { remaining } => Err(Failed::Quarantined {
            retry_after: remaining,
        }),
        QuarantineState::TrialAllowed if is_chosen(gateway, name) => {
            upstreams.begin_trial(name);
            history.is_trial = true;
            trace::tried_again(call);
            Ok(())
        }
        QuarantineState::TrialAllowed => Err(Failed::Quarantined {
            retry_after: RETRY_AFTER_TRIAL,
        }),
    }
}

/// Whether this daemon is the one of all that tries a request again: the first by
/// rendezvous hashing among those that answer.
fn is_chosen(gateway: &Gateway, request: RequestFingerprint) -> bool {
    let rank = |instance: &str| xxh3_64_with_seed(instance.as_bytes(), request as u64);
    let own = rank(&gateway.options().instance);
    let members = gateway.parts().peers.members();
    let mut others = members.iter().filter(|member| member.state.is_responsive());
    others.all(|member| rank(&member.instance) <= own)
}

/// Notes that the connection of a request broke at an upstream that may have run it.
///
/// A request under which no upstream crashed so far goes on elsewhere meanwhile; any other
/// waits for what is found, so that no further upstream crashes before that is known.
pub(crate) async fn note_break(gateway: &Gateway, call: &Call, upstream: &Upstream) {
    let standing = gateway
        .parts()
        .upstreams
        .quarantine_state(call.fingerprint.name());
    let check = check(
        gateway.clone(),
        call.id.clone(),
        call.fingerprint,
        upstream.clone(),
    );
    match standing {
        QuarantineState::Open { crashes: 0 } => spawn(check).detach(),
        _ => check.await,
    }
}

/// Notes that a request was answered whole, so that it is not at fault for crashes.
pub(crate) fn note_answered(gateway: &Gateway, call: &Call) {
    if gateway
        .parts()
        .upstreams
        .clear_crashes(call.fingerprint.name())
    {
        trace::cleared(call.fingerprint, "answered");
    }
}

/// Finds out whether an upstream has crashed, and notes it.
async fn check(gateway: Gateway, request: String, fingerprint: Fingerprint, upstream: Upstream) {
    let key = key_of(&upstream);
    let upstreams = &gateway.parts().upstreams;
    // What leaves ends as planned, with its connections.
    if upstreams.is_leaving(key) {
        return;
    }
    let Some(evidence) = evidence(&gateway, &upstream).await else {
        return;
    };
    let crashes = upstreams.record_crash(fingerprint.name(), key);
    gateway.parts().metrics.upstream_crashed();
    trace::crashed_under(&request, fingerprint, &upstream, crashes, evidence);
}

/// What shows that an upstream has ended; none if it lives, or can't be asked.
async fn evidence(gateway: &Gateway, upstream: &Upstream) -> Option<&'static str> {
    let upstreams = &gateway.parts().upstreams;
    if upstreams.has_restarted(upstream) {
        return Some("has started again");
    }
    // One that left before is gone by its own will.
    if !upstreams.is_known(key_of(upstream)) {
        return None;
    }
    for _ in 0..LOOKS {
        match look(gateway, upstream).await {
            Look::Serves | Look::Unknown => return None,
            Look::Down(evidence) => return Some(evidence),
            Look::Closes => {}
        }
    }
    // What takes them may stand before an upstream that has ended.
    Some("closes new connections")
}

/// What a new connection to an upstream shows.
enum Look {
    /// It stays open.
    Serves,
    /// It was closed again.
    Closes,
    /// There is none.
    Down(&'static str),
    /// Its zone can't be reached.
    Unknown,
}

async fn look(gateway: &Gateway, upstream: &Upstream) -> Look {
    let target = Target {
        instance: upstream.id.clone(),
        address: upstream.address,
    };
    let deadline = Instant::now() + CONNECT_TIMEOUT;
    match gateway.parts().connections.open(&target, deadline).await {
        Ok(opened) => {
            compio::time::sleep(SETTLING_TIME).await;
            match opened.return_to_pool() {
                true => Look::Serves,
                false => Look::Closes,
            }
        }
        Err(SendError::Timeout { .. }) => {
            let silent = gateway.parts().upstreams.unreachable_zones();
            match silent.contains(&upstream.availability_zone) {
                true => Look::Unknown,
                false => Look::Down("takes no connection in time"),
            }
        }
        Err(_) => Look::Down("refuses connections"),
    }
}
