//! State of an emulated engine, shared by its tasks.
//!
//! The mutable state is in one `RefCell`, which no task keeps borrowed across an
//! await. The scheduler, the sweeper and one task per connection change it
//! through the methods here and in the sibling modules.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use compio::runtime::JoinHandle;
use mangofront_http::{Shutdown, ShutdownTrigger};
use mangofront_settings::ids::Incarnation;

use super::batch::Batch;
use super::cache_events::CacheEvents;
use super::control::{Counters, Switches};
use super::load::LoadReports;
use super::orders::Orders;
use super::output::{Attempt, End, Output, RequestId, StreamId};
use super::reservations::Reservations;
use super::sequence::{Kind, Memory, Rank, Sequence};
use super::settings::EngineSettings;
use crate::notify::Notify;

/// Data shared by the tasks of an engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) settings: EngineSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) state: RefCell<State>,
    /// Notified when work arrives or the batch changes.
    pub(crate) work: Notify,
    /// Notified when a cache event is recorded.
    pub(crate) cache_changed: Notify,
    /// Tasks that load weights. They hold an `Rc` of the engine, so `run` removes
    /// them at the end to break the cycle.
    pub(crate) load_tasks: RefCell<Vec<JoinHandle<()>>>,
    frozen_until: Cell<Option<Instant>>,
    abort_trigger: RefCell<Option<ShutdownTrigger>>,
}

/// Mutable state of an engine.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) batch: Batch,
    pub(crate) reservations: Reservations,
    pub(crate) streams: HashMap<StreamId, Rc<Output>>,
    pub(crate) attempts: HashMap<(RequestId, Attempt), StreamId>,
    pub(crate) tombstones: HashMap<(RequestId, Attempt), Tombstone>,
    pub(crate) cache_events: CacheEvents,
    pub(crate) load: LoadReports,
    pub(crate) orders: Orders,
    pub(crate) switches: Switches,
    pub(crate) counters: Counters,
    next_arrival: u64,
}

/// Record of an attempt that was cancelled or whose stream was removed.
#[derive(Debug)]
pub(crate) struct Tombstone {
    pub(crate) created_at: Instant,
    /// Whether the attempt had arrived by then, and so may have run.
    pub(crate) had_arrived: bool,
}

impl Engine {
    /// Creates an idle engine and the signal that aborts its server.
    pub(crate) fn new(settings: EngineSettings) -> (Rc<Self>, Shutdown) {
        let (trigger, abort) = Shutdown::new();
        let incarnation = settings.incarnation.unwrap_or_else(wall_clock_ms);
        let state = State::new(&settings);
        let engine = Self {
            settings,
            incarnation,
            state: RefCell::new(state),
            work: Notify::default(),
            cache_changed: Notify::default(),
            load_tasks: RefCell::default(),
            frozen_until: Cell::new(None),
            abort_trigger: RefCell::new(Some(trigger)),
        };
        (Rc::new(engine), abort)
    }

    /// Emulates a crash: `run` drops all connections and returns.
    pub(crate) fn crash(&self) {
        if let Some(trigger) = self.abort_trigger.borrow_mut().take() {
            log::info!("standin engine: crashing as requested by /control");
            trigger.trigger();
        }
    }

    /// Stops stepping and responding for `duration`.
    pub(crate) fn freeze(&self, duration: Duration) {
        self.frozen_until.set(Some(Instant::now() + duration));
    }

    /// Waits until the engine is not frozen.
    pub(crate) async fn wait_while_frozen(&self) {
        while let Some(until) = self.frozen_until.get() {
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                self.frozen_until.set(None);
                return;
            }
            compio::time::sleep(remaining).await;
        }
    }

    /// Records cache events and load after a change, and checks the invariants.
    pub(crate) fn after_change(&self) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let changes = state.batch.memory.take_changes();
        let recorded = state.record_cache_changes(changes, now);
        state.record_load(now);
        state.check_invariants();
        drop(state);
        if recorded {
            self.cache_changed.notify();
        }
    }
}

impl State {
    fn new(settings: &EngineSettings) -> Self {
        Self {
            batch: Batch::new(
                settings.kv_total_tokens,
                settings.max_running,
                settings.step,
            ),
            reservations: Reservations::default(),
            streams: HashMap::new(),
            attempts: HashMap::new(),
            tombstones: HashMap::new(),
            cache_events: CacheEvents::default(),
            load: LoadReports::new(settings),
            orders: Orders::new(settings),
            switches: Switches::new(settings),
            counters: Counters::default(),
            next_arrival: 0,
        }
    }

    /// Returns a new arrival number.
    pub(crate) fn next_arrival(&mut self) -> u64 {
        self.next_arrival += 1;
        self.next_arrival
    }

    /// Ends a sequence and frees its memory.
    pub(crate) fn end_sequence(&mut self, rank: Rank, end: End) {
        let Some(sequence) = self.batch.remove(rank) else {
            return;
        };
        if sequence.kind == Kind::Answer {
            self.counters.count_end(end);
        }
        if let Memory::Reservation(id) = &sequence.memory {
            self.reservations.sequence_ended(id, &sequence);
        }
        sequence.output.finish(end);
    }

    /// Ends every sequence for which `matches` returns true.
    pub(crate) fn end_where(&mut self, end: End, matches: impl Fn(&Sequence) -> bool) {
        let ranks: Vec<Rank> = self
            .batch
            .sequences()
            .filter(|sequence| matches(sequence))
            .map(|sequence| sequence.rank)
            .collect();
        for rank in ranks {
            self.end_sequence(rank, end);
        }
    }

    /// Cancels an attempt, including one that has not arrived yet.
    pub(crate) fn cancel(&mut self, request: &str, attempt: Attempt, now: Instant) {
        let key = (request.to_owned(), attempt);
        let is_named = |sequence: &Sequence| {
            sequence.output.attempt == attempt && sequence.output.request == request
        };
        let arrived = self.attempts.contains_key(&key) || self.batch.sequences().any(is_named);
        self.add_tombstone(key, arrived, now);
        self.end_where(End::Cancelled, is_named);
    }

    /// Records an attempt, so that it is refused if it arrives later.
    pub(crate) fn add_tombstone(&mut self, key: (RequestId, Attempt), arrived: bool, now: Instant) {
        let tombstone = self.tombstones.entry(key).or_insert(Tombstone {
            created_at: now,
            had_arrived: false,
        });
        tombstone.created_at = now;
        tombstone.had_arrived |= arrived;
    }

    /// Removes a reservation and ends the sequences that use it.
    pub(crate) fn drop_reservation(&mut self, id: &str) {
        self.end_where(
            End::ReservationGone,
            |sequence| matches!(&sequence.memory, Memory::Reservation(other) if other == id),
        );
        if let Some(tokens) = self.reservations.remove(id) {
            self.batch.memory.unreserve(tokens);
        }
    }

    fn check_invariants(&mut self) {
        let memory = &self.batch.memory;
        let idle = self.batch.running.is_empty();
        let leaked = idle && memory.used_tokens() > 0;
        let reserved = memory.reserved_tokens() == self.reservations.total_tokens();
        if memory.is_consistent() && !leaked && reserved {
            return;
        }
        self.counters.invariants_broken += 1;
        log::error!("standin engine: memory accounting is inconsistent: {memory:?}");
    }
}

fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}
