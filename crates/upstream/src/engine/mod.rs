//! The engine's dialect: start, frames, resume, cancel, load and cache reports.
//!
//! Every frame names its request, attempt and token offset. [`EngineStream`]
//! passes on only frames of its own attempt at the next offset. Whatever ends
//! an attempt early cancels it at the engine, unless the engine is known not
//! to run it.

mod attempt;
mod cancel;
mod json;
mod stream;

pub use attempt::{AttemptNumber, GenerateCall, RequestId, generate, resume};
pub use cancel::cancel;
pub use json::{call_json, report};
pub use stream::{EngineStream, FinishReason, Frame, Usage};
