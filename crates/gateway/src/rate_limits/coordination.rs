//! Who coordinates the limits of a group, and the shares that are lent for it.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use mangofront_dissemination::{Origin, incarnation_id};
use mangofront_engines::UpstreamKey;
use mangofront_limits::{DaemonId, GroupName, IncarnationId, Moment};
use mangofront_peers::Member;
use mangofront_settings::ids::{AvailabilityZone, InstanceId};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{LimitMessage, RateLimits, now};
use crate::datagram::Nonce;

/// Duty of coordinating the limits of a zone's upstreams.
const COORDINATION_DUTY: &str = "rate-limits";

/// Age up to which the known coordinators are reused.
const COORDINATORS_MAX_AGE: Duration = Duration::from_millis(250);

/// Time between two rounds of a coordinator's duties.
const ROUND_PERIOD: Duration = Duration::from_millis(100);

/// Time between two questions for the shares of a group: a share may be used for a little more
/// than two of them, so that two lost messages in a row do no harm.
const SHARE_PERIOD: Duration = Duration::from_secs(1);

/// Time after which a question for shares is forgotten; the reply would be of no use.
const SHARE_QUESTION_LIFETIME: Duration = Duration::from_secs(3);

/// A daemon, as far as coordination needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Daemon {
    pub(super) instance: InstanceId,
    pub(super) ip: IpAddr,
}

/// The daemons that coordinate, by membership as this daemon sees it.
#[derive(Debug)]
pub(super) struct Coordinators {
    by_zone: BTreeMap<AvailabilityZone, Daemon>,
    /// All other daemons that answer.
    others: Vec<IpAddr>,
}

impl Coordinators {
    /// The coordinator of a group: a daemon of the zone, or of another one if none is known.
    pub(super) fn of(&self, group: &str) -> Option<Daemon> {
        let seed = xxh3_64(group.as_bytes());
        let rank = |zone: &AvailabilityZone| xxh3_64_with_seed(zone.as_bytes(), seed);
        let any = || self.by_zone.iter().max_by_key(|(zone, _)| rank(zone));
        let daemon = self.by_zone.get(group);
        daemon.or_else(|| any().map(|(_, daemon)| daemon)).cloned()
    }
}

impl RateLimits {
    /// Keeps up the shares of the groups that this daemon coordinates, forever.
    pub async fn coordinate(self) {
        loop {
            self.do_round();
            compio::time::sleep(ROUND_PERIOD).await;
        }
    }

    /// Gives up all shares, as this daemon is about to exit.
    pub(crate) fn stop_coordinating(&self) {
        self.return_shares(|_| false);
    }

    fn do_round(&self) {
        let mut upstreams_of_group: BTreeMap<GroupName, Vec<UpstreamKey>> = BTreeMap::new();
        let in_force = self.in_force();
        let cold = self.0.parts.cold_upstreams.cold();
        self.0.parts.metrics.cold_upstreams(cold.len() as u64);
        for one in &in_force {
            if let Some(upstream) = self.0.parts.upstreams.registration(one.upstream) {
                let group = upstreams_of_group.entry(upstream.availability_zone);
                group.or_default().push(one.upstream);
            }
        }
        self.0.parts.metrics.rate_limits(in_force.len() as u64);
        if in_force.is_empty() && !self.0.state.borrow().coordinator.has_groups() {
            return self.forget_unused();
        }
        let coordinators = self.coordinators();
        let is_own = |group: &str| {
            let coordinator = coordinators.of(group);
            coordinator.is_some_and(|daemon| daemon.instance == self.0.parts.instance)
        };
        for group in upstreams_of_group.keys().filter(|group| is_own(group)) {
            self.ask_for_shares(group);
        }
        self.return_shares(is_own);
        self.broadcast_repeats();
        self.forget_unused();
    }

    /// Asks all daemons for their shares of a group, unless they were asked a moment ago.
    pub(super) fn ask_for_shares(&self, group: &str) {
        let asked_at = now();
        let state = &mut *self.0.state.borrow_mut();
        if !state
            .coordinator
            .begin_asking(group, SHARE_PERIOD, asked_at)
        {
            return;
        }
        let own = self.own_incarnation();
        let expected = self.0.parts.fleet.expected();
        if expected.is_some() && state.lender.lend(group, own, asked_at) {
            let coordinator = &mut state.coordinator;
            coordinator.receive_share(group, self.0.daemon, asked_at);
        }
        state.next_nonce = state.next_nonce.wrapping_add(1);
        let nonce = state.next_nonce;
        let is_current = |asked_at: Moment| now() - asked_at < SHARE_QUESTION_LIFETIME;
        state.share_questions.retain(|_, (_, at)| is_current(*at));
        let question = (group.to_owned(), asked_at);
        state.share_questions.insert(nonce, question);
        let message = LimitMessage::AskShare {
            nonce,
            group: group.to_owned(),
            fleet: count(expected.unwrap_or_else(|| self.0.parts.fleet.counted())),
        };
        let to = self.coordinators_of(state).others.clone();
        self.send(to, message);
    }

