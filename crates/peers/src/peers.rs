//! The handle that embedders hold.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use compio::runtime::{JoinHandle, spawn};
use futures_util::future::LocalBoxFuture;
use mangofront_settings::ids::{AvailabilityZone, Incarnation, InstanceId};

use crate::call::{self, CallError, CallLinks, Service};
use crate::counters::{Counters, LiveCounters};
use crate::error::PeersError;
use crate::keeper;
use crate::member::{ListedPeer, Member, MemberChange, MemberState, Record};
use crate::options::PeersOptions;
use crate::publication::{PUBLICATION_LIMIT_BYTES, PublishError, Subscription, Topic};
use crate::serve;

use crate::state::{Shared, State};
use crate::topology;
use crate::transport::Server;
use crate::wire::Publication;

/// Told of each change in the view, outside of any borrow.
pub type OnChange = Rc<dyn Fn(MemberChange)>;

/// Answers a call of another daemon.
pub type Responder = Rc<dyn Fn(InstanceId, Service, Bytes) -> LocalBoxFuture<'static, Bytes>>;

/// Random low bits of an incarnation.
const INCARNATION_RANDOM_BITS: u32 = 10;

/// A daemon's membership, bound to the runtime that it was started on.
///
/// Clones share one membership; it ends with the last one, or by [`Peers::stop`].
#[derive(Clone)]
pub struct Peers {
    shared: Rc<Shared>,
    tasks: Rc<Tasks>,
}

impl fmt::Debug for Peers {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Peers")
            .field("instance", &self.shared.options.instance)
            .field("address", &self.address())
            .finish_non_exhaustive()
    }
}

/// The running tasks; they hold the shared state, never a handle.
struct Tasks {
    shared: Rc<Shared>,
    running: RefCell<Vec<JoinHandle<()>>>,
}

impl Drop for Tasks {
    fn drop(&mut self) {
        self.running.take().clear();
        self.shared.server.close();
    }
}

impl Peers {
    /// Listens, and starts to look for the others once they are listed.
    ///
    /// # Errors
    /// [`PeersError`] when the socket or the address can't be had.
    pub fn start(
        options: PeersOptions,
        on_change: OnChange,
        responder: Responder,
    ) -> Result<Self, PeersError> {
        let server = Server::bind(options.listen)?;
        let own = Record {
            incarnation: new_incarnation(),
            refutation: 0,
            state: MemberState::Alive,
            region: options.region.clone(),
            availability_zone: options.availability_zone.clone(),
            address: server.address(),
            capacity_percent: options.capacity_percent,
        };
        let state = State::new(&options, own, Instant::now());
        let shared = Rc::new(Shared {
            options,
            server,
            state: RefCell::new(state),
            call_links: RefCell::new(CallLinks::default()),
            counters: LiveCounters::default(),
            running_calls: Cell::new(0),
            on_change,
            responder,
        });
        let mut running = vec![spawn(keeper::run(Rc::clone(&shared)))];
        for _ in 0..serve::RECEIVERS {
            running.push(spawn(serve::run(Rc::clone(&shared))));
        }
        let tasks = Rc::new(Tasks {
            shared: Rc::clone(&shared),
            running: RefCell::new(running),
        });
        Ok(Self { shared, tasks })
    }

