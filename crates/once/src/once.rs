//! Public handle of this crate.

use std::fmt;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use mangofront_settings::ids::InstanceId;
use mangofront_settings::published::Idempotency;
use thiserror::Error;

use crate::claims::RunPermit;
use crate::core::Core;
use crate::execute::Order;
use crate::hand_over::HandOverReport;
use crate::message::{Reply, encode};
use crate::options::OnceOptions;
use crate::outcome::{Decision, RunOutcome};
use crate::status::{Counters, Status};
use crate::transport::Transport;
use crate::view::VoterView;

/// Handle to the at-most-once execution of one process; clones share their state.
#[derive(Clone)]
pub struct Once {
    core: Rc<Core>,
}

/// No key was issued, as the process is shutting down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("issue a key: this daemon is stopping")]
pub struct MintError;

impl Once {
    /// Creates the state of the process named in `options`; `transport` calls
    /// other daemons.
    ///
    /// The process does not vote before [`Once::set_view`] is called, and needs
    /// [`Once::maintain`] to be polled to synchronise with other voters.
    #[must_use]
    pub fn new(options: OnceOptions, transport: Rc<dyn Transport>) -> Self {
        let core = Rc::new(Core::new(options, transport));
        Self { core }
    }

    /// Sets the region's live entry instances.
    pub fn set_view(&self, view: &VoterView) {
        self.core.set_view(view);
    }

    /// Sets the published rules.
    pub fn set_rules(&self, rules: &Idempotency) {
        self.core.set_rules(rules);
    }

    /// Synchronises with other voters and drops expired records. The future never
    /// completes; the daemon spawns it once.
    pub fn maintain(&self) -> impl Future<Output = ()> + use<> {
        Rc::clone(&self.core).maintain()
    }

    /// Issues a key that this process alone decides about.
    ///
    /// # Errors
    /// [`MintError`] once the process is shutting down.
    pub fn mint(&self) -> Result<String, MintError> {
        let mut state = self.core.state.borrow_mut();
        if state.stopping {
            return Err(MintError);
        }
        let key = state.key_issuer.issue(Instant::now()).ok_or(MintError)?;
        state.counters.minted += 1;
        Ok(key.text())
    }

    /// Calls `run` to run `order`, unless its key ran or may have run before.
    ///
    /// `run` is called at most once. Of the runs of a key on all daemons at most
    /// one begins, not counting those that report that no byte was sent. Spawn this
    /// future if its caller may go away: dropping it loses the outcome of a run in
    /// progress.
    pub async fn execute<R, F>(&self, order: Order, deadline: Instant, run: R) -> Decision
    where
        R: FnOnce(RunPermit) -> F,
        F: Future<Output = RunOutcome>,
    {
        self.core.execute(order, deadline, run).await
    }

    /// Handles a request of another daemon. The transport must have verified
    /// `from`.
    #[must_use]
    pub fn handle(&self, from: &InstanceId, request: &Bytes) -> Bytes {
        let reply = match postcard::from_bytes(request) {
            Ok(request) => self.core.handle(from, request),
            Err(error) => {
                log::warn!("once: could not decode a request from {from}: {error}");
                Reply::Malformed
            }
        };
        Bytes::from(encode(&reply))
    }

    /// Refuses new orders, waits for runs in progress and hands the records over.
    pub async fn hand_over(&self) -> HandOverReport {
        self.core.hand_over().await
    }

    /// Whether this process is established in the newest voter set, see
    /// [`Status::established`].
    #[must_use]
    pub fn is_established(&self) -> bool {
        self.core.state.borrow().voter.is_established()
    }

    /// Counters since the start of the process.
    #[must_use]
    pub fn counters(&self) -> Counters {
        let mut counters = self.core.state.borrow().counters;
        counters.violations = self.core.claims.borrow().violations();
        counters
    }

    /// State for the status page.
    #[must_use]
    pub fn status(&self) -> Status {
        let state = self.core.state.borrow();
        let view = state.voter.view();
        let minted = &state.key_issuer.grants;
        let plain = &state.voter.grants;
        Status {
            counters: self.counters(),
            voters: view.map(|view| view.members.clone()).unwrap_or_default(),
            voters_revision: state.voter.revision(),
            established: state.voter.is_established(),
            records: plain.len(),
            minted_records: minted.len(),
            archives: state.archives.len(),
            answers_bytes: plain.answers_bytes() + minted.answers_bytes(),
            open_claims: self.core.claims.borrow().open_count(),
            stopping: state.stopping,
        }
    }
}

impl fmt::Debug for Once {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let process = &self.core.options.process;
        formatter
            .debug_struct("Once")
            .field("process", process)
            .finish_non_exhaustive()
    }
}
