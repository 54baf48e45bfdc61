//! Positions up to which a daemon knows the published changes.
//!
//! The source numbers its changes; a position is such a number. A daemon that knows all
//! changes up to a position can continue from there, with answers of the source or of other
//! daemons. If the source has dropped the history, or an answer may have been truncated, it
//! can't continue, and everything has to be read again. What it knew before still counts: a
//! full read that is older is rejected.
//!
//! Positions of different eras don't continue each other: nothing but a full read, or a copy of
//! all values, leads into another era, and statements of an earlier one are out of date.
//!
//! Upstreams and the configuration are tracked separately: a change of an upstream is
//! applied whether or not an earlier configuration is known.

use crate::dialect::Position;

/// Positions up to which changes are known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KnownPositions {
    /// Highest position of which anything is known.
    furthest: Option<Position>,
    /// Position up to which all changes of upstreams are known.
    upstreams: Option<Position>,
    /// Position up to which all changes of the configuration are known.
    configuration: Option<Position>,
}

impl KnownPositions {
    /// Position up to which all changes are known, if there is one.
    #[must_use]
    pub fn position(&self) -> Option<Position> {
        self.upstreams.min(self.configuration)
    }

    /// Position up to which all changes of upstreams are known, if there is one.
    #[must_use]
    pub fn upstreams(&self) -> Option<Position> {
        self.upstreams
    }

    /// Position up to which all changes of the configuration are known, if there is one.
    #[must_use]
    pub fn configuration(&self) -> Option<Position> {
        self.configuration
    }

    /// Highest position of which anything is known.
    #[must_use]
    pub fn furthest(&self) -> Option<Position> {
        self.furthest
    }

    /// Whether a full read as of `position` may replace the known values.
    #[must_use]
    pub fn accepts(&self, position: Position) -> bool {
        self.furthest <= Some(position)
    }

    /// Records that all changes up to `position` are known.
    pub fn advance(&mut self, position: Position) {
        self.advance_upstreams(position);
        self.advance_configuration(position);
    }

    /// Records that all changes of upstreams up to `position` are known.
    pub fn advance_upstreams(&mut self, position: Position) {
        self.upstreams = self.upstreams.max(Some(position));
        self.furthest = self.furthest.max(Some(position));
    }

    /// Records that all changes of the configuration up to `position` are known.
    pub fn advance_configuration(&mut self, position: Position) {
        self.configuration = self.configuration.max(Some(position));
        self.furthest = self.furthest.max(Some(position));
    }

    /// Records all changes of upstreams from `after` up to `position`; returns whether they
    /// continue the known ones without a gap.
    pub fn follow_upstreams(&mut self, after: Position, position: Position) -> bool {
        let follows = follows(self.upstreams, after, position);
        if follows {
            self.advance_upstreams(position);
        }
        follows
    }

    /// Records that the configuration has not changed from `after` up to `position`;
    /// returns whether that continues the known changes without a gap.
    pub fn follow_configuration(&mut self, after: Position, position: Position) -> bool {
        let follows = follows(self.configuration, after, position);
        if follows {
            self.advance_configuration(position);
        }
        follows
    }

    /// Records that changes may be missing, so that everything has to be read again.
    pub fn reset(&mut self) {
        self.upstreams = None;
        self.configuration = None;
    }
}

/// Whether changes from `after` up to `position` leave no gap after those that are `known`.
fn follows(known: Option<Position>, after: Position, position: Position) -> bool {
    known.is_some_and(|known| known >= position || known.includes(after))
}
