//! Pool of idle connections.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::Sender;

/// Time before the server's announced timeout at which an idle connection is no
/// longer used: the server could close it while a later call is on its way.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);

/// Idle connections by address.
///
/// Invariant: every response on a pooled connection was read to its end.
#[derive(Debug)]
pub(super) struct IdleConnections {
    timeout: Duration,
    limit: usize,
    by_address: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    reusable_until: Instant,
}

impl IdleConnections {
    /// Empty pool that keeps at most `limit` connections per address.
    pub(super) fn new(timeout: Duration, limit: usize) -> Self {
        Self {
            timeout,
            limit,
            by_address: RefCell::default(),
        }
    }

    /// Takes the most recently used connection that is still open.
    pub(super) fn take(&self, address: SocketAddr) -> Option<Sender> {
        let mut by_address = self.by_address.borrow_mut();
        let idle = by_address.get_mut(&address)?;
        while let Some(entry) = idle.pop() {
            if Instant::now() < entry.reusable_until && entry.sender.is_ready() {
                return Some(entry.sender);
            }
        }
        None
    }

    /// Adds a connection, which the server closes after `keep_alive_timeout` if it
    /// announced one.
    pub(super) fn put(
        &self,
        address: SocketAddr,
        sender: Sender,
        keep_alive_timeout: Option<Duration>,
    ) {
        if sender.is_closed() {
            return;
        }
        let mut by_address = self.by_address.borrow_mut();
        let idle = by_address.entry(address).or_default();
        let now = Instant::now();
        idle.retain(|entry| now < entry.reusable_until && !entry.sender.is_closed());
        let reuse_for = keep_alive_timeout.map_or(self.timeout, |keep_alive_timeout| {
            self.timeout
                .min(keep_alive_timeout.saturating_sub(KEEP_ALIVE_MARGIN))
        });
        if idle.len() < self.limit && !reuse_for.is_zero() {
            idle.push(IdleConnection {
                sender,
                reusable_until: now + reuse_for,
            });
        }
    }

    /// Addresses to which there is an idle connection that is still open.
    pub(super) fn addresses(&self) -> HashSet<SocketAddr> {
        let now = Instant::now();
        let by_address = self.by_address.borrow();
        let open = by_address.iter().filter(|(_, idle)| {
            let mut idle = idle.iter();
            idle.any(|entry| now < entry.reusable_until && entry.sender.is_ready())
        });
        open.map(|(address, _)| *address).collect()
    }

    /// Closes the connections to all addresses for which `keep` returns false.
    pub(super) fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.by_address
            .borrow_mut()
            .retain(|address, _| keep(address));
    }
}
