//! Tracks which upstreams a process reaches itself.
//!
//! An attempt without an answer has two explanations: the upstream failed, or the path from
//! this process to it did. Only another process can tell them apart. [`PathTable`] collects
//! the evidence: bytes received, failed attempts, probes, and what other processes see of the
//! same upstream. It decides whether the next attempt takes the direct path or a proxy, and
//! which paths to probe.
//!
//! A path counts as lost once another process reached the upstream and this one did not. If
//! many paths are lost, of all or of one service, those that were not proven since are avoided
//! too, until a probe has shown that they work. A path is used again after a successful probe; one that was lost again soon
//! after its return needs several in a row.
//!
//! This crate does no input or output, and all methods take the current time.

mod options;
mod path;
mod table;

pub use options::PathOptions;
pub use path::{PathFault, Route};
pub use table::{KnownUpstream, PathGroup, PathKey, PathSummary, PathTable};
