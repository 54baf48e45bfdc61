//! HTTP server for callers.
//!
//! Handles a request from its first byte to the last byte of its response: reading
//! and validation (`caller`, `completion`, `service`), the order of the decisions
//! (admit, place, send, retry), and the format of errors (`error`). The decisions
//! are made by other crates: `admission` decides when a request may start,
//! `placement` where it is sent, and `once` whether an order may run; `upstream`
//! sends it. Each connection has its own task. A streamed answer has a second one,
//! so that its time limit applies even if its reader stalls.

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
