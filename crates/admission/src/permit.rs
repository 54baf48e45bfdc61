//! Leave to run one request.

use std::time::Duration;

use crate::admission::Admission;

/// Leave to run one request; dropping it says that the request has ended.
#[derive(Debug)]
pub struct Permit {
    pub(crate) admission: Admission,
}

impl Permit {
    /// Notes the time from arrival to the first token.
    pub fn first_token(&mut self, _time_to_first_token: Duration) {}

    /// Notes that the answer ended well; pays into the retry budget.
    pub fn succeeded(&mut self) {
        self.admission.retry_budget().succeeded();
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.admission.released();
    }
}
