//! How far a daemon knows what is published.
//!
//! The source counts its changes; a position names one of them. A daemon that knows all
//! changes up to its position can follow on from there, by the source's answers or by
//! other daemons' words. It may lose that thread, when the source has dropped the history
//! or an answer may have been cut; everything has to be read then. What it knew before
//! stays known: a reading that is older than that is refused.
//!
//! Upstreams and the configuration are followed apart: a change of an upstream is taken in
//! whether or not a configuration before it is known.

use crate::dialect::Position;

/// How far changes are known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KnownPositions {
    /// Furthest position of which something is known.
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

    /// Whether everything as of `position` may replace what is known.
    #[must_use]
    pub fn accepts(&self, position: Position) -> bool {
        self.furthest <= Some(position)
    }

    /// Notes that all changes up to `position` are known.
    pub fn advance(&mut self, position: Position) {
        self.advance_upstreams(position);
        self.advance_configuration(position);
    }

    /// Notes that all changes of upstreams up to `position` are known.
    pub fn advance_upstreams(&mut self, position: Position) {
        self.upstreams = self.upstreams.max(Some(position));
        self.furthest = self.furthest.max(Some(position));
    }

    /// Notes that all changes of the configuration up to `position` are known.
    pub fn advance_configuration(&mut self, position: Position) {
        self.configuration = self.configuration.max(Some(position));
        self.furthest = self.furthest.max(Some(position));
    }

    /// Notes all changes of upstreams from `after` up to `position`; whether they follow on
    /// what is known.
    pub fn follow_upstreams(&mut self, after: Position, position: Position) -> bool {
        let follows = self.upstreams.is_some_and(|known| known >= after);
        if follows {
            self.advance_upstreams(position);
        }
        follows
    }

    /// Notes that the configuration has not changed from `after` up to `position`; whether
    /// that follows on what is known.
    pub fn follow_configuration(&mut self, after: Position, position: Position) -> bool {
        let follows = self.configuration.is_some_and(|known| known >= after);
        if follows {
            self.advance_configuration(position);
        }
        follows
    }

    /// Notes that changes may be missing, so that everything has to be read.
    pub fn reset(&mut self) {
        self.upstreams = None;
        self.configuration = None;
    }
}
