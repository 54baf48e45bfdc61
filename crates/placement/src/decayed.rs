//! Sums and means that forget.

use std::time::{Duration, Instant};

/// Sum whose parts lose half their weight with every half-life.
#[derive(Debug, Clone, Copy)]
pub struct DecayedSum {
    half_life: Duration,
    value: f64,
    at: Option<Instant>,
}

impl DecayedSum {
    /// An empty sum.
    #[must_use]
    pub const fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            value: 0.0,
            at: None,
        }
    }

    /// Value at `now`.
    #[must_use]
    pub fn at(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let half_lives = (now - at).div_duration_f64(self.half_life);
        self.value * (-half_lives).exp2()
    }

    /// Adds `amount` at `now`.
    pub fn add(&mut self, amount: f64, now: Instant) {
        self.value = self.at(now) + amount;
        self.at = Some(now);
    }

    /// Rate of a steady flow that would give this value, in units a second.
    #[must_use]
    pub fn per_second(&self, now: Instant) -> f64 {
        self.at(now) * std::f64::consts::LN_2 / self.half_life.as_secs_f64()
    }
}

/// Weight of a new sample in the mean.
const MEAN_GAIN: f64 = 0.125;

/// Weight of a new sample in the deviation.
const DEVIATION_GAIN: f64 = 0.25;

/// Running mean with its mean deviation, as TCP keeps of its round trips.
#[derive(Debug, Clone, Copy, Default)]
pub struct SmoothedMean {
    mean: f64,
    deviation: f64,
    samples: u32,
}

impl SmoothedMean {
    /// Takes in a sample; one that is not finite is ignored.
    pub fn observe(&mut self, sample: f64) {
        if !sample.is_finite() {
            return;
        }
        if self.samples == 0 {
            self.mean = sample;
            self.deviation = sample.abs() / 2.0;
        } else {
            let error = sample - self.mean;
            self.mean += MEAN_GAIN * error;
            self.deviation += DEVIATION_GAIN * (error.abs() - self.deviation);
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// Mean, once there is a sample.
    #[must_use]
    pub fn mean(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.mean)
    }

    /// Mean and `deviations` mean deviations above it, once there is a sample.
    #[must_use]
    pub fn upper(&self, deviations: f64) -> Option<f64> {
        self.mean().map(|mean| mean + deviations * self.deviation)
    }
}
