//! State of one process and its calls to other daemons.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::runtime::Runtime;
use mangofront_settings::ids::InstanceId;
use mangofront_settings::published::Idempotency;

use crate::claims::Claims;
use crate::key_issuer::{Archives, KeyIssuer, Retention};
use crate::message::{Reply, Request, encode};
use crate::options::OnceOptions;
use crate::status::Counters;
use crate::transport::{Transport, TransportError};
use crate::view::{VoterSet, VoterView};
use crate::voter::VoterState;
use crate::voting_rules::VotingRules;

/// Time for which a peer that did not answer is called last.
const SUSPECT_DURATION: Duration = Duration::from_secs(1);
const NOTIFY_ATTEMPTS: u32 = 5;
const NOTIFY_RETRY_PAUSE: Duration = Duration::from_millis(100);

pub(crate) struct Core {
    pub(crate) options: OnceOptions,
    pub(crate) transport: Rc<dyn Transport>,
    pub(crate) claims: Rc<RefCell<Claims>>,
    pub(crate) state: RefCell<State>,
    /// Notifications about ended claims that are still being sent.
    pub(crate) pending_notifications: Cell<usize>,
}

pub(crate) struct State {
    pub(crate) voter: VoterState,
    pub(crate) key_issuer: KeyIssuer,
    pub(crate) archives: Archives,
    pub(crate) listed: Vec<InstanceId>,
    pub(crate) rules: Rules,
    pub(crate) suspects: HashMap<InstanceId, Instant>,
    pub(crate) counters: Counters,
    pub(crate) stopping: bool,
}

/// Published rules. While they change, the safe bound applies: a key may be used
/// for the shortest window that was in force, and is recorded for the longest.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Rules {
    shortest_window: Duration,
    longest_window: Duration,
    first_start_unix_ms: u64,
    published: bool,
}

impl Rules {
    pub(crate) fn new() -> Self {
        let window = Idempotency::default().window();
        Self {
            shortest_window: window,
            longest_window: window,
            first_start_unix_ms: 0,
            published: false,
        }
    }

    pub(crate) fn set(&mut self, published: &Idempotency) {
        let window = published.window();
        if !self.published {
            self.shortest_window = window;
            self.longest_window = window;
            self.published = true;
        }
        self.shortest_window = window.min(self.shortest_window);
        self.longest_window = window.max(self.longest_window);
        self.first_start_unix_ms = published.first_start_unix_ms;
    }
}

impl Core {
    pub(crate) fn new(options: OnceOptions, transport: Rc<dyn Transport>) -> Self {
        let claims = Claims::new(options.process.clone(), options.max_records);
        let state = State {
            voter: VoterState::new(&options),
            key_issuer: KeyIssuer::new(&options),
            archives: Archives::default(),
            listed: Vec::new(),
            rules: Rules::new(),
            suspects: HashMap::new(),
            counters: Counters::default(),
            stopping: false,
        };
        Self {
            options,
            transport,
            claims: Rc::new(RefCell::new(claims)),
            state: RefCell::new(state),
            pending_notifications: Cell::new(0),
        }
    }

    /// Establishes the newest set if the rules allow it without synchronising.
    ///
    /// Must be called before a newer set may be adopted, which would then require
    /// records that this set did not need.
    pub(crate) fn establish_without_synchronising(&self) {
        let rules = self.voting_rules();
        let mut state = self.state.borrow_mut();
        state
            .voter
            .establish_without_synchronising(rules, Instant::now());
    }

    pub(crate) fn set_rules(&self, rules: &Idempotency) {
        self.state.borrow_mut().rules.set(rules);
        self.establish_without_synchronising();
    }

    pub(crate) fn set_view(&self, view: &VoterView) {
        self.establish_without_synchronising();
        let mut state = self.state.borrow_mut();
        let listed = view.listed.iter();
        state.listed = listed.map(|voter| voter.instance.clone()).collect();
        state.voter.adopt(&VoterSet::of(view));
    }

