//! Daemons whose engines reject requests, and what befalls the daemons.
//!
//! Callers send to all daemons alike. Engines reject a share of what arrives, and a daemon repeats
//! what was rejected while its budget allows it. Daemons hear of each other after a time that is
//! drawn, if no partition is between them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mangofront_gateway::RetryLimit;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::daemon::Daemon;
use crate::engines::{Arrivals, Window};

pub const ZONES: usize = 3;
const ROUND_MS: u64 = 20;
const END_MS: u64 = 45_000;
/// Rounds after which daemons learn who is running.
const ROUNDS_PER_VIEW: u64 = 15;
/// Attempts of one request.
const ATTEMPTS: usize = 3;
/// Time for which a killed daemon is down.
const DOWN_MS: u64 = 500;
/// Time until a repeat arrives at its engine, at most.
const TRAVEL_MS: u64 = 30;

/// Size of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    pub daemons: usize,
    requests_per_s: f64,
    slack: f64,
    /// Time until daemons have heard of each other, at most.
    longest_hearing_ms: u64,
}

impl Fleet {
    pub const SMALL: Self = Self::new(7, 100.0, 100.0, 400);
    pub const MEDIUM: Self = Self::new(62, 150.0, 200.0, 1_000);
    pub const LARGE: Self = Self::new(195, 500.0, 200.0, 1_500);

    const fn new(daemons: usize, requests_per_s: f64, slack: f64, longest_hearing_ms: u64) -> Self {
        Self {
            daemons,
            requests_per_s,
            slack,
            longest_hearing_ms,
        }
    }
}

/// What happens to the daemons.
#[derive(Debug, Clone, Copy)]
pub enum Disruption {
    KillAll,
    Kill {
        share: f64,
    },
    /// Zones can't reach each other.
    CutZones {
        for_s: f64,
    },
    /// Suspended daemons handle what has waited when they wake.
    Freeze {
        share: f64,
        for_s: f64,
    },
}

/// A day of the fleet.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Share of arrivals that engines reject from `FAILING_FROM_MS` on.
    rejected: f64,
    /// Factor on the requests in the same time.
    burst: f64,
    disruptions: Vec<(f64, Disruption)>,
}

const FAILING_FROM_MS: u64 = 12_000;

impl Plan {
    /// Engines reject four of five requests, and traffic doubles.
    pub fn failing(disruptions: impl IntoIterator<Item = (f64, Disruption)>) -> Self {
        Self {
            rejected: 0.8,
            burst: 2.0,
            disruptions: disruptions.into_iter().collect(),
        }
    }

    /// Draws a day.
    pub fn draw(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = rng.random_range(1..=10);
        let mut at = rng.random_range(12.5..16.0);
        let mut disruptions = Vec::new();
        for _ in 0..count {
            let for_s = rng.random_range(0.5..8.0);
            let share = rng.random_range(0.1..1.0);
            let disruption = match rng.random_range(0..6) {
                0 => Disruption::CutZones { for_s },
                1 => Disruption::Freeze { share, for_s },
                2 => Disruption::Kill { share },
                _ => Disruption::KillAll,
            };
            disruptions.push((at, disruption));
            at += rng.random_range(0.2..3.0);
        }
        Self {
            rejected: rng.random_range(0.3..1.0),
            burst: rng.random_range(0.5..3.0),
            disruptions,
        }
    }
}

/// What was seen of a day.
#[derive(Debug)]
pub struct Seen(std::cell::RefCell<Arrivals>);

impl Seen {
    pub fn worst_window(&self) -> Window {
        self.0.borrow_mut().worst_window()
    }

    pub fn least_window(&self, from_s: f64, to_s: f64) -> Window {
        self.0.borrow_mut().least_window(from_s, to_s)
    }
}

struct Run<'a> {
    fleet: Fleet,
    plan: &'a Plan,
    rng: StdRng,
    start: Instant,
    now_ms: u64,
    daemons: Vec<Option<Daemon>>,
    /// When each daemon that is down starts again.
    starts_at_ms: Vec<Option<u64>>,
    frozen_until_ms: Vec<u64>,
    /// Requests that wait at a suspended daemon.
    waiting: Vec<usize>,
    cut_until_ms: u64,
    arrivals: Arrivals,
}

/// Plays a day.
pub fn run(fleet: Fleet, plan: &Plan, seed: u64) -> Seen {
    let limit = RetryLimit {
        slack: fleet.slack,
        ..RetryLimit::default()
    };
    let mut run = Run {
        fleet,
        plan,
        rng: StdRng::seed_from_u64(seed),
        start: Instant::now(),
        now_ms: 0,
        daemons: (0..fleet.daemons).map(|_| None).collect(),
        starts_at_ms: vec![Some(0); fleet.daemons],
        frozen_until_ms: vec![0; fleet.daemons],
        waiting: vec![0; fleet.daemons],
        cut_until_ms: 0,
        arrivals: Arrivals {
            limit,
            ..Arrivals::default()
        },
    };
    let mut due = plan.disruptions.iter().peekable();
    while run.now_ms < END_MS {
        while let Some((_, disruption)) =
            due.next_if(|(at_s, _)| (at_s * 1_000.0) as u64 <= run.now_ms)
        {
            run.disrupt(*disruption);
        }
        run.start_daemons();
        if run.now_ms.is_multiple_of(ROUND_MS * ROUNDS_PER_VIEW) {
            run.update_views();
        }
        run.send_requests();
        run.now_ms += ROUND_MS;
    }
    Seen(std::cell::RefCell::new(run.arrivals))
}

