//! The `Once` handles of several daemons in one process, with faults between them.
//!
//! Provides an in-memory transport with switches for loss, delay, duplication,
//! partitions and freezes, and a service that counts the runs of each key. Also
//! compiled into the example `refused_share`.

#![allow(
    dead_code,
    missing_docs,
    missing_debug_implementations,
    reason = "shared by several test binaries, each of which uses only some items"
)]

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::future::pending;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use compio::runtime::JoinHandle;
use compio::time::sleep;
use futures_channel::oneshot;
use futures_util::future::LocalBoxFuture;
use mangofront_once::*;
use mangofront_settings::ids::InstanceId;
use mangofront_settings::published::Idempotency;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use uuid::{NoContext, Timestamp, Uuid};

pub const CLOCK_MARGIN: Duration = Duration::from_millis(20);
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Behaviour of the upstream for one order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Upstream {
    Answers,
    /// Answers with a body larger than the limit for complete answers.
    AnswersLarge,
    /// Refuses the connection.
    Refuses,
    /// Runs the order and breaks the connection.
    BreaksConnection,
    /// Answers after this many milliseconds.
    Slow(u64),
    /// The run begins after this many milliseconds.
    StartsLate(u64),
}

/// Faults of all links, in percent of messages and in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct LinkFaults {
    pub lost_percent: u32,
    pub duplicated_percent: u32,
    pub delay_ms: u64,
}

struct Node {
    once: Once,
    alive: Rc<Cell<bool>>,
    _maintenance: JoinHandle<()>,
}

pub struct Network {
    nodes: RefCell<BTreeMap<InstanceId, Node>>,
    partitions: RefCell<HashMap<InstanceId, u32>>,
    frozen: RefCell<BTreeSet<InstanceId>>,
    links: RefCell<HashMap<(InstanceId, InstanceId), Option<u64>>>,
    link_faults: Cell<LinkFaults>,
    random: RefCell<StdRng>,
    runs: RefCell<BTreeMap<String, u32>>,
    incarnations: Cell<u64>,
    rules: RefCell<Idempotency>,
}

struct TestTransport {
    network: Rc<Network>,
    own_instance: InstanceId,
    alive: Rc<Cell<bool>>,
}

impl Transport for TestTransport {
    fn call(
        &self,
        to: &InstanceId,
        request: Bytes,
        _timeout: Duration,
    ) -> LocalBoxFuture<'static, Result<Bytes, TransportError>> {
        let (sender, receiver) = oneshot::channel();
        let network = Rc::clone(&self.network);
        let from = self.own_instance.clone();
        let alive = Rc::clone(&self.alive);
        let to = to.clone();
        if network.chance(network.link_faults.get().duplicated_percent) {
            let (unused_sender, _) = oneshot::channel();
            let duplicate = Rc::clone(&network);
            let link = (from.clone(), to.clone());
            let alive = Rc::clone(&alive);
            let request = request.clone();
            compio::runtime::spawn(async move {
                duplicate
                    .deliver(link, request, &alive, unused_sender)
                    .await;
            })
            .detach();
        }
        compio::runtime::spawn(async move {
            network.deliver((from, to), request, &alive, sender).await;
        })
        .detach();
        Box::pin(async move {
            match receiver.await {
                Ok(reply) => Ok(reply),
                // The message was lost: the caller times out.
                Err(oneshot::Canceled) => pending().await,
            }
        })
    }
}

impl Network {
    async fn deliver(
        &self,
        (from, to): (InstanceId, InstanceId),
        request: Bytes,
        alive: &Cell<bool>,
        reply: oneshot::Sender<Bytes>,
    ) {
        self.delay(&from).await;
        let link = (from.clone(), to.clone());
        let delay = self.links.borrow().get(&link).copied();
        match delay {
            Some(Some(delay_ms)) => sleep(Duration::from_millis(delay_ms)).await,
            Some(None) => return,
            None => {}
        }
        if !self.is_delivered(&from, &to) || !alive.get() {
            return;
        }
        self.delay(&to).await;
        let once = self.nodes.borrow().get(&to).map(|node| node.once.clone());
        let Some(once) = once else {
            return;
        };
        let answer = once.handle(&from, &request);
        self.delay(&to).await;
        if self.is_delivered(&to, &from) {
            let _ = reply.send(answer);
        }
    }

    /// Waits for a random delay, and while `instance` is frozen.
    async fn delay(&self, instance: &str) {
        let delay_ms = self.link_faults.get().delay_ms;
        if delay_ms > 0 {
            let delay_ms = self.random.borrow_mut().random_range(0..=delay_ms);
            sleep(Duration::from_millis(delay_ms)).await;
        }
        while self.frozen.borrow().contains(instance) {
            sleep(FREEZE_POLL_INTERVAL).await;
        }
    }

    fn is_delivered(&self, from: &str, to: &str) -> bool {
        let partitions = self.partitions.borrow();
        partitions.get(from) == partitions.get(to)
            && !self.chance(self.link_faults.get().lost_percent)
    }

