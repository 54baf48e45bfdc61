//! Beginnings of prompts that engines still hold, weighed against the wait.
//!
//! An engine that retains a prompt after its request reads only the rest of the next prompt that
//! begins alike. Sending all of them there saves work until its queue costs more than the work
//! saved, or until the engine has dropped the prompt to make room. [`PrefixTable`] records which
//! engine read which beginnings, and how far that is still believable; [`PrefixTable::corrections`]
//! weighs it for one request, as a correction of each candidate's cost.
//!
//! The table answers these loads: one beginning shared by most requests, many sessions that each
//! resume their own prompt, and engines that evict, restart, fill up or start cold.
//!
//! This crate does no input or output. Times are passed in, so it runs in virtual time.

mod beginning;
mod table;
mod weigh;

pub use beginning::{
    Beginning, BeginningHash, MAX_BEGINNINGS, PromptPart, PromptPartId, beginnings,
};
pub use table::{Engine, EngineKey, PrefixTable, TableLimits};
pub use weigh::{Candidate, Prompt};
