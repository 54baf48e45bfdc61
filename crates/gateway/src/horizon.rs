//! How far a daemon knows what is published.
//!
//! The source counts its changes; a position names one of them. A daemon that knows all
//! changes up to its position can follow on from there, by the source's answers or by
//! other daemons' words. It may lose that thread, when the source has dropped the history
//! or an answer may have been cut; everything has to be read then. What it knew before
//! stays known: nobody's older word may bring back what it has seen replaced.

use crate::dialect::Position;

/// How far changes are known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Horizon {
    /// Furthest position of which something is known.
    furthest: Option<Position>,
    /// Whether all changes up to it are known.
    is_complete: bool,
    /// Position of the last change.
    last_change: Position,
    /// Position of the last change of an upstream.
    last_upstream_change: Position,
}

/// How changes that somebody tells of go with what is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Continuation {
    /// All of them are known.
    Known,
    /// They follow on from what is known.
    Next,
    /// Others between them and what is known are missing.
    Gap,
}

impl Horizon {
    /// Position up to which all changes are known, if there is one.
    #[must_use]
    pub fn position(&self) -> Option<Position> {
        self.furthest.filter(|_| self.is_complete)
    }

    /// Position of the last change.
    #[must_use]
    pub fn last_change(&self) -> Position {
        self.last_change
    }

    /// Whether all changes of upstreams are known to one who knows all up to `position`.
    #[must_use]
    pub fn has_upstreams_of(&self, position: Position) -> bool {
        position >= self.last_upstream_change
    }

    /// Whether everything as of `position` may replace what is known.
    #[must_use]
    pub fn accepts(&self, position: Position) -> bool {
        self.furthest.is_none_or(|furthest| furthest <= position)
    }

    /// How all changes from `after` up to `position` go with what is known.
    #[must_use]
    pub fn continuation(&self, after: Position, position: Position) -> Continuation {
        match self.position() {
            Some(known) if known >= position => Continuation::Known,
            Some(known) if known >= after => Continuation::Next,
            _ => Continuation::Gap,
        }
    }

    /// Notes that nothing has changed up to `position`.
    pub fn confirm(&mut self, position: Position) {
        self.furthest = self.furthest.max(Some(position));
    }

    /// Notes that all changes up to `position` were taken in.
    pub fn advance(&mut self, position: Position, of_upstreams: bool) {
        self.replace(position, position);
        if of_upstreams {
            self.last_upstream_change = position;
        }
    }

    /// Notes that everything as of `position` was taken in but for the upstreams, which
    /// had not changed.
    pub fn replace(&mut self, position: Position, last_change: Position) {
        self.furthest = Some(position);
        self.is_complete = true;
        self.last_change = last_change;
    }

    /// Notes that upstreams were taken over whose last change is at `position` or before.
    pub fn replace_upstreams(&mut self, position: Position) {
        self.last_upstream_change = position;
    }

    /// Notes that changes may be missing, so that everything has to be read.
    pub fn lose(&mut self) {
        self.is_complete = false;
    }
}
