//! Attempts of one request at upstreams, one after the other.
//!
//! What may follow a failed attempt depends on what is known of it. One that
//! was not run may be sent elsewhere; one that may have run is sent again only
//! if the request may repeat. Both are bounded by the attempts of the route and
//! by the budget of second sends of the whole fleet.

use std::collections::HashSet;
use std::pin::pin;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::{Either, select};
use http::{Request, StatusCode};
use http_body_util::Full;
use mangofront_engines::{Demand, Failure, NoUpstream, Placement, Share, UpstreamKey, key_of};
use mangofront_http::Outcome;
use mangofront_routes::{RetrySafety, Upstream};
use mangofront_upstream::{Connections, SendError, Target, UpstreamResponse};

use crate::call::Call;
use crate::dialect::{AnswerHead, AttemptHead, EventId, Helper};
use crate::gateway::Gateway;
use crate::history::{Failed, History, LEAST_TIME};
use crate::quarantine::{admit, note_break};
use crate::reservations::Reservations;
use crate::trace;

/// Pause between looks at engines that have too much to do: short against the
/// parts that they read, long against the cost of a look.
const BUSY_PAUSE: Duration = Duration::from_millis(20);

/// Engines from which on the pause between looks grows: a look weighs every engine, so
/// that one before two hundred costs many times as much. Reckoned, not measured: of a
/// daemon with an eighth of a core, a prompt that waits there would take a third.
const BUSY_PAUSE_ENGINES: usize = 50;

/// How many times the predicted time a first event may take before the attempt
/// is given up, if another one may follow.
const PATIENCE_FACTOR: u32 = 3;

/// Time for a plain service's answer before another upstream is tried: well
/// over the slowest usual answer, in a share of the time that is left.
const PLAIN_PATIENCE_SHARE: u32 = 2;

/// Urgency at the engine of the most urgent rank; it grows by one with each.
const FIRST_URGENCY: u8 = 2;

/// Least urgent rank that engines know.
const LAST_URGENCY: u8 = 9;

/// How an attempt ended whose answer had begun, for metrics and logs.
pub(crate) const BROKEN_OFF: &str = "broken_off";

/// An upstream that answers.
#[derive(Debug)]
pub(crate) struct Answering {
    pub(crate) answer: UpstreamResponse,
    pub(crate) placed: Placement,
    pub(crate) upstream: Upstream,
    /// Held as long as the request uses them.
    pub(crate) reservations: Reservations,
}

/// Sends the request to one more upstream and waits for its answer's head.
pub(crate) async fn attempt(
    gateway: &Gateway,
    call: &Call,
    history: &mut History,
    last_event_id: Option<EventId>,
) -> Result<Answering, Failed> {
    admit(gateway, call, history)?;
    let mut placed = place(gateway, call, history).await?;
    let upstream = placed.answering().clone();
    let key = key_of(&upstream);
    trace::placed(call, history, &placed, &gateway.parts().published);
    history.tried.push(key);
    let name = format!(
        "{}-{}-{}",
        gateway.options().instance,
        call.id,
        placed.work_id()
    );
    let reservations = Reservations::make(gateway.orders(), &placed.shares, &name)
        .await
        .map_err(|upstream| no_memory(gateway, call, &upstream))?;
    // While it waited, more upstreams may have crashed under it elsewhere.
    admit(gateway, call, history)?;
    let request = request(gateway, call, &placed, &reservations, last_event_id)?;
    let patience = patience(gateway, call, history, &placed);
    let sent = {
        let sending = pin!(send(gateway, call, &upstream, request, patience, history));
        until_restart(&mut placed, sending).await
    };
    let result = match sent {
        Some(Ok(answer)) => check_head(gateway, call, &upstream, answer, history),
        Some(Err(error)) => Err(send_failed(gateway, call, key, &error)),
        None => {
            history.sent += 1;
            Err(restarted())
        }
    };
    match &result {
        Ok(_) => {
            let zone = &upstream.availability_zone;
            gateway.parts().metrics.attempt_ended(zone, "answered");
        }
        Err(failed) => note_failed(gateway, call, &upstream, failed.code(), failed).await,
    }
    Ok(Answering {
        answer: result?,
        placed,
        upstream,
        reservations,
    })
}

/// Counts an attempt that failed, writes its line, and looks whether its upstream crashed.
pub(crate) async fn note_failed(
    gateway: &Gateway,
    call: &Call,
    upstream: &Upstream,
    outcome: &'static str,
    failed: &Failed,
) {
    let zone = &upstream.availability_zone;
    gateway.parts().metrics.attempt_ended(zone, outcome);
    trace::attempt_failed(call, upstream, outcome, &failed.to_string());
    if let Failed::Broken(_) = failed {
        note_break(gateway, call, upstream).await;
    }
}

