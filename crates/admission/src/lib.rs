//! Request classes, deadlines, fair share and shedding.
//!
//! Owns the decision whether a request may go to an engine now, waits for a
//! short while, or is refused at once with a time to come back. `entry` asks
//! for a [`Permit`] with an estimate that `placement` gives, and holds it until
//! the answer has ended; `platform` hands in the classes. Engines are not known
//! in here.
//!
//! `docs/design/admission.md` tells the ways that were weighed.

mod admission;
mod backoff;
mod entered;
mod lane;
mod limit;
mod options;
mod permit;
mod queue;
mod request;
mod retry;
mod state;
mod status;
mod waiting;

pub use mangofront_placement::{Clock, Estimate};

pub use crate::admission::Admission;
pub use crate::backoff::Backoff;
pub use crate::lane::LengthLane;
pub use crate::options::AdmissionOptions;
pub use crate::permit::Permit;
pub use crate::request::{AdmissionRequest, Refusal, RefusalReason};
pub use crate::retry::RetryBudget;
pub use crate::status::{AdmissionStatus, LaneStatus};
