//! Time that a daemon adds to short streamed requests.
//!
//! The same requests go through a daemon and straight to an engine in turn, in
//! one run, so that a change of the machine's speed meets both alike. The order
//! changes with each pair, so that neither side always finds the engine warm.

use std::cell::RefCell;
use std::rc::Rc;

use cyper::Client;
use futures_util::future::join_all;
use serde::{Deserialize, Serialize};

use crate::exchange::{ExchangeResult, exchange};
use crate::probe::{Destination, Prober, PromptSize};
use crate::sample::End;
use crate::times::{LatencyHistogram, Quantiles};

/// Distance between the seeds of two workers; far above any number of pairs.
const WORKER_SEED_STRIDE: u64 = 1 << 32;

/// Pairs of a comparison that sets none.
const DEFAULT_PAIRS: u64 = 500;

/// Pairs before the count begins: connections and caches settle.
const DEFAULT_WARM_UP_PAIRS: u64 = 20;

/// How to compare.
#[derive(Debug, Clone, Copy)]
pub struct Comparison {
    daemon: Destination,
    engine: Destination,
    pairs: u64,
    warm_up_pairs: u64,
    workers: u64,
    prompt_size: PromptSize,
    seed: u64,
}

impl Comparison {
    /// Sequential comparison of a daemon with an engine.
    #[must_use]
    pub const fn new(daemon: Destination, engine: Destination) -> Self {
        Self {
            daemon,
            engine,
            pairs: DEFAULT_PAIRS,
            warm_up_pairs: DEFAULT_WARM_UP_PAIRS,
            workers: 1,
            prompt_size: PromptSize::SHORT,
            seed: 1,
        }
    }

    /// Pairs of requests of each worker; 500 by default.
    #[must_use]
    pub const fn pairs(mut self, pairs: u64) -> Self {
        self.pairs = pairs;
        self
    }

    /// Pairs of each worker before the count begins; 20 by default.
    #[must_use]
    pub const fn warm_up_pairs(mut self, warm_up_pairs: u64) -> Self {
        self.warm_up_pairs = warm_up_pairs;
        self
    }

    /// Workers at once; 1 by default, which is a sequential comparison.
    #[must_use]
    pub const fn workers(mut self, workers: u64) -> Self {
        self.workers = workers;
        self
    }

    /// Size of the prompts; [`PromptSize::SHORT`] by default.
    #[must_use]
    pub const fn prompt_size(mut self, size: PromptSize) -> Self {
        self.prompt_size = size;
        self
    }

    /// Seed of the prompts; 1 by default.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

/// Result of one comparison.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LatencyReport {
    /// Workers at once.
    pub workers: u64,
    /// Through the daemon.
    pub daemon: PathReport,
    /// Straight to the engine.
    pub direct: PathReport,
    /// First token: daemon's quantile less the direct one.
    pub added_first_token: Added,
    /// End of the answer: daemon's quantile less the direct one.
    pub added_total: Added,
    /// Median over the pairs of the daemon's first token less the direct one,
    /// in milliseconds.
    pub added_first_token_paired_p50_ms: f64,
}

/// Times of one path.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PathReport {
    /// Time to first token.
    pub first_token: Quantiles,
    /// Time to the end of the answer.
    pub total: Quantiles,
    /// Requests refused or failed.
    pub errors: u64,
    /// Wrong answers.
    pub wrong_answers: u64,
    /// First error or wrong answer.
    pub first_problem: Option<String>,
}

/// Differences of quantiles, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Added {
    /// At the median.
    pub p50_ms: f64,
    /// At the 95th percentile.
    pub p95_ms: f64,
    /// At the 99th percentile.
    pub p99_ms: f64,
}

struct Path {
    first_token: LatencyHistogram,
    total: LatencyHistogram,
    errors: u64,
    wrong_answers: u64,
    first_problem: Option<String>,
}

