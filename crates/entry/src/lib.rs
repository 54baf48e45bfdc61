//! HTTP towards callers.
//!
//! Owns a request from the caller's first byte to the last byte of its answer:
//! reading and checking it (`caller`, `completion`, `service`), the
//! order of decisions (admit, place, send, try again), and the shape of what
//! the caller sees (`error`). The decisions themselves are its neighbours':
//! `admission` says when, `placement` where, `once` whether at all, `upstream`
//! sends. One task serves each connection; a streamed answer gets a second
//! one, so that its time limit holds also when its reader stands still.

mod bodies;
mod caller;
mod completion;
mod context;
mod error;
mod models;
mod progress;
mod router;
mod service;

pub use context::{Entry, EntryLimits, EntryParts};
