//! Bounded trail of changes.
