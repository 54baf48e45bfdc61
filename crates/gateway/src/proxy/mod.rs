//! Requests that another daemon forwards to an upstream, since this one has no path to it.
//!
//! The daemon at which a request arrived does everything but the last hop: it admits the
//! request, selects the upstream, counts attempts and retries, and frames the answer. The
//! proxy forwards a single attempt to the upstream that is named, from its own connections,
//! and returns the answer as it arrives. It never forwards to another daemon, so there is one
//! hop at most, and never sends an attempt again.
//!
//! Daemons exchange attempts as ordinary HTTP/1.1 on a port of their own: it brings streams,
//! back pressure, and cancellation by closing the connection, which the request and reply
//! messages of `mangofront-peers` lack.

mod client;
mod headers;
mod selection;
mod server;

pub(crate) use client::{Destination, NeededEvidence, ProxyClient, ProxyError, Testimony, Times};
pub(crate) use headers::AttemptKind;
pub(crate) use selection::{OutstandingAttempt, ProxySelection};
pub(crate) use server::{ProxiedAttempts, handle};
