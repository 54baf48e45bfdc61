//! The state of one emulated engine, shared by its tasks.
//!
//! Everything stands behind one `RefCell` that no task holds over an await.
//! The scheduler, the sweeper and one task per connection change it by the
//! methods here and in the modules beside.

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

/// What the tasks of an engine share.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) settings: EngineSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) state: RefCell<State>,
    /// Work came in, or the batch changed.
    pub(crate) work: Notify,
    /// A cache event was written.
    pub(crate) cache_changed: Notify,
    /// Tasks that load weights; they hold the engine in turn, so `run` takes
    /// them out in the end.
    pub(crate) loads: RefCell<Vec<JoinHandle<()>>>,
    frozen_until: Cell<Option<Instant>>,
    death: RefCell<Option<ShutdownTrigger>>,
}

/// State that changes.
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

/// Memory of an attempt that was cancelled or whose stream was forgotten.
#[derive(Debug)]
pub(crate) struct Tombstone {
    pub(crate) buried_at: Instant,
    /// Whether the attempt came before that, and so may have run.
    pub(crate) had_arrived: bool,
}

impl Engine {
    /// An idle engine and the signal of its death.
    pub(crate) fn new(settings: EngineSettings) -> (Rc<Self>, Shutdown) {
        let (trigger, death) = Shutdown::new();
        let incarnation = settings.incarnation.unwrap_or_else(wall_clock_ms);
        let state = State::new(&settings);
        let engine = Self {
            settings,
            incarnation,
            state: RefCell::new(state),
            work: Notify::default(),
            cache_changed: Notify::default(),
            loads: RefCell::default(),
            frozen_until: Cell::new(None),
            death: RefCell::new(Some(trigger)),
        };
        (Rc::new(engine), death)
    }

    /// Dies: `run` cuts all connections and returns.
    pub(crate) fn die(&self) {
        if let Some(trigger) = self.death.borrow_mut().take() {
            log::info!("standin engine: dies by its switch");
            trigger.trigger();
        }
    }

    /// Stops stepping and answering for `duration`.
    pub(crate) fn freeze(&self, duration: Duration) {
        self.frozen_until.set(Some(Instant::now() + duration));
    }

    /// Waits until the engine is not frozen.
    pub(crate) async fn thawed(&self) {
        while let Some(until) = self.frozen_until.get() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                self.frozen_until.set(None);
                return;
            }
            compio::time::sleep(left).await;
        }
    }

    /// Brings events, load and invariants up to date after a change.
    pub(crate) fn after_change(&self) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let changes = state.batch.memory.take_changes();
        let wrote = state.record_cache_changes(changes, now);
        state.record_load(now);
        state.check_invariants();
        drop(state);
        if wrote {
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

    /// Number of the next arrival.
    pub(crate) fn arrival(&mut self) -> u64 {
        self.next_arrival += 1;
        self.next_arrival
    }

    /// Ends a sequence and gives its memory back.
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

    /// Ends every sequence that `matches`.
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

    /// Cancels an attempt, also one that has not arrived yet.
    pub(crate) fn cancel(&mut self, request: &str, attempt: Attempt, now: Instant) {
        let key = (request.to_owned(), attempt);
        let is_named = |sequence: &Sequence| {
            sequence.output.attempt == attempt && sequence.output.request == request
        };
        let arrived = self.attempts.contains_key(&key) || self.batch.sequences().any(is_named);
        self.bury(key, arrived, now);
        self.end_where(End::Cancelled, is_named);
    }

    /// Remembers an attempt, so that it is refused when it comes later.
    pub(crate) fn bury(&mut self, key: (RequestId, Attempt), arrived: bool, now: Instant) {
        let tombstone = self.tombstones.entry(key).or_insert(Tombstone {
            buried_at: now,
            had_arrived: false,
        });
        tombstone.buried_at = now;
        tombstone.had_arrived |= arrived;
    }

    /// Releases a reservation and ends what computes under it.
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
        if memory.is_sound() && !leaked && reserved {
            return;
        }
        self.counters.invariants_broken += 1;
        log::error!("standin engine: memory account is broken: {memory:?}");
    }
}

fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}
