//! Fault injection switches, and counters for tests.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::orders::OrderRecord;
use super::output::End;
use super::settings::EngineSettings;
use super::state::{Engine, State};

/// Body of `POST /control`; absent fields leave their switches unchanged.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct ControlRequest {
    /// Stops stepping and responding for this time, in milliseconds.
    freeze_ms: Option<u64>,
    /// Factor on the duration of each step.
    slow_factor: Option<f64>,
    /// Crashes after generating this many further tokens.
    die_after_tokens: Option<u64>,
    /// Drops cache events while set, leaving gaps in their sequence numbers.
    drop_cache_events: Option<bool>,
    cache_event_delay_ms: Option<u64>,
    load_lag_ms: Option<u64>,
    /// Sends implausible load reports while set.
    nonsense_load: Option<bool>,
    /// Refuses new work while set.
    leaving: Option<bool>,
}

/// Current state of the switches.
#[derive(Debug)]
pub(crate) struct Switches {
    pub(crate) slow_factor: f64,
    /// Value of the token counter at which the engine crashes.
    pub(crate) crash_at_tokens: Option<u64>,
    pub(crate) drop_cache_events: bool,
    pub(crate) cache_event_delay_ms: u64,
    pub(crate) load_lag_ms: u64,
    pub(crate) nonsense_load: bool,
    pub(crate) leaving: bool,
}

impl Switches {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        Self {
            slow_factor: 1.0,
            crash_at_tokens: None,
            drop_cache_events: false,
            cache_event_delay_ms: scaled_ms(settings, settings.cache_event_delay_ms),
            load_lag_ms: scaled_ms(settings, settings.load_lag_ms),
            nonsense_load: false,
            leaving: false,
        }
    }
}

/// Events counted since the engine started.
#[derive(Debug, Default, Clone)]
pub(crate) struct Counters {
    pub(crate) started: u64,
    pub(crate) finished: u64,
    pub(crate) cancelled: u64,
    pub(crate) failed: u64,
    pub(crate) tokens: u64,
    pub(crate) orders: Vec<OrderRecord>,
    pub(crate) invariants_broken: u64,
}

impl Counters {
    /// Counts the end of an answer.
    pub(crate) fn count_end(&mut self, end: End) {
        match end {
            End::Finished => self.finished += 1,
            End::Cancelled => self.cancelled += 1,
            End::Deadline | End::ReservationGone => self.failed += 1,
        }
    }
}

/// Answer of `GET /control/counters`.
#[derive(Debug, Serialize)]
pub(crate) struct CountersReport {
    started: u64,
    finished: u64,
    cancelled: u64,
    failed: u64,
    tokens: u64,
    kv_used_tokens: u64,
    reserved_tokens: u64,
    orders: Vec<OrderRecord>,
    invariants_broken: u64,
}

impl State {
    /// Counters and the memory currently in use, not counting the cache.
    pub(crate) fn counters_report(&self) -> CountersReport {
        let counters = self.counters.clone();
        CountersReport {
            started: counters.started,
            finished: counters.finished,
            cancelled: counters.cancelled,
            failed: counters.failed,
            tokens: counters.tokens,
            kv_used_tokens: self.batch.memory.used_tokens(),
            reserved_tokens: self.batch.memory.reserved_tokens(),
            orders: counters.orders,
            invariants_broken: counters.invariants_broken,
        }
    }
}

impl Engine {
    /// Applies the switches present in `request`.
    pub(crate) fn control(&self, request: &ControlRequest) {
        self.set_switches(request);
        if let Some(freeze_ms) = request.freeze_ms {
            self.freeze(Duration::from_millis(freeze_ms));
        }
        if request.die_after_tokens == Some(0) {
            self.crash();
        }
        self.after_change();
    }

    fn set_switches(&self, request: &ControlRequest) {
        let mut state = self.state.borrow_mut();
        let tokens = state.counters.tokens;
        let switches = &mut state.switches;
        set(&mut switches.slow_factor, request.slow_factor);
        set(&mut switches.drop_cache_events, request.drop_cache_events);
        set(
            &mut switches.cache_event_delay_ms,
            request.cache_event_delay_ms,
        );
        set(&mut switches.load_lag_ms, request.load_lag_ms);
        set(&mut switches.nonsense_load, request.nonsense_load);
        set(&mut switches.leaving, request.leaving);
        if let Some(additional_tokens) = request.die_after_tokens {
            switches.crash_at_tokens = Some(tokens.saturating_add(additional_tokens));
        }
    }
}

fn set<T: Copy>(switch: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *switch = value;
    }
}

fn scaled_ms(settings: &EngineSettings, duration_ms: u64) -> u64 {
    let scaled = settings.scaled(duration_ms).as_millis();
    u64::try_from(scaled).unwrap_or(u64::MAX)
}
