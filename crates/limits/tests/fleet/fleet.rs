//! Daemons, the messages between them, and faults.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::time::Duration;

use mangofront_limits::{
    ColdObservation, Coordinator, FleetSize, FleetView, LimitOptions, Moment, Permit,
    PermitDecision, PermitRequest, Permits, RateLimit, ShareLender, WarmUps,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::PLAYED;

const GROUP: &str = "zone-0";
pub const UPSTREAM: u64 = 7;

/// Time of the fleet before the limit is named.
pub const BEFORE: Duration = Duration::from_secs(10);

/// Time in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time from the naming of the limit after which it holds.
const SETTLING_TIME: Duration = Duration::from_secs(1);

/// Requests per second for each one that the limit allows.
const DEMAND: f64 = 4.0;

/// Longest time that a request waits for a permit.
const MAX_WAIT: Duration = Duration::from_secs(1);

const ROUND: Duration = Duration::from_millis(100);
const SHARE_PERIOD: Duration = Duration::from_secs(1);

/// Rounds after which a daemon counts those that it sees.
const ROUNDS_PER_COUNT: u64 = 20;

/// How the limit is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Each daemon keeps an equal share of the limit alone.
    EqualShares,
    /// The coordinator grants the whole limit.
    OneCoordinator,
    /// The coordinator grants the shares that are lent to it.
    LentShares,
}

/// A fault; times are from the naming of the limit.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// Zones can't reach each other.
    CutZones { at_s: f64, for_s: f64 },
    /// Part of the daemons is suspended.
    Freeze { at_s: f64, for_s: f64, share: f64 },
    /// Part of the daemons is killed and starts again.
    Restart { at_s: f64, share: f64 },
    /// Messages are lost, doubled and late.
    Lossy { at_s: f64, for_s: f64 },
    /// The daemon that coordinates ends without a word.
    KillCoordinator { at_s: f64 },
    /// All daemons are killed. Those whose numbers are below `dark`, which all others list, stay
    /// down for good; the others start again, and each knows nobody until `meet_s` later, when the
    /// list names daemons that run.
    RestartStrangers { at_s: f64, dark: usize, meet_s: f64 },
}

/// A limit that is the rate of a cold upstream, rather than one that it names.
#[derive(Debug, Clone, Copy)]
pub struct ColdScript {
    /// Part of the daemons that hear of the upstream only after `late_s`.
    pub late_share: f64,
    pub late_s: f64,
    /// Time for which it is cold.
    pub cold_s: f64,
    /// When it is cold again, for as long.
    pub again_at_s: Option<f64>,
    /// Whether daemons save permits to use them at one moment, some beyond their lifetime.
    pub saves_permits: bool,
}

/// What is played.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub policy: Policy,
    pub daemons: usize,
    pub zones: usize,
    pub limit_per_s: f64,
    pub faults: Vec<Fault>,
    pub cold: Option<ColdScript>,
    pub seed: u64,
}

/// What the upstream got.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    pub limit_per_s: f64,
    pub worst_window: usize,
    /// Part of what the limit allows that was used.
    pub used: f64,
}

#[derive(Debug, Clone)]
pub(crate) enum Message {
    AskShare {
        nonce: u64,
        fleet: usize,
    },
    LendShare {
        nonce: u64,
        fleet: usize,
    },
    AskPermit {
        nonce: u64,
        max_wait: Duration,
        cold: Option<ColdObservation>,
    },
    Decided {
        nonce: u64,
        decision: PermitDecision,
    },
    Cold(ColdObservation),
}

#[derive(Debug, Clone)]
pub(crate) enum Event {
    Deliver {
        from: usize,
        to: usize,
        message: Message,
        incarnation: u64,
    },
    Request {
        daemon: usize,
    },
    Send {
        daemon: usize,
        incarnation: u64,
        permit: Permit,
    },
    Round {
        daemon: usize,
    },
    SetView {
        daemon: usize,
    },
    CutZones(bool),
    Lossy(bool),
    Freeze {
        share: f64,
        time: Duration,
    },
    Restart {
        share: f64,
    },
    KillCoordinator,
    RestartStrangers {
        dark: usize,
        meet_after: Duration,
    },
    /// A daemon hears of the upstream, which has been cold since [`BEFORE`].
    Register {
        daemon: usize,
    },
    /// An answer tells a daemon that the upstream is cold again.
    ColdAgain,
}

