//! Messages between daemons.
//!
//! A message is one version byte, a postcard value and, for calls, the payload
//! as it is. Whatever does not read whole is dropped by the caller of
//! [`decode_request`] or [`decode_reply`] and counted.

use mangofront_settings::ids::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

use crate::call::Service;
use crate::member::Record;
use crate::publication::Topic;

/// Version of the messages; a daemon drops any other.
const VERSION: u8 = 1;

/// What one daemon asks of another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Request {
    /// Heartbeat with news.
    Ping(Ping),
    /// Call; its payload follows.
    Call(CallHead),
}

/// What comes back.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// Answer to a heartbeat, with news.
    Ack(Ack),
    /// Answer to a call; its payload follows.
    Answer,
    /// The request was not taken up.
    Refused(Refusal),
}

/// Why a request was not taken up; nothing ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Refusal {
    /// The address belongs to another instance now.
    WrongInstance,
    /// Too many calls run.
    Busy,
}

/// Heartbeat of the sender and what it thinks that the receiver lacks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Ping {
    pub(crate) from: InstanceId,
    pub(crate) to: InstanceId,
    pub(crate) incarnation: Incarnation,
    /// Hash of the sender's view of who is there.
    pub(crate) view: ViewHash,
    /// How much of the receiver's news the sender has.
    pub(crate) wants: Wants,
    pub(crate) delta: Delta,
    pub(crate) pulses: Vec<Pulse>,
}

/// Answer to a [`Ping`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Ack {
    pub(crate) incarnation: Incarnation,
    pub(crate) view: ViewHash,
    /// Whether the answerer itself woke from a pause and has not refreshed its view.
    pub(crate) stale: bool,
    pub(crate) delta: Delta,
    pub(crate) pulses: Vec<Pulse>,
}

/// Hash of a view; two equal views have the same.
pub(crate) type ViewHash = [u8; 4];

/// How far one daemon has read another's changes; valid for one life of the other.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Cursors {
    pub(crate) members: u64,
    pub(crate) publications: u64,
}

/// Which changes an answer should bring.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Wants {
    /// Those after a point in the receiver's given life.
    After(Incarnation, Cursors),
    /// Only the receiver's own record: the sender tries whether it is there.
    OwnRecord,
}

/// Changes up to a point of the sender's.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Delta {
    pub(crate) through: Cursors,
    /// Whether these are all the changes there are.
    pub(crate) complete: bool,
    pub(crate) members: Vec<(InstanceId, Record)>,
    pub(crate) publications: Vec<Publication>,
}

/// One published value on its way.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Publication {
    pub(crate) topic: Topic,
    pub(crate) origin: InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) sequence: u64,
    pub(crate) value: Vec<u8>,
}

/// Heartbeat of a whole availability zone.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Pulse {
    pub(crate) zone: u32,
    pub(crate) count: u32,
}

/// Head of a call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct CallHead {
    pub(crate) from: InstanceId,
    pub(crate) to: InstanceId,
    pub(crate) service: Service,
}

/// Writes a message and its payload.
pub(crate) fn encode<M: Serialize>(message: &M, payload: &[u8]) -> Option<Vec<u8>> {
    let mut bytes = postcard::to_extend(message, vec![VERSION]).ok()?;
    bytes.extend_from_slice(payload);
    Some(bytes)
}

/// Reads a request and its payload; `None` when it is malformed.
pub(crate) fn decode_request(bytes: &[u8]) -> Option<(Request, &[u8])> {
    let (request, payload) = decode(bytes)?;
    let bare = matches!(request, Request::Ping(_));
    (!bare || payload.is_empty()).then_some((request, payload))
}

/// Reads a reply and its payload; `None` when it is malformed.
pub(crate) fn decode_reply(bytes: &[u8]) -> Option<(Reply, &[u8])> {
    let (reply, payload) = decode(bytes)?;
    let bare = !matches!(reply, Reply::Answer);
    (!bare || payload.is_empty()).then_some((reply, payload))
}

fn decode<'a, M: Deserialize<'a>>(bytes: &'a [u8]) -> Option<(M, &'a [u8])> {
    let (version, rest) = bytes.split_first()?;
    if *version != VERSION {
        return None;
    }
    postcard::take_from_bytes(rest).ok()
}
