//! HTTP server limits of the emulators to which daemons keep connections.

use std::time::Duration;

use mangofront_http::ServeLimits;

/// Wider than those of a daemon, as an emulator must not close a connection that
/// the daemon under test may still use.
pub(crate) fn serve_limits() -> ServeLimits {
    ServeLimits {
        header_timeout: Duration::from_secs(30),
        header_limit_bytes: 400 * 1024,
        ..ServeLimits::default()
    }
}
