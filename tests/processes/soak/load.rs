//! The load of a soak run, and the checks of its answers.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use super::{DAEMONS, Run};
use crate::client::Answer;
use crate::fleet::unix_ms;
use crate::requests::{COMPLETIONS, answer_text, completion_body};

/// Delay that a busy machine may add to the time limit of a class.
const SCHEDULING_SLACK: Duration = Duration::from_secs(8);

const DIAGNOSIS_LIMIT: Duration = Duration::from_secs(8);
const REVIEW_LIMIT: Duration = Duration::from_secs(15);

/// Outcomes reported to the callers of one idempotency key.
#[derive(Debug, Default, Clone)]
pub struct KeyOutcomes {
    pub answered: bool,
    pub not_run: bool,
    pub unknown: bool,
}

/// Number of answers by how they ended, and outcomes of orders by key.
#[derive(Debug, Default)]
pub struct Results {
    outcomes: BTreeMap<String, u64>,
    longest: Duration,
    pub keys: BTreeMap<String, KeyOutcomes>,
}

impl Results {
    /// One line that summarises the run.
    pub fn report(&self) -> String {
        let answered = self
            .keys
            .values()
            .filter(|outcomes| outcomes.answered)
            .count();
        let keys = self.keys.len();
        let (outcomes, longest) = (&self.outcomes, self.longest);
        format!("answers {outcomes:?}, longest {longest:?}; {answered} of {keys} orders answered")
    }
}

/// Runs one caller that sends completion requests.
pub fn run_completion_caller(run: &Run, nth: u64) {
    let mut random = StdRng::seed_from_u64(run.seed ^ (nth + 1) << 32);
    for round in 0_u64.. {
        if run.done.load(Ordering::Relaxed) {
            return;
        }
        let is_long = random.random_ratio(1, 15);
        let body = body(&mut random, &format!("{nth}-{round}"), is_long);
        let daemon = random.random_range(0..DAEMONS);
        let class = if is_long { "review" } else { "diagnosis" };
        let caller = run
            .fleet
            .caller_client(daemon)
            .with_header("mangofront-class", class);
        let disconnects = random.random_ratio(1, 8);
        let request = SentRequest::now(run, daemon);
        let answer = if disconnects {
            caller.disconnect_after(3, COMPLETIONS, &body)
        } else {
            caller.post(COMPLETIONS, &body)
        };
        let expected = answer_text(&body);
        let is_prefix = expected.starts_with(&answer.text());
        assert!(is_prefix, "text of another answer: {answer:?}");
        assert!(!answer.is_complete() || answer.text() == expected);
        let limit = if is_long {
            REVIEW_LIMIT
        } else {
            DIAGNOSIS_LIMIT
        };
        request.check(run, &answer, limit, disconnects);
        pause_after(&answer);
    }
}

fn body(random: &mut StdRng, name: &str, is_long: bool) -> Value {
    let words = if is_long {
        random.random_range(2500..4500)
    } else {
        random.random_range(0..400)
    };
    let mut body = completion_body(name, random.random_range(1..60), random.random());
    body["prompt"] = json!(format!("{name} {}", "history ".repeat(words)));
    body
}

/// Runs one caller that sends orders. Most keys are sent more than once, some of them
/// concurrently.
pub fn run_order_caller(run: &Run, nth: u64) {
    let mut random = StdRng::seed_from_u64(run.seed ^ (nth + 1) << 48);
    for round in 0_u64.. {
        if run.done.load(Ordering::Relaxed) {
            return;
        }
        let Some(key) = key(run, &mut random, &format!("{nth}-{round}")) else {
            continue;
        };
        for _ in 0..random.random_range(1..4) {
            let daemons: Vec<usize> = (0..random.random_range(1..3))
                .map(|_| random.random_range(0..DAEMONS))
                .collect();
            thread::scope(|scope| {
                for daemon in daemons {
                    let key = &key;
                    scope.spawn(move || send_order(run, daemon, key));
                }
            });
        }
    }
}

