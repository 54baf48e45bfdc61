//! Claims on plain keys.
//!
//! A claim is first sent to the key's first reachable voter alone, so that
//! concurrent claims on one key mostly conflict there, and then to all other
//! voters in parallel. Minted keys are claimed in [`crate::gather_minted`].

use std::rc::Rc;
use std::time::Instant;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use mangofront_settings::ids::InstanceId;

use crate::core::Core;
use crate::fence::count_valid;
use crate::ids::ClaimId;
use crate::key::{Fingerprint, OrderKey};
use crate::message::{ClaimAnswer, Decider, Grant, Holding, Reply, Request};
use crate::open_claim::OpenClaim;
use crate::options::DisabledSafeguard;
use crate::outcome::{NotRunReason, OrderError, Record, UnknownReason};
use crate::transport::TransportError;
use crate::view::{VoterSet, rendezvous_order};

/// Result of claiming a key.
pub(crate) enum ClaimOutcome {
    /// Only this claim may run the key.
    Won(OpenClaim),
    /// The key ran, with this outcome.
    AlreadyRan(Record),
    /// The key has not run.
    NotRun(NotRunReason),
    /// The call itself is invalid.
    Rejected(OrderError),
    /// Another claim runs or gathers votes; retry until the deadline.
    Busy(UnknownReason),
    /// Undecided; retry until [`crate::OnceOptions::claim_timeout`] has passed.
    Retry(UnknownReason),
    /// Undecided, and a retry would not help.
    GiveUp(UnknownReason),
}

/// Key and fingerprint of the order for which a claim is made.
#[derive(Debug, Clone)]
pub(crate) struct OrderIdentity {
    pub(crate) order: OrderKey,
    pub(crate) fingerprint: Fingerprint,
}

/// Result of querying the claims that hold a key.
pub(crate) enum HolderResolution {
    Resolved(ClaimOutcome),
    /// No holder's outcome is known; other voters may still grant the key.
    Orphaned(String),
}

impl Core {
    pub(crate) fn open(
        self: &Rc<Self>,
        identity: &OrderIdentity,
        decider: Decider,
        outcome_holders: Vec<InstanceId>,
    ) -> Option<OpenClaim> {
        let opened_at = Instant::now();
        let id = self.claims.borrow_mut().open(opened_at)?;
        Some(OpenClaim {
            core: Rc::clone(self),
            id,
            opened_at,
            order: identity.order.clone(),
            decider,
            fingerprint: identity.fingerprint,
            contacted: Vec::new(),
            outcome_holders,
        })
    }

    /// Claims a plain key.
    pub(crate) async fn claim_plain(self: &Rc<Self>, identity: &OrderIdentity) -> ClaimOutcome {
        let Some(set) = self.state.borrow().voter.view().cloned() else {
            return ClaimOutcome::Retry(no_majority("no list of instances yet"));
        };
        let Some(mut claim) = self.open(identity, Decider::Voters, set.members.clone()) else {
            return ClaimOutcome::Retry(no_majority("too many claims are open"));
        };
        let request = Request::Claim {
            order: identity.order.clone(),
            fingerprint: identity.fingerprint,
            claim: claim.id.clone(),
            set: Some(set.clone()),
        };
        let mut tally = Tally::new(&set, self.options.disabled);
        let ranked = rendezvous_order(&set.members, &identity.order.key);
        let mut voters = self.suspects_last(ranked).into_iter();
        for voter in voters.by_ref() {
            claim.contacted.push(voter.clone());
            let replied = self.call(&voter, &request).await;
            let reached = replied.is_ok();
            if let Some(outcome) = self
                .record_reply(identity, &mut tally, voter, replied)
                .await
            {
                return outcome;
            }
            if reached {
                break;
            }
        }
        let remaining: Vec<InstanceId> = voters.collect();
        claim.contacted.extend(remaining.iter().cloned());
        let mut calls: FuturesUnordered<_> = remaining
            .into_iter()
            .map(|voter| async {
                let replied = self.call(&voter, &request).await;
                (voter, replied)
            })
            .collect();
        // Continues even if no majority is possible: a voter may know the outcome.
        while !tally.is_won() {
            let Some((voter, replied)) = calls.next().await else {
                break;
            };
            if let Some(outcome) = self
                .record_reply(identity, &mut tally, voter, replied)
                .await
            {
                return outcome;
            }
        }
        drop(calls);
        if tally.is_won() {
            return ClaimOutcome::Won(claim);
        }
        ClaimOutcome::Retry(UnknownReason::NoMajority(tally.refusals.join("; ")))
    }

