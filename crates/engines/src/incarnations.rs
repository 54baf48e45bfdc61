//! Which life each upstream is in, and who waits for the end of one.
//!
//! An upstream that crashes may start again under its id, with an empty engine.
//! Its requests of before are gone, although a connection that was cut may never
//! say so; whoever waits for one of them is told here.

use std::collections::HashMap;

use futures_channel::oneshot;
use mangofront_routes::{Upstream, UpstreamId};

/// Told when the life that a request was placed on has ended.
pub(crate) type LifeEnd = oneshot::Receiver<()>;

/// The latest life of each upstream.
#[derive(Debug, Default)]
pub(crate) struct Lives(HashMap<UpstreamId, Life>);

#[derive(Debug)]
struct Life {
    started_at_ms: u64,
    waiting: Vec<oneshot::Sender<()>>,
}

impl Lives {
    /// Takes over a registration; whether it is of another life than was known.
    pub(crate) fn see(&mut self, upstream: &Upstream) -> bool {
        let life = self.0.entry(upstream.id.clone()).or_insert_with(|| Life {
            started_at_ms: upstream.started_at_ms,
            waiting: Vec::new(),
        });
        if life.started_at_ms == upstream.started_at_ms {
            return false;
        }
        life.started_at_ms = upstream.started_at_ms;
        for waiting in life.waiting.drain(..) {
            // Whoever waited may have ended in the meantime.
            let _ = waiting.send(());
        }
        true
    }

    /// The end of the life that `upstream` is in.
    pub(crate) fn end_of(&mut self, upstream: &Upstream) -> LifeEnd {
        let (end, ended) = oneshot::channel();
        if let Some(life) = self.0.get_mut(&upstream.id) {
            life.waiting.retain(|waiting| !waiting.is_canceled());
            life.waiting.push(end);
        }
        ended
    }

    /// Forgets the lives that `is_listed` does not name and nobody waits for.
    ///
    /// A request may outlast its upstream's registration, and a later
    /// registration then still tells that it is lost.
    pub(crate) fn retain(&mut self, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.0.retain(|id, life| {
            life.waiting.retain(|waiting| !waiting.is_canceled());
            !life.waiting.is_empty() || is_listed(id)
        });
    }
}
