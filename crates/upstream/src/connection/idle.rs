//! Connections that wait for their next call.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::Sender;

/// Time before the announced end of an unused connection at which it is given up:
/// a call sent later could meet the end on its way.
const CLOSING_MARGIN: Duration = Duration::from_millis(500);

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
    until: Instant,
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
            if Instant::now() < entry.until && entry.sender.is_ready() {
                return Some(entry.sender);
            }
        }
        None
    }

    /// Keeps a connection whose other end closes it after `announced`.
    pub(super) fn put(&self, address: SocketAddr, sender: Sender, announced: Option<Duration>) {
        if sender.is_closed() {
            return;
        }
        let mut by_address = self.by_address.borrow_mut();
        let kept = by_address.entry(address).or_default();
        let now = Instant::now();
        kept.retain(|entry| now < entry.until && !entry.sender.is_closed());
        let usable = announced.map_or(self.timeout, |announced| {
            self.timeout.min(announced.saturating_sub(CLOSING_MARGIN))
        });
        if kept.len() < self.limit && !usable.is_zero() {
            kept.push(Idle {
                sender,
                until: now + usable,
            });
        }
    }

    /// Addresses to which one is kept that is still open.
    pub(super) fn addresses(&self) -> HashSet<SocketAddr> {
        let now = Instant::now();
        let by_address = self.by_address.borrow();
        let open = by_address.iter().filter(|(_, kept)| {
            let mut kept = kept.iter();
            kept.any(|entry| now < entry.until && entry.sender.is_ready())
        });
        open.map(|(address, _)| *address).collect()
    }

    /// Closes the connections to addresses that `keep` does not name.
    pub(super) fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.by_address
            .borrow_mut()
            .retain(|address, _| keep(address));
    }
}
