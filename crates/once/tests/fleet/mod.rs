//! Several daemons' `Once` in one process, with faults between them.
//!
//! Not a simulation of a cluster: an in-memory exchange with switches for loss,
//! delay, duplication, cuts and freezes, and a service that counts runs by key.
//! It is also compiled into the example `refused_share`.

#![allow(
    dead_code,
    missing_docs,
    missing_debug_implementations,
    reason = "shared by several test binaries, each of which uses a part"
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
const STEP: Duration = Duration::from_millis(1);

/// What the upstream does with an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Upstream {
    Answers,
    /// Answers with more than is kept.
    AnswersLong,
    /// Refuses the connection.
    Refuses,
    /// Runs it and breaks the link.
    Breaks,
    /// Answers after this many milliseconds.
    Slow(u64),
    /// The permit is used this many milliseconds late.
    Late(u64),
}

/// Faults of the exchange, in percent of messages and milliseconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct Noise {
    pub lost_percent: u32,
    pub doubled_percent: u32,
    pub delay_ms: u64,
}

struct Node {
    once: Once,
    alive: Rc<Cell<bool>>,
    _maintain: JoinHandle<()>,
}

pub struct Net {
    nodes: RefCell<BTreeMap<InstanceId, Node>>,
    sides: RefCell<HashMap<InstanceId, u32>>,
    frozen: RefCell<BTreeSet<InstanceId>>,
    links: RefCell<HashMap<(InstanceId, InstanceId), Option<u64>>>,
    noise: Cell<Noise>,
    random: RefCell<StdRng>,
    runs: RefCell<BTreeMap<String, u32>>,
    incarnations: Cell<u64>,
    rules: RefCell<Idempotency>,
}

struct Edge {
    net: Rc<Net>,
    me: InstanceId,
    alive: Rc<Cell<bool>>,
}

impl Transport for Edge {
    fn call(
        &self,
        to: &InstanceId,
        request: Bytes,
        _timeout: Duration,
    ) -> LocalBoxFuture<'static, Result<Bytes, TransportError>> {
        let (sender, receiver) = oneshot::channel();
        let net = Rc::clone(&self.net);
        let me = self.me.clone();
        let alive = Rc::clone(&self.alive);
        let to = to.clone();
        if net.chance(net.noise.get().doubled_percent) {
            let (unheard, _) = oneshot::channel();
            let twin = Rc::clone(&net);
            let parties = (me.clone(), to.clone());
            let alive = Rc::clone(&alive);
            let request = request.clone();
            compio::runtime::spawn(async move {
                twin.deliver(parties, request, &alive, unheard).await;
            })
            .detach();
        }
        compio::runtime::spawn(async move {
            net.deliver((me, to), request, &alive, sender).await;
        })
        .detach();
        Box::pin(async move {
            match receiver.await {
                Ok(reply) => Ok(reply),
                // Lost: the caller's own timeout ends this.
                Err(oneshot::Canceled) => pending().await,
            }
        })
    }
}

impl Net {
    async fn deliver(
        &self,
        (from, to): (InstanceId, InstanceId),
        request: Bytes,
        alive: &Cell<bool>,
        reply: oneshot::Sender<Bytes>,
    ) {
        self.pause(&from).await;
        let link = (from.clone(), to.clone());
        let delay = self.links.borrow().get(&link).copied();
        match delay {
            Some(Some(delay_ms)) => sleep(Duration::from_millis(delay_ms)).await,
            Some(None) => return,
            None => {}
        }
        if !self.passes(&from, &to) || !alive.get() {
            return;
        }
        self.pause(&to).await;
        let once = self.nodes.borrow().get(&to).map(|node| node.once.clone());
        let Some(once) = once else {
            return;
        };
        let answer = once.handle(&from, &request);
        self.pause(&to).await;
        if self.passes(&to, &from) {
            let _ = reply.send(answer);
        }
    }

