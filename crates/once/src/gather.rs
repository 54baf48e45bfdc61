//! How a claim gathers its right to run.
//!
//! A plain key's claim goes to the key's first reachable voter alone, so that
//! claims on one key mostly meet there, and then to the others at once. Minted
//! keys are claimed in [`crate::gather_minted`].

use std::rc::Rc;
use std::time::Instant;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use mangofront_settings::ids::InstanceId;

use crate::core::Core;
use crate::fence::counted;
use crate::ids::ClaimId;
use crate::key::{Fingerprint, OrderKey};
use crate::message::{ClaimAnswer, Decider, Grant, Holding, Reply, Request};
use crate::open_claim::OpenClaim;
use crate::options::Weakness;
use crate::outcome::{NotRunReason, OrderError, Record, UnknownReason};
use crate::transport::TransportError;
use crate::view::{VoterSet, rendezvous};

/// What gathering came to.
pub(crate) enum Gathered {
    /// The claim alone may run the key.
    Won(OpenClaim),
    /// The key ran; this is what it came to.
    Ran(Record),
    /// The key never ran.
    NotRun(NotRunReason),
    /// The call is at fault.
    Fault(OrderError),
    /// Another claim runs or gathers; asking again makes sense until the deadline.
    Busy(UnknownReason),
    /// Neither; a new attempt makes sense for a while.
    Short(UnknownReason),
    /// Neither, and a new attempt makes no sense.
    Lost(UnknownReason),
}

/// The order on whose behalf a claim is made.
#[derive(Debug, Clone)]
pub(crate) struct Subject {
    pub(crate) order: OrderKey,
    pub(crate) fingerprint: Fingerprint,
}

/// What a holding means for another claim.
pub(crate) enum Held {
    End(Gathered),
    /// Its claims can't be settled; the key may still be won elsewhere.
    Orphaned(String),
}

impl Core {
    pub(crate) fn open(
        self: &Rc<Self>,
        subject: &Subject,
        decider: Decider,
        keepers: Vec<InstanceId>,
    ) -> Option<OpenClaim> {
        let made = Instant::now();
        let id = self.claims.borrow_mut().open(made)?;
        Some(OpenClaim {
            core: Rc::clone(self),
            id,
            made,
            order: subject.order.clone(),
            decider,
            fingerprint: subject.fingerprint,
            asked: Vec::new(),
            keepers,
        })
    }

    /// Claims a plain key.
    pub(crate) async fn gather_plain(self: &Rc<Self>, subject: &Subject) -> Gathered {
        let Some(set) = self.state.borrow().seat.view().cloned() else {
            return Gathered::Short(no_majority("no list of instances yet"));
        };
        let Some(mut claim) = self.open(subject, Decider::Voters, set.members.clone()) else {
            return Gathered::Short(no_majority("too many claims are open"));
        };
        let request = Request::Claim {
            order: subject.order.clone(),
            fingerprint: subject.fingerprint,
            claim: claim.id.clone(),
            set: Some(set.clone()),
        };
        let mut tally = Tally::new(&set, self.options.weakness);
        let order = rendezvous(&set.members, &subject.order.key);
        let mut voters = self.suspects_last(order).into_iter();
        for voter in voters.by_ref() {
            claim.asked.push(voter.clone());
            let replied = self.call(&voter, &request).await;
            let reached = replied.is_ok();
            if let Some(end) = self.absorb(subject, &mut tally, voter, replied).await {
                return end;
            }
            if reached {
                break;
            }
        }
        let rest: Vec<InstanceId> = voters.collect();
        claim.asked.extend(rest.iter().cloned());
        let mut calls: FuturesUnordered<_> = rest
            .into_iter()
            .map(|voter| async {
                let replied = self.call(&voter, &request).await;
                (voter, replied)
            })
            .collect();
        // Also without hope for a majority: a voter may know what the key came to.
        while !tally.is_won() {
            let Some((voter, replied)) = calls.next().await else {
                break;
            };
            if let Some(end) = self.absorb(subject, &mut tally, voter, replied).await {
                return end;
            }
        }
        drop(calls);
        if tally.is_won() {
            return Gathered::Won(claim);
        }
        Gathered::Short(UnknownReason::NoMajority(tally.refusals.join("; ")))
    }

    /// Counts one voter's reply; an end when it decides the matter.
    async fn absorb(
        self: &Rc<Self>,
        subject: &Subject,
        tally: &mut Tally,
        voter: InstanceId,
        replied: Result<Reply, TransportError>,
    ) -> Option<Gathered> {
        let refusal = match replied {
            Ok(Reply::Granted(grant)) if grant.voter.instance == voter => {
                tally.grants.push(grant);
                return None;
            }
            Ok(Reply::Held(holding)) => match self
                .look_into(subject, Decider::Voters, &voter, holding)
                .await
            {
                Held::End(end) => return Some(end),
                Held::Orphaned(why) => why,
            },
            Ok(Reply::OtherSet(set)) => {
                self.state.borrow_mut().seat.adopt(&set);
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

    /// Finds out about the claims that hold a key.
    pub(crate) async fn look_into(
        self: &Rc<Self>,
        subject: &Subject,
        decider: Decider,
        voter: &InstanceId,
        holding: Holding,
    ) -> Held {
        if holding.fingerprint != subject.fingerprint {
            return Held::End(Gathered::Fault(OrderError::Conflict));
        }
        if let Some(record) = holding.record {
            return Held::End(Gathered::Ran(record));
        }
        let mut reasons = Vec::new();
        for claim in holding.holders {
            match self.ask(subject, decider, &claim, voter).await {
                Ok(ClaimAnswer::Busy) => {
                    let runner = claim.process.instance;
                    return Held::End(Gathered::Busy(UnknownReason::StillRunning(runner)));
                }
                Ok(ClaimAnswer::Settled(record)) => return Held::End(Gathered::Ran(record)),
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
        Held::Orphaned(reasons.join(", "))
    }

    async fn ask(
        self: &Rc<Self>,
        subject: &Subject,
        decider: Decider,
        claim: &ClaimId,
        voter: &InstanceId,
    ) -> Result<ClaimAnswer, TransportError> {
        let request = Request::Ask {
            order: subject.order.clone(),
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
    weakness: Weakness,
    grants: Vec<Grant>,
    refusals: Vec<String>,
}

impl Tally {
    fn new(set: &VoterSet, weakness: Weakness) -> Self {
        let majority = match weakness {
            Weakness::MajorityOfOne => 1,
            _ => set.majority(),
        };
        Self {
            majority,
            weakness,
            grants: Vec::new(),
            refusals: Vec::new(),
        }
    }

    fn is_won(&self) -> bool {
        counted(&self.grants, self.weakness) >= self.majority
    }
}
