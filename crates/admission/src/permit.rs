//! Permission to run one request.

use std::time::Duration;

use crate::admission::Admission;
use crate::decision::Admitted;

/// Permission to run one request; dropping it marks the request as ended.
#[derive(Debug)]
pub struct Permit {
    pub(crate) admission: Admission,
    pub(crate) admitted: Admitted,
    pub(crate) has_first_token: bool,
    pub(crate) has_succeeded: bool,
}

impl Permit {
    /// Records the time from arrival to the first token; later calls have no
    /// effect.
    pub fn record_first_token(&mut self, time_to_first_token: Duration) {
        if self.has_first_token {
            return;
        }
        self.has_first_token = true;
        let waited = self.admitted.admitted_at - self.admitted.arrived;
        let measured = time_to_first_token.saturating_sub(waited);
        self.admission.observe_first_token(&self.admitted, measured);
    }

    /// Records success for an answer that completed without a first token.
    pub fn record_success(&mut self) {
        self.has_succeeded = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.has_first_token || self.has_succeeded {
            self.admission.retry_budget().record_success();
        } else {
            self.admission.observe_missing_first_token(&self.admitted);
        }
        self.admission.release(&self.admitted.lane, true);
    }
}
