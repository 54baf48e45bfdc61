//! HTTP code shared by the servers and clients of the workspace.
//!
//! Contains the loop that serves hyper on compio, the response body type, the
//! error body with its [`Outcome`], the parser of event streams and the
//! construction of the client, but no policy. The other crates (`entry`,
//! `upstream`, `platform`, `standin`, `daemon`, `cli`, `load`) define their own
//! messages on top.

mod acceptance;
mod body;
mod client;
mod connection;
mod error;
mod events;
mod failed_writes;
mod metered_heads;
mod serve;
mod short_writes;
mod shutdown;
mod stall;

pub use acceptance::{Acceptance, TICK_PERIOD};
pub use body::{Body, collect, empty, full, json, read_body, stream, stream_until_abort};
pub use client::{ClientError, client};
pub use connection::Aborted;
pub use error::{ErrorBody, ErrorDetail, Outcome};
pub use events::{EVENT_LIMIT_BYTES, Event, EventsError, events, events_within};
pub use failed_writes::{CheckedReader, RecordingWriter, report_failed_writes};
pub use serve::{ServeLimits, StopSignals, serve, serve_abortable, serve_while_on_time};
pub use short_writes::ShortWrites;
pub use shutdown::{Shutdown, ShutdownTrigger};

/// Names of the headers, described in `docs/interfaces.md`.
pub mod headers {
    /// Class of a request, set by the caller.
    pub const CLASS: &str = "mangofront-class";
    /// Organisation of a request, set by the caller.
    pub const ORGANISATION: &str = "mangofront-organisation";
    /// Idempotency key of an order that must not be repeated, set by the caller.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// Id of a request, set by the daemon and returned to the caller.
    pub const REQUEST_ID: &str = "mangofront-request-id";
    /// Number of the attempt within a request, starting at 1.
    pub const ATTEMPT: &str = "mangofront-attempt";
    /// Priority at the engine; 0 is the most urgent, 255 the least.
    pub const PRIORITY: &str = "mangofront-priority";
    /// Time left until the request's deadline, in milliseconds.
    pub const DEADLINE_MS: &str = "mangofront-deadline-ms";
    /// Index of the first token that a resumed answer should contain.
    pub const RESUME_OFFSET: &str = "mangofront-resume-offset";
    /// Id of the memory reservation that a request uses.
    pub const RESERVATION: &str = "mangofront-reservation";
    /// Id of a stream at its engine, set by the engine.
    pub const STREAM_ID: &str = "mangofront-stream-id";
    /// Incarnation of the process that sent the response.
    pub const INCARNATION: &str = "mangofront-incarnation";
    /// Revision of a published value.
    pub const REVISION: &str = "mangofront-revision";
}
