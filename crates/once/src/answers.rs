//! Answers to other daemons.

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
            Request::Release {
                order,
                decider,
                claim,
            } => self.answer_release(from, &order, decider, &claim),
            Request::Settle {
                order,
                decider,
                fingerprint,
                claim,
                record,
            } => self.answer_settle(from, &order, decider, fingerprint, claim, record),
            Request::Ask {
                order,
                decider,
                claim,
                voter,
            } => self.answer_ask(order, decider, claim, voter),
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
            (_, Some(set)) => state.seat.claim(order, fingerprint, claim, set, rules),
            (None, None) => Reply::Malformed,
        };
        match reply {
            Reply::Granted(_) => state.counters.grants += 1,
            _ => state.counters.denials += 1,
        }
        reply
    }

    fn answer_release(
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
            (Decider::Voters, _) => state.seat.ballots.release(order, claim),
            (Decider::Home, Some(key)) if key.home == self.options.process => {
                state.mint.ballots.release(&key.counter, claim);
            }
            (Decider::Home, Some(key)) => state.archives.release(&key, claim),
            (Decider::Home, None) => return Reply::Malformed,
        }
        Reply::Done
    }

    fn answer_settle(
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
        let keep = self.keep().record;
        let now = Instant::now();
        let holding = Holding {
            fingerprint,
            holders: vec![claim],
            record: Some(record),
        };
        let mut state = self.state.borrow_mut();
        match (decider, MintedKey::parse(&order.key)) {
            (Decider::Voters, _) => state.seat.ballots.settle(order, holding, now, keep),
            (Decider::Home, Some(key)) if key.home == self.options.process => {
                let ballots = &mut state.mint.ballots;
                ballots.settle(&key.counter, holding, now, keep);
            }
            (Decider::Home, Some(key)) => state.archives.settle(&key, holding, now),
            (Decider::Home, None) => return Reply::Malformed,
        }
        Reply::Done
    }

    fn answer_ask(
        self: &Rc<Self>,
        order: OrderKey,
        decider: Decider,
        claim: ClaimId,
        voter: InstanceId,
    ) -> Reply {
        let answer = self.claims.borrow().answer(&claim);
        if matches!(answer, ClaimAnswer::Released) {
            // The voter missed the release, or the claim came after it.
            let release = Request::Release {
                order,
                decider,
                claim,
            };
            self.tell(&[voter], &release);
        }
        Reply::Claim(answer)
    }
}
