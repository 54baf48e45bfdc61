//! Handlers of the requests that other daemons send.

use std::rc::Rc;
use std::time::Instant;

use mangofront_settings::ids::InstanceId;

use crate::core::Core;
use crate::ids::ClaimId;
use crate::key::{Fingerprint, MintedKey, OrderKey};
use crate::message::{ClaimAnswer, Decider, Holding, Reply, Request};
use crate::outcome::Record;
use crate::view::VoterSet;

impl Core {
    /// Handles a request of `from`, which may be this process itself.
    pub(crate) fn handle(self: &Rc<Self>, from: &InstanceId, request: Request) -> Reply {
        self.establish_without_synchronising();
        match request {
            Request::Claim {
                order,
                fingerprint,
                claim,
                set,
            } => self.handle_claim(&order, fingerprint, &claim, set.as_ref()),
            Request::Release {
                order,
                decider,
                claim,
            } => self.handle_release(from, &order, decider, &claim),
            Request::Settle {
                order,
                decider,
                fingerprint,
                claim,
                record,
            } => self.handle_settle(from, &order, decider, fingerprint, claim, record),
            Request::Ask {
                order,
                decider,
                claim,
                voter,
            } => self.handle_ask(order, decider, claim, voter),
            Request::Synchronise {
                process,
                target,
                after,
            } => {
                if process.instance != *from {
                    return Reply::Malformed;
                }
                let mut state = self.state.borrow_mut();
                state.voter.page(&process, &target, after.as_ref())
            }
            Request::HandOver(part) => {
                let now = Instant::now();
                self.state
                    .borrow_mut()
                    .archives
                    .add(part, &self.options, now);
                Reply::Done
            }
        }
    }

    fn handle_claim(
        &self,
        order: &OrderKey,
        fingerprint: Fingerprint,
        claim: &ClaimId,
        set: Option<&VoterSet>,
    ) -> Reply {
        let rules = self.voting_rules();
        let retention = self.retention();
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let reply = match (MintedKey::parse(&order.key), set) {
            (Some(key), None) if key.home == self.options.process => {
                state
                    .key_issuer
                    .claim(key.counter, fingerprint, claim, now, retention)
            }
            (Some(key), None) => state.archives.claim(&key, now),
            (_, Some(set)) => state.voter.claim(order, fingerprint, claim, set, rules),
            (None, None) => Reply::Malformed,
        };
        match reply {
            Reply::Granted(_) => state.counters.grants += 1,
            _ => state.counters.denials += 1,
        }
        reply
    }

    fn handle_release(
        &self,
        from: &InstanceId,
        order: &OrderKey,
        decider: Decider,
        claim: &ClaimId,
    ) -> Reply {
        if claim.process.instance != *from {
            return Reply::Malformed;
        }
        let mut state = self.state.borrow_mut();
        match (decider, MintedKey::parse(&order.key)) {
            (Decider::Voters, _) => state.voter.grants.release(order, claim),
            (Decider::Home, Some(key)) if key.home == self.options.process => {
                state.key_issuer.grants.release(&key.counter, claim);
            }
            (Decider::Home, Some(key)) => state.archives.release(&key, claim),
            (Decider::Home, None) => return Reply::Malformed,
        }
        Reply::Done
    }

    fn handle_settle(
        &self,
        from: &InstanceId,
        order: &OrderKey,
        decider: Decider,
        fingerprint: Fingerprint,
        claim: ClaimId,
        record: Record,
    ) -> Reply {
        if claim.process.instance != *from {
            return Reply::Malformed;
        }
        let retention = self.retention().record;
        let now = Instant::now();
        let holding = Holding {
            fingerprint,
            holders: vec![claim],
            record: Some(record),
        };
        let mut state = self.state.borrow_mut();
        match (decider, MintedKey::parse(&order.key)) {
            (Decider::Voters, _) => state.voter.grants.settle(order, holding, now, retention),
            (Decider::Home, Some(key)) if key.home == self.options.process => {
                let grants = &mut state.key_issuer.grants;
                grants.settle(&key.counter, holding, now, retention);
            }
            (Decider::Home, Some(key)) => state.archives.settle(&key, holding, now),
            (Decider::Home, None) => return Reply::Malformed,
        }
        Reply::Done
    }

    fn handle_ask(
        self: &Rc<Self>,
        order: OrderKey,
        decider: Decider,
        claim: ClaimId,
        voter: InstanceId,
    ) -> Reply {
        let status = self.claims.borrow().status_of(&claim);
        if matches!(status, ClaimAnswer::Released) {
            // The voter missed the release, or the claim reached it after the release.
            let release = Request::Release {
                order,
                decider,
                claim,
            };
            self.notify(&[voter], &release);
        }
        Reply::Claim(status)
    }
}
