//! The handle that the other crates hold.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use mangofront_placement::Estimate;
use mangofront_settings::ids::ClassName;
use mangofront_settings::published::Class;

use crate::options::AdmissionOptions;
use crate::permit::Permit;
use crate::request::{AdmissionRequest, Refusal, RefusalReason};
use crate::retry::RetryBudget;
use crate::status::AdmissionStatus;

/// Time to come back when nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Decides on requests; clones share one state.
#[derive(Debug, Clone)]
pub struct Admission {
    state: Rc<RefCell<State>>,
    options: Rc<AdmissionOptions>,
    retry_budget: RetryBudget,
}

#[derive(Debug, Default)]
struct State {
    classes: BTreeMap<ClassName, Class>,
    closed: Option<Duration>,
    outstanding: usize,
    admitted: u64,
    refused: BTreeMap<RefusalReason, u64>,
}

impl Admission {
    /// An admission that knows no class yet.
    #[must_use]
    pub fn new(options: AdmissionOptions) -> Self {
        Self {
            state: Rc::default(),
            retry_budget: RetryBudget::new(options.retry_share),
            options: Rc::new(options),
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
        if let Err(refusal) = self.check(&request, estimate()) {
            let mut state = self.state.borrow_mut();
            *state.refused.entry(refusal.reason).or_default() += 1;
            return Err(refusal);
        }
        let mut state = self.state.borrow_mut();
        state.outstanding += 1;
        state.admitted += 1;
        Ok(Permit {
            admission: self.clone(),
        })
    }

    /// Budget that every retry is to be taken from.
    #[must_use]
    pub fn retry_budget(&self) -> &RetryBudget {
        &self.retry_budget
    }

    /// Refuses everything from now on, also those that wait.
    pub fn close(&self, retry_after: Duration) {
        self.state.borrow_mut().closed = Some(retry_after);
    }

    /// The state, for a status page.
    #[must_use]
    pub fn status(&self) -> AdmissionStatus {
        let state = self.state.borrow();
        AdmissionStatus {
            closed: state.closed.is_some(),
            outstanding: state.outstanding,
            waiting: 0,
            admitted: state.admitted,
            refused: state.refused.clone(),
            retries_available: self.retry_budget.available(),
        }
    }

    pub(crate) fn released(&self) {
        let mut state = self.state.borrow_mut();
        state.outstanding = state.outstanding.saturating_sub(1);
    }

    fn check(&self, request: &AdmissionRequest, estimate: Option<Estimate>) -> Result<(), Refusal> {
        let state = self.state.borrow();
        if let Some(retry_after) = state.closed {
            return Err(Refusal {
                reason: RefusalReason::Closed,
                retry_after,
            });
        }
        let Some(class) = state.classes.get(&request.class) else {
            return Err(refusal(RefusalReason::UnknownClass));
        };
        let Some(estimate) = estimate else {
            return Err(refusal(RefusalReason::NoEngine));
        };
        let last_end = request.deadline.min(request.arrived + class.time_limit());
        let end = self.options.clock.now() + estimate.time_to_first_token;
        if end > last_end {
            return Err(refusal(RefusalReason::TooLate));
        }
        Ok(())
    }
}

fn refusal(reason: RefusalReason) -> Refusal {
    Refusal {
        reason,
        retry_after: DEFAULT_RETRY_AFTER,
    }
}
