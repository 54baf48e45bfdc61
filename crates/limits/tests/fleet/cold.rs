//! What daemons of a played fleet know of an upstream that is cold.

use std::time::Duration;

use mangofront_limits::{Moment, RateLimit, WarmUpTerms};
use rand::RngExt;

use crate::fleet::{BEFORE, Event, Fleet, Message, UPSTREAM};

/// Moments at which daemons use the permits that they have saved.
const SAVED_UNTIL: Duration = Duration::from_secs(2);

impl Fleet {
    pub(crate) fn schedule_cold(&mut self) {
        let Some(script) = self.scenario.cold else {
            return;
        };
        for daemon in 0..self.daemons.len() {
            let late = match self.random.random_bool(script.late_share) {
                true => Duration::from_secs_f64(script.late_s),
                false => Duration::from_millis(self.random.random_range(1..115)),
            };
            self.schedule(BEFORE + late, Event::Register { daemon });
        }
        if let Some(at_s) = script.again_at_s {
            let at = BEFORE + Duration::from_secs_f64(at_s);
            self.schedule(at, Event::ColdAgain);
        }
    }

    /// The rate that a daemon believes to be in force.
    pub(crate) fn limit(&self, daemon: usize) -> Option<RateLimit> {
        match self.scenario.cold {
            Some(_) => self.daemons[daemon].warm_ups.limit(UPSTREAM, self.now),
            None => RateLimit::new(self.scenario.limit_per_s),
        }
    }

    /// When a permit that may be used from `from` is used: those that may be saved until one moment
    /// are, and a few that should have ended by then.
    pub(crate) fn use_at(&mut self, from: Moment) -> Moment {
        if self.scenario.cold.is_none_or(|cold| !cold.saves_permits) {
            return from;
        }
        let turn = from.as_millis().div_ceil(SAVED_UNTIL.as_millis());
        let meeting = SAVED_UNTIL * u32::try_from(turn).expect("a short play");
        let lifetime = Duration::from_millis(250);
        match meeting < from + lifetime || self.random.random_bool(0.2) {
            true => meeting,
            false => from,
        }
    }

    pub(crate) fn knows_upstream(&self, daemon: usize) -> bool {
        self.daemons[daemon].is_registered
    }

    /// The registration says nothing, so the upstream counts as cold from when it is first known.
    pub(crate) fn register(&mut self, daemon: usize) {
        let Some(script) = self.scenario.cold else {
            return;
        };
        let now = self.now;
        let terms = WarmUpTerms {
            duration: Duration::from_secs_f64(script.cold_s),
            rate: RateLimit::new(self.scenario.limit_per_s).expect("a limit"),
        };
        let one = &mut self.daemons[daemon];
        one.is_registered = true;
        one.warm_ups.register(UPSTREAM, terms, None, BEFORE, now);
    }

    pub(crate) fn become_cold_again(&mut self) {
        let Some(script) = self.scenario.cold else {
            return;
        };
        let left = Duration::from_secs_f64(script.cold_s);
        let running = |daemon: &usize| self.now >= self.daemons[*daemon].frozen_until;
        let Some(daemon) = (0..self.daemons.len()).find(running) else {
            return;
        };
        let now = self.now;
        let one = &mut self.daemons[daemon];
        one.warm_ups.observe(UPSTREAM, left, now, now);
        self.tell_cold(daemon);
    }

    pub(crate) fn tell_repeats(&mut self, daemon: usize) {
        if !self.daemons[daemon]
            .warm_ups
            .take_repeats(self.now)
            .is_empty()
        {
            self.tell_cold(daemon);
        }
    }

    fn tell_cold(&mut self, daemon: usize) {
        let known = self.daemons[daemon]
            .warm_ups
            .observation(UPSTREAM, self.now);
        let Some(known) = known else {
            return;
        };
        for other in (0..self.daemons.len()).filter(|other| *other != daemon) {
            self.send(daemon, other, Message::Cold(known));
        }
    }
}
