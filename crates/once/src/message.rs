//! Messages between daemons, encoded with postcard.

use mangofront_settings::ids::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

use crate::ids::{ClaimId, Process};
use crate::key::{Fingerprint, OrderKey};
use crate::outcome::Record;
use crate::view::VoterSet;

/// Which processes decide about a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Decider {
    /// The process that issued it, or those that took over its records.
    Home,
    /// The voters.
    Voters,
}

/// Request of one daemon to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Request {
    /// Requests an exclusive grant of a key to a claim.
    Claim {
        order: OrderKey,
        fingerprint: Fingerprint,
        claim: ClaimId,
        /// Voter set of the claimant; `None` when the key's home decides.
        set: Option<VoterSet>,
    },
    /// Reports that a claim will never run; sent by its own process only.
    Release {
        order: OrderKey,
        decider: Decider,
        claim: ClaimId,
    },
    /// Reports the outcome of a claim's run.
    Settle {
        order: OrderKey,
        decider: Decider,
        fingerprint: Fingerprint,
        claim: ClaimId,
        record: Record,
    },
    /// Requests the status of a claim for which `voter` holds a key.
    Ask {
        order: OrderKey,
        decider: Decider,
        claim: ClaimId,
        voter: InstanceId,
    },
    /// Requests the records after a key, and fences older voter sets and former
    /// incarnations of the sender.
    Synchronise {
        process: Process,
        target: VoterSet,
        after: Option<OrderKey>,
    },
    /// Sends part of the records of a process that is shutting down.
    HandOver(ArchivePart),
}

/// Reply to a [`Request`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// The key is granted to the claim.
    Granted(Grant),
    /// The key is held by another claim or already has a record.
    Held(Holding),
    /// The voter has another voter set; the newer one applies.
    OtherSet(VoterSet),
    /// The receiver is not established, or is not a voter.
    NotReady,
    /// The receiver keeps too many records to add another.
    Full,
    /// The home never issued the key.
    NeverMinted,
    /// The home never granted the key and never will; the voters decide.
    Retired,
    /// The receiver can't decide: it is neither the key's home nor has its archive,
    /// the archive is incomplete, or the key is older than all records.
    HomeGone,
    /// Reply to [`Request::Ask`].
    Claim(ClaimAnswer),
    /// Reply to [`Request::Synchronise`].
    Page(Box<Page>),
    /// The request was applied.
    Done,
    /// The request could not be decoded or is invalid.
    Malformed,
}

/// One voter's vote.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Grant {
    pub(crate) voter: Process,
    /// Incarnations of other voters that this one has given its records to.
    pub(crate) fences: Vec<(InstanceId, Incarnation)>,
}

/// The claims that hold a key, and the outcome once it is known.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Holding {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) holders: Vec<ClaimId>,
    pub(crate) record: Option<Record>,
}

/// Status of a claim, as its own process reports it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum ClaimAnswer {
    /// It is gathering votes or running.
    Busy,
    /// It will never run.
    Released,
    /// It ran.
    Settled(Record),
    /// Made by another process, or no longer recorded.
    Forgotten,
}

/// One page of a voter's records.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Page {
    pub(crate) process: Process,
    pub(crate) view: VoterSet,
    pub(crate) established: Option<VoterSet>,
    pub(crate) pending: Vec<VoterSet>,
    /// Whether this incarnation was ever established in a set that it is a member of.
    pub(crate) is_seated: bool,
    /// Whether this incarnation has never had another set and was never established.
    pub(crate) is_first_set: bool,
    pub(crate) entries: Vec<(OrderKey, SentEntry)>,
    pub(crate) more: bool,
}

/// One record as it is sent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct SentEntry {
    pub(crate) holding: Holding,
    pub(crate) expires_in_ms: u64,
}

/// Part of the records of a process that no longer grants keys.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ArchivePart {
    pub(crate) former: Process,
    /// Lowest counter that was never issued.
    pub(crate) next_counter: u64,
    /// Lowest counter from which on the archive contains every record.
    pub(crate) complete_from: u64,
    pub(crate) entries: Vec<(u64, SentEntry)>,
    /// Number of entries in all parts.
    pub(crate) total: usize,
    pub(crate) expires_in_ms: u64,
}

pub(crate) fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Encoding fails only if `Serialize` fails or a fixed buffer is full, neither
    // of which applies here. The receiver rejects an empty message.
    postcard::to_stdvec(message).unwrap_or_default()
}
