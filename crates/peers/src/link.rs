//! The task of one link: sends heartbeats, applies the answers and handles missing ones.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_settings::ids::{Incarnation, InstanceId};

use crate::error::{LinkError, LinkStep};
use crate::gossip::{self, Recipient};
use crate::member::MemberState;
use crate::state::Shared;
use crate::transport::Connection;
use crate::wire::{self, Ack, Cursors, Delta, Ping, Reply, Request, Wants};

/// Checks in each period for changes of members that are worth an early message.
pub(crate) const CHECKS_PER_PERIOD: u32 = 5;

/// Missed heartbeats after which a connection is assumed half-open and dialled anew.
const REDIAL_AFTER_MISSED: u32 = 3;

/// Consecutive heartbeats with differing views after which both sides resend everything.
const RESYNC_AFTER: u32 = 30;

/// Periods for which a member of another zone that didn't answer isn't chosen for a link.
const AVOID_PERIODS: u32 = 30;

/// The changes that the two sides of a link have from each other.
#[derive(Debug, Default)]
struct Progress {
    /// Incarnation of the peer that the other fields belong to.
    incarnation: Incarnation,
    /// This daemon's changes that the peer has.
    acked: Cursors,
    /// The peer's changes that this daemon has.
    received: Cursors,
    /// Consecutive heartbeats that found differing views.
    differing_views: u32,
}

/// Maintains the link to one neighbour until the task is dropped.
pub(crate) async fn run(shared: Rc<Shared>, peer: InstanceId, address: SocketAddr) {
    let mut progress = Progress::default();
    let mut missed = 0;
    let mut connection = None;
    loop {
        if connection.is_none() {
            connection = open(&shared, &peer, address);
        }
        let result = match &connection {
            Some(connection) => heartbeat(&shared, &peer, connection, &mut progress).await,
            None => Err(None),
        };
        match result {
            Ok(()) => missed = 0,
            Err(error) => {
                missed += 1;
                handle_missed(&shared, &peer, missed, error.as_ref());
            }
        }
        if missed > 0 && missed % REDIAL_AFTER_MISSED == 0 {
            connection = None;
        }
        wait_until_due(&shared, &peer, &progress).await;
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

/// Sends one heartbeat and applies its answer.
async fn heartbeat(
    shared: &Rc<Shared>,
    peer: &InstanceId,
    connection: &Connection,
    progress: &mut Progress,
) -> Result<(), Option<LinkError>> {
    let sent_at = Instant::now();
    let (ping, through) = {
        let mut state = shared.state.borrow_mut();
        // Before the first answer it is unknown whether the peer lacks anything.
        let delta = if progress.incarnation == 0 {
            gossip::own_record_delta(&state, &shared.options.instance)
        } else {
            gossip::build_delta(&mut state, &recipient(peer, progress), sent_at)
        };
        let through = delta.through;
        (
            build_ping(shared, &mut state, peer, progress, delta),
            through,
        )
    };
    let ack = exchange(shared, connection, ping).await?;
    apply_ack(shared, peer, ack, progress, through, sent_at);
    Ok(())
}

fn recipient<'a>(peer: &'a InstanceId, progress: &Progress) -> Recipient<'a> {
    Recipient {
        instance: peer,
        incarnation: progress.incarnation,
        after: progress.acked,
    }
}

fn build_ping(
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
        view: state.table.view_hash(),
        wants: Wants::After(progress.incarnation, progress.received),
        delta,
        zone_heartbeats: state.zone_heartbeats.next_message(),
    }
}

/// Sends a heartbeat and receives the answer.
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