    fn chance(&self, percent: u32) -> bool {
        percent > 0 && self.random.borrow_mut().random_range(0..100) < percent
    }
}

#[derive(Clone)]
pub struct Fleet {
    pub network: Rc<Network>,
    pub disabled: DisabledSafeguard,
    pub call_timeout: Duration,
    pub max_records: usize,
}

impl Fleet {
    /// A fleet without daemons.
    pub fn new(seed: u64) -> Self {
        Self {
            network: Rc::new(Network {
                nodes: RefCell::default(),
                partitions: RefCell::default(),
                frozen: RefCell::default(),
                links: RefCell::default(),
                link_faults: Cell::default(),
                random: RefCell::new(StdRng::seed_from_u64(seed)),
                runs: RefCell::default(),
                incarnations: Cell::new(0),
                rules: RefCell::default(),
            }),
            disabled: DisabledSafeguard::None,
            call_timeout: Duration::from_millis(25),
            max_records: 1000,
        }
    }

    /// A fleet of daemons `0..count`, whose start an operator has confirmed.
    pub async fn started(count: usize, seed: u64) -> Self {
        Self::started_without(count, seed, DisabledSafeguard::None).await
    }

    pub async fn started_without(count: usize, seed: u64, disabled: DisabledSafeguard) -> Self {
        let mut fleet = Self::new(seed);
        fleet.disabled = disabled;
        fleet.start_all(count).await;
        fleet
    }

    /// Starts daemons `0..count` and confirms their start.
    pub async fn start_all(&self, count: usize) {
        for number in 0..count {
            self.start(number);
        }
        let all: Vec<usize> = (0..count).collect();
        self.set_list(1, &all, &all);
        self.confirm_start().await;
    }

    /// Confirms as an operator that no key was sent before now.
    pub async fn confirm_start(&self) {
        sleep(CLOCK_MARGIN + Duration::from_millis(5)).await;
        self.network.rules.borrow_mut().first_start_unix_ms = unix_ms();
        let rules = self.network.rules.borrow().clone();
        for node in self.network.nodes.borrow().values() {
            node.once.set_rules(&rules);
        }
    }

    /// Sets the published window; to be called before any daemon starts.
    pub fn publish_window(&self, window_ms: u64) {
        *self.network.rules.borrow_mut() = Idempotency {
            window_ms,
            first_start_unix_ms: 0,
        };
    }

    /// Starts a new incarnation of daemon `number`, without an instance list.
    pub fn start(&self, number: usize) {
        let instance = name(number);
        self.network
            .incarnations
            .set(self.network.incarnations.get() + 1);
        let options = OnceOptions::new(instance.clone(), self.network.incarnations.get())
            .call_timeout(self.call_timeout)
            .claim_timeout(Duration::from_millis(250))
            .poll_interval(Duration::from_millis(2))
            .clock_margin(CLOCK_MARGIN)
            .run_start_limit(Duration::from_millis(500))
            .hand_over_limit(Duration::from_millis(500))
            .max_answer_bytes(64)
            .max_records(self.max_records)
            .disable(self.disabled);
        let alive = Rc::new(Cell::new(true));
        let transport = TestTransport {
            network: Rc::clone(&self.network),
            own_instance: instance.clone(),
            alive: Rc::clone(&alive),
        };
        let once = Once::new(options, Rc::new(transport));
        once.set_rules(&self.network.rules.borrow());
        let maintenance = compio::runtime::spawn(once.maintain());
        let node = Node {
            once,
            alive,
            _maintenance: maintenance,
        };
        self.network.nodes.borrow_mut().insert(instance, node);
    }

    /// Kills daemon `number`: it neither sends nor replies any more.
    pub fn kill(&self, number: usize) {
        let node = self.network.nodes.borrow_mut().remove(&name(number));
        if let Some(node) = node {
            node.alive.set(false);
        }
    }

    /// Sets the instance list of daemons `to`: daemons `listed` at `revision`.
    pub fn set_list(&self, revision: u64, listed: &[usize], to: &[usize]) {
        let instances = listed.iter().map(|number| ListedInstance {
            instance: name(*number),
            availability_zone: format!("hall-{}", number % 3),
        });
        let view = VoterView {
            list_revision: revision,
            listed: instances.collect(),
        };
        for number in to {
            if let Some(node) = self.network.nodes.borrow().get(&name(*number)) {
                node.once.set_view(&view);
            }
        }
    }

    /// Waits until those of daemons `numbers` that are voters are established;
    /// returns false on a timeout.
    pub async fn wait_until_established(&self, numbers: &[usize]) -> bool {
        for _ in 0..500 {
            let ready = numbers.iter().filter(|number| {
                let status = self.once(**number).map(|once| once.status());
                let is_ready =
                    |status: Status| status.established || !status.voters.contains(&name(**number));
                status.is_some_and(is_ready)
            });
            if ready.count() == numbers.len() {
                return true;
            }
            sleep(Duration::from_millis(2)).await;
        }
        false
    }

