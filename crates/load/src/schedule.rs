//! Random schedule of a run's arrivals, determined by a seed.
//!
//! Arrivals are a Poisson process: the time between two is exponentially
//! distributed and does not depend on the answers. Every arrival takes the same
//! number of random values from the schedule's generator in the same order, so
//! excluding the long prompts does not change the others.

use std::time::Duration;

use mangofront_settings::ids::{ClassName, ModelName, OrganisationId, ServiceName};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use crate::scenario::{Endpoint, Kind, LONG_TOKENS, ModelKind, Scenario, ServiceKind};

/// Fraction of a prompt that is copied from a history, when it has one.
const SHARED_PREFIX_FRACTION: f64 = 0.8;

/// One request of the schedule.
#[derive(Debug, Clone, Serialize)]
pub struct Arrival {
    /// Position in the schedule, from 0; excluded prompts are counted too.
    pub index: usize,
    /// Due time, relative to the start of the run.
    #[serde(serialize_with = "as_us")]
    pub at: Duration,
    /// Organisation that sends it.
    pub organisation: OrganisationId,
    /// Class of the request.
    pub class: ClassName,
    /// Seed of its text and idempotency key.
    pub seed: u64,
    /// Content of the request.
    pub work: Work,
}

/// Content of a scheduled request.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// Prompt for a model.
    Model(ModelWork),
    /// Call of a service.
    Service(ServiceWork),
}

/// Prompt for a model and its request parameters.
#[derive(Debug, Clone, Serialize)]
pub struct ModelWork {
    /// Requested model.
    pub model: ModelName,
    /// Endpoint of the request.
    pub endpoint: Endpoint,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Answer limit, in tokens.
    pub max_tokens: u32,
    /// Length of the prompt, in tokens.
    pub length_tokens: u64,
    /// Shared prefix of the prompt.
    pub history: Option<History>,
}

/// Prefix that a prompt shares with others of its organisation.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct History {
    /// Seed of the shared text.
    pub seed: u64,
    /// Length of the shared prefix, in tokens.
    pub length_tokens: u64,
}

/// A call of a service.
#[derive(Debug, Clone, Serialize)]
pub struct ServiceWork {
    /// Service called.
    pub service: ServiceName,
    /// Path below the service.
    pub path: String,
    /// Whether it is sent a second time with the same idempotency key.
    pub repeat: bool,
}

/// Parameters of a schedule.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    pub(crate) seed: u64,
    pub(crate) rate_per_s: f64,
    pub(crate) duration: Duration,
    pub(crate) without_long: bool,
}

impl Plan {
    /// Plans arrivals for `duration` at a mean rate of `rate_per_s` per second.
    #[must_use]
    pub const fn new(rate_per_s: f64, duration: Duration) -> Self {
        Self {
            seed: 1,
            rate_per_s,
            duration,
            without_long: false,
        }
    }

    /// Seed of all random values; 1 by default.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Time during which requests arrive.
    #[must_use]
    pub const fn duration(mut self, duration: Duration) -> Self {
        self.duration = duration;
        self
    }

    /// Whether prompts over [`LONG_TOKENS`] are excluded; false by default.
    #[must_use]
    pub const fn without_long(mut self, without_long: bool) -> Self {
        self.without_long = without_long;
        self
    }
}

/// Iterator over the arrivals of a run.
#[derive(Debug)]
pub struct Schedule<'a> {
    scenario: &'a Scenario,
    plan: Plan,
    rng: StdRng,
    organisation_weights: Vec<f64>,
    kind_weights: Vec<f64>,
    next_at: Duration,
    next_index: usize,
}

impl<'a> Schedule<'a> {
    /// Creates the schedule of `scenario` under `plan`.
    #[must_use]
    pub fn new(scenario: &'a Scenario, plan: Plan) -> Self {
        let ranks = 1..=scenario.organisations.len();
        let organisation_weights = ranks
            .map(|rank| (rank as f64).powf(-scenario.zipf_exponent))
            .collect();
        Self {
            scenario,
            plan,
            rng: StdRng::seed_from_u64(plan.seed),
            organisation_weights,
            kind_weights: scenario.mix.iter().map(Kind::share).collect(),
            next_at: Duration::ZERO,
            next_index: 0,
        }
    }

