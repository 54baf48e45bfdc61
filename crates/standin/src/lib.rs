//! Emulators of engines, services, platform and weight store.
//!
//! Owns the small processes that take the place of what mangofront meets in
//! production. Each speaks its side of `docs/interfaces.md` over HTTP, has its
//! own settings and a `run` function, and carries switches that bring about
//! the failures that tests and experiments need. `cli` starts them as
//! processes, `load` drives them; no other crate depends on them.

pub mod answer;
mod clock;
pub mod engine;
mod limits;
mod notify;
pub mod platform;
pub mod service;
pub mod weights;