    async fn pause(&self, instance: &str) {
        let delay_ms = self.noise.get().delay_ms;
        if delay_ms > 0 {
            let delay_ms = self.random.borrow_mut().random_range(0..=delay_ms);
            sleep(Duration::from_millis(delay_ms)).await;
        }
        while self.frozen.borrow().contains(instance) {
            sleep(STEP).await;
        }
    }

    fn passes(&self, from: &str, to: &str) -> bool {
        let sides = self.sides.borrow();
        sides.get(from) == sides.get(to) && !self.chance(self.noise.get().lost_percent)
    }

    fn chance(&self, percent: u32) -> bool {
        percent > 0 && self.random.borrow_mut().random_range(0..100) < percent
    }
}

#[derive(Clone)]
pub struct Fleet {
    pub net: Rc<Net>,
    pub weakness: Weakness,
    pub call_timeout: Duration,
    pub max_records: usize,
}

impl Fleet {
    /// Fleet without daemons.
    pub fn new(seed: u64) -> Self {
        Self {
            net: Rc::new(Net {
                nodes: RefCell::default(),
                sides: RefCell::default(),
                frozen: RefCell::default(),
                links: RefCell::default(),
                noise: Cell::default(),
                random: RefCell::new(StdRng::seed_from_u64(seed)),
                runs: RefCell::default(),
                incarnations: Cell::new(0),
                rules: RefCell::default(),
            }),
            weakness: Weakness::None,
            call_timeout: Duration::from_millis(25),
            max_records: 1000,
        }
    }

    /// Fleet of daemons `0..count`, for whose start an operator vouched.
    pub async fn started(count: usize, seed: u64) -> Self {
        Self::started_weak(count, seed, Weakness::None).await
    }

    pub async fn started_weak(count: usize, seed: u64, weakness: Weakness) -> Self {
        let mut fleet = Self::new(seed);
        fleet.weakness = weakness;
        fleet.start_all(count).await;
        fleet
    }

    /// Starts daemons `0..count` and vouches for them.
    pub async fn start_all(&self, count: usize) {
        for number in 0..count {
            self.start(number);
        }
        let all: Vec<usize> = (0..count).collect();
        self.list(1, &all, &all);
        self.vouch().await;
    }

    /// Says that no key was sent before now.
    pub async fn vouch(&self) {
        sleep(CLOCK_MARGIN + Duration::from_millis(5)).await;
        self.net.rules.borrow_mut().first_start_unix_ms = unix_ms();
        let rules = self.net.rules.borrow().clone();
        for node in self.net.nodes.borrow().values() {
            node.once.set_rules(&rules);
        }
    }

    /// Publishes a window before any daemon starts.
    pub fn publish_window(&self, window_ms: u64) {
        *self.net.rules.borrow_mut() = Idempotency {
            window_ms,
            first_start_unix_ms: 0,
        };
    }

    /// Starts a new life of daemon `number`, without a list.
    pub fn start(&self, number: usize) {
        let instance = name(number);
        self.net.incarnations.set(self.net.incarnations.get() + 1);
        let options = OnceOptions::new(instance.clone(), self.net.incarnations.get())
            .call_timeout(self.call_timeout)
            .patience(Duration::from_millis(250))
            .poll_interval(Duration::from_millis(2))
            .clock_margin(CLOCK_MARGIN)
            .run_start_limit(Duration::from_millis(500))
            .hand_over_limit(Duration::from_millis(500))
            .max_answer_bytes(64)
            .max_records(self.max_records)
            .weaken(self.weakness);
        let alive = Rc::new(Cell::new(true));
        let edge = Edge {
            net: Rc::clone(&self.net),
            me: instance.clone(),
            alive: Rc::clone(&alive),
        };
        let once = Once::new(options, Rc::new(edge));
        once.set_rules(&self.net.rules.borrow());
        let maintain = compio::runtime::spawn(once.maintain());
        let node = Node {
            once,
            alive,
            _maintain: maintain,
        };
        self.net.nodes.borrow_mut().insert(instance, node);
    }

    /// Kills daemon `number`: it neither sends nor answers any more.
    pub fn kill(&self, number: usize) {
        let node = self.net.nodes.borrow_mut().remove(&name(number));
        if let Some(node) = node {
            node.alive.set(false);
        }
    }

