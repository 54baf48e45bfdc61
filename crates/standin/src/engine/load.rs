//! Load reports, published with a configurable lag.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::sequence::Sequence;
use super::settings::{EngineRole, EngineSettings};
use super::state::State;

/// Weight of a new observation in the exponential moving averages.
const AVERAGE_WEIGHT: f64 = 0.1;

/// Snapshots kept per lag; changes closer together share one snapshot.
const SNAPSHOTS_PER_LAG: u32 = 32;

/// Whether an engine takes new work.
#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum EngineState {
    /// Takes new work.
    Live,
    /// Takes no new work, as it is about to shut down.
    Leaving,
}

/// Load report of the engine.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct LoadReport {
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    pub(crate) age_ms: u64,
    pub(crate) running: u64,
    pub(crate) waiting: u64,
    /// Remaining prefill of all sequences, waiting and running.
    pub(crate) waiting_prefill_tokens: u64,
    pub(crate) kv_total_tokens: u64,
    pub(crate) kv_used_tokens: u64,
    pub(crate) prefill_tokens_per_s: f64,
    pub(crate) decode_step_ms: f64,
    pub(crate) state: EngineState,
    pub(crate) role: EngineRole,
}

/// Recent snapshots and the observed rates.
///
/// Invariant: `snapshots` is in ascending order of time and sequence number, and
/// not empty after the first change.
#[derive(Debug)]
pub(crate) struct LoadReports {
    snapshots: VecDeque<(Instant, LoadReport)>,
    next_sequence: u64,
    prefill_tokens_per_s: f64,
    decode_step_ms: f64,
}

impl LoadReports {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        // Until a step is observed, reports carry the rates of an idle engine.
        let step = &settings.step;
        let chunk_tokens = step.prefill_chunk_tokens as f64;
        let step_us = step.base_us + chunk_tokens * step.prefill_token_us;
        let scale = settings.time_scale.max(f64::MIN_POSITIVE);
        Self {
            snapshots: VecDeque::new(),
            next_sequence: 1,
            prefill_tokens_per_s: chunk_tokens * 1e6 / (step_us * scale),
            decode_step_ms: (step.base_us + step.decode_sequence_us) * scale / 1e3,
        }
    }

    /// Updates the observed rates with the duration of a step.
    pub(crate) fn observe_step(&mut self, prefill_tokens: u64, decodes: bool, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        if prefill_tokens > 0 {
            update_average(
                &mut self.prefill_tokens_per_s,
                prefill_tokens as f64 / seconds,
            );
        }
        if decodes {
            update_average(&mut self.decode_step_ms, seconds * 1e3);
        }
    }
}

impl State {
    /// Takes a snapshot, replacing the newest one if that is too recent.
    pub(crate) fn record_load(&mut self, now: Instant) {
        let lag = Duration::from_millis(self.switches.load_lag_ms);
        let min_interval = lag / SNAPSHOTS_PER_LAG;
        let snapshot = self.load_snapshot();
        let reports = &mut self.load;
        let length = reports.snapshots.len();
        // A recent snapshot is replaced instead of skipping the new one, so that
        // the last change before an idle period is not lost.
        let replaces_newest = length >= 2 && now < reports.snapshots[length - 2].0 + min_interval;
        if replaces_newest {
            reports.snapshots.pop_back();
        }
        reports.snapshots.push_back((now, snapshot));
        reports.next_sequence += 1;
        reports.drop_before(now.checked_sub(lag));
    }

    /// Returns the report in force one lag ago.
    pub(crate) fn load_report(&mut self, incarnation: u64, now: Instant) -> LoadReport {
        if self.load.snapshots.is_empty() {
            self.record_load(now);
        }
        let lag = Duration::from_millis(self.switches.load_lag_ms);
        self.load.drop_before(now.checked_sub(lag));
        let (at, mut report) = match self.load.snapshots.front() {
            Some((at, report)) => (*at, report.clone()),
            None => (now, self.load_snapshot()),
        };
        let age = now.saturating_duration_since(at).min(lag);
        report.incarnation = incarnation;
        report.age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        if self.switches.nonsense_load {
            report.make_implausible();
        }
        report
    }

    fn load_snapshot(&self) -> LoadReport {
        let memory = &self.batch.memory;
        let sequences = self.batch.sequences();
        let state = match self.switches.leaving {
            true => EngineState::Leaving,
            false => EngineState::Live,
        };
        LoadReport {
            incarnation: 0,
            sequence: self.load.next_sequence,
            age_ms: 0,
            running: self.batch.running.len() as u64,
            waiting: self.batch.waiting.len() as u64,
            waiting_prefill_tokens: sequences.map(Sequence::unfilled_tokens).sum(),
            kv_total_tokens: memory.total_tokens(),
            kv_used_tokens: memory.used_tokens() + memory.reserved_tokens(),
            prefill_tokens_per_s: self.load.prefill_tokens_per_s,
            decode_step_ms: self.load.decode_step_ms,
            state,
            role: self.orders.role(),
        }
    }
}

impl LoadReports {
    /// Drops snapshots superseded by a newer one at `cutoff`.
    fn drop_before(&mut self, cutoff: Option<Instant>) {
        let Some(cutoff) = cutoff else {
            return;
        };
        while self.snapshots.get(1).is_some_and(|(at, _)| *at <= cutoff) {
            self.snapshots.pop_front();
        }
    }
}

impl LoadReport {
    /// Sets impossible values, as a malfunctioning engine might report.
    fn make_implausible(&mut self) {
        self.running = 0;
        self.waiting = u64::from(u32::MAX);
        self.kv_used_tokens = self.kv_total_tokens.saturating_mul(3);
        self.prefill_tokens_per_s = -1.0;
        self.decode_step_ms = 0.0;
    }
}

fn update_average(value: &mut f64, observed: f64) {
    *value += (observed - *value) * AVERAGE_WEIGHT;
}
