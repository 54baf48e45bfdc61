//! An in-memory store of published values, and each daemon's link to it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::time::{sleep, sleep_until, timeout_at};
use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use http::StatusCode;
use mangofront_gateway::{Change, Changes, Entry, Position, Snapshot, Source, SourceError};
use mangofront_routes::{RouteTable, Upstream, UpstreamId};

/// Round-trip time of a call.
const ROUND_TRIP: Duration = Duration::from_millis(2);

/// Size of a route in a configuration, in bytes.
const ROUTE_BYTES: usize = 300;

/// Size of a registration, in bytes.
const REGISTRATION_BYTES: usize = 250;

/// Size of an answer without values, in bytes.
const EMPTY_ANSWER_BYTES: usize = 100;

/// Size of an answer to a watch call, in bytes, from which it may be truncated.
const TRUNCATED_FROM_BYTES: usize = 512 * 1024;

/// Outcome of the calls of one daemon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallOutcome {
    /// Answered immediately.
    Served,
    /// Refused immediately with a status.
    Refused(StatusCode),
    /// The connection breaks immediately.
    Failed,
    /// Not answered within the timeout.
    Silent,
    /// Answered with this bandwidth.
    Slow { bytes_per_s: f64 },
    /// Answered with this delay.
    Late { delay_ms: u64 },
}

/// A period in which calls have a given outcome, in time since the start of the script.
#[derive(Debug, Clone, Copy)]
pub struct Phase {
    pub from: Duration,
    pub until: Duration,
    pub outcome: CallOutcome,
}

/// One change in the history.
#[derive(Debug, Clone)]
pub enum Event {
    Configured(Rc<RouteTable>),
    Registered(Upstream),
    Gone(UpstreamId),
    Evacuated(String),
    EvacuationEnded(String),
}

/// All published values.
#[derive(Debug, Default)]
pub struct Store {
    history: RefCell<Vec<(Position, Event)>>,
    position: Cell<Position>,
    /// Changes up to this position are no longer kept.
    dropped_up_to: Cell<Position>,
    table: RefCell<Option<Rc<RouteTable>>>,
    upstreams: RefCell<BTreeMap<UpstreamId, Upstream>>,
    evacuated: RefCell<BTreeMap<String, Position>>,
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
    /// When the script started.
    started: Cell<Option<Instant>>,
    calls: Cell<u64>,
}

/// One daemon's link to the store.
#[derive(Debug)]
pub struct Link {
    store: Rc<Store>,
    /// Bandwidth of the link, in bytes per second, unless a phase sets another one.
    bytes_per_s: f64,
    phases: Vec<Phase>,
}

impl Event {
    fn size_bytes(&self) -> usize {
        match self {
            Self::Configured(table) => table_size_bytes(table),
            Self::Registered(_) => REGISTRATION_BYTES,
            Self::Gone(_) | Self::Evacuated(_) | Self::EvacuationEnded(_) => EMPTY_ANSWER_BYTES,
        }
    }

    /// The change in the form in which a source reports it.
    fn change(&self, position: Position) -> Change {
        match self {
            Self::Configured(table) => {
                Change::Written(Entry::Configuration(Box::new((**table).clone())))
            }
            Self::Registered(upstream) => Change::Written(Entry::Upstream(upstream.clone())),
            Self::Gone(id) => Change::UpstreamGone {
                id: id.clone(),
                position,
            },
            Self::Evacuated(zone) => Change::Written(Entry::Evacuation {
                zone: zone.clone(),
                position,
            }),
            Self::EvacuationEnded(zone) => Change::EvacuationEnded {
                zone: zone.clone(),
                position,
            },
        }
    }
}

impl Store {
    /// Starts the script; the phases of all links count from now on.
    pub fn start_script(&self) -> Instant {
        let now = Instant::now();
        self.started.set(Some(now));
        now
    }

