//! Positions in the history of a source.
//!
//! A source numbers its changes. If it is restored from an earlier state, it gives out numbers
//! again that it had given out before, and begins another era. Revisions of different eras say
//! nothing about each other: a position of a later era is later, whatever its revision, and no
//! change of one era continues the history of another.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of an era of a source; 0 if the source states none.
pub type Era = u32;

/// Number of a change within an era.
pub type Revision = u64;

/// Position in the history of a source.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Era of the source's numbering.
    pub era: Era,
    /// Number of the change in that era.
    pub revision: Revision,
}

impl Position {
    /// Creates a position.
    #[must_use]
    pub const fn new(era: Era, revision: Revision) -> Self {
        Self { era, revision }
    }

    /// Whether whoever knows all changes up to here knows those up to `other`, which is of the
    /// same era.
    #[must_use]
    pub fn includes(self, other: Self) -> bool {
        self.era == other.era && self.revision >= other.revision
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of era {}", self.revision, self.era)
    }
}
