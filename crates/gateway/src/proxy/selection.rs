//! Selection of the daemon that proxies an attempt.
//!
//! Daemons in the zone of this one and in that of the upstream come first, since the bytes
//! then cross a zone boundary no more often than without a proxy. Of two that are drawn, the
//! one with fewer attempts of this daemon for its capacity is used, so that many daemons that
//! lost their paths at once don't all choose the same proxy. After some that could not help, any
//! zone is as good: a partition may have cut off all daemons of a zone. One that could not help is
//! left out for a while.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_engines::UpstreamKey;
use mangofront_peers::{Member, MemberState, Peers};
use mangofront_routes::Upstream;
use mangofront_settings::ids::{AvailabilityZone, InstanceId, ServiceName};
use xxhash_rust::xxh3::xxh3_64;

use super::client::Destination;

/// Time for which a daemon that failed as a proxy is left out.
const FAILURE_PAUSE: Duration = Duration::from_millis(1_000);

/// Time for which a daemon that took no further attempt is left out.
const REFUSAL_PAUSE: Duration = Duration::from_millis(200);

/// Time for which a daemon that has no path to an upstream is not asked for it again.
const NO_PATH_PAUSE: Duration = Duration::from_millis(1_000);

/// Daemons of the zones of both ends that are tried before those of all zones.
const NEAR_PROXIES: usize = 2;

/// Number of pauses from which on those that are over are dropped.
const MAX_PAUSES: usize = 4_096;

/// Daemons drawn for one attempt, of which the least loaded is used.
const DRAWN: usize = 2;

/// Why a daemon is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Reason {
    /// It was not reached, or did not answer. It is still used if there is no other.
    Failed,
    /// It took no further attempt.
    Refused,
    /// It has no path to this upstream.
    NoPath(UpstreamKey),
    /// It has no path to any upstream of the service with this digest.
    NoPathToService(u64),
}

/// A daemon that may proxy an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Proxy {
    pub(crate) instance: InstanceId,
    pub(crate) address: SocketAddr,
    zone: AvailabilityZone,
    capacity_percent: u32,
}

/// Chooses proxies and counts the attempts at each.
#[derive(Debug)]
pub(crate) struct ProxySelection {
    peers: Peers,
    zone: AvailabilityZone,
    port: u16,
    salt: u64,
    draws: Cell<u64>,
    outstanding: RefCell<HashMap<InstanceId, usize>>,
    paused_until: RefCell<HashMap<(InstanceId, Reason), Instant>>,
}

/// Counts an attempt at a proxy until dropped.
#[derive(Debug)]
pub(crate) struct OutstandingAttempt {
    selection: Rc<ProxySelection>,
    instance: InstanceId,
}

impl Drop for OutstandingAttempt {
    fn drop(&mut self) {
        let mut outstanding = self.selection.outstanding.borrow_mut();
        if let Some(count) = outstanding.get_mut(&self.instance) {
            *count -= 1;
            if *count == 0 {
                outstanding.remove(&self.instance);
            }
        }
    }
}

impl ProxySelection {
    /// Selects among `peers`, which accept proxied attempts on `port`.
    pub(crate) fn new(peers: Peers, zone: AvailabilityZone, port: u16, salt: u64) -> Self {
        Self {
            peers,
            zone,
            port,
            salt,
            draws: Cell::new(0),
            outstanding: RefCell::default(),
            paused_until: RefCell::default(),
        }
    }

    /// The daemon to use next, except those in `tried`; `None` if no other is left.
    pub(crate) fn next(&self, destination: Destination<'_>, tried: &[InstanceId]) -> Option<Proxy> {
        let Destination { upstream, may_pass } = destination;
        let key = mangofront_engines::key_of(upstream);
        let now = Instant::now();
        let service = digest_of(&upstream.service);
        let is_paused = |one: &Proxy, reason| self.is_paused(one, reason, now);
        let candidates: Vec<Proxy> = self
            .members()
            .filter(|one| {
                !tried.contains(&one.instance)
                    && may_pass(&one.zone)
                    && !is_paused(one, Reason::Refused)
                    && !is_paused(one, Reason::NoPath(key))
                    && !is_paused(one, Reason::NoPathToService(service))
            })
            .collect();
        let candidates = prefer(candidates, |one| !is_paused(one, Reason::Failed));
        let candidates = prefer(candidates, |one| {
            tried.len() >= NEAR_PROXIES
                || one.zone == self.zone
                || one.zone == upstream.availability_zone
        });
        self.draw(candidates, DRAWN)
            .into_iter()
            .min_by_key(|one| self.load(one))
    }

