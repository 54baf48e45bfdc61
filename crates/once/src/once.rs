//! The handle that a daemon holds.

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

/// At-most-once execution of one process; clones share their state.
#[derive(Clone)]
pub struct Once {
    core: Rc<Core>,
}

/// No key could be issued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("issue a key: this daemon is stopping")]
pub struct MintError;

impl Once {
    /// Process of `options`, which reaches others through `exchange`.
    ///
    /// It takes no part in votes before [`Once::set_view`] and while nothing
    /// polls [`Once::maintain`].
    #[must_use]
    pub fn new(options: OnceOptions, exchange: Rc<dyn Transport>) -> Self {
        let core = Rc::new(Core::new(options, exchange));
        Self { core }
    }

    /// Tells the region's live entry instances.
    pub fn set_view(&self, view: &VoterView) {
        self.core.set_view(view);
    }

    /// Tells the published rules.
    pub fn set_rules(&self, rules: &Idempotency) {
        self.core.set_rules(rules);
    }

    /// Synchronises with other voters and drops what has expired; never ends, so
    /// the daemon spawns it once.
    pub fn maintain(&self) -> impl Future<Output = ()> + use<> {
        Rc::clone(&self.core).maintain()
    }

    /// Issues a key that this process alone decides about.
    ///
    /// # Errors
    /// [`MintError`] once the process hands over.
    pub fn mint(&self) -> Result<String, MintError> {
        let mut state = self.core.state.borrow_mut();
        if state.stopping {
            return Err(MintError);
        }
        let key = state.mint.issue(Instant::now()).ok_or(MintError)?;
        state.counters.minted += 1;
        Ok(key.text())
    }

    /// Runs `order` by `run`, unless its key ran or may have run before.
    ///
    /// `run` is called at most once, and for all daemons together at most one
    /// `run` of a key gets to begin, but for those that report that no byte was
    /// sent. A caller that goes away should not drop this future, for then the
    /// outcome of a run in progress is lost; spawn it instead.
    pub async fn execute<R, F>(&self, order: Order, deadline: Instant, run: R) -> Decision
    where
        R: FnOnce(RunPermit) -> F,
        F: Future<Output = RunOutcome>,
    {
        self.core.execute(order, deadline, run).await
    }

    /// Answers another daemon. The exchange vouches for `from`.
    #[must_use]
    pub fn handle(&self, from: &InstanceId, request: &Bytes) -> Bytes {
        let reply = match postcard::from_bytes(request) {
            Ok(request) => self.core.answer(from, request),
            Err(error) => {
                log::warn!("once: unreadable request from {from}: {error}");
                Reply::Malformed
            }
        };
        Bytes::from(encode(&reply))
    }

    /// Refuses new work, waits for runs in progress and passes the records on.
    pub async fn hand_over(&self) -> HandOverReport {
        self.core.hand_over().await
    }

    /// Whether this process knows all that its vote needs.
    #[must_use]
    pub fn is_established(&self) -> bool {
        self.core.state.borrow().seat.is_established()
    }

    /// Counts since the start.
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
        let view = state.seat.view();
        let minted = &state.mint.ballots;
        let plain = &state.seat.ballots;
        Status {
            counters: self.counters(),
            voters: view.map(|view| view.members.clone()).unwrap_or_default(),
            voters_revision: state.seat.revision(),
            established: state.seat.is_established(),
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
