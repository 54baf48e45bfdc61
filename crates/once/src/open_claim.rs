//! Guard of an open claim, which ends the claim also when its call is dropped.

use std::rc::Rc;
use std::time::Instant;

use mangofront_settings::ids::InstanceId;

use crate::core::Core;
use crate::ids::ClaimId;
use crate::key::{Fingerprint, OrderKey};
use crate::message::{Decider, Request};
use crate::outcome::Record;

const DROPPED_REASON: &str = "the call was given up during the run";

/// A claim of this process that has not ended.
///
/// Dropping it before its run began releases the claim; dropping it later settles
/// the claim with an unknown outcome. Either way the voters are notified.
pub(crate) struct OpenClaim {
    pub(crate) core: Rc<Core>,
    pub(crate) id: ClaimId,
    pub(crate) opened_at: Instant,
    pub(crate) order: OrderKey,
    pub(crate) decider: Decider,
    pub(crate) fingerprint: Fingerprint,
    /// Instances that may hold the key for this claim.
    pub(crate) contacted: Vec<InstanceId>,
    /// Instances that store the outcome of this claim.
    pub(crate) outcome_holders: Vec<InstanceId>,
}

impl OpenClaim {
    /// Ends the claim without a run.
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
        self.core.notify(&self.contacted, &request);
    }

    /// Ends the claim with the outcome of its run.
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
        self.core.notify(&self.outcome_holders, &request);
    }

    pub(crate) fn has_begun(&self) -> bool {
        self.core.claims.borrow().has_begun(self.id.counter)
    }
}

impl Drop for OpenClaim {
    fn drop(&mut self) {
        let has_ended = self.core.claims.borrow().has_ended(self.id.counter);
        if has_ended {
            return;
        }
        if self.has_begun() {
            let reason = DROPPED_REASON.to_owned();
            self.settle(&Record::Unknown { reason });
        } else {
            self.release();
        }
    }
}
