//! Answers to other daemons.

use std::rc::Rc;
use std::time::Instant;

use mangofront_settings::ids::InstanceId;

use crate::core::Core;
use crate::ids::ClaimId;
use crate::key::{Fingerprint, MintedKey, OrderKey};
use crate::message::{ClaimAnswer, Holding, Reply, Request};
use crate::outcome::Record;
use crate::view::VoterSet;

impl Core {
    /// The responder's side.
    pub(crate) fn answer(self: &Rc<Self>, from: &InstanceId, request: Request) -> Reply {
        self.establish_by_rule();
        match request {
            Request::Claim {
                order,
                fingerprint,
                claim,
                set,
            } => self.answer_claim(&order, fingerprint, &claim, set.as_ref()),
            Request::Release { order, claim } => self.answer_release(from, &order, &claim),
            Request::Settle {
                order,
                fingerprint,
                claim,
                record,
            } => self.answer_settle(from, &order, fingerprint, claim, record),
            Request::Ask {
                order,
                claim,
                voter,
            } => self.answer_ask(order, claim, voter),
            Request::Synchronise {
                process,
                target,
                after,
            } => {
                if process.instance != *from {
                    return Reply::Malformed;
                }
                let mut state = self.state.borrow_mut();
                state.seat.page(&process, &target, after.as_ref())
            }
            Request::HandOver(part) => {
                let now = Instant::now();
                self.state
                    .borrow_mut()
                    .archives
                    .take(part, &self.options, now);
                Reply::Done
            }
        }
    }

    fn answer_claim(
        &self,
        order: &OrderKey,
        fingerprint: Fingerprint,
        claim: &ClaimId,
        set: Option<&VoterSet>,
    ) -> Reply {
        let rules = self.voting_rules();
        let keep = self.keep();
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let reply = match (MintedKey::parse(&order.key), set) {
            (Some(key), None) if key.home == self.options.process => {
                state.mint.claim(key.counter, fingerprint, claim, now, keep)
            }
            (Some(key), None) => state.archives.claim(&key, now),
            (None, Some(set)) => state.seat.claim(order, fingerprint, claim, set, rules),
            _ => Reply::Malformed,
        };
        match reply {
            Reply::Granted(_) => state.counters.grants += 1,
            _ => state.counters.denials += 1,
        }
        reply
    }

    fn answer_release(&self, from: &InstanceId, order: &OrderKey, claim: &ClaimId) -> Reply {
        if claim.process.instance != *from {
            return Reply::Malformed;
        }
        let mut state = self.state.borrow_mut();
        match MintedKey::parse(&order.key) {
            Some(key) if key.home == self.options.process => {
                state.mint.ballots.release(&key.counter, claim);
            }
            Some(key) => state.archives.release(&key, claim),
            None => state.seat.ballots.release(order, claim),
        }
        Reply::Done
    }

    fn answer_settle(
        &self,
        from: &InstanceId,
        order: &OrderKey,
        fingerprint: Fingerprint,
        claim: ClaimId,
        record: Record,
    ) -> Reply {
        if claim.process.instance != *from {
            return Reply::Malformed;
        }
        let keep = self.keep().record;
        let now = Instant::now();
        let holding = Holding {
            fingerprint,
            holders: vec![claim],
            record: Some(record),
        };
        let mut state = self.state.borrow_mut();
        match MintedKey::parse(&order.key) {
            Some(key) if key.home == self.options.process => {
                state.mint.ballots.settle(&key.counter, holding, now, keep);
            }
            Some(key) => state.archives.settle(&key, holding, now),
            None => state.seat.ballots.settle(order, holding, now, keep),
        }
        Reply::Done
    }

    fn answer_ask(self: &Rc<Self>, order: OrderKey, claim: ClaimId, voter: InstanceId) -> Reply {
        let answer = self.claims.borrow().answer(&claim);
        if matches!(answer, ClaimAnswer::Released) {
            // The voter missed the release, or the claim came after it.
            self.tell(&[voter], &Request::Release { order, claim });
        }
        Reply::Claim(answer)
    }
}