    /// Number of calls so far, of all daemons.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    pub fn configure(&self, table: RouteTable) {
        let table = Rc::new(table);
        self.table.replace(Some(Rc::clone(&table)));
        self.write(Event::Configured(table));
    }

    /// Publishes a registration.
    pub fn register(&self, upstream: &Upstream) {
        let written = Upstream {
            registered_at: self.next_position(),
            ..upstream.clone()
        };
        let id = written.id.clone();
        self.upstreams.borrow_mut().insert(id, written.clone());
        self.write(Event::Registered(written));
    }

    /// Removes a registration.
    pub fn remove(&self, id: &UpstreamId) {
        if self.upstreams.borrow_mut().remove(id).is_some() {
            self.write(Event::Gone(id.clone()));
        }
    }

    pub fn evacuate(&self, zone: String) {
        let position = self.next_position();
        self.evacuated.borrow_mut().insert(zone.clone(), position);
        self.write(Event::Evacuated(zone));
    }

    pub fn end_evacuation(&self, zone: String) {
        self.evacuated.borrow_mut().remove(&zone);
        self.write(Event::EvacuationEnded(zone));
    }

    /// Comes back from a copy of itself that is older than any evacuation, with a new era.
    pub fn restore(&self) {
        let Position { era, revision } = self.position.get();
        self.position.set(Position::new(era + 1, revision / 2 + 1));
        self.evacuated.borrow_mut().clear();
        self.history.borrow_mut().clear();
        self.drop_history();
        for sender in self.waiting.take() {
            // The call may have ended.
            let _ = sender.send(());
        }
    }

    /// Drops the history so far.
    pub fn drop_history(&self) {
        self.dropped_up_to.set(self.position.get());
    }

    /// Version of the configuration.
    pub fn version(&self) -> Option<u64> {
        self.table.borrow().as_ref().map(|table| table.version())
    }

    /// The current registrations.
    pub fn upstreams(&self) -> Vec<Upstream> {
        self.upstreams.borrow().values().cloned().collect()
    }

    fn next_position(&self) -> Position {
        let Position { era, revision } = self.position.get();
        Position::new(era, revision + 1)
    }

    fn write(&self, event: Event) {
        let position = self.next_position();
        self.position.set(position);
        self.history.borrow_mut().push((position, event));
        for sender in self.waiting.take() {
            // The call may have ended.
            let _ = sender.send(());
        }
    }

    /// Waits for a change after a position, until `until` at most.
    async fn wait_for_change(&self, after: Position, until: Instant) {
        if self.position.get() > after {
            return;
        }
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().push(sender);
        // A change and a timeout have the same effect.
        let _ = timeout_at(until, receiver).await;
    }

    /// Changes after a position, and their size in bytes.
    fn changes(&self, after: Position) -> Result<(Changes, usize), SourceError> {
        if after < self.dropped_up_to.get() {
            return Err(SourceError::HistoryGone);
        }
        let history = self.history.borrow();
        let later: Vec<&(Position, Event)> =
            history.iter().filter(|entry| entry.0 > after).collect();
        let size_bytes: usize = later.iter().map(|entry| entry.1.size_bytes()).sum();
        let changes = Changes {
            position: self.position.get(),
            changes: later.iter().map(|entry| entry.1.change(entry.0)).collect(),
            may_be_truncated: size_bytes >= TRUNCATED_FROM_BYTES,
        };
        Ok((changes, size_bytes))
    }

    /// All current values, and the sizes of their parts in bytes.
    fn snapshot(&self) -> (Snapshot, Vec<usize>) {
        let upstreams = self.upstreams();
        let mut sizes_bytes = vec![upstreams.len() * REGISTRATION_BYTES];
        let mut entries: Vec<Entry> = upstreams.into_iter().map(Entry::Upstream).collect();
        let evacuated = self.evacuated.borrow();
        entries.extend(evacuated.iter().map(|(zone, position)| Entry::Evacuation {
            zone: zone.clone(),
            position: *position,
        }));
        if let Some(table) = self.table.borrow().as_ref() {
            sizes_bytes.push(table_size_bytes(table));
            entries.push(Entry::Configuration(Box::new((**table).clone())));
        }
        let snapshot = Snapshot {
            position: self.position.get(),
            entries,
        };
        (snapshot, sizes_bytes)
    }
}

impl Link {
    pub fn new(store: Rc<Store>, bytes_per_s: f64, phases: Vec<Phase>) -> Self {
        Self {
            store,
            bytes_per_s,
            phases,
        }
    }

