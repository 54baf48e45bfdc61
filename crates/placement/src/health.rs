//! Outlier ejection, probing and slow start of one engine.
//!
//! An engine that fails several times in a row, or is much slower than the other
//! engines of its model, is ejected for a time that doubles with each ejection.
//! It is then probed with one request at a time, and enters slow start after a
//! success. The caller, which knows the other engines, limits how many are
//! ejected at once.

use std::time::{Duration, Instant};

use crate::request::EngineOutcome;

/// Consecutive failures after which an engine is ejected.
const MAX_CONSECUTIVE_ERRORS: u32 = 5;

/// Duration of the first ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(5);

/// Maximum number of times that the ejection's duration doubles.
const MAX_DOUBLINGS: u32 = 4;

/// Time in which an engine in slow start reaches its full share.
const SLOW_START: Duration = Duration::from_secs(10);

/// Time for which an engine is avoided after it refused as busy.
const BUSY_COOLDOWN: Duration = Duration::from_millis(500);

/// Time for which an engine counts as draining after it refused as such, unless
/// a later report says that it is live.
const LEAVING_COOLDOWN: Duration = Duration::from_secs(10);

/// Time for which an engine counts as loading a model after it refused as such.
/// Load reports don't show this state, so this is also the time between two
/// attempts.
const LOADING_COOLDOWN: Duration = Duration::from_secs(2);

/// Consecutive failed reports from which an engine counts as unreachable.
const MAX_CONSECUTIVE_FAILED_REPORTS: u32 = 3;

/// State of the ejection cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Active,
    Ejected { until: Instant },
    Probing,
}

/// Health of one engine.
#[derive(Debug)]
pub(crate) struct Health {
    phase: Phase,
    consecutive_errors: u32,
    consecutive_failed_reports: u32,
    ejections: u32,
    full_share_at: Option<Instant>,
    busy_until: Option<Instant>,
    leaving_until: Option<Instant>,
    loading_until: Option<Instant>,
}

impl Health {
    /// Health of an engine without slow start.
    pub(crate) fn established() -> Self {
        Self {
            phase: Phase::Active,
            consecutive_errors: 0,
            consecutive_failed_reports: 0,
            ejections: 0,
            full_share_at: None,
            busy_until: None,
            leaving_until: None,
            loading_until: None,
        }
    }

    /// Health of an engine that joined at `now` and is in slow start.
    pub(crate) fn joining(now: Instant) -> Self {
        Self {
            full_share_at: Some(now + SLOW_START),
            ..Self::established()
        }
    }

    /// Records an outcome; returns true if the engine should be ejected.
    pub(crate) fn record_outcome(&mut self, outcome: EngineOutcome, now: Instant) -> bool {
        match outcome {
            EngineOutcome::Success => {
                self.record_success(now);
                false
            }
            EngineOutcome::Error | EngineOutcome::Timeout => self.record_failure(),
            EngineOutcome::Unreachable => {
                // Unreachable until its next report: a dead engine appears idle
                // and would attract all requests.
                self.consecutive_failed_reports = MAX_CONSECUTIVE_FAILED_REPORTS;
                self.record_failure()
            }
            EngineOutcome::Busy => {
                self.busy_until = Some(now + BUSY_COOLDOWN);
                false
            }
            EngineOutcome::Leaving => {
                self.leaving_until = Some(now + LEAVING_COOLDOWN);
                false
            }
            EngineOutcome::Loading => {
                self.loading_until = Some(now + LOADING_COOLDOWN);
                false
            }
        }
    }

    pub(crate) fn record_report_failure(&mut self) {
        self.consecutive_failed_reports = self.consecutive_failed_reports.saturating_add(1);
    }

    pub(crate) fn record_report(&mut self) {
        self.consecutive_failed_reports = 0;
    }

    /// Records a report, measured at `measured_at`, that the engine is live.
    pub(crate) fn record_live_report(&mut self, measured_at: Instant) {
        let refused_at = self.leaving_until.map(|until| until - LEAVING_COOLDOWN);
        if refused_at.is_some_and(|at| measured_at > at) {
            self.leaving_until = None;
        }
    }

    pub(crate) fn eject(&mut self, now: Instant) {
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        let until = now + FIRST_EJECTION * 2_u32.pow(doublings);
        self.phase = Phase::Ejected { until };
        self.ejections += 1;
        self.consecutive_errors = 0;
    }

    /// Starts probing an engine whose ejection has ended; returns whether it did.
    pub(crate) fn start_probe_if_due(&mut self, now: Instant) -> bool {
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
        self.consecutive_failed_reports >= MAX_CONSECUTIVE_FAILED_REPORTS
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

    /// Share of a regular engine's work that this one may get, from 0 to 1.
    pub(crate) fn work_share(&self, now: Instant) -> f64 {
        match self.full_share_at {
            Some(full_at) if now < full_at => 1.0 - (full_at - now).div_duration_f64(SLOW_START),
            _ => 1.0,
        }
    }

    fn record_success(&mut self, now: Instant) {
        self.consecutive_errors = 0;
        self.consecutive_failed_reports = 0;
        if self.phase == Phase::Probing {
            self.phase = Phase::Active;
            self.full_share_at = Some(now + SLOW_START);
        } else if self.work_share(now) >= 1.0 {
            self.ejections = 0;
        }
    }

    fn record_failure(&mut self) -> bool {
        self.consecutive_errors = self.consecutive_errors.saturating_add(1);
        let max_errors = match self.phase {
            Phase::Active => MAX_CONSECUTIVE_ERRORS,
            Phase::Ejected { .. } => u32::MAX,
            Phase::Probing => 1,
        };
        self.consecutive_errors >= max_errors
    }
}
