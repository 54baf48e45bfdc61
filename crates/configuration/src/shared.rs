//! What the handle and the reading tasks share: both values and the contact.
//!
//! No borrow is held over an await or over the callback, so that neither a
//! task nor the callback can meet a value that is borrowed already.

use std::cell::{Cell, RefCell};
use std::time::Instant;

use mangofront_settings::ids::Revision;

use crate::accepted::{AcceptedConfiguration, AcceptedInstances};
use crate::change::{OfferOutcome, PlatformChange};
use crate::check::check_instances;
use crate::document::{Document, Kind, Source, Version};
use crate::floor::Floor;
use crate::health::{Contact, DocumentHealth, PlatformHealth, millis};
use crate::options::PlatformOptions;
use crate::pause::Pauses;
use crate::platform::Revisions;
use crate::service::Answer;
use crate::verdict::Verdict;
use crate::waiters::Waiters;

/// State that the handle and the reading tasks share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) options: PlatformOptions,
    pub(crate) client: cyper::Client,
    pub(crate) contact: RefCell<Contact>,
    pub(crate) pauses: Pauses,
    pub(crate) watching: Cell<bool>,
    pub(crate) watching_changed: Waiters,
    pub(crate) configuration: RefCell<Floor<AcceptedConfiguration>>,
    pub(crate) instances: RefCell<Floor<AcceptedInstances>>,
    told_configuration: Cell<Option<Revision>>,
    told_instances: Cell<Option<Revision>>,
    pub(crate) accepted: Waiters,
}

impl Shared {
    pub(crate) fn new(options: PlatformOptions, client: cyper::Client) -> Self {
        Self {
            client,
            contact: RefCell::default(),
            pauses: Pauses::new(),
            watching: Cell::new(options.watching),
            watching_changed: Waiters::default(),
            configuration: RefCell::new(Floor::new(Kind::Configuration)),
            instances: RefCell::new(Floor::new(Kind::Instances)),
            told_configuration: Cell::new(None),
            told_instances: Cell::new(None),
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
    pub(crate) fn held_bytes(&self, kind: Kind) -> usize {
        fn length<A>(floor: &Floor<A>) -> usize {
            floor.held().map_or(0, |held| held.body.len())
        }
        match kind {
            Kind::Configuration => length(&self.configuration.borrow()),
            Kind::Instances => length(&self.instances.borrow()),
        }
    }

    /// Revision that the service told last; a watch waits for another one.
    pub(crate) fn told(&self, kind: Kind) -> &Cell<Option<Revision>> {
        match kind {
            Kind::Configuration => &self.told_configuration,
            Kind::Instances => &self.told_instances,
        }
    }

    /// Judges an answer of the service to a call made at `floor_at_request`;
    /// none when it carried no value.
    pub(crate) fn take_answer(
        &self,
        kind: Kind,
        answer: Answer,
        floor_at_request: Option<Revision>,
    ) -> Option<OfferOutcome> {
        match answer {
            Answer::Absent => None,
            Answer::Unchanged => {
                self.note_unchanged(kind);
                None
            }
            Answer::Value { revision, body } => {
                self.told(kind).set(Some(revision));
                let document = Document {
                    kind,
                    revision,
                    body,
                };
                Some(self.offer(&document, &Source::Service, floor_at_request))
            }
            Answer::Unreadable { revision, reason } => {
                self.told(kind).set(Some(revision));
                let verdict = match kind {
                    Kind::Configuration => {
                        let mut floor = self.configuration.borrow_mut();
                        floor.unreadable(revision, reason, floor_at_request)
                    }
                    Kind::Instances => {
                        let mut floor = self.instances.borrow_mut();
                        floor.unreadable(revision, reason, floor_at_request)
                    }
                };
                Some(self.publish(verdict))
            }
        }
    }

    fn note_unchanged(&self, kind: Kind) {
        let told = self.told(kind).get();
        match kind {
            Kind::Configuration => self.configuration.borrow_mut().unchanged(told),
            Kind::Instances => self.instances.borrow_mut().unchanged(told),
        }
    }

    /// Tells the callback; no borrow may be held, it may call back.
    pub(crate) fn tell(&self, change: PlatformChange) {
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
        floor_at_request: Option<Revision>,
    ) -> OfferOutcome {
        let verdict = match document.kind {
            Kind::Configuration => {
                let checker = self.options.checker;
                let mut floor = self.configuration.borrow_mut();
                floor.offer(document, source, floor_at_request, &|version, text| {
                    let configuration = checker(text)?;
                    Ok(AcceptedConfiguration::new(version, configuration))
                })
            }
            Kind::Instances => {
                let mut floor = self.instances.borrow_mut();
                floor.offer(document, source, floor_at_request, &|version, text| {
                    let list = check_instances(text)?;
                    Ok(AcceptedInstances::new(version, list))
                })
            }
        };
        self.publish(verdict)
    }

    /// Wakes the waiters and tells the callback what a verdict calls for.
    fn publish(&self, verdict: Verdict) -> OfferOutcome {
        if verdict.outcome == OfferOutcome::Accepted {
            self.accepted.wake();
        }
        if let Some(change) = verdict.change {
            self.tell(change);
        }
        verdict.outcome
    }

    /// Notes a peer's version; true when it is worth a fetch.
    pub(crate) fn meet(&self, kind: Kind, met: Version) -> bool {
        let (change, wanted) = match kind {
            Kind::Configuration => {
                let mut floor = self.configuration.borrow_mut();
                (floor.meet(met), floor.wants(met))
            }
            Kind::Instances => {
                let mut floor = self.instances.borrow_mut();
                (floor.meet(met), floor.wants(met))
            }
        };
        if let Some(change) = change {
            self.tell(change);
        }
        wanted
    }

    pub(crate) fn health(&self) -> PlatformHealth {
        let contact = self.contact.borrow();
        PlatformHealth {
            address: self.options.address,
            watching: self.watching.get(),
            last_contact_ms: contact.last.map(|last| millis(last.elapsed())),
            consecutive_failures: contact.consecutive_failures,
            failures: contact.failures,
            last_failure: contact.last_failure.clone(),
            reads: contact.reads,
            watches: contact.watches,
            hung_watches: contact.hung_watches,
            configuration: health(&self.configuration.borrow(), self.told_configuration.get()),
            instances: health(&self.instances.borrow(), self.told_instances.get()),
        }
    }
}

fn health<A>(floor: &Floor<A>, told: Option<Revision>) -> DocumentHealth {
    let now = Instant::now();
    let accepted_at = floor.held().map(|held| held.accepted_at);
    DocumentHealth {
        accepted: floor.version(),
        accepted_for_ms: accepted_at.map(|at| millis(now.saturating_duration_since(at))),
        told,
        service_is_behind: floor.is_behind(),
        stale_refused: floor.tally.stale,
        refused: floor.tally.refused,
        from_peers: floor.tally.from_peers,
    }
}
