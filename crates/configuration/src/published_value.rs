//! The decision whether an offered value comes into force.
//!
//! A [`PublishedValue`] maintains these invariants: the revision in force never
//! decreases; the value of the revision in force never changes; the value in force has
//! passed all checks.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use mangofront_settings::ids::Revision;

use crate::change::{OfferOutcome, PlatformChange, Refusal};
use crate::decision::{Decision, OfferCounters, other_digest, too_large};
use crate::digest;
use crate::document::{Digest, Document, Kind, Source, Version};
use crate::options::VALUE_LIMIT_BYTES;
use crate::refusal_history::RefusalHistory;
use crate::staleness::Staleness;

/// Parses and checks a text; the error describes its first fault.
pub(crate) type Parse<'a, A> = &'a dyn Fn(Version, &str) -> Result<A, String>;

/// The value in force.
#[derive(Debug)]
pub(crate) struct Current<A> {
    pub(crate) version: Version,
    pub(crate) accepted: Rc<A>,
    pub(crate) body: Bytes,
    pub(crate) accepted_at: Instant,
}

/// State of one published value in this process.
#[derive(Debug)]
pub(crate) struct PublishedValue<A> {
    kind: Kind,
    current: Option<Current<A>>,
    refused: RefusalHistory,
    staleness: Staleness,
    pub(crate) counters: OfferCounters,
}

impl<A> PublishedValue<A> {
    pub(crate) fn new(kind: Kind) -> Self {
        Self {
            kind,
            current: None,
            refused: RefusalHistory::default(),
            staleness: Staleness::default(),
            counters: OfferCounters::default(),
        }
    }

    pub(crate) fn current(&self) -> Option<&Current<A>> {
        self.current.as_ref()
    }

    pub(crate) fn version(&self) -> Option<Version> {
        self.current.as_ref().map(|current| current.version)
    }

    pub(crate) fn revision(&self) -> Option<Revision> {
        self.version().map(|version| version.revision)
    }

    /// Whether the service serves values below the revision in force.
    pub(crate) fn is_behind(&self) -> bool {
        self.staleness.is_stale()
    }

    /// Records that the service confirmed `reported` as its current revision.
    pub(crate) fn note_unchanged(&mut self, reported: Option<Revision>) {
        if reported >= self.revision() {
            self.note_service_current(&Source::Service);
        }
    }

    /// Decides whether a value that was received completely comes into force.
    ///
    /// `revision_at_request` is the revision in force when the value was requested.
    /// If a lower revision than the one in force now is at or above it, a newer value
    /// arrived in the meantime, and the source is not considered stale.
    pub(crate) fn offer(
        &mut self,
        document: &Document,
        source: &Source,
        revision_at_request: Option<Revision>,
        parse: Parse<'_, A>,
    ) -> Decision {
        let revision = document.revision;
        if self.revision().is_some_and(|current| revision < current) {
            return self.handle_lower_revision(revision, source, revision_at_request);
        }
        self.note_service_current(source);
        if self.is_current(revision, &document.body) {
            return Decision::unchanged(OfferOutcome::AlreadyHeld);
        }
        if document.body.len() > VALUE_LIMIT_BYTES {
            return self.refuse(revision, None, source, too_large());
        }
        let (digest, text) = match read(&document.body) {
            Ok(read) => read,
            Err((digest, reason)) => {
                return self.refuse(revision, Some(digest), source, Refusal::Invalid { reason });
            }
        };
        let version = Version { revision, digest };
        if let Some(current) = self.version()
            && current.revision == revision
        {
            return self.handle_same_revision(version, current, source);
        }
        if let Some(decision) = self.refused_before(version) {
            return decision;
        }
        match parse(version, text) {
            Ok(accepted) => self.accept(version, accepted, document, source),
            Err(reason) => self.refuse(revision, Some(digest), source, Refusal::Invalid { reason }),
        }
    }

    /// Refuses a value from the service that could not be read completely.
    pub(crate) fn refuse_unreadable(
        &mut self,
        revision: Revision,
        reason: Refusal,
        revision_at_request: Option<Revision>,
    ) -> Decision {
        if self.revision().is_some_and(|current| revision < current) {
            return self.handle_lower_revision(revision, &Source::Service, revision_at_request);
        }
        self.note_service_current(&Source::Service);
        self.refuse(revision, None, &Source::Service, reason)
    }

