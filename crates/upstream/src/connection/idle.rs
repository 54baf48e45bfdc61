//! Connections that wait for their next call.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::Sender;

/// Unused connections by address.
///
/// Invariant: on each of them every answer was read to its end.
#[derive(Debug)]
pub(super) struct IdleConnections {
    timeout: Duration,
    limit: usize,
    by_address: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: Instant,
}

impl IdleConnections {
    /// None yet; at most `limit` are kept for each address.
    pub(super) fn new(timeout: Duration, limit: usize) -> Self {
        Self {
            timeout,
            limit,
            by_address: RefCell::default(),
        }
    }

    /// The connection used last, if it is still open.
    pub(super) fn take(&self, address: SocketAddr) -> Option<Sender> {
        let mut by_address = self.by_address.borrow_mut();
        let kept = by_address.get_mut(&address)?;
        while let Some(entry) = kept.pop() {
            let fresh = entry.since.elapsed() < self.timeout;
            if fresh && entry.sender.is_ready() {
                return Some(entry.sender);
            }
        }
        None
    }

    pub(super) fn put(&self, address: SocketAddr, sender: Sender) {
        if sender.is_closed() {
            return;
        }
        let mut by_address = self.by_address.borrow_mut();
        let kept = by_address.entry(address).or_default();
        kept.retain(|entry| entry.since.elapsed() < self.timeout && !entry.sender.is_closed());
        if kept.len() < self.limit {
            kept.push(Idle {
                sender,
                since: Instant::now(),
            });
        }
    }

    /// Closes the connections to addresses that `keep` does not name.
    pub(super) fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.by_address
            .borrow_mut()
            .retain(|address, _| keep(address));
    }
}
