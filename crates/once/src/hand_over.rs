//! Graceful shutdown: finish runs, stop granting, hand the records over.
//!
//! The order of the steps makes the successors' replies correct: new orders are
//! refused, runs in progress end, this process stops granting its own keys, and
//! only then are the records collected. So they include every grant.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use mangofront_settings::ids::InstanceId;
use serde::Serialize;

use crate::core::Core;
use crate::message::{ArchivePart, Reply, Request};

const SEND_ATTEMPTS: u32 = 3;
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Result of a graceful shutdown.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct HandOverReport {
    /// Claims that had not ended in time; the outcome of their keys is unknown.
    pub unfinished: usize,
    /// Minted keys whose records were handed over, of this and of former processes.
    pub records: usize,
    /// Daemons that received all records meant for them.
    pub successors: Vec<InstanceId>,
    /// Daemons to which some records could not be sent.
    pub unreached: Vec<InstanceId>,
}

impl Core {
    pub(crate) async fn hand_over(self: &Rc<Self>) -> HandOverReport {
        self.state.borrow_mut().stopping = true;
        self.wait_for_runs().await;
        let parts = self.stop_and_collect();
        let mut report = HandOverReport {
            unfinished: self.claims.borrow().open_count(),
            records: parts.iter().map(|part| part.entries.len()).sum(),
            ..HandOverReport::default()
        };
        let sent = join_all(parts.iter().map(|part| self.send_part(part))).await;
        for (peer, reached) in sent.into_iter().flatten() {
            let list = if reached {
                &mut report.successors
            } else {
                &mut report.unreached
            };
            list.push(peer);
        }
        report.sort();
        log::info!("once: handed over {} records", report.records);
        report
    }

    async fn wait_for_runs(&self) {
        let until = Instant::now() + self.options.hand_over_limit;
        while Instant::now() < until {
            let open = self.claims.borrow().open_count();
            if open == 0 && self.pending_notifications.get() == 0 {
                return;
            }
            compio::time::sleep(WAIT_POLL_INTERVAL).await;
        }
    }

    fn stop_and_collect(&self) -> Vec<ArchivePart> {
        let retention = self.retention();
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        state.key_issuer.stop_granting();
        state.voter.stop_voting();
        let mut parts = state.key_issuer.archive(now, retention);
        parts.extend(state.archives.parts(now));
        parts
    }

    async fn send_part(self: &Rc<Self>, part: &ArchivePart) -> Vec<(InstanceId, bool)> {
        let former = &part.former;
        let holders = self.archive_holders(&former.instance, former.incarnation);
        let others = holders.into_iter().filter(|peer| !self.is_self(peer));
        let sends = others.map(|peer| async move {
            let request = Request::HandOver(part.clone());
            for _ in 0..SEND_ATTEMPTS {
                if matches!(self.call(&peer, &request).await, Ok(Reply::Done)) {
                    return (peer, true);
                }
            }
            (peer, false)
        });
        join_all(sends).await
    }
}

impl HandOverReport {
    fn sort(&mut self) {
        for list in [&mut self.successors, &mut self.unreached] {
            list.sort_unstable();
            list.dedup();
        }
        let unreached = &self.unreached;
        self.successors.retain(|peer| !unreached.contains(peer));
    }
}
