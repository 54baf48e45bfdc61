//! Latency that a daemon adds to short streamed requests.
//!
//! One run sends the same requests alternately through a daemon and directly to
//! an engine, so that changes in the machine's speed affect both paths equally.
//! The order alternates from pair to pair, so that neither path always finds the
//! engine warm.

use std::cell::RefCell;
use std::rc::Rc;

use cyper::Client;
use futures_util::future::join_all;
use serde::{Deserialize, Serialize};

use crate::exchange::{ExchangeResult, exchange};
use crate::probe::{Destination, Prober, PromptSize};
use crate::sample::End;
use crate::times::{LatencyHistogram, Quantiles};

/// Difference between the seeds of two workers; far above any number of pairs.
const WORKER_SEED_STRIDE: u64 = 1 << 32;

/// Default number of pairs.
const DEFAULT_PAIRS: u64 = 500;

/// Default number of unmeasured pairs at the start, while connections and caches
/// settle.
const DEFAULT_WARM_UP_PAIRS: u64 = 20;

/// Parameters of a comparison.
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
    /// Creates a sequential comparison of a daemon with an engine.
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

    /// Number of measured pairs of requests for each worker; 500 by default.
    #[must_use]
    pub const fn pairs(mut self, pairs: u64) -> Self {
        self.pairs = pairs;
        self
    }

    /// Number of unmeasured pairs at the start of each worker; 20 by default.
    #[must_use]
    pub const fn warm_up_pairs(mut self, warm_up_pairs: u64) -> Self {
        self.warm_up_pairs = warm_up_pairs;
        self
    }

    /// Number of concurrent workers; 1 by default, which is a sequential comparison.
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
    /// Number of concurrent workers.
    pub workers: u64,
    /// Times through the daemon.
    pub daemon: PathReport,
    /// Times of direct requests to the engine.
    pub direct: PathReport,
    /// Time to first token: quantiles through the daemon minus direct quantiles.
    pub added_first_token: AddedLatency,
    /// Time to the end of the answer: quantiles through the daemon minus direct
    /// quantiles.
    pub added_total: AddedLatency,
    /// Median over the pairs of the time to first token through the daemon minus
    /// the direct one, in milliseconds.
    pub added_first_token_paired_p50_ms: f64,
}

/// Measurements of one path.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PathReport {
    /// Time to first token.
    pub first_token: Quantiles,
    /// Time to the end of the answer.
    pub total: Quantiles,
    /// Requests refused or failed.
    pub errors: u64,
    /// Number of wrong answers.
    pub wrong_answers: u64,
    /// Description of the first error or wrong answer.
    pub first_problem: Option<String>,
}

/// Differences of quantiles, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AddedLatency {
    /// At the median.
    pub p50_ms: f64,
    /// At the 95th percentile.
    pub p95_ms: f64,
    /// At the 99th percentile.
    pub p99_ms: f64,
}

struct PathMeasurements {
    first_token: LatencyHistogram,
    total: LatencyHistogram,
    errors: u64,
    wrong_answers: u64,
    first_problem: Option<String>,
}

impl Default for PathMeasurements {
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
struct ComparisonState {
    daemon: PathMeasurements,
    engine: PathMeasurements,
    /// Differences in time to first token within the pairs, in milliseconds.
    paired_ms: Vec<f64>,
}

/// Runs `comparison` and reports both paths.
pub async fn compare(client: &Client, prober: &Prober, comparison: Comparison) -> LatencyReport {
    let state = Rc::new(RefCell::new(ComparisonState::default()));
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
    state: Rc<RefCell<ComparisonState>>,
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
    // The futures are lazy: each request is sent when its future is first polled.
    if seed.is_multiple_of(2) {
        let daemon = daemon.await;
        [daemon, engine.await]
    } else {
        let engine = engine.await;
        [daemon.await, engine]
    }
}

impl ComparisonState {
    fn add(&mut self, daemon: ExchangeResult, engine: ExchangeResult) {
        if let (Some(through), Some(direct)) = (daemon.first_token, engine.first_token) {
            let added_s = through.as_secs_f64() - direct.as_secs_f64();
            self.paired_ms.push(added_s * 1000.0);
        }
        self.daemon.add(daemon);
        self.engine.add(engine);
    }
}

impl PathMeasurements {
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

fn added(daemon: &LatencyHistogram, engine: &LatencyHistogram) -> AddedLatency {
    let difference = |share| {
        let difference_ms = daemon.quantile_ms(share) - engine.quantile_ms(share);
        (difference_ms * 1000.0).round() / 1000.0
    };
    AddedLatency {
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
