//! [`Admission`], the public handle of this crate.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_placement::{Clock, Estimate};
use mangofront_settings::ids::ClassName;
use mangofront_settings::published::Class;

use crate::decision::{Admitted, Decision, Queued};
use crate::lane::LaneKey;
use crate::options::AdmissionOptions;
use crate::permit::Permit;
use crate::queue_wait::QueueWait;
use crate::request::{AdmissionRequest, Refusal};
use crate::retry::RetryBudget;
use crate::state::State;
use crate::status::{AdmissionStatus, LaneStatus};

/// Admits, queues or refuses requests; clones share one state.
#[derive(Debug, Clone)]
pub struct Admission {
    state: Rc<RefCell<State>>,
    clock: Clock,
    retry_budget: RetryBudget,
}

impl Admission {
    /// Creates an admission control without classes.
    #[must_use]
    pub fn new(options: AdmissionOptions) -> Self {
        Self {
            state: Rc::new(RefCell::new(State::new(options.queue_limit))),
            retry_budget: RetryBudget::new(options.retry_share),
            clock: options.clock,
        }
    }

    /// Replaces the request classes.
    pub fn set_classes(&self, classes: &BTreeMap<ClassName, Class>) {
        self.state.borrow_mut().classes.clone_from(classes);
    }

    /// Admits the request, after waiting in the queue if necessary.
    ///
    /// Dropping the future removes the request from the queue.
    ///
    /// # Errors
    /// [`Refusal`] as soon as it is known that the request can't be served
    /// within its class's time limit.
    pub async fn admit(
        &self,
        request: AdmissionRequest,
        estimate: impl Fn() -> Option<Estimate>,
    ) -> Result<Permit, Refusal> {
        let admitted = self.decide(&request, estimate).await;
        match admitted {
            Ok(admitted) => Ok(Permit {
                admission: self.clone(),
                admitted,
                has_first_token: false,
                has_succeeded: false,
            }),
            Err(refusal) => {
                let mut state = self.state.borrow_mut();
                *state.refused.entry(refusal.reason).or_default() += 1;
                Err(refusal)
            }
        }
    }

    /// Budget from which every retry must be taken.
    #[must_use]
    pub fn retry_budget(&self) -> &RetryBudget {
        &self.retry_budget
    }

    /// Refuses all waiting and all future requests.
    pub fn close(&self, retry_after: Duration) {
        self.state.borrow_mut().close(retry_after);
    }

    /// Refuses waiting requests that can't start in time any more and admits
    /// others while there is capacity.
    ///
    /// Only needed with a manual clock; otherwise waiting requests do this
    /// themselves.
    pub fn refresh(&self) {
        let keys: Vec<LaneKey> = self.state.borrow().lanes.keys().cloned().collect();
        for key in keys {
            self.refresh_lane(&key);
        }
    }

    /// Current state, for a status page.
    #[must_use]
    pub fn status(&self) -> AdmissionStatus {
        let state = self.state.borrow();
        let now = self.now();
        let lanes = state.lanes.iter();
        AdmissionStatus {
            closed: state.closed.is_some(),
            outstanding: lanes.clone().map(|(_, lane)| lane.outstanding).sum(),
            waiting: lanes.clone().map(|(_, lane)| lane.queue.len()).sum(),
            admitted: state.admitted,
            refused: state.refused.clone(),
            retries_available: self.retry_budget.available(),
            lanes: lanes
                .map(|((model, length), lane)| LaneStatus {
                    model: model.clone(),
                    length: *length,
                    limit: lane.limit.get(),
                    outstanding: lane.outstanding,
                    waiting: lane.queue.len(),
                    drained_per_s: lane.drain_per_s(now).unwrap_or(0.0),
                    stretch: lane.prediction_factor(now),
                })
                .collect(),
        }
    }

    async fn decide(
        &self,
        request: &AdmissionRequest,
        estimate: impl Fn() -> Option<Estimate>,
    ) -> Result<Admitted, Refusal> {
        let predicted = estimate();
        let decision = self
            .state
            .borrow_mut()
            .submit(request, predicted, self.now())?;
        let queued = match decision {
            Decision::Admitted(admitted) => return Ok(admitted),
            Decision::Queued(queued) => queued,
        };
        let lane = queued.lane.clone();
        QueueWait::new(self.clone(), queued).wait().await?;
        let predicted = estimate();
        let now = self.now();
        let admitted = self
            .state
            .borrow_mut()
            .admit_granted(request, predicted, now);
        if admitted.is_err() {
            self.release(&lane, false);
        }
        admitted
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(crate) fn refresh_lane(&self, lane: &LaneKey) {
        self.state.borrow_mut().refresh(lane, self.now());
    }

    pub(crate) fn remove_waiter(&self, queued: &Queued) {
        self.state.borrow_mut().remove_waiter(queued);
    }

    pub(crate) fn release(&self, lane: &LaneKey, has_run: bool) {
        let now = self.now();
        self.state.borrow_mut().release(lane, has_run, now);
    }

    pub(crate) fn observe_first_token(&self, admitted: &Admitted, measured: Duration) {
        let now = self.now();
        self.state
            .borrow_mut()
            .observe_first_token(admitted, measured, now);
    }

    pub(crate) fn observe_missing_first_token(&self, admitted: &Admitted) {
        let now = self.now();
        self.state
            .borrow_mut()
            .observe_missing_first_token(admitted, now);
    }
}
