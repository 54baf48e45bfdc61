//! How many unused connections a daemon keeps to each upstream.
//!
//! An upstream takes a limited number of connections from all daemons together and resets those
//! beyond, with the requests on them. Each request that must not be repeated opens a connection and
//! leaves it unused, so the daemons share a part of the limit for unused ones. The other part is
//! left to connections that carry requests.

use std::net::SocketAddr;

use mangofront_routes::ConfigurationVersion;
use mangofront_upstream::Connections;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::known_positions::KnownPositions;
use crate::published::Published;

/// Part of the connections to an upstream that may be unused.
const UNUSED_PART: f64 = 0.5;

/// Number of unused connections that the daemon `own` keeps to the upstream at `address`.
///
/// `connections_limit` is that of the upstream for all `daemons`. Where they may keep fewer
/// connections than there are daemons, some keep one.
#[must_use]
pub fn idle_limit(connections_limit: u32, daemons: usize, own: u64, address: SocketAddr) -> usize {
    let limit = f64::from(connections_limit) * UNUSED_PART / daemons.max(1) as f64;
    let drawn = xxh3_64_with_seed(address.to_string().as_bytes(), own) as f64 / u64::MAX as f64;
    limit as usize + usize::from(drawn < limit.fract())
}

/// What the limits depend on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Basis {
    daemons: usize,
    version: Option<ConfigurationVersion>,
    positions: KnownPositions,
}

/// Keeps the limits of a daemon's unused connections up to date.
#[derive(Debug)]
pub(crate) struct IdleLimits {
    own: u64,
    applied: Option<Basis>,
}

impl IdleLimits {
    /// Limits of the daemon `own`, of which none is applied yet.
    pub(crate) fn new(own: u64) -> Self {
        Self { own, applied: None }
    }

    /// Applies the limits to `connections`, if anything changed that they depend on.
    pub(crate) fn apply(
        &mut self,
        daemons: usize,
        published: &Published,
        connections: &Connections,
    ) {
        let basis = Basis {
            daemons,
            version: published.version(),
            positions: published.positions(),
        };
        if self.applied.replace(basis) == Some(basis) {
            return;
        }
        let limits = published.connections_limits().into_iter();
        let own = self.own;
        connections.set_idle_limits(
            limits
                .map(|(address, limit)| (address, idle_limit(limit, daemons, own, address)))
                .collect(),
        );
    }
}
