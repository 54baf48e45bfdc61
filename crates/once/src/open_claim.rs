//! One claim from its opening to its end, also when its call is dropped.

use std::rc::Rc;
use std::time::Instant;

use mangofront_settings::ids::InstanceId;

use crate::core::Core;
use crate::ids::ClaimId;
use crate::key::{Fingerprint, OrderKey};
use crate::message::{Decider, Request};
use crate::outcome::Record;

const DROPPED: &str = "the call was given up during the run";

/// A claim of this process that has not ended.
///
/// Dropped before its run began, it is released; dropped later, its outcome is
/// unknown. Either way the voters are told.
pub(crate) struct OpenClaim {
    pub(crate) core: Rc<Core>,
    pub(crate) id: ClaimId,
    pub(crate) made: Instant,
    pub(crate) order: OrderKey,
    pub(crate) decider: Decider,
    pub(crate) fingerprint: Fingerprint,
    /// Who may hold the key for this claim.
    pub(crate) asked: Vec<InstanceId>,
    /// Who is to remember its outcome.
    pub(crate) keepers: Vec<InstanceId>,
}

impl OpenClaim {
    /// Ends the claim without a run, for good.
    pub(crate) fn release(&self) {
        let released = self.core.claims.borrow_mut().release(self.id.counter);
        if released.is_err() {
            return;
        }
        let request = Request::Release {
            order: self.order.clone(),
            decider: self.decider,
            claim: self.id.clone(),
        };
        self.core.tell(&self.asked, &request);
    }

    /// Ends the claim with what its run came to.
    pub(crate) fn settle(&self, record: &Record) {
        let mut claims = self.core.claims.borrow_mut();
        let settled = claims.settle(self.id.counter, record.clone());
        drop(claims);
        if settled.is_err() {
            return;
        }
        let request = Request::Settle {
            order: self.order.clone(),
            decider: self.decider,
            fingerprint: self.fingerprint,
            claim: self.id.clone(),
            record: record.clone(),
        };
        self.core.tell(&self.keepers, &request);
    }

    pub(crate) fn has_begun(&self) -> bool {
        self.core.claims.borrow().has_begun(self.id.counter)
    }
}

impl Drop for OpenClaim {
    fn drop(&mut self) {
        let over = self.core.claims.borrow().is_over(self.id.counter);
        if over {
            return;
        }
        if self.has_begun() {
            let reason = DROPPED.to_owned();
            self.settle(&Record::Unknown { reason });
        } else {
            self.release();
        }
    }
}
