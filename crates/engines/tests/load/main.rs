//! Load tests with several daemons and their engines, in virtual time and without network.
//!
//! The parameters of each load come from the published engine profile (a prompt of 5,000 tokens is
//! prefilled in 26 ms, one of 133,000 in 1.9 s, a pass takes 44 ms and more) and the targets of the
//! routes.

mod engine;
mod fleet;
mod mixed_targets;
mod organisations;
mod patterns;
#[path = "../engines/profile.rs"]
mod profile;
mod sizes;
mod value;
