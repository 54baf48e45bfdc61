//! `mangofront audit`: a daemon's trail of changes.
//!
//! An entry of a kind that this tool doesn't know is printed as its JSON: in
//! the middle of an upgrade the daemon may be newer than the tool.

use std::net::SocketAddr;
use std::time::Duration;

use jiff::Timestamp;
use mangofront_audit::AuditEntry;
use pico_args::Arguments;
use serde::Deserialize;
use serde_json::Value;

use crate::admin::Admin;
use crate::error::CliError;
use crate::{block_on, finish, output};

/// Pause between two looks while following.
const FOLLOW_PAUSE: Duration = Duration::from_millis(500);

/// A page of the trail whose entries may be of unknown kinds.
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
            admin: Admin::new(address)?,
            address,
            json,
        };
        let next = reader.show_after(after).await?;
        if follow {
            reader.follow(next).await?;
        }
        Ok(())
    })
}

struct Reader {
    admin: Admin,
    address: SocketAddr,
    json: bool,
}

impl Reader {
    /// Shows what comes, through restarts of the daemon, until the process is
    /// stopped or its reader goes away.
    async fn follow(&self, mut after: u64) -> Result<(), CliError> {
        let mut reachable = true;
        loop {
            compio::time::sleep(FOLLOW_PAUSE).await;
            match self.show_after(after).await {
                Ok(next) => {
                    after = next;
                    reachable = true;
                }
                Err(error @ CliError::Unreachable { .. }) => {
                    if reachable {
                        eprintln!("{error}");
                    }
                    reachable = false;
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Shows the entries after a sequence; returns the last one there is.
    async fn show_after(&self, after: u64) -> Result<u64, CliError> {
        let mut page = self.page(after).await?;
        if page.next_sequence <= after {
            // Sequences begin at 1 with each life of the daemon.
            eprintln!("audit: {} started anew", self.address);
            page = self.page(0).await?;
        } else if page.oldest_sequence > after + 1 {
            let lost = page.oldest_sequence - after - 1;
            eprintln!("audit: {lost} entries are no longer held");
        }
        for entry in &page.entries {
            self.show(entry)?;
        }
        Ok(page.next_sequence.saturating_sub(1))
    }

    async fn page(&self, after: u64) -> Result<Page, CliError> {
        const STEP: &str = "audit";
        let page = self
            .admin
            .get(STEP, &format!("/audit?after={after}"))
            .await?;
        serde_json::from_value(page).map_err(|cause| CliError::BadAnswer {
            step: STEP,
            address: self.address,
            cause,
        })
    }

    fn show(&self, entry: &Value) -> Result<(), CliError> {
        if self.json {
            return output::print_json_line(entry);
        }
        output::print(&format!("{}\n", sentence(entry)))
    }
}

fn sentence(entry: &Value) -> String {
    let Ok(known) = AuditEntry::deserialize(entry) else {
        return entry.to_string();
    };
    let unix_time_ms = i64::try_from(known.unix_time_ms).unwrap_or(i64::MAX);
    let time = Timestamp::from_millisecond(unix_time_ms).map_or_else(
        |_| known.unix_time_ms.to_string(),
        |time| format!("{time:.3}"),
    );
    let event = output::plain(&known.event.to_string());
    format!("{time} #{} {event}", known.sequence)
}