/// Chooses the upstreams; waits while they have too much to do.
async fn place(gateway: &Gateway, call: &Call, history: &mut History) -> Result<Placement, Failed> {
    let asked = Instant::now();
    let mut waited = Duration::ZERO;
    loop {
        gateway.parts().published.confirmed_lately().await;
        let connections = &gateway.parts().connections;
        let demand = demand(call, history, waited, connections);
        let upstreams = &gateway.parts().upstreams;
        match upstreams.place(&call.service, &demand, &history.tried) {
            Err(NoUpstream::Busy) if call.time_left() > LEAST_TIME => {
                compio::time::sleep(busy_pause(upstreams.count())).await;
                waited = asked.elapsed();
            }
            placed => {
                history.waited += waited;
                return placed.map_err(Failed::NoUpstream);
            }
        }
    }
}

/// Pause between two looks at `engines` that have too much to do.
fn busy_pause(engines: usize) -> Duration {
    let share = (engines as f64 / BUSY_PAUSE_ENGINES as f64).max(1.0);
    BUSY_PAUSE.mul_f64(share)
}

/// What placement has to know of a request.
fn demand(call: &Call, history: &History, waited: Duration, connections: &Connections) -> Demand {
    let gap = match call.route.safety {
        RetrySafety::Stream { gap, .. } => gap,
        RetrySafety::Idempotent | RetrySafety::AtMostOnce => Duration::ZERO,
    };
    let tokens = call.tokens;
    Demand {
        prompt_tokens: tokens.map_or(0, |tokens| tokens.prompt_tokens),
        answer_limit_tokens: tokens.map_or(0, |tokens| tokens.answer_limit_tokens),
        gap,
        target: call.route.target,
        elapsed: call.arrived.elapsed(),
        waited,
        request: call.fingerprint.name(),
        is_refusable: history.sent == 0,
        // Others open one of their own in any case.
        connected: match call.route.safety.may_retry() {
            true => connections.idle_addresses(),
            false => HashSet::new(),
        },
        time_left: call.time_left(),
    }
}

fn no_memory(gateway: &Gateway, call: &Call, upstream: &Upstream) -> Failed {
    gateway.leave_out(key_of(upstream), Failure::Full, &call.id);
    Failed::Unreachable(format!("{} reserved no memory", upstream.id))
}

fn request(
    gateway: &Gateway,
    call: &Call,
    placed: &Placement,
    reservations: &Reservations,
    last_event_id: Option<EventId>,
) -> Result<Request<Full<Bytes>>, Failed> {
    let helper = |reader: &Share| Helper {
        address: reader.upstream.address,
        reservation: reservations.at(&reader.upstream),
    };
    let helpers: Vec<Helper> = placed.shares.iter().skip(1).map(helper).collect();
    let organisation = call.organisation.as_ref();
    let attempt = AttemptHead {
        upstream: &placed.answering().id,
        organisation: organisation.map(|organisation| organisation.id.as_str()),
        time_left: call.time_left(),
        urgency: call.tokens.map(|_| urgency(call)),
        last_event_id,
        helpers: &helpers,
    };
    let headers = gateway
        .parts()
        .dialect
        .attempt_headers(&call.headers, &attempt);
    let path = call.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(path)
        .body(Full::new(call.body.clone()))
        .map_err(|error| Failed::Unreachable(error.to_string()))?;
    *request.headers_mut() = headers;
    Ok(request)
}

/// Rank at the engine: the organisation's before the route's, and then the
/// shorter objective first.
fn urgency(call: &Call) -> u8 {
    let organisation = call.organisation.as_ref();
    let rank = organisation
        .and_then(|organisation| organisation.priority)
        .unwrap_or(call.route.priority);
    let by_target = match call.route.target.as_millis() {
        0..=500 => 0,
        501..=2_000 => 1,
        _ => 2,
    };
    (FIRST_URGENCY + rank.min(LAST_URGENCY - FIRST_URGENCY) + by_target).min(LAST_URGENCY)
}