    /// Isolates the daemons in `isolated` from all others.
    pub fn partition(&self, isolated: &[usize]) {
        let mut partitions = self.network.partitions.borrow_mut();
        for number in 0..64 {
            partitions.insert(name(number), u32::from(isolated.contains(&number)));
        }
    }

    pub fn heal(&self) {
        self.partition(&[]);
    }

    pub fn set_link_faults(&self, link_faults: LinkFaults) {
        self.network.link_faults.set(link_faults);
    }

    /// Delays all requests on one link; `None` drops them.
    pub fn delay_link(&self, from: usize, to: usize, delay_ms: Option<u64>) {
        let mut links = self.network.links.borrow_mut();
        links.insert((name(from), name(to)), delay_ms);
    }

    pub fn freeze(&self, number: usize) {
        self.network.frozen.borrow_mut().insert(name(number));
    }

    pub fn unfreeze(&self, number: usize) {
        self.network.frozen.borrow_mut().remove(&name(number));
    }

    pub fn once(&self, number: usize) -> Option<Once> {
        let nodes = self.network.nodes.borrow();
        nodes.get(&name(number)).map(|node| node.once.clone())
    }

    /// Number of times that the service ran `key`.
    pub fn runs(&self, key: &str) -> u32 {
        self.network.runs.borrow().get(key).copied().unwrap_or(0)
    }

    pub fn violations(&self) -> u64 {
        let nodes = self.network.nodes.borrow();
        nodes
            .values()
            .map(|node| node.once.counters().violations)
            .sum()
    }

    /// Sends an order through daemon `number`; `None` when the daemon was killed.
    pub async fn order(&self, number: usize, key: &str, upstream: Upstream) -> Option<Decision> {
        self.order_as(number, key, "body", upstream).await
    }

    pub async fn order_as(
        &self,
        number: usize,
        key: &str,
        body: &str,
        upstream: Upstream,
    ) -> Option<Decision> {
        let instance = name(number);
        let (once, alive) = {
            let nodes = self.network.nodes.borrow();
            let node = nodes.get(&instance)?;
            (node.once.clone(), Rc::clone(&node.alive))
        };
        let order = Order {
            organisation: "tuul".to_owned(),
            key: key.to_owned(),
            fingerprint: Fingerprint::of("POST", "/toner", body.as_bytes()),
        };
        let deadline = Instant::now() + Duration::from_millis(400);
        let network = Rc::clone(&self.network);
        let sender_alive = Rc::clone(&alive);
        let key = key.to_owned();
        let run = async move |permit| {
            network
                .run(&instance, &sender_alive, key, permit, upstream)
                .await
        };
        let decision = once.execute(order, deadline, run).await;
        alive.get().then_some(decision)
    }
}

impl Network {
    async fn run(
        &self,
        instance: &str,
        alive: &Cell<bool>,
        key: String,
        permit: RunPermit,
        upstream: Upstream,
    ) -> RunOutcome {
        self.delay(instance).await;
        if let Upstream::StartsLate(late_ms) = upstream {
            sleep(Duration::from_millis(late_ms)).await;
        }
        if !alive.get() {
            return pending().await;
        }
        if let Err(error) = permit.begin() {
            let reason = error.to_string();
            return RunOutcome::NotStarted { reason };
        }
        if upstream == Upstream::Refuses {
            let reason = "connection refused".to_owned();
            return RunOutcome::NotStarted { reason };
        }
        *self.runs.borrow_mut().entry(key).or_default() += 1;
        if let Upstream::Slow(slow_ms) = upstream {
            sleep(Duration::from_millis(slow_ms)).await;
        }
        self.delay(instance).await;
        if upstream == Upstream::BreaksConnection {
            let reason = "the link broke".to_owned();
            return RunOutcome::Unknown { reason };
        }
        let body: &[u8] = match upstream {
            Upstream::AnswersLarge => &[b'x'; 65],
            _ => b"ordered",
        };
        RunOutcome::Answered(Answer {
            status: 200,
            headers: Vec::new(),
            body: Bytes::from_static(body),
        })
    }
}

pub fn name(number: usize) -> InstanceId {
    format!("entry-{number}")
}

/// A UUIDv7 with the current time.
pub fn uuid_v7_key() -> String {
    let now_ms = unix_ms();
    let nanoseconds = (now_ms % 1000) as u32 * 1_000_000;
    let timestamp = Timestamp::from_unix(NoContext, now_ms / 1000, nanoseconds);
    Uuid::new_v7(timestamp).to_string()
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}

pub fn is_answer(decision: &Option<Decision>) -> bool {
    matches!(decision, Some(Decision::Answer(_)))
}

pub fn is_replay(decision: &Option<Decision>) -> bool {
    matches!(decision, Some(Decision::Replay { .. }))
}

pub fn is_not_run(decision: &Option<Decision>) -> bool {
    matches!(decision, Some(Decision::NotRun { .. }))
}

pub fn is_unknown(decision: &Option<Decision>) -> bool {
    matches!(decision, Some(Decision::Unknown { .. }))
}
