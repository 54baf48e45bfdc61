//! One task for each neighbour: heartbeat, answer, and what its absence means.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_settings::ids::{Incarnation, InstanceId};

use crate::error::{LinkError, LinkStep};
use crate::gossip::{self, Reader};
use crate::member::MemberState;
use crate::state::Shared;
use crate::transport::Connection;
use crate::wire::{self, Ack, Cursors, Delta, Ping, Reply, Request, Wants};

/// Parts of a period after which a link looks for news of members to send early.
pub(crate) const SLICES: u32 = 5;

/// Missed heartbeats after which a connection is taken for half-open and dialled anew.
const REDIAL_AFTER_MISSED: u32 = 3;

/// Heartbeats with differing views after which both sides read all again.
const RESYNC_AFTER: u32 = 30;

/// Periods for which a far member that did not answer is passed over.
const AVOID_PERIODS: u32 = 30;

/// How far both sides of a link have read each other.
#[derive(Debug, Default)]
struct Progress {
    /// Life of the peer that the rest belongs to.
    incarnation: Incarnation,
    /// What the peer has of ours.
    acked: Cursors,
    /// What we have of the peer's.
    heard: Cursors,
    /// Heartbeats in a row that found differing views.
    differing: u32,
}

/// Keeps the link to one neighbour until the task is dropped.
pub(crate) async fn run(shared: Rc<Shared>, peer: InstanceId, address: SocketAddr) {
    let mut progress = Progress::default();
    let mut missed = 0;
    let mut connection = None;
    loop {
        if connection.is_none() {
            connection = open(&shared, &peer, address);
        }
        let beaten = match &connection {
            Some(connection) => beat(&shared, &peer, connection, &mut progress).await,
            None => Err(None),
        };
        match beaten {
            Ok(()) => missed = 0,
            Err(error) => {
                missed += 1;
                note_missed(&shared, &peer, missed, error.as_ref());
            }
        }
        if missed > 0 && missed % REDIAL_AFTER_MISSED == 0 {
            connection = None;
        }
        wait(&shared, &peer, &progress).await;
    }
}

fn open(shared: &Shared, peer: &InstanceId, address: SocketAddr) -> Option<Connection> {
    match shared.server.dial(address) {
        Ok(connection) => Some(connection),
        Err(cause) => {
            log::warn!("peers: link to {peer} could not be opened: {cause}");
            None
        }
    }
}

/// One heartbeat and its answer.
async fn beat(
    shared: &Rc<Shared>,
    peer: &InstanceId,
    connection: &Connection,
    progress: &mut Progress,
) -> Result<(), Option<LinkError>> {
    let asked = Instant::now();
    let (ping, through) = {
        let mut state = shared.state.borrow_mut();
        // Until the first answer it is open whether the peer lacks anything.
        let delta = if progress.incarnation == 0 {
            gossip::compose_own(&state, &shared.options.instance)
        } else {
            gossip::compose(&mut state, &reader(peer, progress), asked)
        };
        let through = delta.through;
        (ping(shared, &mut state, peer, progress, delta), through)
    };
    let ack = exchange(shared, connection, ping).await?;
    read_ack(shared, peer, ack, progress, through, asked);
    Ok(())
}

fn reader<'a>(peer: &'a InstanceId, progress: &Progress) -> Reader<'a> {
    Reader {
        instance: peer,
        incarnation: progress.incarnation,
        after: progress.acked,
    }
}

fn ping(
    shared: &Shared,
    state: &mut crate::state::State,
    peer: &InstanceId,
    progress: &Progress,
    delta: Delta,
) -> Ping {
    Ping {
        from: shared.options.instance.clone(),
        to: peer.clone(),
        incarnation: state.incarnation(),
        view: state.table.view(),
        wants: Wants::After(progress.incarnation, progress.heard),
        delta,
        pulses: state.pulses.compose(),
    }
}

/// Sends a heartbeat and reads the answer.
async fn exchange(
    shared: &Shared,
    connection: &Connection,
    ping: Ping,
) -> Result<Ack, Option<LinkError>> {
    let request = wire::encode(&Request::Ping(ping), &[]).ok_or(None)?;
    shared
        .counters
        .update(|counters| counters.gossip.sent(request.len()));
    let timeout = shared.options.suspect_after / 2;
    let message = connection.request(&request, timeout).await.map_err(Some)?;
    shared
        .counters
        .update(|counters| counters.gossip.received(message.len()));
    match wire::decode_reply(&message) {
        Some((Reply::Ack(ack), _)) => Ok(ack),
        Some(_) => Err(None),
        None => {
            shared.counters.update(|counters| counters.malformed += 1);
            Err(Some(LinkError::at(LinkStep::Decode)(nng::Error::Protocol)))
        }
    }
}

