//! Measures the share of orders that end without an answer, by kind of key and by
//! fault schedule.
//!
//! Six daemons in three availability zones run under a fixed schedule of faults. A
//! caller sends each order to a random daemon and, while it has no answer, retries
//! up to two times at random daemons. The time scale is about 1:20: calls between
//! daemons time out after 25 ms instead of 500 ms.
//!
//! `cargo run --release -p mangofront-once --example refused_share`

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::{JoinHandle, spawn};
use compio::time::sleep;
use fleet::{Fleet, Upstream};
use futures_util::future::join_all;
use mangofront_once::Decision;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

const DAEMONS: usize = 6;
const SEEDS: [u64; 3] = [1, 2, 3];
const RUN_DURATION: Duration = Duration::from_secs(10);
const ORDER_INTERVAL: Duration = Duration::from_millis(10);
const FAULT_INTERVAL: Duration = Duration::from_millis(500);
const DOWNTIME: Duration = Duration::from_millis(50);
const ATTEMPTS: usize = 3;
/// Longest time between the issue of a key and its first use.
const MAX_KEY_AGE_MS: u64 = 200;

/// Kind of key, and whether a planned restart hands records over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Scheme {
    Minted,
    MintedWithoutHandOver,
    Plain,
    PlainUuidV7,
}

const SCHEMES: [Scheme; 4] = [
    Scheme::Minted,
    Scheme::MintedWithoutHandOver,
    Scheme::Plain,
    Scheme::PlainUuidV7,
];

/// Schedule of faults; the restarts and the changes of partitions happen every
/// half second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Schedule {
    Quiet,
    PlannedRestarts,
    Kills,
    /// One availability zone is isolated for half of the time.
    Cuts,
    /// All daemons are killed at the same time, once in a run.
    WholeFleetKilled,
}

const SCHEDULES: [Schedule; 5] = [
    Schedule::Quiet,
    Schedule::PlannedRestarts,
    Schedule::Kills,
    Schedule::Cuts,
    Schedule::WholeFleetKilled,
];

#[derive(Debug, Clone, Default, Serialize)]
struct Shares {
    orders: u32,
    answered: u32,
    answered_at_first_attempt: u32,
    not_run: u32,
    unknown: u32,
    /// Orders counted as `unknown` that the service had run.
    unknown_but_ran: u32,
    no_daemon_took_it: u32,
    keys_run_twice: u32,
}

#[derive(Debug, Serialize)]
struct Row {
    schedule: Schedule,
    scheme: Scheme,
    #[serde(flatten)]
    shares: Shares,
    unanswered_percent: f64,
}

#[compio::main]
async fn main() {
    let mut rows = Vec::new();
    for schedule in SCHEDULES {
        let results = SCHEMES.map(|scheme| async move {
            let results = SEEDS.map(|seed| run(schedule, scheme, seed));
            row(schedule, scheme, &join_all(results).await)
        });
        rows.extend(join_all(results).await);
    }
    match serde_json::to_string_pretty(&rows) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("refused_share: {error}"),
    }
}

fn row(schedule: Schedule, scheme: Scheme, results: &[Shares]) -> Row {
    let mut sum = Shares::default();
    for shares in results {
        sum.orders += shares.orders;
        sum.answered += shares.answered;
        sum.answered_at_first_attempt += shares.answered_at_first_attempt;
        sum.not_run += shares.not_run;
        sum.unknown += shares.unknown;
        sum.unknown_but_ran += shares.unknown_but_ran;
        sum.no_daemon_took_it += shares.no_daemon_took_it;
        sum.keys_run_twice += shares.keys_run_twice;
    }
    let unanswered = f64::from(sum.orders - sum.answered);
    let percent = 100.0 * unanswered / f64::from(sum.orders.max(1));
    Row {
        schedule,
        scheme,
        shares: sum,
        unanswered_percent: (percent * 100.0).round() / 100.0,
    }
}

