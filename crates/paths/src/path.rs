//! State of the path to one upstream.

use std::time::{Duration, Instant};

use crate::options::PathOptions;
use crate::table::PathGroup;

/// How a path fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathFault {
    /// New connections are refused or reset; open ones may live on.
    Refused,
    /// No byte arrives.
    Silent,
}

impl PathFault {
    /// Name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Silent => "silent",
        }
    }
}

/// How an attempt reaches its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// From this process.
    Direct,
    /// Through another process.
    Proxied,
}

/// Whether a path can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PathState {
    Open,
    /// Many others failed, and nothing has shown since that it works.
    Avoided(Outage),
    /// It failed, and no other process told whether the upstream works.
    Suspect(Outage),
    /// Another process reached the upstream and this one did not.
    Lost(Outage),
}

/// A time in which a path can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Outage {
    pub(crate) since: Instant,
    pub(crate) fault: PathFault,
    /// Consecutive successful probes.
    proofs: u32,
    pub(crate) next_probe: Instant,
    probe_pause: Duration,
}

/// The path to one upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Path {
    pub(crate) state: PathState,
    /// Set once the upstream is listed as known.
    pub(crate) group: Option<PathGroup>,
    /// When the last byte arrived.
    pub(crate) last_received: Option<Instant>,
    /// When an upstream last answered on a new connection.
    pub(crate) last_proof: Option<Instant>,
    /// When the path was last used again after an outage.
    regained_at: Option<Instant>,
    /// Successful probes that end the current outage.
    required_proofs: u32,
}

impl Outage {
    fn new(since: Instant, fault: PathFault, now: Instant, options: &PathOptions) -> Self {
        Self {
            since,
            fault,
            proofs: 0,
            next_probe: now + options.first_probe_pause,
            probe_pause: options.first_probe_pause,
        }
    }
}

impl Path {
    pub(crate) fn new() -> Self {
        Self {
            state: PathState::Open,
            group: None,
            last_received: None,
            last_proof: None,
            regained_at: None,
            required_proofs: 1,
        }
    }

    /// The time in which it can't be used, for whatever reason.
    pub(crate) fn outage(&self) -> Option<&Outage> {
        match &self.state {
            PathState::Open => None,
            PathState::Avoided(outage) | PathState::Suspect(outage) | PathState::Lost(outage) => {
                Some(outage)
            }
        }
    }

    fn outage_mut(&mut self) -> Option<&mut Outage> {
        match &mut self.state {
            PathState::Open => None,
            PathState::Avoided(outage) | PathState::Suspect(outage) | PathState::Lost(outage) => {
                Some(outage)
            }
        }
    }

    /// The time since which it was found to fail.
    pub(crate) fn failure(&self) -> Option<&Outage> {
        match &self.state {
            PathState::Open | PathState::Avoided(_) => None,
            PathState::Suspect(outage) | PathState::Lost(outage) => Some(outage),
        }
    }

    /// Whether it was shown to work after `since`.
    pub(crate) fn is_proven_since(&self, since: Instant) -> bool {
        self.last_proof.is_some_and(|at| at > since)
    }

    /// Has it not used until a probe shows that it works, unless that was shown after `since`.
    pub(crate) fn avoid_unproven(&mut self, since: Instant, now: Instant, options: &PathOptions) {
        if self.state == PathState::Open && !self.is_proven_since(since) {
            let outage = Outage::new(since, PathFault::Refused, now, options);
            self.state = PathState::Avoided(Outage {
                next_probe: now,
                ..outage
            });
        }
    }

    /// Uses it again if it was only avoided.
    pub(crate) fn release(&mut self) {
        if let PathState::Avoided(_) = self.state {
            self.state = PathState::Open;
        }
    }

    /// Begins an outage, unless there is one; returns whether it did.
    pub(crate) fn suspect(
        &mut self,
        fault: PathFault,
        since: Instant,
        now: Instant,
        options: &PathOptions,
    ) -> bool {
        let is_new = self.failure().is_none();
        if is_new {
            self.begin_outage(now, options);
            self.state = PathState::Suspect(Outage::new(since, fault, now, options));
        }
        is_new
    }

    /// Records that another process reached the upstream and this one did not; returns whether
    /// that was unknown.
    pub(crate) fn lose(
        &mut self,
        fault: PathFault,
        since: Instant,
        now: Instant,
        options: &PathOptions,
    ) -> bool {
        match self.state {
            PathState::Lost(_) => false,
            PathState::Suspect(outage) => {
                self.state = PathState::Lost(outage);
                true
            }
            PathState::Open | PathState::Avoided(_) => {
                self.begin_outage(now, options);
                self.state = PathState::Lost(Outage::new(since, fault, now, options));
                true
            }
        }
    }

    fn begin_outage(&mut self, now: Instant, options: &PathOptions) {
        let is_flapping = self
            .regained_at
            .is_some_and(|at| now.saturating_duration_since(at) < options.flap_window);
        self.required_proofs = match is_flapping {
            true => (self.required_proofs + 1).min(options.max_proofs),
            false => 1,
        };
    }

    /// Records an answer on a new connection; returns the duration of the outage that it ended.
    pub(crate) fn prove(&mut self, now: Instant, options: &PathOptions) -> Option<Duration> {
        self.last_proof = Some(now);
        self.last_received = Some(now);
        self.release();
        let required = self.required_proofs;
        let outage = self.outage_mut()?;
        outage.proofs += 1;
        if outage.proofs < required {
            outage.next_probe = now + options.first_probe_pause;
            return None;
        }
        let took = now.saturating_duration_since(outage.since);
        self.state = PathState::Open;
        self.regained_at = Some(now);
        Some(took)
    }

    /// Records a failed probe of a path that is not in use.
    pub(crate) fn fail_probe(&mut self, now: Instant, options: &PathOptions) {
        if let Some(outage) = self.outage_mut() {
            outage.proofs = 0;
            outage.probe_pause = (outage.probe_pause * 2).min(options.longest_probe_pause);
            outage.next_probe = now + outage.probe_pause;
        }
    }

    /// Delays the next probe, as one has begun.
    pub(crate) fn begin_probe(&mut self, now: Instant) {
        if let Some(outage) = self.outage_mut() {
            outage.next_probe = now + outage.probe_pause;
        }
    }

    /// Records a byte; a path that counts as silent is then probed at once.
    pub(crate) fn receive(&mut self, now: Instant) {
        self.last_received = Some(now);
        if self
            .outage()
            .is_some_and(|outage| outage.fault == PathFault::Silent)
        {
            self.probe_by(now);
        }
    }

    /// Has a path that is not in use probed no later than at `time`.
    pub(crate) fn probe_by(&mut self, time: Instant) {
        if let Some(outage) = self.outage_mut() {
            outage.next_probe = outage.next_probe.min(time);
        }
    }
}
