//! Randomised fault-injection test of a complete fleet.
//!
//! The faults are drawn from a seed, but the interleaving of processes is not
//! deterministic. CI runs a short form, `scripts/soak --seed N --minutes M` a long
//! one. During the run the test checks the text and duration of each answer and the
//! executions of each order, that an answer is cut short only if its daemon was
//! killed, that no daemon exits by itself (a violated invariant makes it exit), that
//! no daemon reverts to an older revision, and that a leaving engine gets no work. At
//! the end all faults are healed; then all memory must be freed, the newest revision
//! be in force at every daemon, and orders run.

mod faults;
mod load;

use std::env;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::fleet::{Fleet, FleetSpec, StopLoadOnDrop, configuration, unix_ms, wait_until};
use faults::Faults;
use load::Results;

pub const DAEMONS: usize = 6;
pub const ENGINES: usize = 6;
pub const SERVICES: usize = 3;

const DEFAULT_SEED: u64 = 1;
const DEFAULT_SECONDS: u64 = 15;
const COMPLETION_CALLERS: u64 = 6;
const ORDER_CALLERS: u64 = 3;

/// State shared by the threads of one run.
#[derive(Debug)]
pub struct Run {
    pub fleet: Fleet,
    pub seed: u64,
    pub done: AtomicBool,
    /// Number of freezes, resumptions, stops, kills and restarts of each daemon so far.
    pub disturbances: [AtomicU64; DAEMONS],
    /// Number of begun plus finished kills of each daemon so far, which is odd during a kill. A
    /// graceful shutdown doesn't count.
    pub kills: [AtomicU64; DAEMONS],
    pub results: Mutex<Results>,
}

fn env_number(name: &str, default: u64) -> u64 {
    env::var(name).map_or(default, |value| value.parse().expect("a whole number"))
}

fn spec() -> FleetSpec {
    let mut configuration = configuration();
    configuration["classes"] = json!({
        "diagnosis": {"time_to_first_token_ms": 2000, "allowed_delay_ms": 6000},
        "review": {"time_to_first_token_ms": 5000, "allowed_delay_ms": 10000}
    });
    let engine = json!({"time_scale": 0.1, "load_lag_ms": 50, "kv_total_tokens": 4000});
    FleetSpec {
        engines: vec![engine; ENGINES],
        services: vec![json!({"delay_ms": 20}); SERVICES],
        configuration,
        ..FleetSpec::zones(DAEMONS)
    }
}

#[test]
fn soak() {
    let seed = env_number("MANGOFRONT_SOAK_SEED", DEFAULT_SEED);
    let time = Duration::from_secs(env_number("MANGOFRONT_SOAK_SECONDS", DEFAULT_SECONDS));
    eprintln!("soak: seed {seed}, {time:?}");
    let mut fleet = Fleet::start(spec());
    fleet.wait_until_orders_run();
    let mut faults = Faults::new(seed, &mut fleet);
    let run = Run {
        fleet,
        seed,
        done: AtomicBool::new(false),
        disturbances: Default::default(),
        kills: Default::default(),
        results: Mutex::default(),
    };
    thread::scope(|scope| {
        let run = &run;
        let stop_load = StopLoadOnDrop(&run.done);
        for nth in 0..COMPLETION_CALLERS {
            scope.spawn(move || load::run_completion_caller(run, nth));
        }
        for nth in 0..ORDER_CALLERS {
            scope.spawn(move || load::run_order_caller(run, nth));
        }
        scope.spawn(move || assert_revisions_never_decrease(run));
        let until = Instant::now() + time;
        while Instant::now() < until {
            faults.inject_next(run);
        }
        faults.heal_all(run);
        drop(stop_load);
    });
    check_final_state(&run, &mut faults);
    let results = run.results.lock().expect("no holder panics");
    eprintln!("soak: seed {seed}, {time:?}: {}", results.report());
    eprintln!("soak: faults {:?}", faults.counts);
}

/// Asserts until the end of the load that no incarnation of a daemon reverts to an older
/// revision.
fn assert_revisions_never_decrease(run: &Run) {
    let mut last_seen = [(0, 0); DAEMONS];
    while !run.done.load(Ordering::Relaxed) {
        for (daemon, last_seen) in last_seen.iter_mut().enumerate() {
            let incarnation = run.disturbances[daemon].load(Ordering::Relaxed);
            let revision = run.fleet.revision(daemon);
            let same_incarnation = run.disturbances[daemon].load(Ordering::Relaxed) == incarnation;
            if revision == 0 || !same_incarnation {
                continue;
            }
            let decreased = last_seen.0 == incarnation && revision < last_seen.1;
            assert!(
                !decreased,
                "entry-{daemon}: {revision} after {}",
                last_seen.1
            );
            *last_seen = (incarnation, revision);
        }
        thread::sleep(Duration::from_millis(100));
    }
}

fn check_final_state(run: &Run, faults: &mut Faults) {
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
                .caller_client(daemon)
                .post("/v1/idempotency-keys", &json!({}));
            let minted = minted.json()["key"].clone();
            minted
                .as_str()
                .is_some_and(|key| fleet.order(daemon, key).status == 200)
        });
    }
    let runs = fleet.executions_by_key();
    let results = run.results.lock().expect("no holder panics");
    for (key, outcomes) in &results.keys {
        let count = runs.get(key).copied().unwrap_or_default();
        assert!(count <= 1, "{key} ran {count} times: {outcomes:?}");
        assert!(
            !outcomes.answered || count == 1,
            "{key} did not run: {outcomes:?}"
        );
        let never_ran = outcomes.not_run && !outcomes.answered && !outcomes.unknown;
        assert!(!never_ran || count == 0, "{key} ran: {outcomes:?}");
    }
    assert!(runs.values().all(|count| *count <= 1));
    for engine in 0..ENGINES {
        assert_eq!(fleet.engine_counter(engine, "invariants_broken"), 0);
    }
}

/// A configuration that differs from all others of the run.
pub fn unique_configuration(run: &Run, number: u64) -> Value {
    let mut configuration = run.fleet.configuration();
    configuration["organisations"][format!("other-{number}")] = json!({});
    // All voters still have the records from before the faults.
    configuration["idempotency"] = json!({"window_ms": 600_000 + unix_ms() % 1000});
    configuration
}
