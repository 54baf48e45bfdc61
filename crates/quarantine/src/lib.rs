//! Finds out what crashes upstreams, and keeps it from them.
//!
//! An upstream that ends takes everything with it that it was running, so what is at fault stands
//! out only by being present at several crashes. Suspects are whole requests, which may come again
//! at any daemon, and parts of prompts, which any number of different requests may share
//! ([`Suspect`]).
//!
//! For each suspect a [`CrashTracker`] records the upstream incarnations that ended while they ran
//! it, and those of them for which it was cleared later, as an upstream answered it. Both sets only
//! grow, so records of other daemons merge in any order, duplicated or late, and each incarnation
//! counts once.
//!
//! To count crashes alone would blame what most requests share. The verdict is that of group
//! testing: the suspect with the most crashes is blamed first, and the crashes that it explains
//! count against no other. The verdict follows from the records alone, so it is the same at all
//! daemons that know the same, and a wrong one ends by itself when further crashes point elsewhere.
//!
//! A suspect that is blamed for [`BLAMED_CRASHES`] crashes is quarantined. Nothing clears it while
//! no upstream runs it, so single requests are tried: a prompt part soon, as sound prompts may
//! share it, and after some trials that failed ever more rarely. A whole request is tried only
//! after a quarantine that doubles with each crash.
//!
//! The crate does no input or output.

mod history;
mod suspect;
mod tracker;
mod verdicts;

pub use history::{CrashRecord, Organisations, QuarantineState};
pub use suspect::{
    IncarnationKey, OrganisationKey, PromptPartId, RequestFingerprint, ServiceKey, Suspect,
};
pub use tracker::{CrashTracker, LostRequest, SuspectStatus};

/// Crashes for which a suspect has to be blamed to be quarantined.
pub const BLAMED_CRASHES: usize = 3;