    /// The current outcome of calls.
    fn outcome(&self) -> CallOutcome {
        let Some(started) = self.store.started.get() else {
            return CallOutcome::Served;
        };
        let now = started.elapsed();
        let holds = |phase: &&Phase| phase.from <= now && now < phase.until;
        let phase = self.phases.iter().find(holds);
        phase.map_or(CallOutcome::Served, |phase| phase.outcome)
    }

    /// Makes a round trip, or fails with the current outcome of calls.
    async fn round_trip(&self, deadline: Instant) -> Result<(), SourceError> {
        sleep(ROUND_TRIP).await;
        match self.outcome() {
            CallOutcome::Served | CallOutcome::Slow { .. } => Ok(()),
            CallOutcome::Refused(status) => Err(SourceError::Refused(status)),
            CallOutcome::Failed => Err(SourceError::Failed("connection reset".to_owned())),
            CallOutcome::Silent => {
                sleep_until(deadline).await;
                Err(no_answer())
            }
            CallOutcome::Late { delay_ms } => {
                wait_for_arrival(Duration::from_millis(delay_ms), deadline).await
            }
        }
    }

    /// Transfers an answer over the link.
    async fn transfer(&self, size_bytes: usize, deadline: Instant) -> Result<(), SourceError> {
        let bytes_per_s = match self.outcome() {
            CallOutcome::Slow { bytes_per_s } => bytes_per_s,
            _ => self.bytes_per_s,
        };
        let encoded_bytes = (EMPTY_ANSWER_BYTES + size_bytes * 4 / 3) as f64;
        let time = Duration::from_secs_f64(encoded_bytes / bytes_per_s);
        wait_for_arrival(time, deadline).await
    }

    async fn read_all(&self, timeout: Duration) -> Result<Snapshot, SourceError> {
        self.round_trip(Instant::now() + timeout).await?;
        let (snapshot, sizes_bytes) = self.store.snapshot();
        for size_bytes in sizes_bytes {
            let deadline = Instant::now() + timeout;
            self.round_trip(deadline).await?;
            self.transfer(size_bytes, deadline).await?;
        }
        Ok(snapshot)
    }

    async fn watch_changes(
        &self,
        after: Position,
        wait: Duration,
        timeout: Duration,
    ) -> Result<Changes, SourceError> {
        let called_at = Instant::now();
        let deadline = called_at + wait + timeout;
        self.round_trip(deadline).await?;
        self.store.wait_for_change(after, called_at + wait).await;
        if matches!(
            self.outcome(),
            CallOutcome::Refused(_) | CallOutcome::Failed | CallOutcome::Silent
        ) {
            // The outcome of calls may have changed while this one waited.
            self.round_trip(deadline).await?;
        }
        let (changes, size_bytes) = self.store.changes(after)?;
        self.transfer(size_bytes, deadline).await?;
        Ok(changes)
    }

    fn count_call(&self) {
        self.store.calls.set(self.store.calls.get() + 1);
    }
}

impl Source for Link {
    fn read(&self, timeout: Duration) -> LocalBoxFuture<'_, Result<Snapshot, SourceError>> {
        self.count_call();
        self.read_all(timeout).boxed_local()
    }

    fn position(&self, timeout: Duration) -> LocalBoxFuture<'_, Result<Position, SourceError>> {
        self.count_call();
        async move {
            self.round_trip(Instant::now() + timeout).await?;
            Ok(self.store.position.get())
        }
        .boxed_local()
    }

    fn watch(
        &self,
        after: Position,
        wait: Duration,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<Changes, SourceError>> {
        self.count_call();
        self.watch_changes(after, wait, timeout).boxed_local()
    }
}

/// Waits for `time`, or fails at `deadline` if that comes first.
async fn wait_for_arrival(time: Duration, deadline: Instant) -> Result<(), SourceError> {
    let arrival = Instant::now() + time;
    sleep_until(arrival.min(deadline)).await;
    match arrival > deadline {
        true => Err(no_answer()),
        false => Ok(()),
    }
}

fn no_answer() -> SourceError {
    SourceError::Failed("no answer in time".to_owned())
}

fn table_size_bytes(table: &RouteTable) -> usize {
    table.route_count() * ROUTE_BYTES
}
