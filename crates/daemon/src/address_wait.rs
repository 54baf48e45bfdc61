//! Patience with addresses that another process still has.
//!
//! A daemon that is started while its predecessor drains finds the predecessor's addresses
//! in use. It tries again until the predecessor must have ended, so that whoever
//! starts it need not start it twice.

use std::time::{Duration, Instant};

use crate::error::DaemonError;

/// Time for a process to end after its grace, and for the kernel to free its addresses.
const RELEASE_TIME: Duration = Duration::from_secs(2);

/// Pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How long a daemon that starts waits for its addresses, all of them together.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AddressWait {
    until: Instant,
}

impl AddressWait {
    /// Waits for a predecessor that may take `stop_grace` to end.
    pub(crate) fn for_predecessor(stop_grace: Duration) -> Self {
        Self {
            until: Instant::now() + stop_grace + RELEASE_TIME,
        }
    }

    /// Repeats `listen` while its address is in use.
    ///
    /// # Errors
    /// What `listen` returned last: another fault, or an address that stayed in use.
    pub(crate) async fn listen<T>(
        self,
        listen: impl AsyncFn() -> Result<T, DaemonError>,
    ) -> Result<T, DaemonError> {
        let mut is_told = false;
        loop {
            let error = match listen().await {
                Ok(listening) => return Ok(listening),
                Err(error) => error,
            };
            let left = self.until.saturating_duration_since(Instant::now());
            if !error.is_address_in_use() || left.is_zero() {
                return Err(error);
            }
            if !is_told {
                log::warn!(
                    wait_ms = left.as_millis() as u64, reason = error.to_string().as_str();
                    "daemon: address in use; waiting for the process that has it"
                );
                is_told = true;
            }
            compio::time::sleep(RETRY_PAUSE.min(left)).await;
        }
    }
}