fn read_ack(
    shared: &Rc<Shared>,
    peer: &InstanceId,
    ack: Ack,
    progress: &mut Progress,
    through: Cursors,
    asked: Instant,
) {
    let same_life = ack.incarnation == progress.incarnation;
    let (view, stale, complete) = (ack.view, ack.stale, ack.delta.complete);
    let heard = ack.delta.through;
    gossip::apply(
        shared,
        &(peer.clone(), ack.incarnation),
        ack.delta,
        &ack.pulses,
    );
    let mut state = shared.state.borrow_mut();
    state.heard(peer, Instant::now());
    if complete && !stale {
        state.freshness.refreshed(asked);
    }
    let agree = state.table.view() == view;
    progress.incarnation = ack.incarnation;
    progress.acked = match (same_life, agree) {
        // Both know the same members, so that none has to be told.
        (_, true) => Cursors {
            members: state.table.last_change(),
            publications: if same_life { through.publications } else { 0 },
        },
        (true, false) => through,
        // A new life has read nothing, whatever the former had.
        (false, false) => Cursors::default(),
    };
    progress.heard = heard;
    progress.differing = if agree { 0 } else { progress.differing + 1 };
    if progress.differing >= RESYNC_AFTER {
        shared.counters.update(|counters| counters.resyncs += 1);
        *progress = Progress::default();
    }
}

/// Draws the conclusions from a heartbeat without an answer.
fn note_missed(shared: &Rc<Shared>, peer: &InstanceId, missed: u32, error: Option<&LinkError>) {
    shared
        .counters
        .update(|counters| counters.heartbeats_missed += 1);
    if missed == 1 {
        match error {
            Some(error) => log::debug!("peers: heartbeat to {peer} failed at {error}"),
            None => log::debug!("peers: heartbeat to {peer} was refused"),
        }
    }
    let now = Instant::now();
    let mut state = shared.state.borrow_mut();
    if state.freshness.is_stale(now) || state.unheard_for(peer, now) < shared.options.suspect_after
    {
        return;
    }
    if state.watches(peer) {
        let record = state
            .table
            .get(peer)
            .and_then(|entry| entry.record.as_ref());
        if record.is_some_and(|record| record.state.is_responsive()) {
            state.table.raise(peer, MemberState::Suspect, now);
        }
    } else if let Some(entry) = state.table.get_mut(peer) {
        entry.avoid_until = Some(now + shared.options.heartbeat_period * AVOID_PERIODS);
    }
    drop(state);
    shared.report_changes();
}

/// Waits a period, or less when there is news of members that the peer lacks.
async fn wait(shared: &Shared, peer: &InstanceId, progress: &Progress) {
    let period = shared.options.heartbeat_period;
    let slice = period / SLICES;
    // Without the jitter all links of a fleet that started together beat together.
    let due = Instant::now() + period.mul_f64(rand::random_range(0.9..1.1));
    loop {
        let left = due.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        compio::time::sleep(left.min(slice)).await;
        let mut state = shared.state.borrow_mut();
        let now = Instant::now();
        if gossip::has_members(&state, &reader(peer, progress)) && state.allowance.permits(now) {
            return;
        }
    }
}

/// Tries once whether a daemon that is dead or was never heard is there.
///
/// It carries no more than the own record and what is said of the other, so
/// that trying is cheap; if it is there it becomes a neighbour or is heard of
/// from its neighbours.
pub(crate) async fn try_contact(shared: Rc<Shared>, peer: InstanceId, address: SocketAddr) {
    let Some(connection) = open(&shared, &peer, address) else {
        return;
    };
    let ping = {
        let mut state = shared.state.borrow_mut();
        let mut delta = gossip::compose_own(&state, &shared.options.instance);
        let said = state
            .table
            .get(&peer)
            .and_then(|entry| entry.record.clone());
        delta
            .members
            .extend(said.map(|record| (peer.clone(), record)));
        Ping {
            wants: Wants::OwnRecord,
            ..ping(&shared, &mut state, &peer, &Progress::default(), delta)
        }
    };
    if let Ok(ack) = exchange(&shared, &connection, ping).await {
        let teacher = (peer.clone(), ack.incarnation);
        gossip::apply(&shared, &teacher, ack.delta, &ack.pulses);
        shared.state.borrow_mut().heard(&peer, Instant::now());
    }
}

/// Time between two looks at the clock.
pub(crate) fn slice(period: Duration) -> Duration {
    period / SLICES
}
