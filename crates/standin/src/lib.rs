//! Emulators of engines, services, platform and weight store.
//!
//! Contains emulators of the systems that mangofront talks to in production.
//! Each implements its side of `docs/interfaces.md` over HTTP and has its own
//! settings, a `run` function and switches that inject the faults needed by
//! tests and experiments. `cli` starts them as processes, `load` drives them; no
//! other crate depends on them.

pub mod answer;
mod clock;
pub mod engine;
mod limits;
mod notify;
pub mod platform;
pub mod service;
pub mod weights;
