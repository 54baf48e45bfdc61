//! Protocol of the engines: generation, frames, resumption, cancellation, load
//! and cache reports.
//!
//! Every frame contains its request, attempt and token offset. [`EngineStream`]
//! returns only frames of its own attempt at the next offset. An attempt that
//! ends early for any reason is cancelled at the engine, unless the engine is
//! known not to run it.

mod attempt;
mod cancel;
mod json;
mod stream;

pub use attempt::{AttemptNumber, GenerateCall, RequestId, generate, resume};
pub use cancel::cancel;
pub use json::{call_json, report};
pub use stream::{EngineStream, FinishReason, Frame, Usage};
