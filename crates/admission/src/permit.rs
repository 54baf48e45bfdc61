//! Leave to run one request.

use std::time::Duration;

use crate::admission::Admission;
use crate::entered::Admitted;

/// Leave to run one request; dropping it says that the request has ended.
#[derive(Debug)]
pub struct Permit {
    pub(crate) admission: Admission,
    pub(crate) admitted: Admitted,
    pub(crate) has_started: bool,
    pub(crate) has_succeeded: bool,
}

impl Permit {
    /// Notes the time from arrival to the first token; only the first call counts.
    pub fn record_first_token(&mut self, time_to_first_token: Duration) {
        if self.has_started {
            return;
        }
        self.has_started = true;
        let waited = self.admitted.admitted_at - self.admitted.arrived;
        let measured = time_to_first_token.saturating_sub(waited);
        self.admission.observe(&self.admitted, measured);
    }

    /// Notes that the answer ended well, for one that came without a first token.
    pub fn record_success(&mut self) {
        self.has_succeeded = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.has_started || self.has_succeeded {
            self.admission.retry_budget().record_success();
        } else {
            self.admission.observe_end(&self.admitted);
        }
        self.admission.release(&self.admitted.lane, true);
    }
}
