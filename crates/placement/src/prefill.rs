//! Linear model of an engine's prefill time, learned from observed requests.
//!
//! The time to first token is modelled as a fixed part plus a time per token of
//! work (queued and uncached tokens). The line is fitted by weighted least
//! squares. Weights are the inverse square of a sample's size, because errors
//! grow with the size and prompts differ by a factor of a thousand: without
//! weights, one prompt of a million tokens would determine the fixed part for
//! all short ones. Samples decay with a half-life of 30 seconds, so without
//! traffic the line returns to the prior, the median line of the model's
//! engines.

use std::time::{Duration, Instant};

/// Half-life of a sample's weight.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// Factor by which each new sample reduces the weight of earlier ones.
const SAMPLE_RETENTION: f64 = 0.98;

/// Weight of each of the two points that represent the prior.
const PRIOR_WEIGHT: f64 = 0.5;

/// Sizes of the points that represent the prior, in thousands of tokens.
const PRIOR_SIZES_K: [f64; 2] = [1.0, 64.0];

/// Samples are clamped to within this factor of the prediction.
const MAX_DEVIATION_FACTOR: f64 = 8.0;

/// Lower bound of the time per token, in seconds.
const MIN_SECONDS_PER_TOKEN: f64 = 1e-7;

/// Prefill rate assumed until one is observed or reported, in tokens per second.
const INITIAL_TOKENS_PER_S: f64 = 8_000.0;

/// Range to which reported rates are clamped, in tokens per second.
const REPORTED_TOKENS_PER_S: std::ops::RangeInclusive<f64> = 500.0..=200_000.0;

/// Time to first token as a linear function of the work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PrefillLine {
    /// Fixed part, in seconds.
    pub(crate) base_s: f64,
    /// Time per token, in seconds.
    pub(crate) token_s: f64,
}

impl PrefillLine {
    /// Line of an engine of which at most the reported rate is known.
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

    /// Time for `tokens` tokens of work, in seconds.
    pub(crate) fn time_s(&self, tokens: f64) -> f64 {
        self.base_s + tokens * self.token_s
    }
}

/// Weighted sums of a least-squares fit.
///
/// Invariant: every sum is finite and not negative. Sizes are in thousands of
/// tokens, which keeps the sums in a similar range.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PrefillFit {
    sums: RegressionSums,
    samples: u32,
    at: Option<Instant>,
}

impl PrefillFit {
    /// Number of samples since the fit was last reset.
    pub(crate) fn samples(&self) -> u32 {
        self.samples
    }

    /// Adds a sample: `tokens` of work took `measured`, predicted by `expected`.
    pub(crate) fn observe(
        &mut self,
        tokens: f64,
        measured: Duration,
        expected: PrefillLine,
        now: Instant,
    ) {
        let expected_s = expected.time_s(tokens).max(f64::MIN_POSITIVE);
        let measured_s = measured.as_secs_f64().clamp(
            expected_s / MAX_DEVIATION_FACTOR,
            expected_s * MAX_DEVIATION_FACTOR,
        );
        self.sums = self.decayed(now).scaled(SAMPLE_RETENTION);
        self.sums.add(tokens / 1e3, measured_s, 1.0);
        self.samples = self.samples.saturating_add(1);
        self.at = Some(now);
    }

    /// Line at `now`; the fewer or older the samples, the closer to `prior`.
    pub(crate) fn line(&self, prior: PrefillLine, now: Instant) -> PrefillLine {
        let mut sums = self.decayed(now);
        for size_k in PRIOR_SIZES_K {
            sums.add(size_k, prior.time_s(size_k * 1e3), PRIOR_WEIGHT);
        }
        sums.line()
    }

    fn decayed(&self, now: Instant) -> RegressionSums {
        let Some(at) = self.at else {
            return self.sums;
        };
        let half_lives = (now - at).div_duration_f64(HALF_LIFE);
        self.sums.scaled((-half_lives).exp2())
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct RegressionSums {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl RegressionSums {
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
        // A negative fixed part is impossible; fits a line through the origin
        // instead.
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