async fn run(schedule: Schedule, scheme: Scheme, seed: u64) -> Shares {
    let fleet = Fleet::started(DAEMONS, seed).await;
    let faults = spawn(inject_faults(fleet.clone(), schedule, scheme));
    let shares = Rc::new(RefCell::new(Shares::default()));
    let mut random = StdRng::seed_from_u64(seed);
    let mut callers: Vec<JoinHandle<()>> = Vec::new();
    let end = Instant::now() + RUN_DURATION;
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        let caller = Caller {
            fleet: fleet.clone(),
            random: StdRng::seed_from_u64(random.random()),
            shares: Rc::clone(&shares),
        };
        callers.push(spawn(caller.order(scheme, number)));
        sleep(ORDER_INTERVAL).await;
    }
    for caller in callers {
        let _ = caller.await;
    }
    drop(faults);
    shares.take()
}

struct Caller {
    fleet: Fleet,
    random: StdRng,
    shares: Rc<RefCell<Shares>>,
}

impl Caller {
    async fn order(mut self, scheme: Scheme, number: u32) {
        let key_age_ms = self.random.random_range(0..MAX_KEY_AGE_MS);
        let key = match scheme {
            Scheme::Plain => Some(format!("plain-{number}")),
            Scheme::PlainUuidV7 => Some(fleet::uuid_v7_key()),
            Scheme::Minted | Scheme::MintedWithoutHandOver => self.mint(),
        };
        sleep(Duration::from_millis(key_age_ms)).await;
        let Some(key) = key else {
            self.record(None, 0, "");
            return;
        };
        let mut last = None;
        for attempt in 0..ATTEMPTS {
            let at = self.random.random_range(0..DAEMONS);
            let decision = self.fleet.order(at, &key, Upstream::Answers).await;
            let answered = matches!(
                decision,
                Some(Decision::Answer(_) | Decision::Replay { .. })
            );
            last = decision.or(last);
            if answered {
                self.record(last, attempt, &key);
                return;
            }
            sleep(Duration::from_millis(self.random.random_range(20..200))).await;
        }
        self.record(last, ATTEMPTS, &key);
    }

    /// Key of the first daemon, from a random one on, that issues a key.
    fn mint(&mut self) -> Option<String> {
        let first = self.random.random_range(0..DAEMONS);
        let others = (0..DAEMONS).map(|step| (first + step) % DAEMONS);
        let mut daemons = others.filter_map(|number| self.fleet.once(number));
        daemons.find_map(|once| once.mint().ok())
    }

    fn record(&self, decision: Option<Decision>, attempt: usize, key: &str) {
        let runs = self.fleet.runs(key);
        let mut shares = self.shares.borrow_mut();
        shares.orders += 1;
        shares.keys_run_twice += u32::from(runs > 1);
        match decision {
            Some(Decision::Answer(_) | Decision::Replay { .. }) => {
                shares.answered += 1;
                shares.answered_at_first_attempt += u32::from(attempt == 0);
            }
            Some(Decision::NotRun { .. }) => shares.not_run += 1,
            Some(_) => {
                shares.unknown += 1;
                shares.unknown_but_ran += u32::from(runs > 0);
            }
            None => shares.no_daemon_took_it += 1,
        }
    }
}

async fn inject_faults(fleet: Fleet, schedule: Schedule, scheme: Scheme) {
    let all: Vec<usize> = (0..DAEMONS).collect();
    for step in 0.. {
        sleep(FAULT_INTERVAL).await;
        let number = step % DAEMONS;
        match schedule {
            Schedule::Quiet => {}
            Schedule::PlannedRestarts => {
                if scheme != Scheme::MintedWithoutHandOver
                    && let Some(once) = fleet.once(number)
                {
                    once.hand_over().await;
                }
                restart(&fleet, &all, number).await;
            }
            Schedule::Kills => restart(&fleet, &all, number).await,
            Schedule::Cuts => {
                let zone = (step / 2) % 3;
                let isolated = if step % 2 == 0 {
                    vec![zone, zone + 3]
                } else {
                    Vec::new()
                };
                fleet.partition(&isolated);
            }
            Schedule::WholeFleetKilled if step == 9 => {
                for number in &all {
                    fleet.kill(*number);
                }
                sleep(DOWNTIME).await;
                for number in &all {
                    fleet.start(*number);
                }
                fleet.set_list(1, &all, &all);
            }
            Schedule::WholeFleetKilled => {}
        }
    }
}

async fn restart(fleet: &Fleet, all: &[usize], number: usize) {
    fleet.kill(number);
    sleep(DOWNTIME).await;
    fleet.start(number);
    fleet.set_list(1, all, &[number]);
}
