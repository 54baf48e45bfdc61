//! State shared by the handle and the background tasks: both values and call statistics.
//!
//! No borrow is held across an await or a call of the callback, so that neither a task nor
//! the callback finds a value already borrowed.

use std::cell::{Cell, RefCell};
use std::time::Instant;

use mangofront_settings::ids::Revision;

use crate::accepted::{AcceptedConfiguration, AcceptedInstances};
use crate::change::{OfferOutcome, PlatformChange};
use crate::check::check_instances;
use crate::decision::Decision;
use crate::document::{Document, Kind, Source, Version};
use crate::health::{CallStats, DocumentHealth, PlatformHealth, millis};
use crate::options::PlatformOptions;
use crate::pause::Pauses;
use crate::platform::Revisions;
use crate::published_value::PublishedValue;
use crate::service::Answer;
use crate::waiters::Waiters;

/// State shared by the handle and the background tasks.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) options: PlatformOptions,
    pub(crate) client: cyper::Client,
    pub(crate) call_stats: RefCell<CallStats>,
    pub(crate) pauses: Pauses,
    pub(crate) watching: Cell<bool>,
    pub(crate) watching_changed: Waiters,
    pub(crate) configuration: RefCell<PublishedValue<AcceptedConfiguration>>,
    pub(crate) instances: RefCell<PublishedValue<AcceptedInstances>>,
    reported_configuration: Cell<Option<Revision>>,
    reported_instances: Cell<Option<Revision>>,
    pub(crate) accepted: Waiters,
}

impl Shared {
    pub(crate) fn new(options: PlatformOptions, client: cyper::Client) -> Self {
        Self {
            client,
            call_stats: RefCell::default(),
            pauses: Pauses::new(),
            watching: Cell::new(options.watching),
            watching_changed: Waiters::default(),
            configuration: RefCell::new(PublishedValue::new(Kind::Configuration)),
            instances: RefCell::new(PublishedValue::new(Kind::Instances)),
            reported_configuration: Cell::new(None),
            reported_instances: Cell::new(None),
            accepted: Waiters::default(),
            options,
        }
    }

    pub(crate) fn revision(&self, kind: Kind) -> Option<Revision> {
        match kind {
            Kind::Configuration => self.configuration.borrow().revision(),
            Kind::Instances => self.instances.borrow().revision(),
        }
    }

    /// Length of the value in force, in bytes.
    pub(crate) fn current_bytes(&self, kind: Kind) -> usize {
        fn length<A>(value: &PublishedValue<A>) -> usize {
            value.current().map_or(0, |current| current.body.len())
        }
        match kind {
            Kind::Configuration => length(&self.configuration.borrow()),
            Kind::Instances => length(&self.instances.borrow()),
        }
    }

    /// Revision that the service reported last; a watch waits for a different one.
    pub(crate) fn reported_revision(&self, kind: Kind) -> &Cell<Option<Revision>> {
        match kind {
            Kind::Configuration => &self.reported_configuration,
            Kind::Instances => &self.reported_instances,
        }
    }

    /// Applies an answer of the service; returns `None` if it contained no value.
    ///
    /// `revision_at_request` is the revision in force when the call was made.
    pub(crate) fn apply_answer(
        &self,
        kind: Kind,
        answer: Answer,
        revision_at_request: Option<Revision>,
    ) -> Option<OfferOutcome> {
        match answer {
            Answer::Absent => None,
            Answer::Unchanged => {
                self.note_unchanged(kind);
                None
            }
            Answer::Value { revision, body } => {
                self.reported_revision(kind).set(Some(revision));
                let document = Document {
                    kind,
                    revision,
                    body,
                };
                Some(self.offer(&document, &Source::Service, revision_at_request))
            }
            Answer::Unreadable { revision, reason } => {
                self.reported_revision(kind).set(Some(revision));
                let decision = match kind {
                    Kind::Configuration => {
                        let mut value = self.configuration.borrow_mut();
                        value.refuse_unreadable(revision, reason, revision_at_request)
                    }
                    Kind::Instances => {
                        let mut value = self.instances.borrow_mut();
                        value.refuse_unreadable(revision, reason, revision_at_request)
                    }
                };
                Some(self.publish(decision))
            }
        }
    }

