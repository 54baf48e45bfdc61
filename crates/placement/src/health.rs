//! Whether an engine can be trusted with work.
//!
//! An engine that fails several times in a row, or is far slower than its
//! peers, is ejected for a while that doubles each time. Then it is probed with
//! one request at a time, and after a success it starts slowly. How many may be
//! ejected at once is the caller's matter, which knows the other engines.

use std::time::{Duration, Instant};

use crate::demand::EngineOutcome;

/// Failures in a row that eject an engine.
const MAX_ERRORS_IN_ROW: u32 = 5;

/// Length of the first ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(5);

/// Ejections double this many times at most.
const MAX_DOUBLINGS: u32 = 4;

/// Time in which a newcomer comes to its full share.
const SLOW_START: Duration = Duration::from_secs(10);

/// Time for which an engine that refused for want of room is avoided.
const BUSY_HOLD: Duration = Duration::from_millis(500);

/// Time for which an engine's refusal as leaving is believed, unless a later
/// report says otherwise.
const LEAVING_HOLD: Duration = Duration::from_secs(10);

/// Time for which an engine's refusal as loading is believed. Load reports
/// don't tell of it, so this is also the time between two probes.
const LOADING_HOLD: Duration = Duration::from_secs(2);

/// Failed reports in a row that make an engine count as unreachable.
const MAX_REPORTS_FAILED: u32 = 3;

/// What may be done with an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Normal,
    Ejected { until: Instant },
    Probing,
}

/// Standing of one engine.
#[derive(Debug)]
pub(crate) struct Health {
    phase: Phase,
    errors_in_row: u32,
    reports_failed: u32,
    ejections: u32,
    full_share_at: Option<Instant>,
    busy_until: Option<Instant>,
    leaving_until: Option<Instant>,
    loading_until: Option<Instant>,
}

impl Health {
    /// Standing of an engine that was there from the start.
    pub(crate) fn settled() -> Self {
        Self {
            phase: Phase::Normal,
            errors_in_row: 0,
            reports_failed: 0,
            ejections: 0,
            full_share_at: None,
            busy_until: None,
            leaving_until: None,
            loading_until: None,
        }
    }

    /// Standing of an engine that joined at `now`.
    pub(crate) fn newcomer(now: Instant) -> Self {
        Self {
            full_share_at: Some(now + SLOW_START),
            ..Self::settled()
        }
    }

    /// Takes in an outcome; true when the engine should be ejected.
    pub(crate) fn record_outcome(&mut self, outcome: EngineOutcome, now: Instant) -> bool {
        match outcome {
            EngineOutcome::Success => {
                self.succeeded(now);
                false
            }
            EngineOutcome::Error | EngineOutcome::Timeout => self.failed(),
            EngineOutcome::Unreachable => {
                // Until its next report: a dead engine has nothing to do and
                // would draw all work to itself.
                self.reports_failed = MAX_REPORTS_FAILED;
                self.failed()
            }
            EngineOutcome::Busy => {
                self.busy_until = Some(now + BUSY_HOLD);
                false
            }
            EngineOutcome::Leaving => {
                self.leaving_until = Some(now + LEAVING_HOLD);
                false
            }
            EngineOutcome::Loading => {
                self.loading_until = Some(now + LOADING_HOLD);
                false
            }
        }
    }

    pub(crate) fn record_report_failure(&mut self) {
        self.reports_failed = self.reports_failed.saturating_add(1);
    }

    pub(crate) fn report_arrived(&mut self) {
        self.reports_failed = 0;
    }

    /// Notes a report that was measured at `measured_at` by an engine that stays.
    pub(crate) fn reported_live(&mut self, measured_at: Instant) {
        let refused_at = self.leaving_until.map(|until| until - LEAVING_HOLD);
        if refused_at.is_some_and(|at| measured_at > at) {
            self.leaving_until = None;
        }
    }

    pub(crate) fn eject(&mut self, now: Instant) {
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        let until = now + FIRST_EJECTION * 2_u32.pow(doublings);
        self.phase = Phase::Ejected { until };
        self.ejections += 1;
        self.errors_in_row = 0;
    }

    /// Lets an engine whose ejection is over be probed; true when it changes.
    pub(crate) fn review(&mut self, now: Instant) -> bool {
        match self.phase {
            Phase::Ejected { until } if now >= until => {
                self.phase = Phase::Probing;
                true
            }
            _ => false,
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        matches!(self.phase, Phase::Ejected { .. })
    }

    pub(crate) fn is_probing(&self) -> bool {
        self.phase == Phase::Probing
    }

    pub(crate) fn is_unreachable(&self) -> bool {
        self.reports_failed >= MAX_REPORTS_FAILED
    }

    pub(crate) fn refuses_as_leaving(&self, now: Instant) -> bool {
        self.leaving_until.is_some_and(|until| now < until)
    }

    pub(crate) fn refuses_as_loading(&self, now: Instant) -> bool {
        self.loading_until.is_some_and(|until| now < until)
    }

    pub(crate) fn is_busy(&self, now: Instant) -> bool {
        self.busy_until.is_some_and(|until| now < until)
    }

    /// Share of an ordinary engine's work that this one may have, from 0 to 1.
    pub(crate) fn share(&self, now: Instant) -> f64 {
        match self.full_share_at {
            Some(full) if now < full => 1.0 - (full - now).div_duration_f64(SLOW_START),
            _ => 1.0,
        }
    }

    fn succeeded(&mut self, now: Instant) {
        self.errors_in_row = 0;
        self.reports_failed = 0;
        if self.phase == Phase::Probing {
            self.phase = Phase::Normal;
            self.full_share_at = Some(now + SLOW_START);
        } else if self.share(now) >= 1.0 {
            self.ejections = 0;
        }
    }

    fn failed(&mut self) -> bool {
        self.errors_in_row = self.errors_in_row.saturating_add(1);
        let may_fail = match self.phase {
            Phase::Normal => MAX_ERRORS_IN_ROW,
            Phase::Ejected { .. } => u32::MAX,
            Phase::Probing => 1,
        };
        self.errors_in_row >= may_fail
    }
}