    /// Counts one voter's reply; returns an outcome if the reply decides the claim.
    async fn record_reply(
        self: &Rc<Self>,
        identity: &OrderIdentity,
        tally: &mut Tally,
        voter: InstanceId,
        replied: Result<Reply, TransportError>,
    ) -> Option<ClaimOutcome> {
        let refusal = match replied {
            Ok(Reply::Granted(grant)) if grant.voter.instance == voter => {
                tally.grants.push(grant);
                return None;
            }
            Ok(Reply::Held(holding)) => match self
                .resolve_holders(identity, Decider::Voters, &voter, holding)
                .await
            {
                HolderResolution::Resolved(outcome) => return Some(outcome),
                HolderResolution::Orphaned(why) => why,
            },
            Ok(Reply::OtherSet(set)) => {
                self.state.borrow_mut().voter.adopt(&set);
                "another set of voters".to_owned()
            }
            Ok(Reply::NotReady) => "not ready".to_owned(),
            Ok(Reply::Full) => "full".to_owned(),
            Ok(other) => format!("unexpected reply {other:?}"),
            Err(error) => error.to_string(),
        };
        tally.refusals.push(format!("{voter}: {refusal}"));
        None
    }

    /// Queries the claims that hold a key.
    pub(crate) async fn resolve_holders(
        self: &Rc<Self>,
        identity: &OrderIdentity,
        decider: Decider,
        voter: &InstanceId,
        holding: Holding,
    ) -> HolderResolution {
        if holding.fingerprint != identity.fingerprint {
            return HolderResolution::Resolved(ClaimOutcome::Rejected(OrderError::Conflict));
        }
        if let Some(record) = holding.record {
            return HolderResolution::Resolved(ClaimOutcome::AlreadyRan(record));
        }
        let mut reasons = Vec::new();
        for claim in holding.holders {
            match self.query_claim(identity, decider, &claim, voter).await {
                Ok(ClaimAnswer::Busy) => {
                    let runner = claim.process.instance;
                    return HolderResolution::Resolved(ClaimOutcome::Busy(
                        UnknownReason::StillRunning(runner),
                    ));
                }
                Ok(ClaimAnswer::Settled(record)) => {
                    return HolderResolution::Resolved(ClaimOutcome::AlreadyRan(record));
                }
                Ok(ClaimAnswer::Released) => reasons.push("released, not yet dropped".to_owned()),
                Ok(ClaimAnswer::Forgotten) => {
                    reasons.push(format!(
                        "held for {}, which is gone",
                        claim.process.instance
                    ));
                }
                Err(error) => reasons.push(error.to_string()),
            }
        }
        HolderResolution::Orphaned(reasons.join(", "))
    }

    async fn query_claim(
        self: &Rc<Self>,
        identity: &OrderIdentity,
        decider: Decider,
        claim: &ClaimId,
        voter: &InstanceId,
    ) -> Result<ClaimAnswer, TransportError> {
        let request = Request::Ask {
            order: identity.order.clone(),
            decider,
            claim: claim.clone(),
            voter: voter.clone(),
        };
        match self.call(&claim.process.instance, &request).await? {
            Reply::Claim(answer) => Ok(answer),
            other => Err(TransportError {
                step: "ask about a claim",
                peer: claim.process.instance.clone(),
                reason: format!("unexpected reply {other:?}"),
            }),
        }
    }
}

pub(crate) fn no_majority(why: &str) -> UnknownReason {
    UnknownReason::NoMajority(why.to_owned())
}

/// Votes for one claim.
struct Tally {
    majority: usize,
    disabled: DisabledSafeguard,
    grants: Vec<Grant>,
    refusals: Vec<String>,
}

impl Tally {
    fn new(set: &VoterSet, disabled: DisabledSafeguard) -> Self {
        let majority = match disabled {
            DisabledSafeguard::Majority => 1,
            _ => set.majority(),
        };
        Self {
            majority,
            disabled,
            grants: Vec::new(),
            refusals: Vec::new(),
        }
    }

    fn is_won(&self) -> bool {
        count_valid(&self.grants, self.disabled) >= self.majority
    }
}
