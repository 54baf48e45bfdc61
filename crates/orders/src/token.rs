//! Fencing tokens.

use std::fmt;

use mangofront_settings::ids::{Incarnation, Revision};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Token of an order; a later one compares greater, field by field.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken {
    /// Configuration that the order carries out.
    pub revision: Revision,
    /// One more than the highest that the sender saw at the engine.
    pub term: u64,
    /// Life of the sender; breaks ties of two that read the same term.
    pub incarnation: Incarnation,
}

/// The engine has seen an order of a later configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("engine has seen revision {seen}, own configuration is {own}")]
pub struct Outdated {
    /// Revision that the engine has seen.
    pub seen: Revision,
    /// Revision of this daemon.
    pub own: Revision,
}

impl FencingToken {
    /// The token of the next order, greater than `highest`.
    ///
    /// `highest` is the greatest of what the engine reports and what this
    /// daemon sent to it. No state is shared: whoever orders has read the engine
    /// first, so that its token is above all that the engine took before.
    ///
    /// # Errors
    /// [`Outdated`] when `highest` belongs to a later configuration.
    pub fn next(
        highest: Option<Self>,
        revision: Revision,
        incarnation: Incarnation,
    ) -> Result<Self, Outdated> {
        let seen = highest.map_or(0, |token| token.revision);
        if seen > revision {
            return Err(Outdated {
                seen,
                own: revision,
            });
        }
        let term = highest.map_or(0, |token| token.term).saturating_add(1);
        Ok(Self {
            revision,
            term,
            incarnation,
        })
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.revision, self.term, self.incarnation)
    }
}
