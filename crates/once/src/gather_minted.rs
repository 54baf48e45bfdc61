//! Claims on minted keys.
//!
//! A claim is sent to the key's home or, when that is gone, to the instances that
//! may have the home's archive.
//!
//! A home that no longer grants keys, or whose key is too old, replies that it
//! never granted the key and never will. The voters then decide about the key like
//! about a plain one. From then on every run of the key needs a majority, as every
//! claim gets this reply first, and votes are kept for longer than it is given.

use std::rc::Rc;

use mangofront_settings::ids::InstanceId;

use crate::core::Core;
use crate::gather::{ClaimOutcome, HolderResolution, OrderIdentity, no_majority};
use crate::key::MintedKey;
use crate::message::{Decider, Reply, Request};
use crate::outcome::{NotRunReason, OrderError, UnknownReason};
use crate::view::{MAX_VOTERS, rendezvous_order};

impl Core {
    /// Claims a minted key.
    pub(crate) async fn claim_minted(
        self: &Rc<Self>,
        identity: &OrderIdentity,
        key: &MintedKey,
    ) -> ClaimOutcome {
        let home = key.home.instance.clone();
        let Some(mut claim) = self.open(identity, Decider::Home, vec![home.clone()]) else {
            return ClaimOutcome::Retry(no_majority("too many claims are open"));
        };
        let request = Request::Claim {
            order: identity.order.clone(),
            fingerprint: identity.fingerprint,
            claim: claim.id.clone(),
            set: None,
        };
        claim.contacted.push(home.clone());
        let replied = self.call(&home, &request).await;
        let why = match replied {
            Ok(Reply::Granted(grant)) if grant.voter == key.home => {
                return ClaimOutcome::Won(claim);
            }
            Ok(Reply::HomeGone) => UnknownReason::HomeGone(home.clone()),
            Ok(reply) => return self.resolve_minted_reply(identity, &home, reply).await,
            Err(error) => UnknownReason::HomeUnreachable(error.to_string()),
        };
        if let Some(outcome) = self.claim_from_archives(identity, key, &request).await {
            return outcome;
        }
        match why {
            UnknownReason::HomeGone(_) => ClaimOutcome::GiveUp(why),
            _ => ClaimOutcome::Retry(why),
        }
    }

    async fn claim_from_archives(
        self: &Rc<Self>,
        identity: &OrderIdentity,
        key: &MintedKey,
        request: &Request,
    ) -> Option<ClaimOutcome> {
        for holder in self.archive_holders(&key.home.instance, key.home.incarnation) {
            match self.call(&holder, request).await {
                Ok(Reply::HomeGone | Reply::Granted(_)) | Err(_) => {}
                Ok(reply) => {
                    return Some(self.resolve_minted_reply(identity, &holder, reply).await);
                }
            }
        }
        None
    }

    /// Instances that have the archive of a process that handed over.
    pub(crate) fn archive_holders(&self, instance: &str, incarnation: u64) -> Vec<InstanceId> {
        let listed = self.state.borrow().listed.clone();
        let ranked = rendezvous_order(&listed, &format!("{instance}.{incarnation}"));
        let mut holders = self.suspects_last(ranked);
        holders.truncate(MAX_VOTERS);
        holders
    }

    async fn resolve_minted_reply(
        self: &Rc<Self>,
        identity: &OrderIdentity,
        responder: &InstanceId,
        reply: Reply,
    ) -> ClaimOutcome {
        match reply {
            Reply::Held(holding) => match self
                .resolve_holders(identity, Decider::Home, responder, holding)
                .await
            {
                HolderResolution::Resolved(outcome) => outcome,
                HolderResolution::Orphaned(why) => {
                    ClaimOutcome::Retry(UnknownReason::StillRunning(why))
                }
            },
            Reply::Retired => self.claim_plain(identity).await,
            Reply::Full => ClaimOutcome::NotRun(NotRunReason::Full),
            Reply::NeverMinted => ClaimOutcome::Rejected(OrderError::NeverMinted),
            other => ClaimOutcome::Retry(UnknownReason::HomeUnreachable(format!("{other:?}"))),
        }
    }
}
