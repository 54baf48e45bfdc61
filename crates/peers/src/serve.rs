//! Tasks that answer heartbeats and calls.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::runtime::spawn;
use nng::{Context, Message};

use crate::completion::Operation;
use crate::gossip::{self, Recipient};
use crate::state::Shared;
use crate::wire::{self, Ack, CallHeader, Cursors, Ping, Refusal, Reply, Request, Wants};

/// Tasks that receive requests; several, as one receives nothing while it hands over a call.
pub(crate) const RECEIVERS: usize = 4;

/// Most calls that run at once.
const RUNNING_CALLS_LIMIT: usize = 256;

/// Time for a reply to be written to the connection of a peer that reads slowly.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after a failed receive, so that a lack of memory doesn't cause a busy loop.
const RECEIVE_PAUSE: Duration = Duration::from_millis(10);

/// An nng context with its operation; handles one request at a time.
struct Receiver {
    context: Context,
    operation: Operation,
}

/// Receives and handles requests until the socket is closed.
pub(crate) async fn run(shared: Rc<Shared>) {
    let mut idle = None;
    loop {
        let receiver = idle.take().or_else(|| open(&shared));
        let Some(receiver) = receiver else {
            compio::time::sleep(RECEIVE_PAUSE).await;
            continue;
        };
        match receive(&receiver).await {
            Ok(message) => idle = handle(&shared, receiver, &message).await,
            Err(nng::Error::Closed) => return,
            Err(cause) => {
                log::warn!("peers: receiving a request failed: {cause}");
                compio::time::sleep(RECEIVE_PAUSE).await;
            }
        }
    }
}

fn open(shared: &Shared) -> Option<Receiver> {
    let context = shared.server.context();
    let operation = shared.server.operation();
    match (context, operation) {
        (Ok(context), Ok(operation)) => Some(Receiver { context, operation }),
        (Err(cause), _) | (_, Err(cause)) => {
            log::warn!("peers: context for requests could not be opened: {cause}");
            None
        }
    }
}

async fn receive(receiver: &Receiver) -> nng::Result<Message> {
    receiver.operation.set_timeout(None)?;
    receiver.operation.receive(&receiver.context).await
}

/// Answers a heartbeat directly, a call in its own task; returns the receiver if it is free.
async fn handle(shared: &Rc<Shared>, receiver: Receiver, message: &Message) -> Option<Receiver> {
    match wire::decode_request(message) {
        Some((Request::Ping(ping), _)) => {
            shared
                .counters
                .update(|counters| counters.gossip.received(message.len()));
            let reply = answer_ping(shared, ping);
            let reply = wire::encode(&reply, &[]);
            let bytes = reply.as_ref().map_or(0, Vec::len);
            shared
                .counters
                .update(|counters| counters.gossip.sent(bytes));
            Some(send(receiver, reply).await)
        }
        Some((Request::Call(header), payload)) => {
            shared
                .counters
                .update(|counters| counters.calls.received(message.len()));
            let payload = Bytes::copy_from_slice(payload);
            // A call must not delay the heartbeats that follow it.
            spawn(answer_call(Rc::clone(shared), receiver, header, payload)).detach();
            None
        }
        None => {
            shared.counters.update(|counters| counters.malformed += 1);
            Some(receiver)
        }
    }
}

async fn send(receiver: Receiver, reply: Option<Vec<u8>>) -> Receiver {
    let Some(reply) = reply else {
        return receiver;
    };
    let message = Message::from(reply.as_slice());
    let ready = receiver.operation.set_timeout(Some(REPLY_TIMEOUT));
    let sent = match ready {
        Ok(()) => receiver.operation.send(&receiver.context, message).await,
        Err(cause) => Err(cause),
    };
    if let Err(cause) = sent {
        log::debug!("peers: reply could not be sent: {cause}");
    }
    receiver
}

fn answer_ping(shared: &Rc<Shared>, ping: Ping) -> Reply {
    if ping.to != shared.options.instance {
        return Reply::Refused(Refusal::WrongInstance);
    }
    let sender = (ping.from, ping.incarnation);
    gossip::apply(shared, &sender, ping.delta, &ping.zone_heartbeats);
    let now = Instant::now();
    let mut state = shared.state.borrow_mut();
    let view = state.table.view_hash();
    let delta = match ping.wants {
        Wants::OwnRecord => gossip::own_record_delta(&state, &shared.options.instance),
        Wants::After(incarnation, cursors) => {
            let is_current = incarnation == state.incarnation();
            let mut after = if is_current {
                cursors
            } else {
                Cursors::default()
            };
            if view == ping.view {
                // Both have the same members, so that none needs to be sent.
                after.members = state.table.last_change();
            }
            let recipient = Recipient {
                instance: &sender.0,
                incarnation: sender.1,
                after,
            };
            gossip::build_delta(&mut state, &recipient, now)
        }
    };
    Reply::Ack(Ack {
        incarnation: state.incarnation(),
        view,
        stale: state.freshness.is_stale(now),
        delta,
        zone_heartbeats: state.zone_heartbeats.next_message(),
    })
}

async fn answer_call(shared: Rc<Shared>, receiver: Receiver, header: CallHeader, payload: Bytes) {
    let running = shared.running_calls.get();
    let reply = if header.to != shared.options.instance {
        wire::encode(&Reply::Refused(Refusal::WrongInstance), &[])
    } else if running >= RUNNING_CALLS_LIMIT {
        wire::encode(&Reply::Refused(Refusal::Busy), &[])
    } else {
        shared.running_calls.set(running + 1);
        let answer = (shared.responder)(header.from, header.service, payload).await;
        shared.running_calls.set(shared.running_calls.get() - 1);
        wire::encode(&Reply::Answer, &answer)
    };
    let bytes = reply.as_ref().map_or(0, Vec::len);
    shared
        .counters
        .update(|counters| counters.calls.sent(bytes));
    send(receiver, reply).await;
}
