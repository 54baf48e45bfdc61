//! `mangofront audit`: prints a daemon's audit trail.
//!
//! An entry of an unknown kind is printed as JSON, as the daemon may be newer than
//! this tool during an upgrade.

use std::net::SocketAddr;
use std::time::Duration;

use jiff::Timestamp;
use mangofront_audit::AuditEntry;
use pico_args::Arguments;
use serde::Deserialize;
use serde_json::Value;

use crate::admin::AdminClient;
use crate::error::CliError;
use crate::{block_on, finish, output};

/// Interval between two reads of the trail with `--follow`.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

/// A page of the trail, with entries as JSON since some may be of unknown kinds.
#[derive(Debug, Deserialize)]
struct Page {
    next_sequence: u64,
    #[serde(default)]
    oldest_sequence: u64,
    entries: Vec<Value>,
}

pub(crate) fn run(mut arguments: Arguments) -> Result<(), CliError> {
    let address: SocketAddr = arguments.value_from_str("--admin")?;
    let after: u64 = arguments.opt_value_from_str("--after")?.unwrap_or(0);
    let json = arguments.contains("--json");
    let follow = arguments.contains("--follow");
    finish(arguments)?;
    block_on(async {
        let reader = Reader {
            admin: AdminClient::new(address)?,
            address,
            json,
        };
        let next = reader.print_after(after).await?;
        if follow {
            reader.follow(next).await?;
        }
        Ok(())
    })
}

/// Reads the trail of one daemon and prints it.
struct Reader {
    admin: AdminClient,
    address: SocketAddr,
    json: bool,
}

impl Reader {
    /// Prints new entries, also after restarts of the daemon, until the process is
    /// stopped or the reader of its output closes the pipe.
    async fn follow(&self, mut after: u64) -> Result<(), CliError> {
        let mut is_reachable = true;
        loop {
            compio::time::sleep(FOLLOW_INTERVAL).await;
            match self.print_after(after).await {
                Ok(next) => {
                    after = next;
                    is_reachable = true;
                }
                Err(error @ CliError::Unreachable { .. }) => {
                    if is_reachable {
                        eprintln!("{error}");
                    }
                    is_reachable = false;
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Prints the entries after a sequence number and returns that of the latest entry.
    async fn print_after(&self, after: u64) -> Result<u64, CliError> {
        let mut page = self.page(after).await?;
        if page.next_sequence <= after {
            // Sequence numbers start again at 1 when the daemon restarts.
            eprintln!("audit: {} has restarted", self.address);
            page = self.page(0).await?;
        } else if page.oldest_sequence > after + 1 {
            let lost = page.oldest_sequence - after - 1;
            eprintln!("audit: {lost} entries are no longer held");
        }
        for entry in &page.entries {
            self.print(entry)?;
        }
        Ok(page.next_sequence.saturating_sub(1))
    }

    async fn page(&self, after: u64) -> Result<Page, CliError> {
        const STEP: &str = "audit";
        let page = self
            .admin
            .get(STEP, &format!("/audit?after={after}"))
            .await?;
        serde_json::from_value(page).map_err(|cause| CliError::InvalidResponse {
            step: STEP,
            address: self.address,
            cause,
        })
    }

    fn print(&self, entry: &Value) -> Result<(), CliError> {
        if self.json {
            return output::print_json_line(entry);
        }
        output::print(&format!("{}\n", render(entry)))
    }
}

/// Entry as it is printed: time, sequence number and event.
fn render(entry: &Value) -> String {
    let Ok(known) = AuditEntry::deserialize(entry) else {
        return entry.to_string();
    };
    let unix_time_ms = i64::try_from(known.unix_time_ms).unwrap_or(i64::MAX);
    let time = Timestamp::from_millisecond(unix_time_ms).map_or_else(
        |_| known.unix_time_ms.to_string(),
        |time| format!("{time:.3}"),
    );
    let event = output::escape_control(&known.event.to_string());
    format!("{time} #{} {event}", known.sequence)
}