/// Returns an idempotency key: one without a time, one with a timestamp, or one that a daemon
/// issues.
fn key(run: &Run, random: &mut StdRng, name: &str) -> Option<String> {
    match random.random_range(0..3) {
        0 => Some(format!("plain-{name}")),
        1 => {
            let minted = unix_ms();
            let (high, low) = (minted >> 16, minted & 0xffff);
            let rest: u64 = random.random_range(0..1 << 48);
            Some(format!("{high:08x}-{low:04x}-7000-8000-{rest:012x}"))
        }
        _ => {
            let daemon = random.random_range(0..DAEMONS);
            let path = "/v1/idempotency-keys";
            let minted = run
                .fleet
                .caller_client(daemon)
                .post(path, &json!({}))
                .json();
            minted["key"].as_str().map(str::to_owned)
        }
    }
}

fn send_order(run: &Run, daemon: usize, key: &str) {
    let request = SentRequest::now(run, daemon);
    let answer = run.fleet.order(daemon, key);
    if answer.status == 200 {
        assert_eq!(answer.json()["executions"], 1, "{key}: {answer:?}");
    }
    let outcome = answer.outcome();
    let mut results = run.results.lock().expect("no holder panics");
    let outcomes = results.keys.entry(key.to_owned()).or_default();
    outcomes.answered |= answer.status == 200;
    outcomes.not_run |= outcome.as_deref() == Some("not_run");
    // After an incomplete answer the order's outcome is unknown.
    outcomes.unknown |=
        answer.connected && answer.status != 200 && outcome.as_deref() != Some("not_run");
    drop(results);
    request.check(run, &answer, DIAGNOSIS_LIMIT, false);
    pause_after(&answer);
}

/// When and to which daemon a request was sent, with that daemon's fault counters at the time.
struct SentRequest {
    at: Instant,
    daemon: usize,
    disturbances: u64,
    kills: u64,
}

impl SentRequest {
    fn now(run: &Run, daemon: usize) -> Self {
        Self {
            at: Instant::now(),
            daemon,
            disturbances: run.disturbances[daemon].load(Ordering::SeqCst),
            kills: run.kills[daemon].load(Ordering::SeqCst),
        }
    }

    /// Asserts that the request ended within the time limit of its class, unless its daemon was
    /// disturbed, and with an answer, unless its daemon was killed.
    fn check(&self, run: &Run, answer: &Answer, limit: Duration, disconnects: bool) {
        let elapsed = self.at.elapsed();
        let undisturbed = run.disturbances[self.daemon].load(Ordering::SeqCst) == self.disturbances;
        let being_killed = self.kills % 2 == 1;
        let killed = being_killed || run.kills[self.daemon].load(Ordering::SeqCst) != self.kills;
        let in_time = !undisturbed || elapsed < limit + SCHEDULING_SLACK;
        assert!(
            in_time,
            "entry-{} took {elapsed:?}: {answer:?}",
            self.daemon
        );
        let error = answer.outcome();
        let ended = answer.is_complete() || error.is_some() || disconnects || !answer.connected;
        assert!(
            ended || killed,
            "entry-{} ended the answer early after {elapsed:?}, undisturbed {undisturbed}: {answer:?}",
            self.daemon
        );
        let end = match error {
            _ if !answer.connected => "not connected".to_owned(),
            Some(outcome) => outcome,
            None if answer.is_complete() => "answered".to_owned(),
            None if disconnects => "caller disconnected".to_owned(),
            None => "daemon killed".to_owned(),
        };
        let mut results = run.results.lock().expect("no holder panics");
        *results.outcomes.entry(end).or_default() += 1;
        if undisturbed {
            results.longest = results.longest.max(elapsed);
        }
    }
}

/// Pauses after a failed request, so that callers don't retry in a tight loop.
fn pause_after(answer: &Answer) {
    if answer.status != 200 {
        thread::sleep(Duration::from_millis(50));
    }
}