impl Run<'_> {
    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn disrupt(&mut self, disruption: Disruption) {
        let after_ms = |for_s: f64| self.now_ms + (for_s * 1_000.0) as u64;
        match disruption {
            Disruption::KillAll => self.kill(1.0),
            Disruption::Kill { share } => self.kill(share),
            Disruption::CutZones { for_s } => {
                self.cut_until_ms = self.cut_until_ms.max(after_ms(for_s));
            }
            Disruption::Freeze { share, for_s } => {
                let until = after_ms(for_s);
                for daemon in 0..self.fleet.daemons {
                    if self.daemons[daemon].is_some() && self.rng.random_bool(share) {
                        self.frozen_until_ms[daemon] = until;
                    }
                }
            }
        }
    }

    fn kill(&mut self, share: f64) {
        for daemon in 0..self.fleet.daemons {
            if self.rng.random_bool(share) {
                self.daemons[daemon] = None;
                self.waiting[daemon] = 0;
                self.frozen_until_ms[daemon] = 0;
                self.starts_at_ms[daemon] = Some(self.now_ms + DOWN_MS);
            }
        }
    }

    fn start_daemons(&mut self) {
        for daemon in 0..self.fleet.daemons {
            let is_due = self.starts_at_ms[daemon].is_some_and(|at| at <= self.now_ms);
            if !is_due {
                continue;
            }
            self.starts_at_ms[daemon] = None;
            let mut hears_at_ms = BTreeMap::new();
            for other in (0..self.fleet.daemons).filter(|other| *other != daemon) {
                let after = self.rng.random_range(30..self.fleet.longest_hearing_ms);
                hears_at_ms.insert(other, self.now_ms + after);
            }
            let (limit, now) = (self.arrivals.limit, self.now());
            let salt = self.rng.random();
            let started = Daemon::start(daemon, zone_of(daemon), hears_at_ms, limit, salt, now);
            self.daemons[daemon] = Some(started);
        }
    }

    fn update_views(&mut self) {
        let is_cut = self.now_ms < self.cut_until_ms;
        let now = self.now();
        let running: Vec<usize> = (0..self.fleet.daemons)
            .filter(|daemon| self.daemons[*daemon].is_some() && !self.is_frozen(*daemon))
            .collect();
        for daemon in &running {
            let Some(this) = self.daemons[*daemon].as_mut() else {
                continue;
            };
            let is_heard = |other: usize| {
                let is_reachable = !is_cut || zone_of(other) == this.zone;
                let at = this.hears_at_ms.get(&other);
                is_reachable && at.is_some_and(|at| *at <= self.now_ms)
            };
            let heard = running.iter().copied().filter(|other| is_heard(*other));
            let mut members: BTreeMap<usize, usize> =
                heard.map(|other| (other, zone_of(other))).collect();
            members.insert(*daemon, this.zone);
            this.observe(&members, now);
        }
    }

    fn send_requests(&mut self) {
        let is_failing = self.now_ms >= FAILING_FROM_MS;
        let factor = if is_failing { self.plan.burst } else { 1.0 };
        let mean = self.fleet.requests_per_s * factor * ROUND_MS as f64 / 1_000.0;
        let mut left = mean;
        while left > 0.0 {
            if left >= 1.0 || self.rng.random_bool(left) {
                let daemon = self.rng.random_range(0..self.fleet.daemons);
                self.arrivals.requests_ms.push(self.now_ms);
                self.waiting[daemon] += 1;
            }
            left -= 1.0;
        }
        for daemon in 0..self.fleet.daemons {
            if self.daemons[daemon].is_none() {
                self.waiting[daemon] = 0;
            }
            if self.is_frozen(daemon) {
                continue;
            }
            for _ in 0..std::mem::take(&mut self.waiting[daemon]) {
                self.serve(daemon, is_failing);
            }
        }
    }

    fn serve(&mut self, daemon: usize, is_failing: bool) {
        let now = self.now();
        let Some(this) = self.daemons[daemon].as_ref() else {
            return;
        };
        this.record_request(now);
        for attempt in 0..ATTEMPTS {
            if attempt > 0 {
                if !this.try_take(now) {
                    return;
                }
                let travel = self.rng.random_range(0..TRAVEL_MS);
                self.arrivals.repeats_ms.push(self.now_ms + travel);
            }
            if !is_failing || !self.rng.random_bool(self.plan.rejected) {
                return;
            }
        }
    }

    fn is_frozen(&self, daemon: usize) -> bool {
        self.now_ms < self.frozen_until_ms[daemon]
    }
}

fn zone_of(daemon: usize) -> usize {
    daemon % ZONES
}
