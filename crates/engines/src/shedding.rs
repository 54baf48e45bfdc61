//! Which of the largest prompts may be refused when they can't be in time.
//!
//! The largest prompts are worth least for the work that they bring, so they are
//! the ones to go when there is too much. They still have to be served more than
//! half as often as all others, so for each one placed only so many of the same
//! size are refused. Those placed in quiet times count too: a peak may be met by
//! refusing several in a row.

use std::time::Duration;

/// Sizes that are counted apart: up to twice what one engine reads within the
/// target, up to four times, and more.
const SIZES: usize = 3;

/// Prompts that may be refused for each one of the same size that is placed.
///
/// Callers come back once, so that also at a lasting peak more than half are
/// served in the end.
const REFUSED_FOR_PLACED: f64 = 2.0;

/// Most that may be refused in a row.
const ROW_LIMIT: f64 = 8.0;

/// Whether the request that drew `lot` is among the `percent` that may be refused.
pub(crate) fn is_drawn(lot: u64, percent: u64) -> bool {
    lot % 100 < percent
}

/// How many of each size may be refused.
#[derive(Debug)]
pub(crate) struct Shedding {
    allowed: [f64; SIZES],
}

impl Default for Shedding {
    fn default() -> Self {
        Self {
            allowed: [REFUSED_FOR_PLACED; SIZES],
        }
    }
}

/// A size of the largest prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Size(usize);

impl Size {
    /// The size of a prompt that one engine reads in `read_ms`; none if that is
    /// within its target.
    pub(crate) fn of(read_ms: f64, target: Duration) -> Option<Self> {
        let targets = read_ms / (target.as_secs_f64() * 1_000.0).max(1.0);
        match targets {
            ..=1.0 => None,
            ..=2.0 => Some(Self(0)),
            ..=4.0 => Some(Self(1)),
            _ => Some(Self(2)),
        }
    }
}

impl Shedding {
    /// Whether one of `size` may be refused.
    pub(crate) fn may_refuse(&self, size: Size) -> bool {
        self.allowed[size.0] >= 1.0
    }

    /// Notes that one of `size` was placed.
    pub(crate) fn placed(&mut self, size: Size) {
        let allowed = &mut self.allowed[size.0];
        *allowed = (*allowed + REFUSED_FOR_PLACED).min(ROW_LIMIT);
    }

    /// Notes that one of `size` was refused.
    pub(crate) fn refused(&mut self, size: Size) {
        let allowed = &mut self.allowed[size.0];
        *allowed = (*allowed - 1.0).max(0.0);
    }
}