pub(crate) struct Daemon {
    incarnation: u64,
    lender: ShareLender,
    grants: Coordinator,
    permits: Permits,
    fleet: FleetSize,
    pub(crate) warm_ups: WarmUps,
    /// Whether it has heard of the upstream.
    pub(crate) is_registered: bool,
    /// Daemons that it believes to be running.
    view: Vec<usize>,
    /// Daemons that it lists and that have never answered.
    unanswered: BTreeSet<u64>,
    coordinator: usize,
    rounds: u64,
    pub(crate) frozen_until: Moment,
    questions: HashMap<u64, Moment>,
    requests: HashMap<u64, (Moment, Duration)>,
    /// Theoretical time of the next request, for [`Policy::EqualShares`].
    next: Moment,
}

/// A fleet and what it has sent.
pub struct Fleet {
    pub(crate) scenario: Scenario,
    pub(crate) random: StdRng,
    pub(crate) now: Moment,
    queue: BinaryHeap<Reverse<(Moment, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    next_nonce: u64,
    pub(crate) daemons: Vec<Daemon>,
    is_cut: bool,
    is_lossy: bool,
    sent: Vec<Moment>,
}

impl Daemon {
    fn new(index: usize, incarnation: u64, now: Moment) -> Self {
        let options = LimitOptions::default();
        Self {
            incarnation,
            lender: ShareLender::new(options.clone(), now),
            grants: Coordinator::new(options.clone()),
            permits: Permits::new(options.clone()),
            fleet: FleetSize::new(options, index as u64, now),
            warm_ups: WarmUps::default(),
            is_registered: false,
            view: vec![index],
            unanswered: BTreeSet::new(),
            coordinator: index,
            rounds: 0,
            frozen_until: Moment::ZERO,
            questions: HashMap::new(),
            requests: HashMap::new(),
            next: now,
        }
    }
}

impl Fleet {
    pub fn new(scenario: Scenario) -> Self {
        let daemons = (0..scenario.daemons).map(|index| {
            let mut daemon = Daemon::new(index, 1, Moment::ZERO);
            daemon.view = (0..scenario.daemons).collect();
            daemon.coordinator = select_coordinator(&daemon.view, scenario.zones);
            daemon
        });
        Self {
            random: StdRng::seed_from_u64(scenario.seed),
            now: Moment::ZERO,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            next_nonce: 0,
            daemons: daemons.collect(),
            is_cut: false,
            is_lossy: false,
            sent: Vec::new(),
            scenario,
        }
    }

    /// Plays the scenario.
    pub fn play(self) -> Outcome {
        self.play_all().outcome()
    }

    /// Plays the scenario; returns when requests were sent.
    pub fn sends(self) -> Vec<Moment> {
        self.play_all().sent
    }

    fn play_all(mut self) -> Self {
        for daemon in 0..self.daemons.len() {
            let phase = ROUND.mul_f64(self.random.random());
            self.schedule(phase, Event::Round { daemon });
            let news = Duration::from_millis(self.random.random_range(1..115));
            let first = BEFORE + news + self.draw_pause();
            self.schedule(first, Event::Request { daemon });
        }
        self.schedule_cold();
        for fault in self.scenario.faults.clone() {
            self.schedule_fault(fault);
        }
        let end = BEFORE + PLAYED;
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at >= end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
        self
    }

    fn outcome(&self) -> Outcome {
        let from = BEFORE + SETTLING_TIME;
        let starts = self.sent.iter().filter(|at| **at >= from);
        let in_window = |start: &Moment| {
            let window = *start..*start + WINDOW;
            self.sent.iter().filter(|at| window.contains(at)).count()
        };
        let counted = self.sent.iter().filter(|at| **at >= from).count();
        let allowed = self.scenario.limit_per_s * (PLAYED - SETTLING_TIME).as_secs_f64();
        Outcome {
            limit_per_s: self.scenario.limit_per_s,
            worst_window: starts.map(in_window).max().unwrap_or_default(),
            used: counted as f64 / allowed,
        }
    }

    pub(crate) fn schedule(&mut self, at: Moment, event: Event) {
        self.next_event += 1;
        self.queue.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, event);
    }

