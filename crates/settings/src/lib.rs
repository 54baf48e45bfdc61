//! Parsing and validation of process settings and the published configuration.
//!
//! This crate defines the types of the JSONC settings file of a process
//! ([`process`]), of the configuration that operators publish ([`published`]), and
//! of the platform's list of instances ([`instances`]). Settings and configuration
//! are either parsed into typed values or rejected as a whole, with the location of
//! every fault ([`check`]). The other crates use the typed values and don't parse
//! these documents themselves.

pub mod check;
pub mod ids;
pub mod instances;
pub mod process;
pub mod published;
