//! Waits for addresses that another process is still using.
//!
//! A daemon that is started while its predecessor drains finds the predecessor's addresses
//! in use. It retries until the predecessor must have exited, so that it need not be
//! started a second time.

use std::time::{Duration, Instant};

use crate::error::DaemonError;

/// Time for a process to exit after its stop grace, and for the kernel to release its
/// addresses.
const ADDRESS_RELEASE_TIME: Duration = Duration::from_secs(2);

/// Interval between two attempts to bind an address.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Deadline by which a starting daemon must have bound all its addresses.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AddressWait {
    deadline: Instant,
}

impl AddressWait {
    /// Allows a predecessor `stop_grace` to exit.
    pub(crate) fn for_predecessor(stop_grace: Duration) -> Self {
        Self {
            deadline: Instant::now() + stop_grace + ADDRESS_RELEASE_TIME,
        }
    }

    /// Repeats `listen` while its address is in use.
    ///
    /// # Errors
    /// The last error of `listen`: another kind of error, or an address that stayed in use.
    pub(crate) async fn listen<T>(
        self,
        listen: impl AsyncFn() -> Result<T, DaemonError>,
    ) -> Result<T, DaemonError> {
        let mut is_logged = false;
        loop {
            let error = match listen().await {
                Ok(listener) => return Ok(listener),
                Err(error) => error,
            };
            let remaining = self.deadline.saturating_duration_since(Instant::now());
            if !error.is_address_in_use() || remaining.is_zero() {
                return Err(error);
            }
            if !is_logged {
                log::warn!(
                    wait_ms = remaining.as_millis() as u64, reason = error.to_string().as_str();
                    "daemon: address in use; waiting for the process that has it"
                );
                is_logged = true;
            }
            compio::time::sleep(RETRY_INTERVAL.min(remaining)).await;
        }
    }
}