    /// Gives daemons `to` the list `revision` of daemons `listed`.
    pub fn list(&self, revision: u64, listed: &[usize], to: &[usize]) {
        let voters = listed.iter().map(|number| ListedInstance {
            instance: name(*number),
            availability_zone: format!("hall-{}", number % 3),
        });
        let view = VoterView {
            list_revision: revision,
            listed: voters.collect(),
        };
        for number in to {
            if let Some(node) = self.net.nodes.borrow().get(&name(*number)) {
                node.once.set_view(&view);
            }
        }
    }

    /// Waits until those of daemons `numbers` that are voters may vote; false
    /// after a while.
    pub async fn settle(&self, numbers: &[usize]) -> bool {
        for _ in 0..500 {
            let fit = numbers.iter().filter(|number| {
                let status = self.once(**number).map(|once| once.status());
                let fit =
                    |status: Status| status.established || !status.voters.contains(&name(**number));
                status.is_some_and(fit)
            });
            if fit.count() == numbers.len() {
                return true;
            }
            sleep(Duration::from_millis(2)).await;
        }
        false
    }

    /// Cuts the daemons in `away` off from all others.
    pub fn cut(&self, away: &[usize]) {
        let mut sides = self.net.sides.borrow_mut();
        for number in 0..64 {
            sides.insert(name(number), u32::from(away.contains(&number)));
        }
    }

    pub fn heal(&self) {
        self.cut(&[]);
    }

    pub fn noise(&self, noise: Noise) {
        self.net.noise.set(noise);
    }

    /// Delays all requests on one link, or loses them.
    pub fn delay_link(&self, from: usize, to: usize, delay_ms: Option<u64>) {
        let mut links = self.net.links.borrow_mut();
        links.insert((name(from), name(to)), delay_ms);
    }

    pub fn freeze(&self, number: usize) {
        self.net.frozen.borrow_mut().insert(name(number));
    }

    pub fn thaw(&self, number: usize) {
        self.net.frozen.borrow_mut().remove(&name(number));
    }

    pub fn once(&self, number: usize) -> Option<Once> {
        let nodes = self.net.nodes.borrow();
        nodes.get(&name(number)).map(|node| node.once.clone())
    }

    /// How often the service ran `key`.
    pub fn runs(&self, key: &str) -> u32 {
        self.net.runs.borrow().get(key).copied().unwrap_or(0)
    }

    pub fn violations(&self) -> u64 {
        let nodes = self.net.nodes.borrow();
        nodes
            .values()
            .map(|node| node.once.counters().violations)
            .sum()
    }

    /// Sends an order by daemon `number`; `None` when it is dead by the end.
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
            let nodes = self.net.nodes.borrow();
            let node = nodes.get(&instance)?;
            (node.once.clone(), Rc::clone(&node.alive))
        };
        let order = Order {
            organisation: "tuul".to_owned(),
            key: key.to_owned(),
            fingerprint: Fingerprint::of("POST", "/toner", body.as_bytes()),
        };
        let deadline = Instant::now() + Duration::from_millis(400);
        let net = Rc::clone(&self.net);
        let living = Rc::clone(&alive);
        let key = key.to_owned();
        let run = async move |permit| net.run(&instance, &living, key, permit, upstream).await;
        let decision = once.execute(order, deadline, run).await;
        alive.get().then_some(decision)
    }
}

impl Net {
    async fn run(
        &self,
        instance: &str,
        alive: &Cell<bool>,
        key: String,
        permit: RunPermit,
        upstream: Upstream,
    ) -> RunOutcome {
        self.pause(instance).await;
        if let Upstream::Late(late_ms) = upstream {
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
        self.pause(instance).await;
        if upstream == Upstream::Breaks {
            let reason = "the link broke".to_owned();
            return RunOutcome::Unknown { reason };
        }
        let body: &[u8] = match upstream {
            Upstream::AnswersLong => &[b'x'; 65],
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

/// UUIDv7 of now.
pub fn time_key() -> String {
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
