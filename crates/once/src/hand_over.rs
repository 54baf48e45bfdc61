//! Graceful shutdown: finish, stop deciding, pass the records on.
//!
//! The order of the steps is what makes the successors' answers true. New calls
//! are refused first; runs in progress end; then this process grants no key of
//! its own any more; only then are the records collected. A grant given in the
//! last moment is among them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use mangofront_settings::ids::InstanceId;
use serde::Serialize;

use crate::core::Core;
use crate::message::{ArchivePart, Reply, Request};

const ATTEMPTS: u32 = 3;
const WAIT_STEP: Duration = Duration::from_millis(5);

/// What a graceful shutdown left behind.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct HandOverReport {
    /// Claims that had not ended in time; their keys are *outcome unknown*.
    pub unfinished: usize,
    /// Minted keys whose records were passed on, this process's and others'.
    pub records: usize,
    /// Daemons that have all of them that were meant for them.
    pub successors: Vec<InstanceId>,
    /// Daemons that could not be given all.
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
            if open == 0 && self.unsent.get() == 0 {
                return;
            }
            compio::time::sleep(WAIT_STEP).await;
        }
    }

    fn stop_and_collect(&self) -> Vec<ArchivePart> {
        let keep = self.keep();
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        state.mint.stop_deciding();
        state.seat.stop_voting();
        let mut parts = state.mint.archive(now, keep);
        parts.extend(state.archives.parts(now));
        parts
    }

    async fn send_part(self: &Rc<Self>, part: &ArchivePart) -> Vec<(InstanceId, bool)> {
        let former = &part.former;
        let keepers = self.archive_keepers(&former.instance, former.incarnation);
        let others = keepers.into_iter().filter(|peer| !self.is_me(peer));
        let sends = others.map(|peer| async move {
            let request = Request::HandOver(part.clone());
            for _ in 0..ATTEMPTS {
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
