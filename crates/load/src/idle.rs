//! Times to first token of an idle engine, by prompt length.
//!
//! Prompts are sent one at a time straight to an engine, drawn from the same
//! length ranges as the scenario's, without shared prefixes. The results are the
//! baseline for the times of a loaded fleet.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cyper::Client;
use serde::{Deserialize, Serialize};

use crate::exchange::exchange;
use crate::probe::{Destination, Prober};
use crate::report::LengthBucket;
use crate::sample::End;
use crate::scenario::Scenario;
use crate::schedule::{ModelWork, Plan, Schedule, Work};
use crate::times::{LatencyHistogram, Quantiles};

/// Maximum number of arrivals generated to find prompts of the rare lengths.
const DRAWN_ARRIVALS_CAP: usize = 200_000;

/// Answer limit of the probes, in tokens; only the first token is measured.
const MAX_TOKENS: u32 = 4;

/// Default number of prompts in each length bucket.
const DEFAULT_PER_BUCKET: usize = 20;

/// Default maximum time spent on one bucket.
const DEFAULT_BUCKET_LIMIT: Duration = Duration::from_secs(60);

/// How to measure an idle engine.
#[derive(Debug, Clone, Copy)]
pub struct IdlePlan {
    engine: Destination,
    per_bucket: usize,
    bucket_limit: Duration,
    seed: u64,
}

impl IdlePlan {
    /// Measures `engine`.
    #[must_use]
    pub const fn new(engine: Destination) -> Self {
        Self {
            engine,
            per_bucket: DEFAULT_PER_BUCKET,
            bucket_limit: DEFAULT_BUCKET_LIMIT,
            seed: 1,
        }
    }

    /// Number of prompts in each length bucket; 20 by default.
    #[must_use]
    pub const fn per_bucket(mut self, per_bucket: usize) -> Self {
        self.per_bucket = per_bucket;
        self
    }

    /// Maximum time spent on one bucket; 1 min by default.
    #[must_use]
    pub const fn bucket_limit(mut self, bucket_limit: Duration) -> Self {
        self.bucket_limit = bucket_limit;
        self
    }

    /// Seed of the prompts; 1 by default.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

/// Measurements of an idle engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IdleReport {
    /// Scenario that defines the prompt lengths.
    pub scenario: String,
    /// Seed of the prompts.
    pub seed: u64,
    /// Measurements for each length bucket in the scenario.
    pub by_length: BTreeMap<LengthBucket, IdleBucketReport>,
}

/// Measurements of one length bucket.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IdleBucketReport {
    /// Time to first token.
    pub time_to_first_token: Quantiles,
    /// Prompts that the engine refused, for example because they exceed its memory.
    pub refused: u64,
    /// Prompts that failed or got a wrong answer.
    pub failed: u64,
    /// Description of the first refusal, failure or wrong answer.
    pub first_problem: Option<String>,
}

/// Measures the engine of `plan`.
pub async fn measure(
    client: &Client,
    prober: &Prober,
    scenario: &Scenario,
    plan: IdlePlan,
) -> IdleReport {
    let mut by_length = BTreeMap::new();
    for (bucket, requests) in prompts(scenario, plan) {
        by_length.insert(bucket, measure_bucket(client, prober, plan, requests).await);
    }
    IdleReport {
        scenario: scenario.name.clone(),
        seed: plan.seed,
        by_length,
    }
}

/// Returns the first prompts of each bucket in the scenario's schedule, with
/// their seeds.
fn prompts(scenario: &Scenario, plan: IdlePlan) -> BTreeMap<LengthBucket, Vec<(u64, ModelWork)>> {
    let mut scenario = scenario.clone();
    scenario.request_cap = DRAWN_ARRIVALS_CAP;
    let schedule_plan = Plan::new(1.0, Duration::MAX).seed(plan.seed);
    let mut prompts: BTreeMap<LengthBucket, Vec<(u64, ModelWork)>> = BTreeMap::new();
    for arrival in Schedule::new(&scenario, schedule_plan) {
        let Work::Model(mut work) = arrival.work else {
            continue;
        };
        let bucket_prompts = prompts
            .entry(LengthBucket::of(work.length_tokens))
            .or_default();
        if bucket_prompts.len() < plan.per_bucket {
            work.history = None;
            work.stream = true;
            work.max_tokens = MAX_TOKENS;
            bucket_prompts.push((arrival.seed, work));
        }
    }
    prompts
}

async fn measure_bucket(
    client: &Client,
    prober: &Prober,
    plan: IdlePlan,
    requests: Vec<(u64, ModelWork)>,
) -> IdleBucketReport {
    let started = Instant::now();
    let mut times = LatencyHistogram::new();
    let mut refused = 0;
    let mut failed = 0;
    let mut first_problem = None;
    for (seed, work) in requests {
        if started.elapsed() > plan.bucket_limit {
            break;
        }
        let exchanged = exchange(client, prober.outgoing(plan.engine, &work, seed)).await;
        match (&exchanged.end, exchanged.first_token) {
            (End::Done, Some(first_token)) => {
                times.add(first_token);
                continue;
            }
            (End::Refused { .. }, _) => refused += 1,
            _ => failed += 1,
        }
        first_problem.get_or_insert_with(|| format!("{:?}", exchanged.end));
    }
    IdleBucketReport {
        time_to_first_token: times.quantiles(),
        refused,
        failed,
        first_problem,
    }
}
