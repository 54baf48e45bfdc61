//! An engine's prefill rate, learned from the first tokens it gave.
//!
//! Time to first token is taken as a line over the work in front of it (queued
//! and uncached tokens): a fixed part and a time for each token. The line is
//! fitted by least squares over samples that are weighted by the inverse
//! square of their size, since their scatter grows with their size and prompts
//! differ a thousandfold; without the weights one prompt of a million tokens
//! would decide the fixed part of all short ones. Samples fade within half a
//! minute, so a belief that no traffic renews returns to the prior, which is
//! the typical line of the model's other engines.

use std::time::{Duration, Instant};

/// Time in which a sample loses half its weight.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// Share of the sums that each new sample leaves.
const RETAINED: f64 = 0.98;

/// Weight of each of the two points that stand for the prior.
const PRIOR_WEIGHT: f64 = 0.5;

/// Sizes at which the prior is held, in thousands of tokens.
const PRIOR_SIZES_K: [f64; 2] = [1.0, 64.0];

/// A sample further from the prediction than this factor counts as this far.
const MAX_SURPRISE: f64 = 8.0;

/// Fastest rate believed, as seconds for a token.
const MIN_SECONDS_PER_TOKEN: f64 = 1e-7;

/// Prefill rate before anything was observed or reported, in tokens a second.
const INITIAL_TOKENS_PER_S: f64 = 8_000.0;

/// Reported rates outside this range are clamped, in tokens a second.
const REPORTED_TOKENS_PER_S: std::ops::RangeInclusive<f64> = 500.0..=200_000.0;

/// Time to first token as a line over the work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PrefillLine {
    /// Part that does not depend on the work, in seconds.
    pub(crate) base_s: f64,
    /// Time for each token, in seconds.
    pub(crate) token_s: f64,
}

impl PrefillLine {
    /// The line of an engine about which only its own word is known.
    pub(crate) fn reported(tokens_per_s: Option<f64>) -> Self {
        let tokens_per_s = tokens_per_s
            .filter(|rate| rate.is_finite() && *rate > 0.0)
            .map_or(INITIAL_TOKENS_PER_S, |rate| {
                rate.clamp(*REPORTED_TOKENS_PER_S.start(), *REPORTED_TOKENS_PER_S.end())
            });
        Self {
            base_s: 0.0,
            token_s: 1.0 / tokens_per_s,
        }
    }

    /// Time for `tokens` of work, in seconds.
    pub(crate) fn time_s(&self, tokens: f64) -> f64 {
        self.base_s + tokens * self.token_s
    }
}

/// Weighted sums of a least-squares fit.
///
/// Invariant: every sum is finite and not negative; sizes are in thousands of
/// tokens, so that the sums stay of one magnitude.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PrefillFit {
    sums: Sums,
    samples: u32,
    at: Option<Instant>,
}

impl PrefillFit {
    /// Samples taken since the fit was last forgotten.
    pub(crate) fn samples(&self) -> u32 {
        self.samples
    }

    /// Takes in that `tokens` of work took `measured`, where `expected` was the line.
    pub(crate) fn observe(
        &mut self,
        tokens: f64,
        measured: Duration,
        expected: PrefillLine,
        now: Instant,
    ) {
        let expected_s = expected.time_s(tokens).max(f64::MIN_POSITIVE);
        let measured_s = measured
            .as_secs_f64()
            .clamp(expected_s / MAX_SURPRISE, expected_s * MAX_SURPRISE);
        self.sums = self.faded(now).scaled(RETAINED);
        self.sums.add(tokens / 1e3, measured_s, 1.0);
        self.samples = self.samples.saturating_add(1);
        self.at = Some(now);
    }

    /// The line at `now`, held to `prior` as far as samples are few or old.
    pub(crate) fn line(&self, prior: PrefillLine, now: Instant) -> PrefillLine {
        let mut sums = self.faded(now);
        for size_k in PRIOR_SIZES_K {
            sums.add(size_k, prior.time_s(size_k * 1e3), PRIOR_WEIGHT);
        }
        sums.line()
    }

    fn faded(&self, now: Instant) -> Sums {
        let Some(at) = self.at else {
            return self.sums;
        };
        let half_lives = (now - at).div_duration_f64(HALF_LIFE);
        self.sums.scaled((-half_lives).exp2())
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Sums {
    fn add(&mut self, x: f64, y: f64, weight: f64) {
        let weight = weight / ((x + 1.0) * (x + 1.0));
        self.n += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }

    fn scaled(&self, by: f64) -> Self {
        Self {
            n: self.n * by,
            x: self.x * by,
            y: self.y * by,
            xx: self.xx * by,
            xy: self.xy * by,
        }
    }

    fn line(&self) -> PrefillLine {
        let spread = self.n * self.xx - self.x * self.x;
        let slope = (self.n * self.xy - self.x * self.y) / spread;
        let base_s = (self.y - slope * self.x) / self.n;
        // Work can't take negative time: a fit that says so goes through zero.
        let slope = if base_s < 0.0 {
            self.xy / self.xx
        } else {
            slope
        };
        PrefillLine {
            base_s: base_s.max(0.0),
            token_s: (slope / 1e3).max(MIN_SECONDS_PER_TOKEN),
        }
    }
}
