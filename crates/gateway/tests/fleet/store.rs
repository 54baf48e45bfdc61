//! A store of published values in memory, and the line of each daemon to it.

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

/// Time for a call and its answer to cross the network.
const ROUND_TRIP: Duration = Duration::from_millis(2);

/// Size of a route in a configuration, in bytes.
const ROUTE_BYTES: usize = 300;

/// Size of a registration, in bytes.
const REGISTRATION_BYTES: usize = 250;

/// Size of an answer without values, in bytes.
const EMPTY_ANSWER_BYTES: usize = 100;

/// Bytes of values from which an answer to a watch may have been cut.
const CUT_FROM_BYTES: usize = 512 * 1024;

/// How the calls of one daemon go.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Way {
    /// Answered at once.
    Served,
    /// Refused at once with a status.
    Refused(StatusCode),
    /// The connection breaks at once.
    Failed,
    /// Never answered within its timeout.
    Silent,
    /// Answered through a link of this speed.
    Slow { bytes_per_s: f64 },
    /// Answered this much later.
    Late { delay_ms: u64 },
}

/// A way that holds for a while, in time since the start of the script.
#[derive(Debug, Clone, Copy)]
pub struct Stretch {
    pub from: Duration,
    pub until: Duration,
    pub way: Way,
}

/// One change in the history.
#[derive(Debug, Clone)]
pub enum Event {
    Configured(Rc<RouteTable>),
    Registered(Upstream),
    Gone(UpstreamId),
}

/// All that is published.
#[derive(Debug, Default)]
pub struct Store {
    history: RefCell<Vec<(Position, Event)>>,
    position: Cell<Position>,
    /// Changes up to it are no longer kept.
    dropped_up_to: Cell<Position>,
    table: RefCell<Option<Rc<RouteTable>>>,
    upstreams: RefCell<BTreeMap<UpstreamId, Upstream>>,
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
    /// When the script began.
    started: Cell<Option<Instant>>,
    calls: Cell<u64>,
}

/// One daemon's line to the store.
#[derive(Debug)]
pub struct Line {
    store: Rc<Store>,
    /// Speed of the link, in bytes per second, where no stretch sets another.
    bytes_per_s: f64,
    stretches: Vec<Stretch>,
}

impl Event {
    fn size_bytes(&self) -> usize {
        match self {
            Self::Configured(table) => table_size_bytes(table),
            Self::Registered(_) => REGISTRATION_BYTES,
            Self::Gone(_) => EMPTY_ANSWER_BYTES,
        }
    }

    /// The change as a source tells it.
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
        }
    }
}

impl Store {
    /// Begins the script; the stretches of all lines count from now on.
    pub fn start_script(&self) -> Instant {
        let now = Instant::now();
        self.started.set(Some(now));
        now
    }