    fn note_unchanged(&self, kind: Kind) {
        let reported = self.reported_revision(kind).get();
        match kind {
            Kind::Configuration => self.configuration.borrow_mut().note_unchanged(reported),
            Kind::Instances => self.instances.borrow_mut().note_unchanged(reported),
        }
    }

    /// Calls the callback; no borrow may be held, as it may call the handle's methods.
    pub(crate) fn notify(&self, change: PlatformChange) {
        (self.options.on_change)(change);
    }

    pub(crate) fn revisions(&self) -> Revisions {
        Revisions {
            configuration: self.configuration.borrow().revision(),
            instances: self.instances.borrow().revision(),
        }
    }

    pub(crate) fn offer(
        &self,
        document: &Document,
        source: &Source,
        revision_at_request: Option<Revision>,
    ) -> OfferOutcome {
        let decision = match document.kind {
            Kind::Configuration => {
                let checker = self.options.checker;
                let mut value = self.configuration.borrow_mut();
                value.offer(document, source, revision_at_request, &|version, text| {
                    let configuration = checker(text)?;
                    Ok(AcceptedConfiguration::new(version, configuration))
                })
            }
            Kind::Instances => {
                let mut value = self.instances.borrow_mut();
                value.offer(document, source, revision_at_request, &|version, text| {
                    let list = check_instances(text)?;
                    Ok(AcceptedInstances::new(version, list))
                })
            }
        };
        self.publish(decision)
    }

    /// Wakes the waiters if a value was accepted, and reports the change, if any.
    fn publish(&self, decision: Decision) -> OfferOutcome {
        if decision.outcome == OfferOutcome::Accepted {
            self.accepted.wake();
        }
        if let Some(change) = decision.change {
            self.notify(change);
        }
        decision.outcome
    }

    /// Records a peer's version; returns whether its value should be fetched.
    pub(crate) fn note_peer_version(&self, kind: Kind, peer_version: Version) -> bool {
        let (change, wanted) = match kind {
            Kind::Configuration => {
                let mut value = self.configuration.borrow_mut();
                (
                    value.note_peer_version(peer_version),
                    value.wants(peer_version),
                )
            }
            Kind::Instances => {
                let mut value = self.instances.borrow_mut();
                (
                    value.note_peer_version(peer_version),
                    value.wants(peer_version),
                )
            }
        };
        if let Some(change) = change {
            self.notify(change);
        }
        wanted
    }

    pub(crate) fn health(&self) -> PlatformHealth {
        let call_stats = self.call_stats.borrow();
        PlatformHealth {
            address: self.options.address,
            watching: self.watching.get(),
            last_contact_ms: call_stats.last.map(|last| millis(last.elapsed())),
            consecutive_failures: call_stats.consecutive_failures,
            failures: call_stats.failures,
            last_failure: call_stats.last_failure.clone(),
            reads: call_stats.reads,
            watches: call_stats.watches,
            hung_watches: call_stats.hung_watches,
            configuration: health(
                &self.configuration.borrow(),
                self.reported_configuration.get(),
            ),
            instances: health(&self.instances.borrow(), self.reported_instances.get()),
        }
    }
}

fn health<A>(value: &PublishedValue<A>, reported_revision: Option<Revision>) -> DocumentHealth {
    let now = Instant::now();
    let accepted_at = value.current().map(|current| current.accepted_at);
    DocumentHealth {
        accepted: value.version(),
        accepted_for_ms: accepted_at.map(|at| millis(now.saturating_duration_since(at))),
        reported_revision,
        service_is_behind: value.is_behind(),
        stale_refused: value.counters.stale,
        refused: value.counters.refused,
        from_peers: value.counters.from_peers,
    }
}
