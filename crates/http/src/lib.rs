//! Shared HTTP plumbing.
//!
//! Owns what every HTTP speaker of the workspace needs and nothing that
//! decides: the loop that serves hyper on compio, the response body type, the
//! typed error body with its [`Outcome`], and one client factory. The slices
//! (`entry`, `upstream`, `platform`, `standin`, `daemon`, `cli`, `load`) build
//! their own messages on top.

mod body;
mod client;
mod connection;
mod error;
mod events;
mod serve;
mod shutdown;
mod stall;

pub use body::{Body, BodyError, collect, empty, full, json, stream, stream_until_abort};
pub use client::{ClientError, client};
pub use connection::Aborted;
pub use error::{ErrorBody, ErrorDetail, Outcome};
pub use events::{Event, EventsError, events};
pub use serve::{ServeLimits, StopSignals, serve, serve_abortable};
pub use shutdown::{Shutdown, ShutdownTrigger};

/// Names of the headers of the interfaces, see `docs/interfaces.md`.
pub mod headers {
    /// Class of work of a request, set by the caller.
    pub const CLASS: &str = "mangofront-class";
    /// Organisation of a request, set by the caller.
    pub const ORGANISATION: &str = "mangofront-organisation";
    /// Key of an order that may not repeat, set by the caller.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// Id of a request, set by the daemon and echoed to the caller.
    pub const REQUEST_ID: &str = "mangofront-request-id";
    /// Number of the attempt within a request, from 1.
    pub const ATTEMPT: &str = "mangofront-attempt";
    /// Priority at the engine, 0 is the most urgent, 255 the least.
    pub const PRIORITY: &str = "mangofront-priority";
    /// Time left until the request's deadline, in milliseconds.
    pub const DEADLINE_MS: &str = "mangofront-deadline-ms";
    /// Index of the first token wanted of a resumed answer.
    pub const RESUME_OFFSET: &str = "mangofront-resume-offset";
    /// Memory reservation that a request computes under.
    pub const RESERVATION: &str = "mangofront-reservation";
    /// Id of a stream at its engine, set by the engine.
    pub const STREAM_ID: &str = "mangofront-stream-id";
    /// Incarnation of the process that answered.
    pub const INCARNATION: &str = "mangofront-incarnation";
    /// Revision of a published value.
    pub const REVISION: &str = "mangofront-revision";
}
