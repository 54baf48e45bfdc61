//! Settings of a process and the published configuration, read and checked.
//!
//! Owns every document that a person writes: the JSONC settings file of a
//! process ([`process`]), the configuration that operators publish
//! ([`published`]), and the platform's list of instances ([`instances`]). Each
//! is read into typed values or refused whole, with the place of every fault
//! ([`check`]). The other crates take the typed values; none of them reads a
//! document itself.

pub mod check;
pub mod ids;
pub mod instances;
pub mod process;
pub mod published;
