//! The handle that the other crates hold.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_placement::{Clock, Estimate};
use mangofront_settings::ids::ClassName;
use mangofront_settings::published::Class;

use crate::entered::{Admitted, Entered, Queued};
use crate::lane::LaneKey;
use crate::options::AdmissionOptions;
use crate::permit::Permit;
use crate::request::{AdmissionRequest, Refusal};
use crate::retry::RetryBudget;
use crate::state::State;
use crate::status::{AdmissionStatus, LaneStatus};
use crate::waiting::Waiting;

/// Decides on requests; clones share one state.
#[derive(Debug, Clone)]
pub struct Admission {
    state: Rc<RefCell<State>>,
    clock: Clock,
    retry_budget: RetryBudget,
}

impl Admission {
    /// An admission that knows no class yet.
    #[must_use]
    pub fn new(options: AdmissionOptions) -> Self {
        Self {
            state: Rc::new(RefCell::new(State::new(options.queue_limit))),
            retry_budget: RetryBudget::new(options.retry_share),
            clock: options.clock,
        }
    }

    /// Takes over the published classes.
    pub fn set_classes(&self, classes: &BTreeMap<ClassName, Class>) {
        self.state.borrow_mut().classes.clone_from(classes);
    }

    /// Admits the request, after a wait in the queue if need be.
    ///
    /// Dropping the future takes the request out of the queue.
    ///
    /// # Errors
    /// [`Refusal`] as soon as it is clear that the class's time can't be met.
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
                has_started: false,
                has_succeeded: false,
            }),
            Err(refusal) => {
                let mut state = self.state.borrow_mut();
                *state.refused.entry(refusal.reason).or_default() += 1;
                Err(refusal)
            }
        }
    }

    /// Budget that every retry is to be taken from.
    #[must_use]
    pub fn retry_budget(&self) -> &RetryBudget {
        &self.retry_budget
    }

    /// Refuses everything from now on, also those that wait.
    pub fn close(&self, retry_after: Duration) {
        self.state.borrow_mut().close(retry_after);
    }

    /// Refuses those that wait in vain and gives out free places.
    ///
    /// Waiting requests see to that by themselves; it is for programs that set
    /// the clock by hand.
    pub fn refresh(&self) {
        let keys: Vec<LaneKey> = self.state.borrow().lanes.keys().cloned().collect();
        for key in keys {
            self.refresh_lane(&key);
        }
    }

    /// The state, for a status page.
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
                    stretch: lane.stretch(now),
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
        let entered = self
            .state
            .borrow_mut()
            .enter(request, predicted, self.now())?;
        let queued = match entered {
            Entered::Admitted(admitted) => return Ok(admitted),
            Entered::Queued(queued) => queued,
        };
        let lane = queued.lane.clone();
        Waiting::new(self.clone(), queued).granted().await?;
        let predicted = estimate();
        let now = self.now();
        let admitted = self.state.borrow_mut().take_up(request, predicted, now);
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

    pub(crate) fn leave(&self, queued: &Queued) {
        self.state.borrow_mut().leave(queued);
    }

    pub(crate) fn release(&self, lane: &LaneKey, has_run: bool) {
        let now = self.now();
        self.state.borrow_mut().release(lane, has_run, now);
    }

    pub(crate) fn observe(&self, admitted: &Admitted, measured: Duration) {
        let now = self.now();
        self.state.borrow_mut().observe(admitted, measured, now);
    }

    pub(crate) fn observe_end(&self, admitted: &Admitted) {
        let now = self.now();
        self.state.borrow_mut().observe_end(admitted, now);
    }
}
