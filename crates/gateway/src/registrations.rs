//! The registrations of upstreams, and which upstreams are used by them.
//!
//! A registration may be missing because its upstream has left, or only because it
//! lapsed while the source was out of reach. So an upstream may be used for a moment
//! longer than it is registered. That is a guess of this daemon, made from when it lost
//! the source, and is kept apart from what is published: other daemons are handed what
//! is published only, as nothing would ever tell them that a guess has ended.

use std::collections::{HashMap, HashSet};
use std::time::Instant;

use mangofront_routes::{Upstream, UpstreamId};

/// What a registration changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Registered {
    /// The upstream is new, or something of it that matters is.
    Changed,
    /// Nothing that matters.
    Unchanged,
    /// Nothing: it was written by an earlier life than the one that is known.
    EarlierLife,
}

/// What a missing registration led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Missing {
    /// The upstream was not known, or is kept already.
    Unchanged,
    /// The upstream is used no more.
    Removed,
    /// The upstream is used on until then.
    Kept(Instant),
}

/// Registrations as far as they are known.
#[derive(Debug, Default)]
pub struct Registrations {
    /// As published at the position that this daemon knows.
    published: HashMap<UpstreamId, Upstream>,
    /// Upstreams that are no longer published and used nevertheless.
    kept: HashMap<UpstreamId, Kept>,
}

#[derive(Debug)]
struct Kept {
    upstream: Upstream,
    until: Instant,
}

impl Registrations {
    /// Takes in a registration.
    pub fn register(&mut self, upstream: Upstream) -> Registered {
        let id = &upstream.id;
        let kept = self.kept.get(id).map(|kept| &kept.upstream);
        let before = self.published.get(id).or(kept);
        if before.is_some_and(|before| before.started_at_ms > upstream.started_at_ms) {
            return Registered::EarlierLife;
        }
        let is_unchanged = before.is_some_and(|before| before.says_the_same(&upstream));
        self.kept.remove(id);
        self.published.insert(id.clone(), upstream);
        match is_unchanged {
            true => Registered::Unchanged,
            false => Registered::Changed,
        }
    }

    /// Notes that a registration is missing; its upstream is kept until `keep_until`, if
    /// that is given and it had not said that it leaves.
    pub fn miss(&mut self, id: &UpstreamId, keep_until: Option<Instant>) -> Missing {
        let Some(upstream) = self.published.remove(id) else {
            return Missing::Unchanged;
        };
        match keep_until {
            Some(until) if !upstream.leaving => {
                self.kept.insert(id.clone(), Kept { upstream, until });
                Missing::Kept(until)
            }
            _ => Missing::Removed,
        }
    }

    /// Uses an upstream no more, at once; whether it was used.
    pub fn remove(&mut self, id: &UpstreamId) -> bool {
        let was_kept = self.kept.remove(id).is_some();
        let was_published = self.published.remove(id).is_some();
        was_kept || was_published
    }

    /// Ends the use of an upstream that was kept until `now` or earlier; whether it was.
    pub fn end_keeping(&mut self, id: &UpstreamId, now: Instant) -> bool {
        let is_over = self.kept.get(id).is_some_and(|kept| kept.until <= now);
        is_over && self.kept.remove(id).is_some()
    }

    /// The registrations that are published, to be handed to others.
    pub fn published(&self) -> impl Iterator<Item = &Upstream> {
        self.published.values()
    }

    /// Ids of the registrations that are published.
    #[must_use]
    pub fn ids(&self) -> HashSet<UpstreamId> {
        self.published.keys().cloned().collect()
    }

    /// The upstreams that are used.
    pub fn used(&self) -> impl Iterator<Item = &Upstream> {
        let kept = self.kept.values().map(|kept| &kept.upstream);
        self.published.values().chain(kept)
    }
}
