//! Current incarnation of each upstream, and notification of its end.
//!
//! An upstream that crashes may restart under the same id with an empty engine. Its earlier
//! requests are lost, although a partitioned connection may never report that; this module notifies
//! whoever waits for one of them.

use std::collections::HashMap;

use futures_channel::oneshot;
use mangofront_routes::{Upstream, UpstreamId};

/// Completes when the incarnation that runs a request has ended.
pub(crate) type IncarnationEnd = oneshot::Receiver<()>;

/// The latest incarnation of each upstream.
#[derive(Debug, Default)]
pub(crate) struct Incarnations(HashMap<UpstreamId, Incarnation>);

#[derive(Debug)]
struct Incarnation {
    started_at_ms: u64,
    waiters: Vec<oneshot::Sender<()>>,
}

impl Incarnations {
    /// Records a registration; returns whether it belongs to another incarnation than the known
    /// one.
    pub(crate) fn observe(&mut self, upstream: &Upstream) -> bool {
        let incarnation = self
            .0
            .entry(upstream.id.clone())
            .or_insert_with(|| Incarnation {
                started_at_ms: upstream.started_at_ms,
                waiters: Vec::new(),
            });
        if incarnation.started_at_ms == upstream.started_at_ms {
            return false;
        }
        incarnation.started_at_ms = upstream.started_at_ms;
        for waiter in incarnation.waiters.drain(..) {
            // The request that waited may have ended in the meantime.
            let _ = waiter.send(());
        }
        true
    }

    /// Subscribes to the end of the incarnation of `upstream`.
    pub(crate) fn subscribe_end(&mut self, upstream: &Upstream) -> IncarnationEnd {
        let (end, ended) = oneshot::channel();
        if let Some(incarnation) = self.0.get_mut(&upstream.id) {
            incarnation.waiters.retain(|waiter| !waiter.is_canceled());
            incarnation.waiters.push(end);
        }
        ended
    }

    /// Removes the incarnations that are not listed and have no waiters.
    ///
    /// A request may outlast its upstream's registration, and a later registration then still
    /// reports it as lost.
    pub(crate) fn retain(&mut self, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.0.retain(|id, incarnation| {
            incarnation.waiters.retain(|waiter| !waiter.is_canceled());
            !incarnation.waiters.is_empty() || is_listed(id)
        });
    }
}
