//! Parameters of the search for the highest rate.

use std::net::SocketAddr;
use std::time::Duration;

use crate::answers::AnswerRule;
use crate::probe::PromptSize;
use crate::process::Pid;

/// Default rate of the first step, in requests per second.
const DEFAULT_FIRST_RATE_PER_S: f64 = 50.0;

/// Default factor between the rates of two steps.
const DEFAULT_GROWTH: f64 = 1.25;

/// Default duration of a step.
const DEFAULT_STEP: Duration = Duration::from_secs(5);

/// Default maximum number of steps.
const DEFAULT_STEPS_CAP: u64 = 25;

/// Default maximum time to first token at p99, in milliseconds: the users' target.
const DEFAULT_FIRST_TOKEN_LIMIT_MS: f64 = 520.0;

/// Default maximum number of requests in flight.
const DEFAULT_CONCURRENCY_CAP: usize = 2000;

/// Parameters of the search for the highest rate.
#[derive(Debug, Clone)]
pub struct CapacityPlan {
    pub(super) targets: Vec<SocketAddr>,
    pub(super) pid: Option<Pid>,
    pub(super) rule: AnswerRule,
    pub(super) first_rate_per_s: f64,
    pub(super) growth: f64,
    pub(super) step: Duration,
    pub(super) steps_cap: u64,
    pub(super) first_token_limit_ms: f64,
    pub(super) prompt_size: PromptSize,
    pub(super) concurrency_cap: usize,
}

impl CapacityPlan {
    /// Plans a search for the highest rate that `targets` sustain.
    #[must_use]
    pub const fn new(targets: Vec<SocketAddr>) -> Self {
        Self {
            targets,
            pid: None,
            rule: AnswerRule::standin(),
            first_rate_per_s: DEFAULT_FIRST_RATE_PER_S,
            growth: DEFAULT_GROWTH,
            step: DEFAULT_STEP,
            steps_cap: DEFAULT_STEPS_CAP,
            first_token_limit_ms: DEFAULT_FIRST_TOKEN_LIMIT_MS,
            prompt_size: PromptSize::SHORT,
            concurrency_cap: DEFAULT_CONCURRENCY_CAP,
        }
    }

    /// Process whose resource usage is measured; none by default.
    #[must_use]
    pub const fn pid(mut self, pid: Option<Pid>) -> Self {
        self.pid = pid;
        self
    }

    /// Rule that defines the engines' answers; the emulated engine's by default.
    #[must_use]
    pub const fn rule(mut self, rule: AnswerRule) -> Self {
        self.rule = rule;
        self
    }

    /// Rate of the first step, in requests per second; 50 by default.
    #[must_use]
    pub const fn first_rate_per_s(mut self, rate_per_s: f64) -> Self {
        self.first_rate_per_s = rate_per_s;
        self
    }

    /// Factor between the rates of two steps, above 1; 1.25 by default.
    #[must_use]
    pub const fn growth(mut self, growth: f64) -> Self {
        self.growth = growth;
        self
    }

    /// Duration of a step; 5 s by default.
    #[must_use]
    pub const fn step(mut self, step: Duration) -> Self {
        self.step = step;
        self
    }

    /// Maximum number of steps; 25 by default.
    #[must_use]
    pub const fn steps_cap(mut self, steps_cap: u64) -> Self {
        self.steps_cap = steps_cap;
        self
    }

    /// Maximum time to first token at p99 of a step that passes, in
    /// milliseconds; 520 by default.
    #[must_use]
    pub const fn first_token_limit_ms(mut self, limit_ms: f64) -> Self {
        self.first_token_limit_ms = limit_ms;
        self
    }

    /// Size of the prompts; [`PromptSize::SHORT`] by default.
    #[must_use]
    pub const fn prompt_size(mut self, size: PromptSize) -> Self {
        self.prompt_size = size;
        self
    }

    /// Maximum number of requests in flight; 2000 by default.
    #[must_use]
    pub const fn concurrency_cap(mut self, concurrency_cap: usize) -> Self {
        self.concurrency_cap = concurrency_cap;
        self
    }
}
