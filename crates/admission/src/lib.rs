//! Admission control with deadlines, fair queueing and load shedding.
//!
//! Decides whether a request is admitted at once, waits in a queue, or is
//! refused with a time after which to retry. `entry` requests a [`Permit`] with
//! an estimate from `placement` and holds it until the answer has ended;
//! `platform` supplies the request classes. This crate doesn't know individual
//! engines.
//!
//! See `docs/design/admission.md` for the alternatives considered.

mod admission;
mod backoff;
mod decision;
mod lane;
mod limit;
mod options;
mod permit;
mod queue;
mod queue_wait;
mod request;
mod retry;
mod state;
mod status;

pub use mangofront_placement::{Clock, Estimate};

pub use crate::admission::Admission;
pub use crate::backoff::Backoff;
pub use crate::lane::LengthLane;
pub use crate::options::AdmissionOptions;
pub use crate::permit::Permit;
pub use crate::request::{AdmissionRequest, Refusal, RefusalReason};
pub use crate::retry::RetryBudget;
pub use crate::status::{AdmissionStatus, LaneStatus};