    /// Calls so far, of all daemons.
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
            registered_at: self.position.get() + 1,
            ..upstream.clone()
        };
        let id = written.id.clone();
        self.upstreams.borrow_mut().insert(id, written.clone());
        self.write(Event::Registered(written));
    }

    /// Takes back a registration.
    pub fn remove(&self, id: &UpstreamId) {
        if self.upstreams.borrow_mut().remove(id).is_some() {
            self.write(Event::Gone(id.clone()));
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

    /// Registrations as they are now.
    pub fn upstreams(&self) -> Vec<Upstream> {
        self.upstreams.borrow().values().cloned().collect()
    }

    fn write(&self, event: Event) {
        let position = self.position.get() + 1;
        self.position.set(position);
        self.history.borrow_mut().push((position, event));
        for waiting in self.waiting.take() {
            // Its call may have ended.
            let _ = waiting.send(());
        }
    }

    /// Waits for a change after a position until a moment.
    async fn wait_for_change(&self, after: Position, until: Instant) {
        if self.position.get() > after {
            return;
        }
        let (wake, woken) = oneshot::channel();
        self.waiting.borrow_mut().push(wake);
        // Both a change and the end of the time lead to an answer.
        let _ = timeout_at(until, woken).await;
    }

    /// Changes after a position, and their size in bytes.
    fn changes(&self, after: Position) -> Result<(Changes, usize), SourceError> {
        if after < self.dropped_up_to.get() {
            return Err(SourceError::HistoryGone);
        }
        let history = self.history.borrow();
        let later: Vec<&(Position, Event)> = history.iter().filter(|one| one.0 > after).collect();
        let size_bytes: usize = later.iter().map(|one| one.1.size_bytes()).sum();
        let changes = Changes {
            position: self.position.get(),
            changes: later.iter().map(|one| one.1.change(one.0)).collect(),
            may_be_truncated: size_bytes >= CUT_FROM_BYTES,
        };
        Ok((changes, size_bytes))
    }

    /// Everything as it is now, and the sizes of its parts in bytes.
    fn snapshot(&self) -> (Snapshot, Vec<usize>) {
        let upstreams = self.upstreams();
        let mut sizes_bytes = vec![upstreams.len() * REGISTRATION_BYTES];
        let mut entries: Vec<Entry> = upstreams.into_iter().map(Entry::Upstream).collect();
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

impl Line {
    pub fn new(store: Rc<Store>, bytes_per_s: f64, stretches: Vec<Stretch>) -> Self {
        Self {
            store,
            bytes_per_s,
            stretches,
        }
    }

    /// How calls go now.
    fn way(&self) -> Way {
        let Some(started) = self.store.started.get() else {
            return Way::Served;
        };
        let now = started.elapsed();
        let holds = |stretch: &&Stretch| stretch.from <= now && now < stretch.until;
        let stretch = self.stretches.iter().find(holds);
        stretch.map_or(Way::Served, |stretch| stretch.way)
    }

    /// Reaches the store, or fails by the way in which calls go now.
    async fn reach(&self, deadline: Instant) -> Result<(), SourceError> {
        sleep(ROUND_TRIP).await;
        match self.way() {
            Way::Served | Way::Slow { .. } => Ok(()),
            Way::Refused(status) => Err(SourceError::Refused(status)),
            Way::Failed => Err(SourceError::Failed("connection reset".to_owned())),
            Way::Silent => {
                sleep_until(deadline).await;
                Err(no_answer())
            }
            Way::Late { delay_ms } => arrive(Duration::from_millis(delay_ms), deadline).await,
        }
    }

    /// Brings an answer over the link.
    async fn transfer(&self, size_bytes: usize, deadline: Instant) -> Result<(), SourceError> {
        let bytes_per_s = match self.way() {
            Way::Slow { bytes_per_s } => bytes_per_s,
            _ => self.bytes_per_s,
        };
        let encoded_bytes = (EMPTY_ANSWER_BYTES + size_bytes * 4 / 3) as f64;
        let time = Duration::from_secs_f64(encoded_bytes / bytes_per_s);
        arrive(time, deadline).await
    }

    async fn read_all(&self, timeout: Duration) -> Result<Snapshot, SourceError> {
        self.reach(Instant::now() + timeout).await?;
        let (snapshot, sizes_bytes) = self.store.snapshot();
        for size_bytes in sizes_bytes {
            let deadline = Instant::now() + timeout;
            self.reach(deadline).await?;
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
        let asked = Instant::now();
        let deadline = asked + wait + timeout;
        self.reach(deadline).await?;
        self.store.wait_for_change(after, asked + wait).await;
        if matches!(self.way(), Way::Refused(_) | Way::Failed | Way::Silent) {
            // Calls began to go badly while this one waited.
            self.reach(deadline).await?;
        }
        let (changes, size_bytes) = self.store.changes(after)?;
        self.transfer(size_bytes, deadline).await?;
        Ok(changes)
    }

    fn count_call(&self) {
        self.store.calls.set(self.store.calls.get() + 1);
    }
}

impl Source for Line {
    fn read(&self, timeout: Duration) -> LocalBoxFuture<'_, Result<Snapshot, SourceError>> {
        self.count_call();
        self.read_all(timeout).boxed_local()
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

/// Takes `time`, and fails where that is longer than until `deadline`.
async fn arrive(time: Duration, deadline: Instant) -> Result<(), SourceError> {
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
