//! Paths from this daemon to the upstreams, as far as its own attempts show.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use mangofront_engines::{UpstreamKey, key_of};
use mangofront_paths::{PathFault, PathOptions, PathSummary, PathTable};
use mangofront_routes::Upstream;

use crate::trace;

/// The paths of this daemon; clones share their state.
#[derive(Debug, Clone)]
pub(crate) struct Paths(Rc<RefCell<PathTable>>);

impl Default for Paths {
    fn default() -> Self {
        Self(Rc::new(RefCell::new(
            PathTable::new(PathOptions::default()),
        )))
    }
}

impl Paths {
    /// Records an answer of an upstream.
    pub(crate) fn prove(&self, upstream: &Upstream) {
        let now = Instant::now();
        let ended = self.0.borrow_mut().prove(key_of(upstream), now);
        if let Some(outage) = ended {
            trace::path_regained(upstream, outage);
        }
    }

    /// Records that an upstream was not reached `since`.
    pub(crate) fn suspect(&self, upstream: &Upstream, fault: PathFault, since: Instant) {
        let now = Instant::now();
        let mut table = self.0.borrow_mut();
        let is_new = table.suspect(key_of(upstream), fault, since, now);
        let summary = table.summary(now);
        drop(table);
        if is_new {
            trace::path_suspected(upstream, fault, since.elapsed(), &summary);
        }
    }

    /// Number of paths to `known` upstreams, by state.
    pub(crate) fn summary(&self, known: &[UpstreamKey]) -> PathSummary {
        let mut table = self.0.borrow_mut();
        table.retain(known);
        table.summary(Instant::now())
    }
}
