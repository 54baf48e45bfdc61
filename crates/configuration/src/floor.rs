//! The decision whether an offered value comes into force.
//!
//! One [`Floor`] stands for one published value. Its invariants: the revision
//! in force never falls; the value under a revision in force never changes;
//! what is in force passed its checks whole.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use mangofront_settings::ids::Revision;

use crate::change::{OfferOutcome, PlatformChange, Refusal};
use crate::digest;
use crate::document::{Digest, Document, Kind, Source, Version};
use crate::options::VALUE_LIMIT_BYTES;
use crate::refusals::Refusals;
use crate::staleness::Staleness;
use crate::verdict::{Tally, Verdict, other_digest, too_large};

/// Typed value of a text, or what is wrong with it.
pub(crate) type Parse<'a, A> = &'a dyn Fn(Version, &str) -> Result<A, String>;

/// A value in force.
#[derive(Debug)]
pub(crate) struct Held<A> {
    pub(crate) version: Version,
    pub(crate) accepted: Rc<A>,
    pub(crate) body: Bytes,
    pub(crate) accepted_at: Instant,
}

/// One published value as this process holds it.
#[derive(Debug)]
pub(crate) struct Floor<A> {
    kind: Kind,
    held: Option<Held<A>>,
    refused: Refusals,
    staleness: Staleness,
    pub(crate) tally: Tally,
}

impl<A> Floor<A> {
    pub(crate) fn new(kind: Kind) -> Self {
        Self {
            kind,
            held: None,
            refused: Refusals::default(),
            staleness: Staleness::default(),
            tally: Tally::default(),
        }
    }

    pub(crate) fn held(&self) -> Option<&Held<A>> {
        self.held.as_ref()
    }

    pub(crate) fn version(&self) -> Option<Version> {
        self.held.as_ref().map(|held| held.version)
    }

    pub(crate) fn revision(&self) -> Option<Revision> {
        self.version().map(|version| version.revision)
    }

    /// Whether the service serves values below the floor.
    pub(crate) fn is_behind(&self) -> bool {
        self.staleness.is_stale()
    }

    /// Notes that the service answered that `told` is still its revision.
    pub(crate) fn unchanged(&mut self, told: Option<Revision>) {
        if told >= self.revision() {
            self.service_caught_up(&Source::Service);
        }
    }

    /// Judges a whole value.
    ///
    /// `floor_at_request` is the floor when the value was asked for: an answer
    /// at or above it was overtaken on its way and accuses nobody.
    pub(crate) fn offer(
        &mut self,
        document: &Document,
        source: &Source,
        floor_at_request: Option<Revision>,
        parse: Parse<'_, A>,
    ) -> Verdict {
        let revision = document.revision;
        if self.revision().is_some_and(|floor| revision < floor) {
            return self.below_floor(revision, source, floor_at_request);
        }
        self.service_caught_up(source);
        if self.is_held(revision, &document.body) {
            return Verdict::unchanged(OfferOutcome::AlreadyHeld);
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
        if let Some(held) = self.version()
            && held.revision == revision
        {
            return self.same_revision(version, held, source);
        }
        if let Some(verdict) = self.refused_before(version) {
            return verdict;
        }
        match parse(version, text) {
            Ok(accepted) => self.accept(version, accepted, document, source),
            Err(reason) => self.refuse(revision, Some(digest), source, Refusal::Invalid { reason }),
        }
    }

    /// Judges a value of the service's that could not be read whole.
    pub(crate) fn unreadable(
        &mut self,
        revision: Revision,
        reason: Refusal,
        floor_at_request: Option<Revision>,
    ) -> Verdict {
        if self.revision().is_some_and(|floor| revision < floor) {
            return self.below_floor(revision, &Source::Service, floor_at_request);
        }
        self.service_caught_up(&Source::Service);
        self.refuse(revision, None, &Source::Service, reason)
    }

    /// Whether a peer's version is worth a fetch.
    pub(crate) fn wants(&self, met: Version) -> bool {
        let is_newer = self.revision().is_none_or(|floor| met.revision > floor);
        is_newer && !self.refused.contains(met.revision, Some(met.digest))
    }

    /// Notes a peer's version; a change when it differs under one revision.
    pub(crate) fn meet(&mut self, met: Version) -> Option<PlatformChange> {
        let held = self.version()?;
        let diverged = held.revision == met.revision && held.digest != met.digest;
        if !diverged || self.refused.contains(met.revision, Some(met.digest)) {
            return None;
        }
        self.refused
            .remember(met.revision, Some(met.digest), other_digest(met, held));
        Some(PlatformChange::Diverged {
            kind: self.kind,
            revision: held.revision,
            held: held.digest,
            met: met.digest,
        })
    }

    fn is_held(&self, revision: Revision, body: &Bytes) -> bool {
        self.held
            .as_ref()
            .is_some_and(|held| held.version.revision == revision && held.body == body)
    }

    fn below_floor(
        &mut self,
        revision: Revision,
        source: &Source,
        floor_at_request: Option<Revision>,
    ) -> Verdict {
        let is_stale = floor_at_request.is_some_and(|floor| revision < floor);
        let Some(floor) = self.revision() else {
            return Verdict::unchanged(OfferOutcome::Outdated);
        };
        if *source != Source::Service || !is_stale {
            return Verdict::unchanged(OfferOutcome::Outdated);
        }
        self.tally.stale += 1;
        let is_first = self.staleness.note_stale();
        let reason = Refusal::Lower { floor };
        let change = self.refusal(revision, source, reason.clone());
        Verdict {
            outcome: OfferOutcome::Refused(reason),
            change: is_first.then_some(change),
        }
    }

    fn service_caught_up(&mut self, source: &Source) {
        if *source == Source::Service {
            self.staleness.note_current();
        }
    }

    fn same_revision(&mut self, met: Version, held: Version, source: &Source) -> Verdict {
        if met.digest == held.digest {
            return Verdict::unchanged(OfferOutcome::AlreadyHeld);
        }
        let reason = other_digest(met, held);
        self.refuse(met.revision, Some(met.digest), source, reason)
    }

    fn refused_before(&self, version: Version) -> Option<Verdict> {
        let reason = self.refused.find(version.revision, Some(version.digest))?;
        Some(Verdict::unchanged(OfferOutcome::Refused(reason.clone())))
    }

    fn accept(
        &mut self,
        version: Version,
        accepted: A,
        document: &Document,
        source: &Source,
    ) -> Verdict {
        if let Source::Peer(_) = source {
            self.tally.from_peers += 1;
        }
        self.held = Some(Held {
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
        Verdict {
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
    ) -> Verdict {
        self.tally.refused += 1;
        let is_known = self.refused.contains(revision, digest);
        if !is_known {
            self.refused.remember(revision, digest, reason.clone());
        }
        let change = self.refusal(revision, source, reason.clone());
        Verdict {
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

/// Digest and text of a body; of one that is no JSON the digest and the fault.
fn read(body: &Bytes) -> Result<(Digest, &str), (Digest, String)> {
    let fault = |reason: String| (digest::of_text(body), reason);
    let text = std::str::from_utf8(body).map_err(|error| fault(error.to_string()))?;
    let value = serde_json::from_str(text).map_err(|error| fault(error.to_string()))?;
    Ok((digest::of_value(&value), text))
}
