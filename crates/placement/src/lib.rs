//! Load and cache view, length-aware routing, engine groups.
