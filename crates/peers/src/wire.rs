//! Messages between daemons.
//!
//! A message is one version byte, a postcard value and, for calls, the raw payload.
//! Messages that can't be decoded completely are dropped and counted by the callers of
//! [`decode_request`] and [`decode_reply`].

use mangofront_settings::ids::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

use crate::call::Service;
use crate::member::Record;
use crate::publication::Topic;

/// Version of the messages; a daemon drops messages of any other version.
const VERSION: u8 = 1;

/// A request to another daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Request {
    /// Heartbeat with changes.
    Ping(Ping),
    /// Call; its payload follows.
    Call(CallHeader),
}

/// The reply to a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// Answer to a heartbeat, with changes.
    Ack(Ack),
    /// Answer to a call; its payload follows.
    Answer,
    /// The request was refused.
    Refused(Refusal),
}

/// Why a request was refused; nothing ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Refusal {
    /// The address belongs to another instance now.
    WrongInstance,
    /// Too many calls are running.
    Busy,
}

/// Heartbeat of the sender with the changes that the receiver probably lacks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Ping {
    pub(crate) from: InstanceId,
    pub(crate) to: InstanceId,
    pub(crate) incarnation: Incarnation,
    /// Hash of the sender's view.
    pub(crate) view: ViewHash,
    /// The receiver's changes that the sender already has.
    pub(crate) wants: Wants,
    pub(crate) delta: Delta,
    #[serde(rename = "pulses")]
    pub(crate) zone_heartbeats: Vec<ZoneHeartbeat>,
}

/// Answer to a [`Ping`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Ack {
    pub(crate) incarnation: Incarnation,
    pub(crate) view: ViewHash,
    /// Whether the sender of the answer was paused and hasn't refreshed its view since.
    pub(crate) stale: bool,
    pub(crate) delta: Delta,
    #[serde(rename = "pulses")]
    pub(crate) zone_heartbeats: Vec<ZoneHeartbeat>,
}

/// Hash of a view; equal views have equal hashes.
pub(crate) type ViewHash = [u8; 4];

/// Last changes of another daemon that a daemon has; valid for one incarnation of the other.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Cursors {
    pub(crate) members: u64,
    pub(crate) publications: u64,
}

/// The changes that an answer should contain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Wants {
    /// Those after a point in the given incarnation of the receiver.
    After(Incarnation, Cursors),
    /// Only the receiver's own record: the sender checks whether it is reachable.
    OwnRecord,
}

/// Changes up to a point in the sender's order.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Delta {
    pub(crate) through: Cursors,
    /// Whether these are all the changes that the receiver lacks.
    pub(crate) complete: bool,
    pub(crate) members: Vec<(InstanceId, Record)>,
    pub(crate) publications: Vec<Publication>,
}

/// One published value as it is sent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Publication {
    pub(crate) topic: Topic,
    pub(crate) origin: InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) sequence: u64,
    pub(crate) value: Vec<u8>,
}

/// Heartbeat counter of an availability zone.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct ZoneHeartbeat {
    pub(crate) zone: u32,
    pub(crate) count: u32,
}

/// Header of a call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct CallHeader {
    pub(crate) from: InstanceId,
    pub(crate) to: InstanceId,
    pub(crate) service: Service,
}

/// Encodes a message and its payload.
pub(crate) fn encode<M: Serialize>(message: &M, payload: &[u8]) -> Option<Vec<u8>> {
    let mut bytes = postcard::to_extend(message, vec![VERSION]).ok()?;
    bytes.extend_from_slice(payload);
    Some(bytes)
}

/// Decodes a request and its payload; `None` when it is malformed.
pub(crate) fn decode_request(bytes: &[u8]) -> Option<(Request, &[u8])> {
    let (request, payload) = decode(bytes)?;
    let has_no_payload = matches!(request, Request::Ping(_));
    (!has_no_payload || payload.is_empty()).then_some((request, payload))
}

/// Decodes a reply and its payload; `None` when it is malformed.
pub(crate) fn decode_reply(bytes: &[u8]) -> Option<(Reply, &[u8])> {
    let (reply, payload) = decode(bytes)?;
    let has_no_payload = !matches!(reply, Reply::Answer);
    (!has_no_payload || payload.is_empty()).then_some((reply, payload))
}

fn decode<'a, M: Deserialize<'a>>(bytes: &'a [u8]) -> Option<(M, &'a [u8])> {
    let (version, rest) = bytes.split_first()?;
    if *version != VERSION {
        return None;
    }
    postcard::take_from_bytes(rest).ok()
}
