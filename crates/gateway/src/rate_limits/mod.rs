//! Rate limits that upstreams name, kept together with the other daemons.
//!
//! [`RateLimits`] records what answers and other daemons say of limits, and holds this
//! daemon's part in keeping them: the share that it lends, the permits that it was granted,
//! and those that it grants as coordinator. `mangofront-limits` decides; this module sends and
//! receives. A cold upstream has a limit too, as [`ColdUpstreams`] tells. Upstreams of one availability zone have one coordinator, a daemon of that zone
//! while any is known, so that a zone which is cut off keeps both on its side.

mod coordination;
mod messages;
mod observation;
mod permits;

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::IpAddr;
use std::rc::Rc;

use futures_channel::mpsc::UnboundedSender;
use futures_channel::oneshot;
use mangofront_engines::{LoadUpdate, UpstreamKey, Upstreams};
use mangofront_limits::{
    Coordinator, DaemonId, GroupName, LimitInForce, LimitOptions, LimitTable, Moment,
    PermitDecision, Permits, ShareLender,
};
use mangofront_peers::Peers;
use mangofront_settings::ids::InstanceId;
use mangofront_telemetry::metrics::Metrics;
use serde::Serialize;

use crate::boot_clock::BootInstant;
use crate::cold_upstreams::ColdUpstreams;
use crate::datagram::{Message, Nonce};
use crate::fleet::{Fleet, daemon_id};
use crate::peer_messages::PeerMessageSender;
use coordination::Coordinators;
pub(crate) use messages::LimitMessage;
pub(crate) use observation::LimitSource;
pub(crate) use permits::{NotPermitted, SendPermits, SlotWait};

/// Dependencies of [`RateLimits`].
pub struct RateLimitsParts {
    /// Name of this daemon.
    pub instance: InstanceId,
    /// The upstreams.
    pub upstreams: Upstreams,
    /// The upstreams that are cold.
    pub cold_upstreams: ColdUpstreams,
    /// Membership of the other daemons.
    pub peers: Peers,
    /// The daemons that share limits.
    pub fleet: Fleet,
    /// Queue of the updates that are broadcast to the other daemons.
    pub updates: UnboundedSender<LoadUpdate>,
    /// Messages to other daemons.
    pub messages: PeerMessageSender,
    /// Metrics of the daemon.
    pub metrics: Metrics,
}

/// The rate limits of upstreams; clones share their state.
#[derive(Clone)]
pub struct RateLimits(Rc<Shared>);

struct Shared {
    parts: RateLimitsParts,
    daemon: DaemonId,
    state: RefCell<State>,
}

struct State {
    table: LimitTable,
    permits: Permits,
    lender: ShareLender,
    coordinator: Coordinator,
    /// When each question for shares was sent, and for which group.
    share_questions: HashMap<Nonce, (GroupName, Moment)>,
    /// Requests for permits that wait for a reply.
    permit_requests: HashMap<Nonce, oneshot::Sender<PermitDecision>>,
    next_nonce: Nonce,
    coordinators: Option<(Moment, Rc<Coordinators>)>,
    /// When this daemon sent requests to each limited upstream.
    sent: HashMap<UpstreamKey, VecDeque<Moment>>,
}

/// A rate limit in force, for a status page.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LimitStatus {
    /// Id of the upstream.
    pub upstream: String,
    /// Requests per second that it takes from all daemons together.
    pub limit_per_s: f64,
    /// Time since it was last observed, here or elsewhere, in milliseconds.
    pub age_ms: u64,
    /// Requests that this daemon sent there in the last four seconds.
    pub sent_in_4_s: usize,
    /// Name of the daemon that grants permits.
    pub coordinator: String,
    /// Part of the limit that this daemon grants, if it is the coordinator.
    pub granted_share: f64,
}

impl std::fmt::Debug for RateLimits {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RateLimits").finish_non_exhaustive()
    }
}

impl std::fmt::Debug for RateLimitsParts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RateLimitsParts").finish_non_exhaustive()
    }
}

impl RateLimits {
    /// Knows of no limit.
    #[must_use]
    pub fn new(parts: RateLimitsParts) -> Self {
        let daemon = daemon_id(&parts.instance);
        let (options, started_at) = (LimitOptions::default(), now());
        let state = State {
            table: LimitTable::default(),
            permits: Permits::new(options.clone()),
            lender: ShareLender::new(options.clone(), started_at),
            coordinator: Coordinator::new(options),
            share_questions: HashMap::new(),
            permit_requests: HashMap::new(),
            // Mixed with the incarnation, so that no reply to an earlier one is taken for a
            // current one.
            next_nonce: daemon ^ parts.peers.incarnation(),
            coordinators: None,
            sent: HashMap::new(),
        };
        Self(Rc::new(Shared {
            parts,
            daemon,
            state: RefCell::new(state),
        }))
    }

    /// The limits in force, for a status page.
    #[must_use]
    pub fn status(&self) -> Vec<LimitStatus> {
        let in_force = self.in_force();
        let status = |one: &LimitInForce| {
            let upstream = self.0.parts.upstreams.registration(one.upstream)?;
            let group = &upstream.availability_zone;
            let coordinator = self.coordinators().of(group);
            let state = self.0.state.borrow();
            let share = |fleet| state.coordinator.share(group, fleet, now());
            Some(LimitStatus {
                limit_per_s: one.limit.per_s(),
                age_ms: u64::try_from(one.age.as_millis()).unwrap_or(u64::MAX),
                sent_in_4_s: state.sent.get(&one.upstream).map_or(0, VecDeque::len),
                coordinator: coordinator.map_or_else(String::new, |member| member.instance),
                granted_share: self.0.parts.fleet.size().map_or(0.0, share),
                upstream: upstream.id,
            })
        };
        in_force.iter().filter_map(status).collect()
    }

    fn send(&self, to: Vec<IpAddr>, message: LimitMessage) {
        let messages = &self.0.parts.messages;
        messages.send(to, Message::RateLimits(message));
    }

    fn next_nonce(&self) -> Nonce {
        let next = &mut self.0.state.borrow_mut().next_nonce;
        *next = next.wrapping_add(1);
        *next
    }
}

/// The current moment.
pub(crate) fn now() -> Moment {
    BootInstant::now().since_boot()
}