    /// Address listened on for other daemons.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.server.address()
    }

    /// Life of this process: milliseconds since 1970 at its start, and ten random bits below.
    ///
    /// It rises once more when the first answer of all tells of an earlier life
    /// whose clock ran ahead; after that it stays.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.shared.state.borrow().incarnation()
    }

    /// Takes the platform's list; members known by gossip alone are kept.
    pub fn set_listed(&self, listed: &[ListedPeer]) {
        let now = Instant::now();
        self.shared.state.borrow_mut().table.set_listed(listed, now);
        self.shared.report_changes();
    }

    /// Everyone in this daemon's view, itself included.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.shared.state.borrow().members(Instant::now())
    }

    /// Whether an instance is alive in this view and not leaving.
    #[must_use]
    pub fn is_alive(&self, instance: &InstanceId) -> bool {
        let member = self.shared.state.borrow().member(instance, Instant::now());
        member.is_some_and(|member| member.state == MemberState::Alive)
    }

    /// Whether the view can be relied upon: no pause since it was refreshed, and,
    /// when others are known, one of them answered lately.
    #[must_use]
    pub fn view_fresh(&self) -> bool {
        self.shared.state.borrow().view_fresh(Instant::now())
    }

    /// Whether this daemon is one of the `count` of its availability zone that
    /// take on `duty` for the others, by rendezvous hashing.
    ///
    /// Views may differ for a while, so that a few more or fewer than `count`
    /// can think so at once: it is for work that only costs when done twice. A
    /// daemon whose view can't be relied upon takes on every duty, since nobody
    /// may be doing it for it; one that is leaving takes on none.
    #[must_use]
    pub fn is_delegate(&self, duty: &str, count: usize) -> bool {
        if !self.view_fresh() {
            return true;
        }
        topology::is_delegate(&self.shared.options, &self.members(), duty, count)
    }

    /// The members of the own availability zone that take on `duty`, as
    /// [`Peers::is_delegate`] sees them; this daemon may be among them.
    #[must_use]
    pub fn delegates(&self, duty: &str, count: usize) -> Vec<Member> {
        topology::delegates(&self.shared.options, &self.members(), duty, count)
    }

    /// Members of each availability zone that take on `duty`, this daemon's own zone
    /// among them: those with the most processor time first, and by rendezvous hashing
    /// among equals.
    #[must_use]
    pub fn delegates_by_capacity(
        &self,
        duty: &str,
        count: usize,
    ) -> BTreeMap<AvailabilityZone, Vec<Member>> {
        let capacity = |member: &Member| member.capacity_percent;
        topology::delegates_by_zone(&self.members(), duty, count, capacity)
    }

    /// Members of each availability zone that take on `duty`, as [`Peers::delegates`] names
    /// those of the own one.
    #[must_use]
    pub fn delegates_in_each_zone(
        &self,
        duty: &str,
        count: usize,
    ) -> BTreeMap<AvailabilityZone, Vec<Member>> {
        topology::delegates_by_zone(&self.members(), duty, count, |_| 0)
    }

    /// How many pauses of this process were seen.
    #[must_use]
    pub fn woke(&self) -> u64 {
        self.shared.state.borrow().freshness.woke()
    }

    /// Publishes this daemon's latest value of a topic.
    ///
    /// # Errors
    /// [`PublishError::TooLarge`] past [`PUBLICATION_LIMIT_BYTES`].
    pub fn publish(&self, topic: Topic, value: Bytes) -> Result<(), PublishError> {
        if value.len() > PUBLICATION_LIMIT_BYTES {
            return Err(PublishError::TooLarge { bytes: value.len() });
        }
        let origin = self.shared.options.instance.clone();
        let mut state = self.shared.state.borrow_mut();
        let publication = Publication {
            topic,
            incarnation: state.incarnation(),
            sequence: state.publications.next_sequence(topic, &origin),
            origin,
            value: value.to_vec(),
        };
        state.publications.learn(publication, None);
        Ok(())
    }

    /// Latest values of a topic, those that are known already first.
    #[must_use]
    pub fn subscribe(&self, topic: Topic) -> Subscription {
        self.shared.state.borrow_mut().publications.subscribe(topic)
    }

    /// Calls one other daemon; the request is sent at most once.
    ///
    /// # Errors
    /// [`CallError`], which tells whether the request may have been taken up.
    pub async fn call(
        &self,
        peer: &InstanceId,
        service: Service,
        payload: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, CallError> {
        call::call(&self.shared, peer, service, payload, timeout).await
    }

    /// Announces a planned leave; answers go on until the handle is dropped.
    pub fn leave(&self) {
        let mut state = self.shared.state.borrow_mut();
        if state.own.state != MemberState::Leaving {
            state.own.state = MemberState::Leaving;
            state.announce(0, Instant::now());
        }
    }

    /// Ends every task and frees the address, also while clones remain.
    pub fn stop(&self) {
        self.tasks.running.take().clear();
        self.shared.server.close();
    }

    /// Messages and bytes so far.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.shared.counters.get()
    }
}

/// A number that is higher in each later life, also when two begin in one millisecond's reach.
fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let started_ms = since.map_or(0, |since| since.as_millis() as u64);
    let low = rand::random_range(0..1 << INCARNATION_RANDOM_BITS);
    (started_ms << INCARNATION_RANDOM_BITS) | low
}