/// How long to wait for the head of the answer.
///
/// Silence is no reason to give up a request that may not be sent again.
fn patience(gateway: &Gateway, call: &Call, history: &History, placed: &Placement) -> Duration {
    let left = call.time_left();
    let may_retry = call.route.safety.may_retry();
    if !may_retry || history.sent + 1 >= call.route.attempts {
        return left;
    }
    match call.route.safety {
        RetrySafety::Stream { .. } => {
            let predicted = placed.expected_first_event * PATIENCE_FACTOR;
            left.min(predicted + gateway.stall_timeout())
        }
        RetrySafety::Idempotent | RetrySafety::AtMostOnce => left / PLAIN_PATIENCE_SHARE,
    }
}

/// Waits for an upstream, but no longer than it lives; none when it has started again.
pub(crate) async fn until_restart<F: Future + Unpin>(
    placed: &mut Placement,
    future: F,
) -> Option<F::Output> {
    match select(future, pin!(placed.restarted())).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(_) => None,
    }
}

/// How an attempt ended whose upstream has started again: what it did is lost.
pub(crate) fn restarted() -> Failed {
    Failed::Broken("the upstream has started again".to_owned())
}

async fn send(
    gateway: &Gateway,
    call: &Call,
    upstream: &Upstream,
    request: Request<Full<Bytes>>,
    patience: Duration,
    history: &mut History,
) -> Result<UpstreamResponse, SendError> {
    let connections = &gateway.parts().connections;
    let target = Target {
        instance: upstream.id.clone(),
        address: upstream.address,
    };
    let deadline = Instant::now() + patience;
    // Memory was reserved and a connection opened since the choice; the upstream may have
    // said meanwhile that it leaves, or this daemon may have stood still.
    let key = key_of(upstream);
    let parts = gateway.parts();
    let is_wanted = || parts.published.may_be_acted_on() && parts.upstreams.accepts_work(key);
    let sent = if call.route.safety.may_retry() {
        connections
            .send_if(&target, request, deadline, is_wanted)
            .await
    } else {
        // A used connection that breaks would leave open whether it ran.
        let opened = connections.open(&target, deadline).await?;
        opened.send_if(request, deadline, is_wanted).await
    };
    let reached = match &sent {
        Ok(_) => true,
        Err(error) => error.outcome() != Outcome::NotRun,
    };
    if reached {
        history.sent += 1;
    }
    sent
}

/// Checks that the head is an answer to this request by the upstream that was meant.
fn check_head(
    gateway: &Gateway,
    call: &Call,
    upstream: &Upstream,
    answer: UpstreamResponse,
    history: &mut History,
) -> Result<UpstreamResponse, Failed> {
    let head = gateway
        .parts()
        .dialect
        .read_answer(answer.status, &answer.headers);
    let key = key_of(upstream);
    if head.not_run {
        return Err(not_run(gateway, call, key, &head, answer.status));
    }
    match &head.request_id {
        Some(id) if *id == call.id => {}
        // A late answer to an earlier request, or none at all: what became of
        // this request is not known. The connection is closed with the answer.
        other => {
            history.may_have_run = true;
            let other = other.as_deref().unwrap_or("no request");
            return Err(Failed::MayHaveRun(format!("an answer to {other}")));
        }
    }
    gateway.parts().upstreams.record_answer(key);
    Ok(answer)
}

fn not_run(
    gateway: &Gateway,
    call: &Call,
    key: UpstreamKey,
    head: &AnswerHead,
    status: StatusCode,
) -> Failed {
    let upstreams = &gateway.parts().upstreams;
    let at_fault = head
        .at_fault
        .and_then(|address| upstreams.at_address(address));
    match at_fault {
        Some(other) if other != key => gateway.leave_out(other, Failure::Unreachable, &call.id),
        _ if head.wrong_upstream => gateway.leave_out(key, Failure::Unreachable, &call.id),
        _ => gateway.leave_out(key, Failure::Full, &call.id),
    }
    Failed::NotRun(format!("refused with {status}"))
}

fn send_failed(gateway: &Gateway, call: &Call, key: UpstreamKey, error: &SendError) -> Failed {
    match error {
        SendError::Withdrawn { .. } => {}
        SendError::Timeout { .. } => gateway.leave_out(key, Failure::Silent, &call.id),
        SendError::ConnectionFailed { .. }
        | SendError::Refused { .. }
        | SendError::Protocol { .. } => {
            gateway.leave_out(key, Failure::Unreachable, &call.id);
        }
    }
    if error.outcome() == Outcome::NotRun {
        return Failed::Unreachable(error.to_string());
    }
    if call.time_left().is_zero() {
        return Failed::OutOfTime;
    }
    match error {
        SendError::ConnectionFailed { .. } => Failed::Broken(error.to_string()),
        _ => Failed::MayHaveRun(error.to_string()),
    }
}
