//! Limits of the emulators that the daemon keeps connections to.

use std::time::Duration;

use mangofront_http::ServeLimits;

/// Wider than those of a daemon: an emulator must not close a connection that
/// the daemon under test still counts on.
pub(crate) const LIMITS: ServeLimits = ServeLimits {
    header_timeout: Duration::from_secs(30),
    header_limit_bytes: 400 * 1024,
    write_timeout: Duration::from_secs(30),
};