    pub(crate) fn retention(&self) -> Retention {
        let rules = self.state.borrow().rules;
        self.retention_under(rules)
    }

    fn retention_under(&self, rules: Rules) -> Retention {
        // The margin also covers the delivery of a claim and the start of its run.
        let margin = self.options.clock_margin + self.options.run_start_limit;
        Retention {
            window: rules.shortest_window,
            record: rules.longest_window + margin,
        }
    }

    pub(crate) fn voting_rules(&self) -> VotingRules {
        let rules = self.state.borrow().rules;
        VotingRules {
            record_retention: self.retention_under(rules).record,
            clock_margin: self.options.clock_margin,
            first_start_unix_ms: rules.first_start_unix_ms,
        }
    }

    pub(crate) fn is_self(&self, instance: &str) -> bool {
        self.options.process.instance == instance
    }

    pub(crate) fn update_counters(&self, update: impl FnOnce(&mut Counters)) {
        update(&mut self.state.borrow_mut().counters);
    }

    /// Sends `request` to `to`, which may be this process itself.
    pub(crate) async fn call(
        self: &Rc<Self>,
        to: &InstanceId,
        request: &Request,
    ) -> Result<Reply, TransportError> {
        if self.is_self(to) {
            return Ok(self.handle(to, request.clone()));
        }
        let timeout = self.options.call_timeout;
        let bytes = Bytes::from(encode(request));
        let call = self.transport.call(to, bytes, timeout);
        let called = compio::time::timeout(timeout, call).await;
        let failed = |reason: String| TransportError {
            step: "call",
            peer: to.clone(),
            reason,
        };
        let replied = called.unwrap_or_else(|_elapsed| Err(failed("timeout".to_owned())));
        let decoded = replied.and_then(|bytes| {
            postcard::from_bytes(&bytes).map_err(|error| failed(error.to_string()))
        });
        self.record_reachability(to, decoded.is_ok());
        decoded
    }

    fn record_reachability(&self, peer: &InstanceId, reached: bool) {
        let mut state = self.state.borrow_mut();
        if reached {
            state.suspects.remove(peer);
        } else {
            let until = Instant::now() + SUSPECT_DURATION;
            state.suspects.insert(peer.clone(), until);
        }
    }

    /// Moves peers that recently did not answer to the end.
    pub(crate) fn suspects_last(&self, mut peers: Vec<InstanceId>) -> Vec<InstanceId> {
        let now = Instant::now();
        let state = self.state.borrow();
        let suspect =
            |peer: &InstanceId| state.suspects.get(peer).is_some_and(|until| *until > now);
        peers.sort_by_key(suspect);
        peers
    }

    /// Sends `request` to each of `peers` in the background, with up to
    /// [`NOTIFY_ATTEMPTS`] attempts.
    pub(crate) fn notify(self: &Rc<Self>, peers: &[InstanceId], request: &Request) {
        for peer in peers {
            if self.is_self(peer) {
                self.handle(peer, request.clone());
                continue;
            }
            let core = Rc::clone(self);
            let peer = peer.clone();
            let request = request.clone();
            self.pending_notifications
                .set(self.pending_notifications.get() + 1);
            spawn(async move {
                core.notify_peer(&peer, &request).await;
                core.pending_notifications
                    .set(core.pending_notifications.get() - 1);
            });
        }
    }

    async fn notify_peer(self: &Rc<Self>, peer: &InstanceId, request: &Request) {
        for attempt in 1..=NOTIFY_ATTEMPTS {
            if self.call(peer, request).await.is_ok() {
                return;
            }
            compio::time::sleep(NOTIFY_RETRY_PAUSE * attempt).await;
        }
        log::warn!("once: could not notify {peer} of the end of a claim");
    }
}

/// Spawns `task`; without a runtime, as during the teardown of a process, drops
/// it.
pub(crate) fn spawn(task: impl Future<Output = ()> + 'static) {
    if let Some(runtime) = Runtime::try_current() {
        runtime.spawn(task).detach();
    }
}
