//! The handle to the configuration and the instance list.

use std::rc::Rc;
use std::time::Instant;

use compio::runtime::JoinHandle;
use mangofront_http::ClientError;
use mangofront_settings::ids::Revision;

use crate::accepted::{AcceptedConfiguration, AcceptedInstances};
use crate::change::OfferOutcome;
use crate::document::{Document, Kind, Source, Summary, Wanted};
use crate::health::PlatformHealth;
use crate::options::PlatformOptions;
use crate::published_value::Current;
use crate::reader;
use crate::shared::Shared;

/// Configuration and instance list of this process; a handle that is cheap to clone.
///
/// The background tasks are cancelled when the last handle is dropped.
#[derive(Debug, Clone)]
pub struct Platform(Rc<Tasks>);

#[derive(Debug)]
struct Tasks {
    shared: Rc<Shared>,
    /// Cancelled when dropped.
    _running: Vec<JoinHandle<()>>,
}

/// Revisions of both values at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Revisions {
    /// Revision of the configuration, if one was in force.
    pub configuration: Option<Revision>,
    /// Revision of the instance list, if one was in force.
    pub instances: Option<Revision>,
}

impl Platform {
    /// Starts the background tasks on the calling thread's runtime.
    ///
    /// Nothing is in force until the first value arrives from the service or a peer.
    ///
    /// # Errors
    /// [`ClientError`] if the HTTP client can't be created.
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
        let value = self.0.shared.configuration.borrow();
        value.current().map(|current| Rc::clone(&current.accepted))
    }

    /// The instance list in force.
    #[must_use]
    pub fn instances(&self) -> Option<Rc<AcceptedInstances>> {
        let value = self.0.shared.instances.borrow();
        value.current().map(|current| Rc::clone(&current.accepted))
    }

    /// Waits until the values in force can be used: returns at once, unless the process
    /// was paused; then waits until the service was read again, at most for a second.
    pub async fn refreshed(&self) {
        self.0.shared.pauses.refreshed().await;
    }

    /// Time at which the process last resumed after a pause of more than a second.
    #[must_use]
    pub fn resumed_at(&self) -> Option<Instant> {
        self.0.shared.pauses.resumed_at()
    }

    /// Revisions in force; an argument of [`Self::changed`].
    #[must_use]
    pub fn revisions(&self) -> Revisions {
        self.0.shared.revisions()
    }

    /// Waits until the revisions in force differ from `known`, and returns them; any
    /// number of tasks may wait.
    pub async fn changed(&self, known: Revisions) -> Revisions {
        loop {
            let now = self.revisions();
            if now != known {
                return now;
            }
            // An error means that the sender was dropped; the revisions are checked again.
            let _ = self.0.shared.accepted.next().await;
        }
    }

    /// Versions in force, for gossip between daemons.
    #[must_use]
    pub fn summary(&self) -> Summary {
        Summary {
            configuration: self.0.shared.configuration.borrow().version(),
            instances: self.0.shared.instances.borrow().version(),
        }
    }

    /// Returns the values that a peer with `summary` has and this process lacks.
    ///
    /// Reports a change if the peer has another value under a revision in force here;
    /// both keep their values until there is a higher revision.
    #[must_use]
    pub fn wants(&self, summary: &Summary) -> Vec<Wanted> {
        let kinds = [Kind::Configuration, Kind::Instances];
        let wanted = kinds.into_iter().filter_map(|kind| {
            let peer_version = summary.version(kind)?;
            self.0
                .shared
                .note_peer_version(kind, peer_version)
                .then_some(Wanted {
                    kind,
                    revision: peer_version.revision,
                })
        });
        wanted.collect()
    }

    /// The value of `kind` in force, as sent to a peer.
    #[must_use]
    pub fn document(&self, kind: Kind) -> Option<Document> {
        match kind {
            Kind::Configuration => document(kind, self.0.shared.configuration.borrow().current()),
            Kind::Instances => document(kind, self.0.shared.instances.borrow().current()),
        }
    }

    /// Offers a value that was received; the checks are the same for every source.
    pub fn offer(&self, document: Document, source: Source) -> OfferOutcome {
        let current_revision = self.0.shared.revision(document.kind);
        self.0.shared.offer(&document, &source, current_revision)
    }

    /// Starts or stops watching the service. A process that doesn't watch receives changes
    /// from its peers, and makes infrequent plain reads.
    pub fn set_watching(&self, watching: bool) {
        let was_watching = self.0.shared.watching.replace(watching);
        if was_watching != watching {
            self.0.shared.watching_changed.wake();
        }
    }

    /// Status for operators.
    #[must_use]
    pub fn health(&self) -> PlatformHealth {
        self.0.shared.health()
    }
}

fn document<A>(kind: Kind, current: Option<&Current<A>>) -> Option<Document> {
    let current = current?;
    Some(Document {
        kind,
        revision: current.version.revision,
        body: current.body.clone(),
    })
}
