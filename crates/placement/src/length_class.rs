//! Length classes and their intervals of a model's stable engine order.
//!
//! Prompts are classified by their uncached tokens. Each class has an interval
//! of the order, short classes first, whose width is the class's share of recent
//! demand, so the intervals follow the demand. Every daemon counts its peers'
//! demand too, so all daemons have nearly the same intervals. Short classes get
//! more than their share: spare capacity is best kept for prompts whose waiting
//! time is long in proportion to their own run time.

use std::time::{Duration, Instant};

use crate::decayed::DecayedSum;

/// Number of length classes.
pub(crate) const LENGTH_CLASSES: usize = 6;

/// Work by length class, shortest first, in tokens.
pub(crate) type ClassTokens = [u64; LENGTH_CLASSES];

/// Upper bounds of all classes but the last, in uncached tokens.
const CLASS_BOUNDS_TOKENS: [u64; LENGTH_CLASSES - 1] = [2_048, 8_192, 32_768, 131_072, 524_288];

/// Half-life of recorded demand.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(30);

/// Demand assumed for every class in addition to the recorded one, in tokens;
/// it only matters while hardly any was recorded.
const PRIOR_DEMAND_TOKENS: f64 = 4_096.0;

/// Interval width per demand of the shortest class, relative to the longest
/// class.
const SHORT_CLASS_WIDTH_FACTOR: f64 = 2.0;

/// Class of a prompt with `tokens` uncached tokens.
pub(crate) fn length_class(tokens: u64) -> usize {
    CLASS_BOUNDS_TOKENS
        .iter()
        .take_while(|bound| tokens > **bound)
        .count()
}

/// Interval of the stable order, within 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Interval {
    pub(crate) start: f64,
    pub(crate) end: f64,
}

impl Interval {
    /// Interval covered by the `index`-th of `count` engines.
    pub(crate) fn of_engine(index: usize, count: usize) -> Self {
        let width = 1.0 / count.max(1) as f64;
        Self {
            start: index as f64 * width,
            end: (index + 1) as f64 * width,
        }
    }

    /// Gap between two intervals; zero when they touch or overlap.
    pub(crate) fn distance(&self, other: &Self) -> f64 {
        let below = other.start - self.end;
        let above = self.start - other.end;
        below.max(above).max(0.0)
    }
}

/// Recent demand for one model by length class.
#[derive(Debug)]
pub(crate) struct DemandByLength {
    own: [DecayedSum; LENGTH_CLASSES],
    peers: ClassTokens,
}

impl DemandByLength {
    pub(crate) fn new() -> Self {
        Self {
            own: [DecayedSum::new(DEMAND_HALF_LIFE); LENGTH_CLASSES],
            peers: [0; LENGTH_CLASSES],
        }
    }

    /// Records a placed prompt of `class`.
    pub(crate) fn add(&mut self, class: usize, work_tokens: f64, now: Instant) {
        self.own[class].add(work_tokens, now);
    }

    /// This daemon's own recent demand.
    pub(crate) fn own_tokens(&self, now: Instant) -> ClassTokens {
        self.own.map(|sum| sum.at(now) as u64)
    }

    /// Adds the demand that a peer published.
    pub(crate) fn add_peer(&mut self, tokens: &ClassTokens) {
        for (sum, tokens) in self.peers.iter_mut().zip(tokens) {
            *sum = sum.saturating_add(*tokens);
        }
    }

    /// Subtracts what [`Self::add_peer`] added.
    pub(crate) fn remove_peer(&mut self, tokens: &ClassTokens) {
        for (sum, tokens) in self.peers.iter_mut().zip(tokens) {
            *sum = sum.saturating_sub(*tokens);
        }
    }

    /// Resets the demand of all peers.
    pub(crate) fn clear_peers(&mut self) {
        self.peers = [0; LENGTH_CLASSES];
    }

    /// Interval of each class at `now`.
    pub(crate) fn intervals(&self, now: Instant) -> [Interval; LENGTH_CLASSES] {
        let mut widths = [0.0; LENGTH_CLASSES];
        for (class, width) in widths.iter_mut().enumerate() {
            let tokens = self.own[class].at(now) + self.peers[class] as f64 + PRIOR_DEMAND_TOKENS;
            *width = tokens * width_factor(class);
        }
        let total: f64 = widths.iter().sum();
        let mut start = 0.0;
        widths.map(|width| {
            let interval = Interval {
                start,
                end: start + width / total,
            };
            start = interval.end;
            interval
        })
    }
}

/// Decreases linearly from `SHORT_CLASS_WIDTH_FACTOR` for the shortest class to
/// 1 for the longest.
fn width_factor(class: usize) -> f64 {
    let steps = (LENGTH_CLASSES - 1) as f64;
    SHORT_CLASS_WIDTH_FACTOR - (SHORT_CLASS_WIDTH_FACTOR - 1.0) * class as f64 / steps
}
