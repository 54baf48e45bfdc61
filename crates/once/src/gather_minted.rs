//! How a claim on a minted key gathers its right to run.
//!
//! It goes to the key's home, or, when that is gone, to those that may keep the
//! home's records.
//!
//! A home that stopped deciding, or whose key is too old, says that it never
//! granted the key and never will. From then on the key is decided by the voters
//! like any other: whoever runs it has that word, so every run of it needs a
//! majority, and votes are kept for longer than that word is given.

use std::rc::Rc;

use mangofront_settings::ids::InstanceId;

use crate::core::Core;
use crate::gather::{Gathered, Held, Subject, no_majority};
use crate::key::MintedKey;
use crate::message::{Decider, Reply, Request};
use crate::outcome::{NotRunReason, OrderError, UnknownReason};
use crate::view::{MAX_VOTERS, rendezvous};

impl Core {
    /// Claims a minted key.
    pub(crate) async fn gather_minted(
        self: &Rc<Self>,
        subject: &Subject,
        key: &MintedKey,
    ) -> Gathered {
        let home = key.home.instance.clone();
        let Some(mut claim) = self.open(subject, Decider::Home, vec![home.clone()]) else {
            return Gathered::Short(no_majority("too many claims are open"));
        };
        let request = Request::Claim {
            order: subject.order.clone(),
            fingerprint: subject.fingerprint,
            claim: claim.id.clone(),
            set: None,
        };
        claim.asked.push(home.clone());
        let replied = self.call(&home, &request).await;
        let why = match replied {
            Ok(Reply::Granted(grant)) if grant.voter == key.home => return Gathered::Won(claim),
            Ok(Reply::HomeGone) => UnknownReason::HomeGone(home.clone()),
            Ok(reply) => return self.minted_end(subject, &home, reply).await,
            Err(error) => UnknownReason::HomeUnreachable(error.to_string()),
        };
        if let Some(end) = self.gather_from_archives(subject, key, &request).await {
            return end;
        }
        match why {
            UnknownReason::HomeGone(_) => Gathered::Lost(why),
            _ => Gathered::Short(why),
        }
    }

    async fn gather_from_archives(
        self: &Rc<Self>,
        subject: &Subject,
        key: &MintedKey,
        request: &Request,
    ) -> Option<Gathered> {
        for keeper in self.archive_keepers(&key.home.instance, key.home.incarnation) {
            match self.call(&keeper, request).await {
                Ok(Reply::HomeGone | Reply::Granted(_)) | Err(_) => {}
                Ok(reply) => return Some(self.minted_end(subject, &keeper, reply).await),
            }
        }
        None
    }

    /// Who keeps the records of a process that handed over.
    pub(crate) fn archive_keepers(&self, instance: &str, incarnation: u64) -> Vec<InstanceId> {
        let listed = self.state.borrow().listed.clone();
        let order = rendezvous(&listed, &format!("{instance}.{incarnation}"));
        let mut keepers = self.suspects_last(order);
        keepers.truncate(MAX_VOTERS);
        keepers
    }

    async fn minted_end(
        self: &Rc<Self>,
        subject: &Subject,
        teller: &InstanceId,
        reply: Reply,
    ) -> Gathered {
        match reply {
            Reply::Held(holding) => match self
                .look_into(subject, Decider::Home, teller, holding)
                .await
            {
                Held::End(end) => end,
                Held::Orphaned(why) => Gathered::Short(UnknownReason::StillRunning(why)),
            },
            Reply::Retired => self.gather_plain(subject).await,
            Reply::Full => Gathered::NotRun(NotRunReason::Full),
            Reply::NeverMinted => Gathered::Fault(OrderError::NeverMinted),
            other => Gathered::Short(UnknownReason::HomeUnreachable(format!("{other:?}"))),
        }
    }
}
