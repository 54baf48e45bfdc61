//! Messages between daemons, in postcard.

use mangofront_settings::ids::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

use crate::ids::{ClaimId, Process};
use crate::key::{Fingerprint, OrderKey};
use crate::outcome::Record;
use crate::view::VoterSet;

/// Who decides about a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Decider {
    /// The process that issued it, or those that keep its records.
    Home,
    /// The voters.
    Voters,
}

/// What one daemon asks of another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Request {
    /// Grant this key to this claim alone.
    Claim {
        order: OrderKey,
        fingerprint: Fingerprint,
        claim: ClaimId,
        /// Voters that the claimant counts; `None` when the key's home decides.
        set: Option<VoterSet>,
    },
    /// The claim will never run; sent by its own process only.
    Release {
        order: OrderKey,
        decider: Decider,
        claim: ClaimId,
    },
    /// What the run came to.
    Settle {
        order: OrderKey,
        decider: Decider,
        fingerprint: Fingerprint,
        claim: ClaimId,
        record: Record,
    },
    /// What became of the claim; `voter` holds the key for it.
    Ask {
        order: OrderKey,
        decider: Decider,
        claim: ClaimId,
        voter: InstanceId,
    },
    /// Records after a key, and a fence against former sets and former lives.
    Synchronise {
        process: Process,
        target: VoterSet,
        after: Option<OrderKey>,
    },
    /// Part of the records of a process that stops.
    HandOver(ArchivePart),
}

/// What the other answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// The key is the claim's.
    Granted(Grant),
    /// The key is another claim's, or settled.
    Held(Holding),
    /// The voter counts another set; the newer of both holds.
    OtherSet(VoterSet),
    /// The voter may have forgotten what it must know, or is no voter.
    NotReady,
    /// The voter keeps too many records.
    Full,
    /// No such key was issued.
    NeverMinted,
    /// The home never granted the key and never will; the voters may.
    Retired,
    /// This process is neither the key's home nor keeps its records.
    HomeGone,
    /// Answer to [`Request::Ask`].
    Claim(ClaimAnswer),
    /// Answer to [`Request::Synchronise`].
    Page(Box<Page>),
    /// Done.
    Done,
    /// The request could not be read.
    Malformed,
}

/// One voter's vote.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Grant {
    pub(crate) voter: Process,
    /// Lives of other voters that this one has given its records to.
    pub(crate) fences: Vec<(InstanceId, Incarnation)>,
}

/// Who holds a key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Holding {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) holders: Vec<ClaimId>,
    pub(crate) record: Option<Record>,
}

/// A claimant's word on its claim.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum ClaimAnswer {
    /// It gathers votes or runs.
    Busy,
    /// It will never run.
    Released,
    /// It ran.
    Settled(Record),
    /// Not this process's, or no longer remembered.
    Forgotten,
}

/// Part of a voter's records.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Page {
    pub(crate) process: Process,
    pub(crate) view: VoterSet,
    pub(crate) established: Option<VoterSet>,
    pub(crate) pending: Vec<VoterSet>,
    /// Whether this life was ever established in a set that it is a member of.
    pub(crate) is_seated: bool,
    /// Whether this life never had another set, nor was established.
    pub(crate) is_first_set: bool,
    pub(crate) entries: Vec<(OrderKey, SentEntry)>,
    pub(crate) more: bool,
}

/// One record on its way.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct SentEntry {
    pub(crate) holding: Holding,
    pub(crate) expires_in_ms: u64,
}

/// Part of the records of a process that stopped deciding.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ArchivePart {
    pub(crate) former: Process,
    /// First counter that was never issued.
    pub(crate) next_counter: u64,
    /// First counter whose records, if any, are all here.
    pub(crate) complete_from: u64,
    pub(crate) entries: Vec<(u64, SentEntry)>,
    /// Number of entries in all parts.
    pub(crate) total: usize,
    pub(crate) expires_in_ms: u64,
}

pub(crate) fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Only a failing `Serialize` or a full fixed buffer fails here, and these
    // types have neither; an empty message is refused by its reader.
    postcard::to_stdvec(message).unwrap_or_default()
}
