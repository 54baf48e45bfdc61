//! Fencing tokens.

use std::fmt;

use mangofront_settings::ids::{Incarnation, Revision};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Token of an order; tokens are compared field by field, and a later order has
/// the greater one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken {
    /// Revision of the configuration that the order applies.
    pub revision: Revision,
    /// One more than the highest term that the sender read from the engine.
    pub term: u64,
    /// Incarnation of the sender; breaks ties between daemons that read the same
    /// term.
    pub incarnation: Incarnation,
}

/// The engine has seen an order of a newer configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("engine has seen revision {seen}, own configuration is {own}")]
pub struct Outdated {
    /// Revision that the engine has seen.
    pub seen: Revision,
    /// Revision of this daemon's configuration.
    pub own: Revision,
}

impl FencingToken {
    /// The token of the next order, greater than `highest`.
    ///
    /// `highest` is the maximum of the token that the engine reports and the last
    /// one that this daemon sent to it. Daemons share no state: each reads the
    /// engine before it sends an order, so its token is greater than all tokens
    /// that the engine accepted before that read.
    ///
    /// # Errors
    /// [`Outdated`] when `highest` belongs to a newer configuration.
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