    /// Whether the value of a peer's version should be fetched.
    pub(crate) fn wants(&self, peer: Version) -> bool {
        let is_newer = self
            .revision()
            .is_none_or(|current| peer.revision > current);
        is_newer && !self.refused.contains(peer.revision, Some(peer.digest))
    }

    /// Records a peer's version; returns a change if its value differs from the one in force
    /// under the same revision.
    pub(crate) fn note_peer_version(&mut self, peer: Version) -> Option<PlatformChange> {
        let current = self.version()?;
        let diverged = current.revision == peer.revision && current.digest != peer.digest;
        if !diverged || self.refused.contains(peer.revision, Some(peer.digest)) {
            return None;
        }
        self.refused.remember(
            peer.revision,
            Some(peer.digest),
            other_digest(peer, current),
        );
        Some(PlatformChange::Diverged {
            kind: self.kind,
            revision: current.revision,
            local_digest: current.digest,
            peer_digest: peer.digest,
        })
    }

    fn is_current(&self, revision: Revision, body: &Bytes) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| current.version.revision == revision && current.body == body)
    }

    fn handle_lower_revision(
        &mut self,
        revision: Revision,
        source: &Source,
        revision_at_request: Option<Revision>,
    ) -> Decision {
        let is_stale = revision_at_request.is_some_and(|current| revision < current);
        let Some(floor) = self.revision() else {
            return Decision::unchanged(OfferOutcome::Outdated);
        };
        if *source != Source::Service || !is_stale {
            return Decision::unchanged(OfferOutcome::Outdated);
        }
        self.counters.stale += 1;
        let is_first = self.staleness.note_stale();
        let reason = Refusal::Lower { floor };
        let change = self.refusal(revision, source, reason.clone());
        Decision {
            outcome: OfferOutcome::Refused(reason),
            change: is_first.then_some(change),
        }
    }

    fn note_service_current(&mut self, source: &Source) {
        if *source == Source::Service {
            self.staleness.note_current();
        }
    }

    fn handle_same_revision(
        &mut self,
        offered: Version,
        current: Version,
        source: &Source,
    ) -> Decision {
        if offered.digest == current.digest {
            return Decision::unchanged(OfferOutcome::AlreadyHeld);
        }
        let reason = other_digest(offered, current);
        self.refuse(offered.revision, Some(offered.digest), source, reason)
    }

    fn refused_before(&self, version: Version) -> Option<Decision> {
        let reason = self.refused.find(version.revision, Some(version.digest))?;
        Some(Decision::unchanged(OfferOutcome::Refused(reason.clone())))
    }

    fn accept(
        &mut self,
        version: Version,
        accepted: A,
        document: &Document,
        source: &Source,
    ) -> Decision {
        if let Source::Peer(_) = source {
            self.counters.from_peers += 1;
        }
        self.current = Some(Current {
            version,
            accepted: Rc::new(accepted),
            body: document.body.clone(),
            accepted_at: Instant::now(),
        });
        let change = PlatformChange::Accepted {
            kind: self.kind,
            revision: version.revision,
            digest: version.digest,
            source: source.clone(),
        };
        Decision {
            outcome: OfferOutcome::Accepted,
            change: Some(change),
        }
    }

    fn refuse(
        &mut self,
        revision: Revision,
        digest: Option<Digest>,
        source: &Source,
        reason: Refusal,
    ) -> Decision {
        self.counters.refused += 1;
        let is_known = self.refused.contains(revision, digest);
        if !is_known {
            self.refused.remember(revision, digest, reason.clone());
        }
        let change = self.refusal(revision, source, reason.clone());
        Decision {
            outcome: OfferOutcome::Refused(reason),
            change: (!is_known).then_some(change),
        }
    }

    fn refusal(&self, revision: Revision, source: &Source, reason: Refusal) -> PlatformChange {
        PlatformChange::Refused {
            kind: self.kind,
            revision,
            source: source.clone(),
            reason,
        }
    }
}

/// Digest and text of a body; if it is not JSON, its digest and the fault.
fn read(body: &Bytes) -> Result<(Digest, &str), (Digest, String)> {
    let fault = |reason: String| (digest::of_text(body), reason);
    let text = std::str::from_utf8(body).map_err(|error| fault(error.to_string()))?;
    let value = serde_json::from_str(text).map_err(|error| fault(error.to_string()))?;
    Ok((digest::of_value(&value), text))
}