    fn draw(&mut self) -> Arrival {
        let gap = exponential(&mut self.rng, self.plan.rate_per_s);
        self.next_at = self.next_at.saturating_add(gap);
        let index = self.next_index;
        self.next_index += 1;
        // Each arrival has its own generator, so the number of values that one
        // kind uses does not affect the next arrival.
        let mut rng = StdRng::seed_from_u64(self.rng.random());
        let organisation = weighted_index(&mut rng, &self.organisation_weights);
        let kind = &self.scenario.mix[weighted_index(&mut rng, &self.kind_weights)];
        let work = match kind {
            Kind::Model(kind) => {
                let histories = u64::from(self.scenario.histories_per_organisation);
                Work::Model(draw_model(&mut rng, kind, organisation, histories))
            }
            Kind::Service(kind) => Work::Service(draw_service(&mut rng, kind)),
        };
        Arrival {
            index,
            at: self.next_at,
            organisation: self.scenario.organisations[organisation].clone(),
            class: kind.class().clone(),
            seed: rng.random(),
            work,
        }
    }

    fn is_excluded(&self, arrival: &Arrival) -> bool {
        match &arrival.work {
            Work::Model(work) => self.plan.without_long && work.length_tokens > LONG_TOKENS,
            Work::Service(_) => false,
        }
    }
}

impl Iterator for Schedule<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        loop {
            if self.next_index >= self.scenario.request_cap {
                return None;
            }
            let arrival = self.draw();
            if arrival.at >= self.plan.duration {
                return None;
            }
            if !self.is_excluded(&arrival) {
                return Some(arrival);
            }
        }
    }
}

fn draw_model(
    rng: &mut StdRng,
    kind: &ModelKind,
    organisation: usize,
    histories: u64,
) -> ModelWork {
    let weights: Vec<f64> = kind.lengths.iter().map(|range| range.weight).collect();
    let range = kind.lengths[weighted_index(rng, &weights)];
    let length_tokens = log_uniform(rng, range.from_tokens, range.to_tokens);
    let [least, greatest] = kind.max_tokens;
    let max_tokens = rng.random_range(least..=greatest);
    let has_shared_prefix = rng.random::<f64>() < kind.shared_prefix_share;
    let history = rng.random_range(0..histories.max(1));
    let shared = History {
        seed: organisation as u64 * histories.max(1) + history,
        length_tokens: (length_tokens as f64 * SHARED_PREFIX_FRACTION) as u64,
    };
    ModelWork {
        model: kind.model.clone(),
        endpoint: kind.endpoint,
        stream: kind.stream,
        max_tokens,
        length_tokens,
        history: (has_shared_prefix && histories > 0).then_some(shared),
    }
}

fn draw_service(rng: &mut StdRng, kind: &ServiceKind) -> ServiceWork {
    ServiceWork {
        service: kind.service.clone(),
        path: kind.path.clone(),
        repeat: rng.random::<f64>() < kind.repeat_share,
    }
}

fn exponential(rng: &mut StdRng, rate_per_s: f64) -> Duration {
    let uniform: f64 = rng.random();
    // At a rate near 0 the next arrival is after the end of any run.
    Duration::try_from_secs_f64(-(1.0 - uniform).ln() / rate_per_s).unwrap_or(Duration::MAX)
}

fn log_uniform(rng: &mut StdRng, from: u64, to: u64) -> u64 {
    let low = (from as f64).ln();
    let high = (to as f64).ln();
    let drawn = (low + rng.random::<f64>() * (high - low)).exp();
    (drawn.round() as u64).clamp(from, to)
}

/// Returns a random index with probabilities proportional to `weights`.
fn weighted_index(rng: &mut StdRng, weights: &[f64]) -> usize {
    let total: f64 = weights.iter().sum();
    let mut remaining = rng.random::<f64>() * total;
    for (index, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}

fn as_us<S: serde::Serializer>(time: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
}