    fn own_incarnation(&self) -> IncarnationId {
        incarnation_id(self.0.daemon, self.0.parts.peers.incarnation())
    }

    fn return_shares(&self, is_own: impl Fn(&str) -> bool) {
        let retired = {
            let state = &mut *self.0.state.borrow_mut();
            let own = self.own_incarnation();
            let retired = state.coordinator.retire(is_own, now());
            for group in &retired {
                state.lender.take_back(group, own);
            }
            retired
        };
        for group in retired {
            let others = self.coordinators().others.clone();
            self.send(others, LimitMessage::ReturnShare { group });
        }
    }

    /// Lends the own share to a coordinator that asks for it, if this daemon knows how large it
    /// is.
    pub(super) fn handle_share_question(
        &self,
        sender: &Origin,
        nonce: Nonce,
        group: &str,
        fleet: u32,
    ) {
        self.0.parts.fleet.report(sender.daemon, fleet as usize);
        let Some(expected) = self.0.parts.fleet.expected() else {
            return;
        };
        let state = &mut *self.0.state.borrow_mut();
        if !state.lender.lend(group, sender.incarnation_id(), now()) {
            return;
        }
        let fleet = count(expected);
        let message = LimitMessage::LendShare { nonce, fleet };
        let to = vec![sender.address];
        self.send(to, message);
    }

    pub(super) fn handle_lent_share(&self, sender: &Origin, nonce: Nonce, fleet: u32) {
        self.0.parts.fleet.report(sender.daemon, fleet as usize);
        let state = &mut *self.0.state.borrow_mut();
        if let Some((group, asked_at)) = state.share_questions.get(&nonce) {
            let coordinator = &mut state.coordinator;
            coordinator.receive_share(group, sender.daemon, *asked_at);
        }
    }

    pub(super) fn handle_returned_share(&self, sender: &Origin, group: &str) {
        let state = &mut *self.0.state.borrow_mut();
        state.lender.take_back(group, sender.incarnation_id());
    }

    /// The daemons that coordinate, recomputed when what is known is too old.
    pub(super) fn coordinators(&self) -> Rc<Coordinators> {
        let state = &mut *self.0.state.borrow_mut();
        self.coordinators_of(state)
    }

    fn coordinators_of(&self, state: &mut super::State) -> Rc<Coordinators> {
        let now = now();
        match &state.coordinators {
            Some((at, known)) if now.saturating_sub(*at) < COORDINATORS_MAX_AGE => Rc::clone(known),
            _ => {
                let current = Rc::new(self.compute_coordinators());
                state.coordinators = Some((now, Rc::clone(&current)));
                current
            }
        }
    }

    fn compute_coordinators(&self) -> Coordinators {
        let peers = &self.0.parts.peers;
        let daemon = |member: &Member| Daemon {
            instance: member.instance.clone(),
            ip: member.address.ip(),
        };
        let delegates = peers.delegates_in_each_zone(COORDINATION_DUTY, 1);
        let by_zone = delegates
            .into_iter()
            .filter_map(|(zone, members)| Some((zone, daemon(members.first()?))));
        let members = peers.members();
        let others = members.iter().filter(|member| {
            member.state.is_responsive() && member.instance != self.0.parts.instance
        });
        Coordinators {
            by_zone: by_zone.collect(),
            others: others.map(|member| member.address.ip()).collect(),
        }
    }

    /// Drops the shares of daemons that have left.
    pub(crate) fn forget_daemons(&self, ended: &[DaemonId]) {
        let state = &mut *self.0.state.borrow_mut();
        for daemon in ended {
            state.coordinator.remove_daemon(*daemon);
        }
    }

    fn forget_unused(&self) {
        let now = now();
        self.0.parts.cold_upstreams.forget_unused();
        let state = &mut *self.0.state.borrow_mut();
        let upstreams = &self.0.parts.upstreams;
        state.table.retain(|key| upstreams.is_known(key), now);
        let (table, cold) = (&state.table, &self.0.parts.cold_upstreams);
        let is_limited = |key: UpstreamKey| table.limit(key).is_some() || cold.limit(key).is_some();
        state.permits.retain(is_limited, now);
        state.coordinator.retain(is_limited);
        state.sent.retain(|key, _| is_limited(*key));
    }
}

fn count(daemons: usize) -> u32 {
    u32::try_from(daemons).unwrap_or(u32::MAX)
}
