//! The daemons that may be running, and so share the limits of the fleet.
//!
//! The one place that counts them: rate limits, cold upstreams, the retry budget and the
//! connections to upstreams are all divided by its numbers. `mangofront-limits` decides; this
//! module observes the membership.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::rc::Rc;

use mangofront_engines::Upstreams;
use mangofront_limits::{DaemonId, FleetSize, FleetView, LimitOptions};
use mangofront_peers::{Member, MemberState, Peers};
use mangofront_settings::ids::{AvailabilityZone, InstanceId};
use xxhash_rust::xxh3::xxh3_64;

use crate::rate_limits::now;
use crate::trace;

/// The daemons that may be running; clones share their state.
#[derive(Debug, Clone)]
pub struct Fleet(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    peers: Peers,
    upstreams: Upstreams,
    state: RefCell<State>,
}

#[derive(Debug)]
struct State {
    size: FleetSize,
    /// Daemons that have announced their leave and still run.
    leaving: HashSet<DaemonId>,
    /// The number that was last logged.
    logged: Option<Option<usize>>,
}

/// The id by which limits know a daemon.
pub(crate) fn daemon_id(instance: &str) -> DaemonId {
    xxh3_64(instance.as_bytes())
}

impl Fleet {
    /// Knows of the daemon `own` alone, which starts now.
    #[must_use]
    pub fn new(own: &InstanceId, peers: Peers, upstreams: Upstreams) -> Self {
        let size = FleetSize::new(LimitOptions::default(), daemon_id(own), now());
        Self(Rc::new(Shared {
            peers,
            upstreams,
            state: RefCell::new(State {
                size,
                leaving: HashSet::new(),
                logged: None,
            }),
        }))
    }

    /// Records who is running now; returns the daemons that have left since the last time.
    pub(crate) fn observe(&self) -> Vec<DaemonId> {
        let members = self.0.peers.members();
        let is_listed_only = |member: &&Member| member.incarnation == 0;
        let (listed, known): (Vec<&Member>, Vec<&Member>) =
            members.iter().partition(is_listed_only);
        let running: BTreeMap<DaemonId, AvailabilityZone> = known
            .iter()
            .filter(|member| member.state.is_responsive())
            .map(|member| {
                let id = daemon_id(&member.instance);
                (id, member.availability_zone.clone())
            })
            .collect();
        let leaving = known
            .iter()
            .filter(|member| member.state == MemberState::Leaving);
        let state = &mut *self.0.state.borrow_mut();
        state
            .leaving
            .extend(leaving.map(|member| daemon_id(&member.instance)));
        let ended = state.leaving.iter().copied();
        let ended: Vec<DaemonId> = ended
            .filter(|daemon| !running.contains_key(daemon))
            .collect();
        for daemon in &ended {
            state.leaving.remove(daemon);
            state.size.remove(*daemon);
        }
        let view = FleetView {
            running,
            zones: self.0.upstreams.zones(),
            unanswered: unanswered(&listed, &known),
        };
        state.size.observe(&view, now());
        let expected = state.size.expected(now());
        if state.logged != Some(expected) {
            state.logged = Some(expected);
            trace::fleet_counted(expected, state.size.counted(), &view);
        }
        ended
    }

    /// Number of daemons that were seen running, this one included.
    pub(crate) fn counted(&self) -> usize {
        self.0.state.borrow().size.counted()
    }

    /// Number of daemons that this one expects to be running; `None` while it learns of them.
    pub(crate) fn expected(&self) -> Option<usize> {
        self.0.state.borrow().size.expected(now())
    }

    /// Largest number that this daemon or another one expects; `None` while this one learns.
    pub(crate) fn size(&self) -> Option<usize> {
        self.0.state.borrow().size.get(now())
    }

    /// Part of a limit that belongs to this daemon, from 0 to 1.
    pub(crate) fn share(&self) -> f64 {
        self.0.state.borrow().size.share(now())
    }

    /// Records the number that another daemon expects.
    pub(crate) fn report(&self, daemon: DaemonId, count: usize) {
        let state = &mut *self.0.state.borrow_mut();
        state.size.report(daemon, count, now());
    }
}

/// The daemons that are listed and have never answered, by an address of which nobody else is
/// known to have answered.
fn unanswered(listed: &[&Member], known: &[&Member]) -> BTreeSet<DaemonId> {
    let answers = |member: &Member| known.iter().any(|other| other.address == member.address);
    let unanswered = listed.iter().filter(|member| !answers(member));
    unanswered
        .map(|member| daemon_id(&member.instance))
        .collect()
}
