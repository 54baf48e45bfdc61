//! Which part of the stable order a prompt's length belongs to.
//!
//! Prompts fall into classes by the work they bring, and each class has an
//! interval of the order, short ones first, as wide as its share of the recent
//! demand. So the borders move with the demand, and since every daemon counts
//! its peers' demand too, all have nearly the same borders. Short classes get
//! more than their share: what is idle for a moment is kept where waiting hurts
//! most, in proportion to the prompt's own time.

use std::time::{Duration, Instant};

use crate::decayed::DecayedSum;

/// Number of length classes.
pub(crate) const LENGTH_CLASSES: usize = 6;

/// Work by length class, shortest first, in tokens.
pub(crate) type ClassTokens = [u64; LENGTH_CLASSES];

/// Upper bounds of all classes but the last, in tokens of uncached prompt.
const CLASS_BOUNDS_TOKENS: [u64; LENGTH_CLASSES - 1] = [2_048, 8_192, 32_768, 131_072, 524_288];

/// Time in which demand loses half its weight.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// Demand that every class is taken to have had, in tokens: it only decides
/// while nothing was asked for yet.
const PRIOR_TOKENS: f64 = 4_096.0;

/// Width given to the shortest class for its demand, relative to the longest.
const SHORT_WIDTH: f64 = 2.0;

/// Class of a prompt that brings `tokens` of work.
pub(crate) fn length_class(tokens: u64) -> usize {
    CLASS_BOUNDS_TOKENS
        .iter()
        .take_while(|bound| tokens > **bound)
        .count()
}

/// Part of the stable order, from 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Interval {
    pub(crate) start: f64,
    pub(crate) end: f64,
}

impl Interval {
    /// Part of the order that the `index`-th of `count` engines stands for.
    pub(crate) fn of_engine(index: usize, count: usize) -> Self {
        let width = 1.0 / count.max(1) as f64;
        Self {
            start: index as f64 * width,
            end: (index + 1) as f64 * width,
        }
    }

    /// Gap between two intervals; zero when they meet.
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
            own: [DecayedSum::new(HALF_LIFE); LENGTH_CLASSES],
            peers: [0; LENGTH_CLASSES],
        }
    }

    /// Notes a placed prompt of `class`.
    pub(crate) fn add(&mut self, class: usize, work_tokens: f64, now: Instant) {
        self.own[class].add(work_tokens, now);
    }

    /// This daemon's own recent demand.
    pub(crate) fn own_tokens(&self, now: Instant) -> ClassTokens {
        self.own.map(|sum| sum.at(now) as u64)
    }

    /// Adds what a peer says of its demand.
    pub(crate) fn add_peer(&mut self, tokens: &ClassTokens) {
        for (sum, tokens) in self.peers.iter_mut().zip(tokens) {
            *sum = sum.saturating_add(*tokens);
        }
    }

    /// Takes out what [`Self::add_peer`] added.
    pub(crate) fn remove_peer(&mut self, tokens: &ClassTokens) {
        for (sum, tokens) in self.peers.iter_mut().zip(tokens) {
            *sum = sum.saturating_sub(*tokens);
        }
    }

    /// Forgets all peers.
    pub(crate) fn clear_peers(&mut self) {
        self.peers = [0; LENGTH_CLASSES];
    }

    /// Interval of each class at `now`.
    pub(crate) fn intervals(&self, now: Instant) -> [Interval; LENGTH_CLASSES] {
        let mut widths = [0.0; LENGTH_CLASSES];
        for (class, width) in widths.iter_mut().enumerate() {
            let tokens = self.own[class].at(now) + self.peers[class] as f64 + PRIOR_TOKENS;
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

/// Falls evenly from the shortest class's factor to one.
fn width_factor(class: usize) -> f64 {
    let steps = (LENGTH_CLASSES - 1) as f64;
    SHORT_WIDTH - (SHORT_WIDTH - 1.0) * class as f64 / steps
}
