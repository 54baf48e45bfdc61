//! Randomised run of a whole fleet under faults, with every answer checked.
//!
//! The faults are drawn from a seed; how processes interleave is not. CI runs
//! a short form, `scripts/soak --seed N --minutes M` a long one. What is
//! checked on the way: each answer's text and time, each order's runs, that no
//! answer breaks off without a killed daemon, that no daemon ends by itself
//! (a broken invariant ends it), that no revision falls, and that a leaving
//! engine gets no work. At the end all faults are healed; then all memory must
//! come back, the newest revision be in force everywhere and orders run.

mod faults;
mod load;

use std::env;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::fleet::{EndsLoad, Fleet, Plan, configuration, unix_ms, wait_until};
use faults::Faults;
use load::Tally;

pub const DAEMONS: usize = 6;
pub const ENGINES: usize = 6;
pub const SERVICES: usize = 3;

const DEFAULT_SEED: u64 = 1;
const DEFAULT_SECONDS: u64 = 15;
const ASKERS: u64 = 6;
const ORDERERS: u64 = 3;

/// What the threads of one run share.
#[derive(Debug)]
pub struct Run {
    pub fleet: Fleet,
    pub seed: u64,
    pub done: AtomicBool,
    /// Freezes, deaths and restarts of each daemon so far.
    pub disturbed: [AtomicU64; DAEMONS],
    /// Begun and ended kills of each daemon so far: odd while one is going on.
    /// A planned stop is none.
    pub killed: [AtomicU64; DAEMONS],
    pub tally: Mutex<Tally>,
}

fn setting(name: &str, default: u64) -> u64 {
    env::var(name).map_or(default, |value| value.parse().expect("a whole number"))
}

fn plan() -> Plan {
    let mut configuration = configuration();
    configuration["classes"] = json!({
        "diagnosis": {"time_to_first_token_ms": 2000, "allowed_delay_ms": 6000},
        "review": {"time_to_first_token_ms": 5000, "allowed_delay_ms": 10000}
    });
    let engine = json!({"time_scale": 0.1, "load_lag_ms": 50, "kv_total_tokens": 4000});
    Plan {
        engines: vec![engine; ENGINES],
        services: vec![json!({"delay_ms": 20}); SERVICES],
        configuration,
        ..Plan::zones(DAEMONS)
    }
}

#[test]
fn soak() {
    let seed = setting("MANGOFRONT_SOAK_SEED", DEFAULT_SEED);
    let time = Duration::from_secs(setting("MANGOFRONT_SOAK_SECONDS", DEFAULT_SECONDS));
    eprintln!("soak: seed {seed}, {time:?}");
    let mut fleet = Fleet::start(plan());
    fleet.wait_until_orders_run();
    let mut faults = Faults::new(seed, &mut fleet);
    let run = Run {
        fleet,
        seed,
        done: AtomicBool::new(false),
        disturbed: Default::default(),
        killed: Default::default(),
        tally: Mutex::default(),
    };
    thread::scope(|scope| {
        let run = &run;
        let ending = EndsLoad(&run.done);
        for nth in 0..ASKERS {
            scope.spawn(move || load::ask(run, nth));
        }
        for nth in 0..ORDERERS {
            scope.spawn(move || load::order(run, nth));
        }
        scope.spawn(move || watch_revisions(run));
        let until = Instant::now() + time;
        while Instant::now() < until {
            faults.next(run);
        }
        faults.heal(run);
        drop(ending);
    });
    check_end(&run, &mut faults);
    let tally = run.tally.lock().expect("no holder panics");
    eprintln!("soak: seed {seed}, {time:?}: {}", tally.report());
    eprintln!("soak: faults {:?}", faults.counts);
}

/// Sees to it that no life of a daemon ever goes back to an older revision.
fn watch_revisions(run: &Run) {
    let mut seen = [(0, 0); DAEMONS];
    while !run.done.load(Ordering::Relaxed) {
        for (daemon, seen) in seen.iter_mut().enumerate() {
            let lives = run.disturbed[daemon].load(Ordering::Relaxed);
            let revision = run.fleet.revision(daemon);
            let same_life = run.disturbed[daemon].load(Ordering::Relaxed) == lives;
            if revision == 0 || !same_life {
                continue;
            }
            let fell = seen.0 == lives && revision < seen.1;
            assert!(!fell, "entry-{daemon}: {revision} after {}", seen.1);
            *seen = (lives, revision);
        }
        thread::sleep(Duration::from_millis(100));
    }
}

fn check_end(run: &Run, faults: &mut Faults) {
    let fleet = &run.fleet;
    faults.check_daemons();
    fleet.wait_until_memory_is_free();
    let newest = faults.newest_revision;
    wait_until("the newest revision is in force everywhere", || {
        (0..DAEMONS).all(|daemon| fleet.revision(daemon) == newest)
    });
    for daemon in 0..DAEMONS {
        wait_until("orders under minted keys run", || {
            let minted = fleet
                .caller(daemon)
                .post("/v1/idempotency-keys", &json!({}));
            let minted = minted.json()["key"].clone();
            minted
                .as_str()
                .is_some_and(|key| fleet.order(daemon, key).status == 200)
        });
    }
    let runs = fleet.runs();
    let tally = run.tally.lock().expect("no holder panics");
    for (key, told) in &tally.keys {
        let count = runs.get(key).copied().unwrap_or_default();
        assert!(count <= 1, "{key} ran {count} times: {told:?}");
        assert!(!told.answered || count == 1, "{key} did not run: {told:?}");
        let ran_none = told.not_run && !told.answered && !told.unknown;
        assert!(!ran_none || count == 0, "{key} ran: {told:?}");
    }
    assert!(runs.values().all(|count| *count <= 1));
    for engine in 0..ENGINES {
        assert_eq!(fleet.engine_counter(engine, "invariants_broken"), 0);
    }
}

/// A configuration that differs from every other one.
pub fn next_configuration(run: &Run, number: u64) -> Value {
    let mut configuration = run.fleet.configuration();
    configuration["organisations"][format!("other-{number}")] = json!({});
    // Records of the time before the faults are still known to all voters.
    configuration["idempotency"] = json!({"window_ms": 600_000 + unix_ms() % 1000});
    configuration
}