fn apply_ack(
    shared: &Rc<Shared>,
    peer: &InstanceId,
    ack: Ack,
    progress: &mut Progress,
    through: Cursors,
    sent_at: Instant,
) {
    let same_incarnation = ack.incarnation == progress.incarnation;
    let (view, stale, complete) = (ack.view, ack.stale, ack.delta.complete);
    let received = ack.delta.through;
    gossip::apply(
        shared,
        &(peer.clone(), ack.incarnation),
        ack.delta,
        &ack.zone_heartbeats,
    );
    let mut state = shared.state.borrow_mut();
    state.record_answer(peer, Instant::now());
    if complete && !stale {
        state.freshness.record_refresh(sent_at);
    }
    let views_agree = state.table.view_hash() == view;
    progress.incarnation = ack.incarnation;
    progress.acked = match (same_incarnation, views_agree) {
        // Both have the same members, so that none needs to be sent.
        (_, true) => Cursors {
            members: state.table.last_change(),
            publications: if same_incarnation {
                through.publications
            } else {
                0
            },
        },
        (true, false) => through,
        // A new incarnation starts with nothing, whatever the previous one had.
        (false, false) => Cursors::default(),
    };
    progress.received = received;
    progress.differing_views = if views_agree {
        0
    } else {
        progress.differing_views + 1
    };
    if progress.differing_views >= RESYNC_AFTER {
        shared.counters.update(|counters| counters.resyncs += 1);
        *progress = Progress::default();
    }
}

/// Handles a heartbeat without an answer: suspects or avoids a peer that is silent for too long.
fn handle_missed(shared: &Rc<Shared>, peer: &InstanceId, missed: u32, error: Option<&LinkError>) {
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
    if state.freshness.is_stale(now)
        || state.unanswered_for(peer, now) < shared.options.suspect_after
    {
        return;
    }
    if state.may_suspect(peer) {
        let record = state
            .table
            .get(peer)
            .and_then(|entry| entry.record.as_ref());
        if record.is_some_and(|record| record.state.is_responsive()) {
            state.table.raise_state(peer, MemberState::Suspect, now);
        }
    } else if let Some(entry) = state.table.get_mut(peer) {
        entry.avoid_until = Some(now + shared.options.heartbeat_period * AVOID_PERIODS);
    }
    drop(state);
    shared.report_changes();
}

/// Waits a period, or less when there are changes of members that the peer lacks.
async fn wait_until_due(shared: &Shared, peer: &InstanceId, progress: &Progress) {
    let period = shared.options.heartbeat_period;
    let check_interval = period / CHECKS_PER_PERIOD;
    // Without jitter all links of a fleet that started together would send together.
    let due = Instant::now() + period.mul_f64(rand::random_range(0.9..1.1));
    loop {
        let left = due.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        compio::time::sleep(left.min(check_interval)).await;
        let mut state = shared.state.borrow_mut();
        let now = Instant::now();
        if gossip::has_member_changes(&state, &recipient(peer, progress))
            && state.token_bucket.permits_early_message(now)
        {
            return;
        }
    }
}

/// Makes one attempt to reach a daemon that is dead or has never answered.
///
/// The message contains only the own record and the known record of that daemon, so that
/// the attempt is cheap. A daemon that answers becomes a neighbour, or arrives in the
/// deltas of its neighbours.
pub(crate) async fn try_contact(shared: Rc<Shared>, peer: InstanceId, address: SocketAddr) {
    let Some(connection) = open(&shared, &peer, address) else {
        return;
    };
    let ping = {
        let mut state = shared.state.borrow_mut();
        let mut delta = gossip::own_record_delta(&state, &shared.options.instance);
        let known = state
            .table
            .get(&peer)
            .and_then(|entry| entry.record.clone());
        delta
            .members
            .extend(known.map(|record| (peer.clone(), record)));
        Ping {
            wants: Wants::OwnRecord,
            ..build_ping(&shared, &mut state, &peer, &Progress::default(), delta)
        }
    };
    if let Ok(ack) = exchange(&shared, &connection, ping).await {
        let sender = (peer.clone(), ack.incarnation);
        gossip::apply(&shared, &sender, ack.delta, &ack.zone_heartbeats);
        shared
            .state
            .borrow_mut()
            .record_answer(&peer, Instant::now());
    }
}

/// Interval at which links check for changes and maintenance runs.
pub(crate) fn check_interval(period: Duration) -> Duration {
    period / CHECKS_PER_PERIOD
}