    fn schedule_fault(&mut self, fault: Fault) {
        let at = |at_s: f64| BEFORE + Duration::from_secs_f64(at_s);
        match fault {
            Fault::CutZones { at_s, for_s } => {
                self.schedule(at(at_s), Event::CutZones(true));
                self.schedule(at(at_s + for_s), Event::CutZones(false));
            }
            Fault::Lossy { at_s, for_s } => {
                self.schedule(at(at_s), Event::Lossy(true));
                self.schedule(at(at_s + for_s), Event::Lossy(false));
            }
            Fault::Freeze { at_s, for_s, share } => {
                let time = Duration::from_secs_f64(for_s);
                self.schedule(at(at_s), Event::Freeze { share, time });
            }
            Fault::Restart { at_s, share } => self.schedule(at(at_s), Event::Restart { share }),
            Fault::KillCoordinator { at_s } => self.schedule(at(at_s), Event::KillCoordinator),
            Fault::RestartStrangers { at_s, dark, meet_s } => {
                let meet_after = Duration::from_secs_f64(meet_s);
                let event = Event::RestartStrangers { dark, meet_after };
                self.schedule(at(at_s), event);
            }
        }
    }

    fn zone(&self, daemon: usize) -> usize {
        daemon % self.scenario.zones
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        !self.is_cut || self.zone(from) == self.zone(to)
    }