    /// Up to `count` daemons that may tell whether an upstream works, drawn from all zones, except
    /// those in `asked`.
    pub(crate) fn witnesses(
        &self,
        upstream: &Upstream,
        asked: &[InstanceId],
        count: usize,
    ) -> Vec<Proxy> {
        let key = mangofront_engines::key_of(upstream);
        let now = Instant::now();
        let members = self.members().filter(|one| {
            !asked.contains(&one.instance) && !self.is_paused(one, Reason::NoPath(key), now)
        });
        let (failed, others): (Vec<Proxy>, Vec<Proxy>) =
            members.partition(|one| self.is_paused(one, Reason::Failed, now));
        let mut witnesses = self.draw(others, count);
        witnesses.extend(self.draw(failed, count - witnesses.len()));
        witnesses
    }

    /// Whether no other daemon is known, in whatever state.
    pub(crate) fn is_alone(&self) -> bool {
        let own = self.peers.address();
        self.peers.members().iter().all(|one| one.address == own)
    }

    /// Counts an attempt at a proxy.
    pub(crate) fn begin(self: &Rc<Self>, proxy: &Proxy) -> OutstandingAttempt {
        let mut outstanding = self.outstanding.borrow_mut();
        *outstanding.entry(proxy.instance.clone()).or_default() += 1;
        OutstandingAttempt {
            selection: Rc::clone(self),
            instance: proxy.instance.clone(),
        }
    }

    /// Leaves out a daemon that failed as a proxy.
    pub(crate) fn record_failure(&self, proxy: &Proxy) {
        self.pause(proxy, Reason::Failed, FAILURE_PAUSE);
    }

    /// Leaves out a daemon that took no further attempt.
    pub(crate) fn record_refusal(&self, proxy: &Proxy) {
        self.pause(proxy, Reason::Refused, REFUSAL_PAUSE);
    }

    /// Leaves out, for one upstream, a daemon that has no path to it.
    pub(crate) fn record_no_path(&self, proxy: &Proxy, upstream: UpstreamKey) {
        self.pause(proxy, Reason::NoPath(upstream), NO_PATH_PAUSE);
        // It may lack other paths too.
        self.pause(proxy, Reason::Failed, REFUSAL_PAUSE);
    }

    /// Leaves out, for all upstreams of a service, a daemon that has no path to them.
    pub(crate) fn record_no_path_to_service(&self, proxy: &Proxy, service: &ServiceName) {
        let reason = Reason::NoPathToService(digest_of(service));
        self.pause(proxy, reason, NO_PATH_PAUSE);
    }

    fn members(&self) -> impl Iterator<Item = Proxy> {
        let own = self.peers.address();
        let members = self.peers.members().into_iter();
        let others =
            members.filter(move |one| one.state == MemberState::Alive && one.address != own);
        let port = self.port;
        others.map(move |member| proxy_of(member, port))
    }

    fn pause(&self, proxy: &Proxy, reason: Reason, time: Duration) {
        let now = Instant::now();
        let mut paused_until = self.paused_until.borrow_mut();
        if paused_until.len() >= MAX_PAUSES {
            paused_until.retain(|_, until| now < *until);
        }
        paused_until.insert((proxy.instance.clone(), reason), now + time);
    }

    fn is_paused(&self, proxy: &Proxy, reason: Reason, now: Instant) -> bool {
        let paused_until = self.paused_until.borrow();
        let until = paused_until.get(&(proxy.instance.clone(), reason));
        until.is_some_and(|until| now < *until)
    }

    /// Draws up to `count` of `group`.
    fn draw(&self, mut group: Vec<Proxy>, count: usize) -> Vec<Proxy> {
        let mut drawn = Vec::with_capacity(count);
        while drawn.len() < count && !group.is_empty() {
            let draw = self.draws.get().wrapping_add(1);
            self.draws.set(draw);
            let number = xxh3_64(&(draw ^ self.salt).to_le_bytes());
            let index = (number % group.len() as u64) as usize;
            drawn.push(group.swap_remove(index));
        }
        drawn
    }

    /// Attempts of this daemon at a proxy, for its capacity.
    fn load(&self, proxy: &Proxy) -> u64 {
        let outstanding = self.outstanding.borrow();
        let attempts = outstanding
            .get(&proxy.instance)
            .copied()
            .unwrap_or_default() as u64;
        (attempts + 1) * 1_000 / u64::from(proxy.capacity_percent.max(1))
    }
}

/// Those of `proxies` for which `is_preferred` returns true, or all if there are none.
fn prefer(proxies: Vec<Proxy>, is_preferred: impl Fn(&Proxy) -> bool) -> Vec<Proxy> {
    match proxies.iter().any(&is_preferred) {
        true => proxies
            .into_iter()
            .filter(|one| is_preferred(one))
            .collect(),
        false => proxies,
    }
}

fn digest_of(service: &ServiceName) -> u64 {
    xxh3_64(service.as_bytes())
}

fn proxy_of(member: Member, port: u16) -> Proxy {
    Proxy {
        address: SocketAddr::new(member.address.ip(), port),
        instance: member.instance,
        zone: member.availability_zone,
        capacity_percent: member.capacity_percent,
    }
}
