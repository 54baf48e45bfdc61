//! The handle that the rest of the process holds.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use compio::runtime::JoinHandle;
use mangofront_http::ClientError;
use mangofront_settings::ids::Revision;

use crate::accepted::{AcceptedConfiguration, AcceptedInstances};
use crate::change::{OfferOutcome, PlatformChange};
use crate::check::check_instances;
use crate::document::{Document, Kind, Source, Summary, Version, Wanted};
use crate::floor::{Floor, Held, Verdict};
use crate::health::{Contact, DocumentHealth, PlatformHealth, millis};
use crate::options::PlatformOptions;
use crate::pause::Pauses;
use crate::reader;
use crate::service::Answer;
use crate::waiters::Waiters;

/// Configuration and instance list of this process; a cheap handle.
///
/// The reading tasks end when the last handle is dropped.
#[derive(Debug, Clone)]
pub struct Platform(Rc<Tasks>);

#[derive(Debug)]
struct Tasks {
    shared: Rc<Shared>,
    /// Cancelled by being dropped.
    _running: Vec<JoinHandle<()>>,
}

/// Revisions that a waiter has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Seen {
    /// Revision of the configuration, if one was seen.
    pub configuration: Option<Revision>,
    /// Revision of the instance list, if one was seen.
    pub instances: Option<Revision>,
}

/// State that the handle and the reading tasks share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) options: PlatformOptions,
    pub(crate) client: cyper::Client,
    pub(crate) contact: RefCell<Contact>,
    pub(crate) pauses: Pauses,
    pub(crate) watching: Cell<bool>,
    pub(crate) watching_changed: Waiters,
    configuration: RefCell<Floor<AcceptedConfiguration>>,
    instances: RefCell<Floor<AcceptedInstances>>,
    told_configuration: Cell<Option<Revision>>,
    told_instances: Cell<Option<Revision>>,
    accepted: Waiters,
}

impl Platform {
    /// Starts to read and watch; needs the calling thread's runtime.
    ///
    /// Nothing is in force until the service or a peer gave something.
    ///
    /// # Errors
    /// [`ClientError`] when no HTTP client can be made.
    pub fn start(options: PlatformOptions) -> Result<Self, ClientError> {
        let shared = Rc::new(Shared::new(options, mangofront_http::client()?));
        let running = reader::spawn(&shared);
        Ok(Self(Rc::new(Tasks {
            shared,
            _running: running,
        })))
    }

    /// The configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<Rc<AcceptedConfiguration>> {
        let floor = self.0.shared.configuration.borrow();
        floor.held().map(|held| Rc::clone(&held.accepted))
    }

    /// The instance list in force.
    #[must_use]
    pub fn instances(&self) -> Option<Rc<AcceptedInstances>> {
        let floor = self.0.shared.instances.borrow();
        floor.held().map(|held| Rc::clone(&held.accepted))
    }

    /// Waits until what is in force can be used: at once, unless the process was
    /// paused; then until the service was read anew, a second at most.
    pub async fn refreshed(&self) {
        self.0.shared.pauses.refreshed().await;
    }

    /// When the process last went on after a pause of more than a second.
    #[must_use]
    pub fn woke_at(&self) -> Option<Instant> {
        self.0.shared.pauses.woke_at()
    }

    /// Revisions in force, to be given to [`Self::changed`].
    #[must_use]
    pub fn seen(&self) -> Seen {
        self.0.shared.seen()
    }

    /// Resolves once something newer than `seen` is in force; any number of
    /// tasks may wait.
    pub async fn changed(&self, seen: Seen) -> Seen {
        loop {
            let now = self.seen();
            if now != seen {
                return now;
            }
            // A dropped sender can only mean another look.
            let _ = self.0.shared.accepted.next().await;
        }
    }

    /// Versions in force, for the gossip between daemons.
    #[must_use]
    pub fn summary(&self) -> Summary {
        Summary {
            configuration: self.0.shared.configuration.borrow().version(),
            instances: self.0.shared.instances.borrow().version(),
        }
    }

    /// What a peer with `summary` has that this process lacks.
    ///
    /// Tells the callback when the peer has another value under a revision in
    /// force here; neither gives way, only a higher revision ends that.
    #[must_use]
    pub fn wants(&self, summary: &Summary) -> Vec<Wanted> {
        let kinds = [Kind::Configuration, Kind::Instances];
        let wanted = kinds.into_iter().filter_map(|kind| {
            let met = summary.version(kind)?;
            self.0.shared.meet(kind, met).then_some(Wanted {
                kind,
                revision: met.revision,
            })
        });
        wanted.collect()
    }

    /// The value of `kind` in force, as it goes to a peer.
    #[must_use]
    pub fn document(&self, kind: Kind) -> Option<Document> {
        match kind {
            Kind::Configuration => document(kind, self.0.shared.configuration.borrow().held()),
            Kind::Instances => document(kind, self.0.shared.instances.borrow().held()),
        }
    }

    /// Judges a value that arrived; the checks are the same for every source.
    pub fn offer(&self, document: Document, source: Source) -> OfferOutcome {
        let floor = self.0.shared.revision(document.kind);
        self.0.shared.offer(&document, &source, floor)
    }

    /// Starts or ends the watches. A process without them learns by relay, and
    /// makes a rare plain read.
    pub fn set_watching(&self, watching: bool) {
        let was_watching = self.0.shared.watching.replace(watching);
        if was_watching != watching {
            self.0.shared.watching_changed.wake();
        }
    }

    /// State of the reader, for status pages.
    #[must_use]
    pub fn health(&self) -> PlatformHealth {
        self.0.shared.health()
    }
}

impl Shared {
    fn new(options: PlatformOptions, client: cyper::Client) -> Self {
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

    fn seen(&self) -> Seen {
        Seen {
            configuration: self.configuration.borrow().revision(),
            instances: self.instances.borrow().revision(),
        }
    }

    fn offer(
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
    fn meet(&self, kind: Kind, met: Version) -> bool {
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

    fn health(&self) -> PlatformHealth {
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

fn document<A>(kind: Kind, held: Option<&Held<A>>) -> Option<Document> {
    let held = held?;
    Some(Document {
        kind,
        revision: held.version.revision,
        body: held.body.clone(),
    })
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