    /// The time after which daemons notice that others can't be reached or are back.
    fn schedule_views(&mut self) {
        for daemon in 0..self.daemons.len() {
            let notice = Duration::from_millis(self.random.random_range(800..3_500));
            self.schedule(self.now + notice, Event::SetView { daemon });
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(daemon) = daemon_of(&event) {
            let frozen_until = self.daemons[daemon].frozen_until;
            if self.now < frozen_until {
                return self.schedule(frozen_until, event);
            }
        }
        match event {
            Event::CutZones(is_cut) => {
                self.is_cut = is_cut;
                self.schedule_views();
            }
            Event::Lossy(is_lossy) => self.is_lossy = is_lossy,
            Event::Freeze { share, time } => {
                for daemon in 0..self.daemons.len() {
                    if self.random.random_bool(share) {
                        self.daemons[daemon].frozen_until = self.now + time;
                    }
                }
                self.schedule_views();
                let woken = self.now + time;
                let others: Vec<usize> = (0..self.daemons.len()).collect();
                for daemon in others {
                    let notice = Duration::from_millis(self.random.random_range(50..1_500));
                    self.schedule(woken + notice, Event::SetView { daemon });
                }
            }
            Event::Restart { share } => self.restart(share),
            Event::KillCoordinator => {
                let coordinator = self.daemons[0].coordinator;
                self.daemons[coordinator].frozen_until = Moment::MAX;
                self.schedule_views();
            }
            Event::RestartStrangers { dark, meet_after } => {
                self.restart_strangers(dark, meet_after);
            }
            Event::Register { daemon } => self.register(daemon),
            Event::ColdAgain => self.become_cold_again(),
            Event::SetView { daemon } => self.set_view(daemon),
            Event::Round { daemon } => {
                self.round(daemon);
                self.schedule(self.now + ROUND, Event::Round { daemon });
            }
            Event::Request { daemon } => self.request(daemon),
            Event::Send {
                daemon,
                incarnation,
                permit,
            } => {
                let limit = self.limit(daemon);
                let is_usable = permit.is_usable(limit, self.now);
                if self.daemons[daemon].incarnation == incarnation && is_usable {
                    self.sent.push(self.now);
                }
            }
            Event::Deliver {
                from,
                to,
                message,
                incarnation,
            } => {
                self.receive(from, to, message, incarnation);
            }
        }
    }

    fn restart(&mut self, share: f64) {
        for index in 0..self.daemons.len() {
            if !self.random.random_bool(share) {
                continue;
            }
            let incarnation = self.daemons[index].incarnation + 1;
            self.daemons[index] = Daemon::new(index, incarnation, self.now);
            let joined = Duration::from_millis(self.random.random_range(50..900));
            self.schedule(self.now + joined, Event::SetView { daemon: index });
            if self.scenario.cold.is_some() {
                self.schedule(self.now + joined, Event::Register { daemon: index });
            }
        }
    }

    fn restart_strangers(&mut self, dark: usize, meet_after: Duration) {
        let now = self.now;
        for index in 0..self.daemons.len() {
            let incarnation = self.daemons[index].incarnation + 1;
            let mut daemon = Daemon::new(index, incarnation, now);
            daemon.unanswered = (0..dark).map(|id| id as u64).collect();
            if index < dark {
                daemon.frozen_until = Moment::MAX;
            } else {
                let met = Duration::from_millis(self.random.random_range(50..900));
                let event = Event::SetView { daemon: index };
                self.schedule(now + meet_after + met, event);
            }
            self.daemons[index] = daemon;
            if self.scenario.cold.is_some() {
                let heard = Duration::from_millis(self.random.random_range(50..900));
                self.schedule(now + heard, Event::Register { daemon: index });
            }
        }
    }

    fn set_view(&mut self, daemon: usize) {
        let is_running = |other: &usize| {
            self.reaches(daemon, *other) && self.now >= self.daemons[*other].frozen_until
        };
        let view: Vec<usize> = (0..self.daemons.len()).filter(is_running).collect();
        let one = &mut self.daemons[daemon];
        one.coordinator = select_coordinator(&view, self.scenario.zones);
        one.view = view;
        // The list names daemons that run, by now.
        one.unanswered.clear();
        one.rounds = 0;
    }

    fn round(&mut self, daemon: usize) {
        let (now, zones) = (self.now, self.scenario.zones);
        let one = &mut self.daemons[daemon];
        if one.rounds.is_multiple_of(ROUNDS_PER_COUNT) {
            let running = one.view.iter();
            let zone = |daemon: usize| (daemon % zones).to_string();
            let view = FleetView {
                running: running.map(|id| (*id as u64, zone(*id))).collect(),
                zones: (0..zones).map(zone).collect(),
                unanswered: one.unanswered.clone(),
            };
            one.fleet.observe(&view, now);
        }
        one.rounds += 1;
        if now < BEFORE {
            return;
        }
        self.tell_repeats(daemon);
        let one = &mut self.daemons[daemon];
        if one.coordinator == daemon {
            self.ask_for_shares(daemon);
        } else {
            one.grants.retire(|_| false, now);
        }
    }

    fn ask_for_shares(&mut self, daemon: usize) {
        let now = self.now;
        self.next_nonce += 1;
        let nonce = self.next_nonce;
        let one = &mut self.daemons[daemon];
        if !one.grants.begin_asking(GROUP, SHARE_PERIOD, now) {
            return;
        }
        let id = incarnation_id(daemon, one.incarnation);
        let expected = one.fleet.expected(now);
        if expected.is_some() && one.lender.lend(GROUP, id, now) {
            one.grants.receive_share(GROUP, daemon as u64, now);
        }
        one.questions.insert(nonce, now);
        let fleet = expected.unwrap_or_else(|| one.fleet.counted());
        for other in one.view.clone() {
            if other != daemon {
                self.send(daemon, other, Message::AskShare { nonce, fleet });
            }
        }
    }

    /// Time between two requests at one daemon.
    fn draw_pause(&mut self) -> Duration {
        let rate = DEMAND * self.scenario.limit_per_s / self.daemons.len() as f64;
        Duration::from_secs_f64(-(1.0 - self.random.random::<f64>()).ln() / rate)
    }

    fn request(&mut self, daemon: usize) {
        let pause = self.draw_pause();
        self.schedule(self.now + pause, Event::Request { daemon });
        if self.scenario.cold.is_some() {
            if !self.knows_upstream(daemon) {
                return;
            }
            if self.limit(daemon).is_none() {
                return self.sent.push(self.now);
            }
        }
        if self.scenario.policy == Policy::EqualShares {
            return self.request_alone(daemon);
        }
        let max_wait = match self.random.random_bool(0.5) {
            true => MAX_WAIT,
            false => Duration::ZERO,
        };
        let coordinator = self.daemons[daemon].coordinator;
        let asked_at = self.now;
        if coordinator == daemon {
            let decision = self.decide(daemon, max_wait);
            return self.apply(daemon, decision, asked_at);
        }
        self.next_nonce += 1;
        let nonce = self.next_nonce;
        self.daemons[daemon]
            .requests
            .insert(nonce, (asked_at, max_wait));
        let cold = self.daemons[daemon]
            .warm_ups
            .observation(UPSTREAM, asked_at);
        let question = Message::AskPermit {
            nonce,
            max_wait,
            cold,
        };
        self.send(daemon, coordinator, question);
    }

    fn request_alone(&mut self, daemon: usize) {
        let fleet = self.daemons[daemon].view.len() as f64;
        let interval = Duration::from_secs_f64(fleet / self.scenario.limit_per_s);
        let one = &mut self.daemons[daemon];
        if one.next <= self.now {
            one.next = one.next.max(self.now) + interval;
            self.sent.push(self.now);
        }
    }

    fn decide(&mut self, daemon: usize, max_wait: Duration) -> PermitDecision {
        let Some(limit) = self.limit(daemon) else {
            let delay = Duration::ZERO;
            return PermitDecision::Granted { delay };
        };
        self.ask_for_shares(daemon);
        let now = self.now;
        let policy = self.scenario.policy;
        let one = &mut self.daemons[daemon];
        let request = PermitRequest {
            upstream: UPSTREAM,
            max_wait,
            rank: 1,
        };
        let fleet = match policy {
            Policy::LentShares => match one.fleet.get(now) {
                Some(fleet) => fleet,
                None => return PermitDecision::not_ready(),
            },
            Policy::EqualShares | Policy::OneCoordinator => {
                // As if all shares were held.
                one.grants.receive_share(GROUP, daemon as u64, now);
                1
            }
        };
        one.grants.decide(GROUP, &request, limit, fleet, now)
    }

    fn apply(&mut self, daemon: usize, decision: PermitDecision, asked_at: Moment) {
        let PermitDecision::Granted { delay } = decision else {
            return;
        };
        let limit = RateLimit::new(self.scenario.limit_per_s).expect("a limit");
        let one = &self.daemons[daemon];
        let incarnation = one.incarnation;
        let permit = one.permits.granted(UPSTREAM, limit, asked_at, delay);
        let at = self.use_at(self.now + permit.wait(self.now));
        self.schedule(
            at,
            Event::Send {
                daemon,
                incarnation,
                permit,
            },
        );
    }

    fn receive(&mut self, from: usize, to: usize, message: Message, incarnation: u64) {
        let now = self.now;
        match message {
            Message::AskShare { nonce, fleet } => {
                let one = &mut self.daemons[to];
                one.fleet.report(from as u64, fleet, now);
                let Some(fleet) = one.fleet.expected(now) else {
                    return;
                };
                if one
                    .lender
                    .lend(GROUP, incarnation_id(from, incarnation), now)
                {
                    self.send(to, from, Message::LendShare { nonce, fleet });
                }
            }
            Message::LendShare { nonce, fleet } => {
                let one = &mut self.daemons[to];
                one.fleet.report(from as u64, fleet, now);
                if let Some(asked_at) = one.questions.get(&nonce) {
                    one.grants.receive_share(GROUP, from as u64, *asked_at);
                }
            }
            Message::Cold(cold) => {
                self.daemons[to].warm_ups.merge_told(&cold, now);
            }
            Message::AskPermit {
                nonce,
                max_wait,
                cold,
            } => {
                if let Some(cold) = cold {
                    self.daemons[to].warm_ups.merge(&cold, now);
                }
                if self.daemons[to].coordinator == to {
                    let decision = self.decide(to, max_wait);
                    self.send(to, from, Message::Decided { nonce, decision });
                }
            }
            Message::Decided { nonce, decision } => {
                let pending = self.daemons[to].requests.remove(&nonce);
                let is_timely = |(asked_at, _): &(Moment, Duration)| {
                    now < *asked_at + Duration::from_millis(250)
                };
                if let Some((asked_at, _)) = pending.filter(is_timely) {
                    self.apply(to, decision, asked_at);
                }
            }
        }
    }

    pub(crate) fn send(&mut self, from: usize, to: usize, message: Message) {
        if !self.reaches(from, to) {
            return;
        }
        let copies = match self.is_lossy {
            true => self.random.random_range(0..3),
            false => 1,
        };
        for _ in 0..copies {
            let longest_ms = match self.is_lossy && self.random.random_bool(0.2) {
                true => 3_000,
                false => 8,
            };
            let delay = Duration::from_millis(self.random.random_range(1..longest_ms));
            let incarnation = self.daemons[from].incarnation;
            let message = message.clone();
            self.schedule(
                self.now + delay,
                Event::Deliver {
                    from,
                    to,
                    message,
                    incarnation,
                },
            );
        }
    }
}

/// The daemon that coordinates, in the view of another one.
fn select_coordinator(view: &[usize], zones: usize) -> usize {
    let in_zone = view.iter().copied().filter(|other| other % zones == 0);
    let first = in_zone.min_by_key(|other| (other * 7_919) % 1_009);
    first.or_else(|| view.first().copied()).unwrap_or_default()
}

fn daemon_of(event: &Event) -> Option<usize> {
    match event {
        Event::Deliver { to: daemon, .. }
        | Event::Request { daemon }
        | Event::Send { daemon, .. }
        | Event::Round { daemon }
        | Event::Register { daemon }
        | Event::SetView { daemon } => Some(*daemon),
        Event::CutZones(_)
        | Event::Lossy(_)
        | Event::Freeze { .. }
        | Event::Restart { .. }
        | Event::KillCoordinator
        | Event::RestartStrangers { .. }
        | Event::ColdAgain => None,
    }
}

fn incarnation_id(daemon: usize, incarnation: u64) -> u64 {
    daemon as u64 * 1_000 + incarnation
}
