//! State of one process and its calls to others.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::runtime::Runtime;
use mangofront_settings::ids::InstanceId;
use mangofront_settings::published::Idempotency;

use crate::claims::Claims;
use crate::message::{Reply, Request, encode};
use crate::mint::{Archives, Keep, Mint};
use crate::options::OnceOptions;
use crate::seat::Seat;
use crate::status::Counters;
use crate::transport::{Transport, TransportError};
use crate::view::{VoterSet, VoterView};
use crate::voting_rules::VotingRules;

const SUSPECT_FOR: Duration = Duration::from_secs(1);
const SEND_ATTEMPTS: u32 = 5;
const SEND_PAUSE: Duration = Duration::from_millis(100);

pub(crate) struct Core {
    pub(crate) options: OnceOptions,
    pub(crate) exchange: Rc<dyn Transport>,
    pub(crate) claims: Rc<RefCell<Claims>>,
    pub(crate) state: RefCell<State>,
    /// Messages about ended claims that are still on their way.
    pub(crate) unsent: Cell<usize>,
}

pub(crate) struct State {
    pub(crate) seat: Seat,
    pub(crate) mint: Mint,
    pub(crate) archives: Archives,
    pub(crate) listed: Vec<InstanceId>,
    pub(crate) rules: Rules,
    pub(crate) suspects: HashMap<InstanceId, Instant>,
    pub(crate) counters: Counters,
    pub(crate) stopping: bool,
}

/// Published rules, on their safe side while they change: a key may be used for
/// the shortest window that was in force and is remembered for the longest.
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
    pub(crate) fn new(options: OnceOptions, exchange: Rc<dyn Transport>) -> Self {
        let claims = Claims::new(options.process.clone(), options.max_records);
        let state = State {
            seat: Seat::new(&options),
            mint: Mint::new(&options),
            archives: Archives::default(),
            listed: Vec::new(),
            rules: Rules::new(),
            suspects: HashMap::new(),
            counters: Counters::default(),
            stopping: false,
        };
        Self {
            options,
            exchange,
            claims: Rc::new(RefCell::new(claims)),
            state: RefCell::new(state),
            unsent: Cell::new(0),
        }
    }

    /// Establishes the newest set where its rules allow.
    ///
    /// Comes before anything that may bring a newer set, which would ask for
    /// records that this one did not need.
    pub(crate) fn establish_by_rule(&self) {
        let rules = self.voting_rules();
        let mut state = self.state.borrow_mut();
        state.seat.establish_by_rule(rules, Instant::now());
    }

    pub(crate) fn set_rules(&self, rules: &Idempotency) {
        self.state.borrow_mut().rules.set(rules);
        self.establish_by_rule();
    }

    pub(crate) fn set_view(&self, view: &VoterView) {
        self.establish_by_rule();
        let mut state = self.state.borrow_mut();
        let listed = view.listed.iter();
        state.listed = listed.map(|voter| voter.instance.clone()).collect();
        state.seat.adopt(&VoterSet::of(view));
    }

    pub(crate) fn keep(&self) -> Keep {
        let rules = self.state.borrow().rules;
        self.keep_under(rules)
    }

    fn keep_under(&self, rules: Rules) -> Keep {
        // The margin also covers the way of a claim and the start of its run.
        let margin = self.options.clock_margin + self.options.run_start_limit;
        Keep {
            window: rules.shortest_window,
            record: rules.longest_window + margin,
        }
    }

    pub(crate) fn voting_rules(&self) -> VotingRules {
        let rules = self.state.borrow().rules;
        VotingRules {
            keep: self.keep_under(rules).record,
            clock_margin: self.options.clock_margin,
            first_start_unix_ms: rules.first_start_unix_ms,
        }
    }

    pub(crate) fn is_me(&self, instance: &str) -> bool {
        self.options.process.instance == instance
    }

    pub(crate) fn count(&self, count: impl FnOnce(&mut Counters)) {
        count(&mut self.state.borrow_mut().counters);
    }

    /// Calls `to`, which may be this process itself.
    pub(crate) async fn call(
        self: &Rc<Self>,
        to: &InstanceId,
        request: &Request,
    ) -> Result<Reply, TransportError> {
        if self.is_me(to) {
            return Ok(self.answer(to, request.clone()));
        }
        let timeout = self.options.call_timeout;
        let bytes = Bytes::from(encode(request));
        let call = self.exchange.call(to, bytes, timeout);
        let called = compio::time::timeout(timeout, call).await;
        let failed = |reason: String| TransportError {
            step: "call",
            peer: to.clone(),
            reason,
        };
        let answered = called.unwrap_or_else(|_elapsed| Err(failed("timeout".to_owned())));
        let read = answered.and_then(|bytes| {
            postcard::from_bytes(&bytes).map_err(|error| failed(error.to_string()))
        });
        self.note_reach(to, read.is_ok());
        read
    }

    fn note_reach(&self, peer: &InstanceId, reached: bool) {
        let mut state = self.state.borrow_mut();
        if reached {
            state.suspects.remove(peer);
        } else {
            let until = Instant::now() + SUSPECT_FOR;
            state.suspects.insert(peer.clone(), until);
        }
    }

    /// Puts peers that did not answer lately last.
    pub(crate) fn suspects_last(&self, mut peers: Vec<InstanceId>) -> Vec<InstanceId> {
        let now = Instant::now();
        let state = self.state.borrow();
        let suspect =
            |peer: &InstanceId| state.suspects.get(peer).is_some_and(|until| *until > now);
        peers.sort_by_key(suspect);
        peers
    }

    /// Tells `peers` something until each has heard it, within few attempts.
    pub(crate) fn tell(self: &Rc<Self>, peers: &[InstanceId], request: &Request) {
        for peer in peers {
            if self.is_me(peer) {
                self.answer(peer, request.clone());
                continue;
            }
            let core = Rc::clone(self);
            let peer = peer.clone();
            let request = request.clone();
            self.unsent.set(self.unsent.get() + 1);
            spawn(async move {
                core.tell_one(&peer, &request).await;
                core.unsent.set(core.unsent.get() - 1);
            });
        }
    }

    async fn tell_one(self: &Rc<Self>, peer: &InstanceId, request: &Request) {
        for attempt in 1..=SEND_ATTEMPTS {
            if self.call(peer, request).await.is_ok() {
                return;
            }
            compio::time::sleep(SEND_PAUSE * attempt).await;
        }
        log::warn!("once: {peer} did not hear what became of a claim");
    }
}

/// Runs `task` beside the caller; without a runtime, as in the teardown of a
/// process, it is dropped.
pub(crate) fn spawn(task: impl Future<Output = ()> + 'static) {
    if let Some(runtime) = Runtime::try_current() {
        runtime.spawn(task).detach();
    }
}
