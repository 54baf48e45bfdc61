//! HTTP towards callers.