impl Default for Path {
    fn default() -> Self {
        Self {
            first_token: LatencyHistogram::high_resolution(),
            total: LatencyHistogram::high_resolution(),
            errors: 0,
            wrong_answers: 0,
            first_problem: None,
        }
    }
}

#[derive(Default)]
struct State {
    daemon: Path,
    engine: Path,
    /// Differences of pairs, in milliseconds.
    paired_ms: Vec<f64>,
}

/// Runs `comparison`.
pub async fn compare(client: &Client, prober: &Prober, comparison: Comparison) -> LatencyReport {
    let state = Rc::new(RefCell::new(State::default()));
    let workers = (0..comparison.workers)
        .map(|worker| run_worker(client, prober, comparison, worker, Rc::clone(&state)));
    join_all(workers).await;
    let state = state.take();
    LatencyReport {
        workers: comparison.workers,
        added_first_token: added(&state.daemon.first_token, &state.engine.first_token),
        added_total: added(&state.daemon.total, &state.engine.total),
        added_first_token_paired_p50_ms: median(state.paired_ms),
        daemon: state.daemon.report(),
        direct: state.engine.report(),
    }
}

async fn run_worker(
    client: &Client,
    prober: &Prober,
    comparison: Comparison,
    worker: u64,
    state: Rc<RefCell<State>>,
) {
    let first_seed = comparison
        .seed
        .wrapping_add(worker.wrapping_mul(WORKER_SEED_STRIDE));
    for pair in 0..comparison.warm_up_pairs + comparison.pairs {
        let seed = first_seed.wrapping_add(pair);
        let [daemon, engine] = run_pair(client, prober, comparison, seed).await;
        if pair >= comparison.warm_up_pairs {
            state.borrow_mut().add(daemon, engine);
        }
    }
}

async fn run_pair(
    client: &Client,
    prober: &Prober,
    comparison: Comparison,
    seed: u64,
) -> [ExchangeResult; 2] {
    let work = prober.work(comparison.prompt_size);
    let daemon = exchange(client, prober.outgoing(comparison.daemon, &work, seed));
    let engine = exchange(client, prober.outgoing(comparison.engine, &work, seed));
    // The futures are lazy: each request leaves when it is awaited.
    if seed.is_multiple_of(2) {
        let daemon = daemon.await;
        [daemon, engine.await]
    } else {
        let engine = engine.await;
        [daemon.await, engine]
    }
}

impl State {
    fn add(&mut self, daemon: ExchangeResult, engine: ExchangeResult) {
        if let (Some(through), Some(direct)) = (daemon.first_token, engine.first_token) {
            let added_s = through.as_secs_f64() - direct.as_secs_f64();
            self.paired_ms.push(added_s * 1000.0);
        }
        self.daemon.add(daemon);
        self.engine.add(engine);
    }
}

impl Path {
    fn add(&mut self, exchanged: ExchangeResult) {
        let problem = match exchanged.end {
            End::Done => {
                if let Some(first_token) = exchanged.first_token {
                    self.first_token.add(first_token);
                }
                self.total.add(exchanged.total);
                return;
            }
            End::WrongAnswer { problem } => {
                self.wrong_answers += 1;
                problem
            }
            other => {
                self.errors += 1;
                format!("{other:?}")
            }
        };
        self.first_problem.get_or_insert(problem);
    }

    fn report(self) -> PathReport {
        PathReport {
            first_token: self.first_token.quantiles(),
            total: self.total.quantiles(),
            errors: self.errors,
            wrong_answers: self.wrong_answers,
            first_problem: self.first_problem,
        }
    }
}

fn added(daemon: &LatencyHistogram, engine: &LatencyHistogram) -> Added {
    let difference = |share| {
        let difference_ms = daemon.quantile_ms(share) - engine.quantile_ms(share);
        (difference_ms * 1000.0).round() / 1000.0
    };
    Added {
        p50_ms: difference(0.50),
        p95_ms: difference(0.95),
        p99_ms: difference(0.99),
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let middle = values.get(values.len() / 2).copied().unwrap_or_default();
    (middle * 1000.0).round() / 1000.0
}
