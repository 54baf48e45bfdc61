//! The handle that the rest of the process holds.

use std::rc::Rc;
use std::time::Instant;

use compio::runtime::JoinHandle;
use mangofront_http::ClientError;
use mangofront_settings::ids::Revision;

use crate::accepted::{AcceptedConfiguration, AcceptedInstances};
use crate::change::OfferOutcome;
use crate::document::{Document, Kind, Source, Summary, Wanted};
use crate::floor::Held;
use crate::health::PlatformHealth;
use crate::options::PlatformOptions;
use crate::reader;
use crate::shared::Shared;

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
pub struct Revisions {
    /// Revision of the configuration, if one was seen.
    pub configuration: Option<Revision>,
    /// Revision of the instance list, if one was seen.
    pub instances: Option<Revision>,
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
    pub fn resumed_at(&self) -> Option<Instant> {
        self.0.shared.pauses.resumed_at()
    }

    /// Revisions in force, to be given to [`Self::changed`].
    #[must_use]
    pub fn revisions(&self) -> Revisions {
        self.0.shared.revisions()
    }

    /// Resolves once something newer than `seen` is in force; any number of
    /// tasks may wait.
    pub async fn changed(&self, seen: Revisions) -> Revisions {
        loop {
            let now = self.revisions();
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

fn document<A>(kind: Kind, held: Option<&Held<A>>) -> Option<Document> {
    let held = held?;
    Some(Document {
        kind,
        revision: held.version.revision,
        body: held.body.clone(),
    })
}
