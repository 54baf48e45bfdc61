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
    /// Limits of single addresses, where they are below `limit`.
    limits_by_address: RefCell<HashMap<SocketAddr, usize>>,
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
            limits_by_address: RefCell::default(),
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
        let limit = self.limit_of(address);
        let mut by_address = self.by_address.borrow_mut();
        let idle = by_address.entry(address).or_default();
        let now = Instant::now();
        idle.retain(|entry| now < entry.reusable_until && !entry.sender.is_closed());
        let reuse_for = keep_alive_timeout.map_or(self.timeout, |keep_alive_timeout| {
            self.timeout
                .min(keep_alive_timeout.saturating_sub(KEEP_ALIVE_MARGIN))
        });
        if idle.len() < limit && !reuse_for.is_zero() {
            idle.push(IdleConnection {
                sender,
                reusable_until: now + reuse_for,
            });
        }
    }

    /// Sets the limits of single addresses, and closes the connections beyond them that were
    /// unused for the longest time.
    pub(super) fn set_limits(&self, limits: HashMap<SocketAddr, usize>) {
        self.limits_by_address.replace(limits);
        for (address, idle) in self.by_address.borrow_mut().iter_mut() {
            let surplus = idle.len().saturating_sub(self.limit_of(*address));
            idle.drain(..surplus);
        }
    }

    fn limit_of(&self, address: SocketAddr) -> usize {
        let limits = self.limits_by_address.borrow();
        let limit = limits.get(&address).copied();
        limit.map_or(self.limit, |limit| limit.min(self.limit))
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
