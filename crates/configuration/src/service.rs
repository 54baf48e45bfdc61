//! The platform's dialect of HTTP, see `docs/interfaces.md`; nothing outside
//! this module knows it.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use http::StatusCode;
use mangofront_settings::ids::Revision;
use serde::Deserialize;
use serde::de::{DeserializeSeed, IgnoredAny, MapAccess, Visitor};
use serde_json::value::RawValue;

use crate::change::Refusal;
use crate::document::Kind;
use crate::error::{ReadError, ReadStep};
use crate::options::VALUE_LIMIT_BYTES;
use crate::verdict::too_large;

/// Room for the revision and the punctuation around a value, in bytes.
const ENVELOPE_LIMIT_BYTES: usize = 4096;

/// One call to the service.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Call {
    /// The value at once.
    Read,
    /// The value as soon as its revision is not `after`.
    Watch {
        /// Revision that the service told last.
        after: Revision,
        /// Time that the service may wait.
        wait: Duration,
    },
}

/// What the service answered.
#[derive(Debug)]
pub(crate) enum Answer {
    /// Nothing changed during the wait.
    Unchanged,
    /// Nothing was published yet.
    Absent,
    /// A value's text, not looked into yet.
    Value { revision: Revision, body: Bytes },
    /// A revision whose value can't be read whole.
    Unreadable { revision: Revision, reason: Refusal },
}

/// Where a call goes to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    pub(crate) kind: Kind,
}

/// Body of a value's answer.
#[derive(Debug, Deserialize)]
struct Envelope<'a> {
    revision: Revision,
    #[serde(borrow)]
    value: &'a RawValue,
}

/// Makes one call, which ends by `timeout`.
pub(crate) async fn call(
    client: &cyper::Client,
    target: Target,
    call: Call,
    timeout: Duration,
) -> Result<Answer, ReadError> {
    let step = step(target.kind, call);
    let answer = compio::time::timeout(timeout, exchange(client, target, call)).await;
    match answer {
        Ok(answer) => answer,
        Err(_) => Err(ReadError::TimedOut {
            step,
            peer: target.address,
            timeout,
        }),
    }
}

fn step(kind: Kind, call: Call) -> ReadStep {
    match call {
        Call::Read => ReadStep::Read(kind),
        Call::Watch { .. } => ReadStep::Watch(kind),
    }
}

async fn exchange(client: &cyper::Client, target: Target, call: Call) -> Result<Answer, ReadError> {
    let step = step(target.kind, call);
    let peer = target.address;
    let broken = |error: cyper::Error| ReadError::Connection {
        step,
        peer,
        reason: error.to_string(),
    };
    let request = client.get(url(target, call)).map_err(broken)?;
    let response = request.send().await.map_err(broken)?;
    match response.status() {
        StatusCode::OK => {}
        StatusCode::NO_CONTENT => return Ok(Answer::Unchanged),
        StatusCode::NOT_FOUND => return Ok(Answer::Absent),
        status => return Err(ReadError::Status { step, peer, status }),
    }
    let limit_bytes = VALUE_LIMIT_BYTES + ENVELOPE_LIMIT_BYTES;
    let mut content = BytesMut::new();
    let mut chunks = response.bytes_stream();
    while let Some(chunk) = chunks.next().await {
        content.extend_from_slice(&chunk.map_err(broken)?);
        if content.len() > limit_bytes {
            let revision = head_revision(&content);
            let revision = revision.ok_or(ReadError::NoRevision { step, peer })?;
            let reason = too_large();
            return Ok(Answer::Unreadable { revision, reason });
        }
    }
    open(content.freeze()).ok_or(ReadError::NoRevision { step, peer })
}

fn url(target: Target, call: Call) -> String {
    let address = target.address;
    let path = match target.kind {
        Kind::Configuration => "/v1/configuration",
        Kind::Instances => "/v1/instances",
    };
    match call {
        Call::Read => format!("http://{address}{path}"),
        Call::Watch { after, wait } => {
            let wait_ms = wait.as_millis();
            format!("http://{address}{path}?after={after}&wait_ms={wait_ms}")
        }
    }
}

/// Takes the value out of its envelope, without a copy.
fn open(content: Bytes) -> Option<Answer> {
    match serde_json::from_slice::<Envelope<'_>>(&content) {
        Ok(envelope) => Some(Answer::Value {
            revision: envelope.revision,
            body: content.slice_ref(envelope.value.get().as_bytes()),
        }),
        Err(error) => {
            let revision = head_revision(&content)?;
            let reason = error.to_string();
            let reason = Refusal::Invalid { reason };
            Some(Answer::Unreadable { revision, reason })
        }
    }
}

/// Revision at the head of an answer whose rest is cut off or no JSON.
///
/// With it such a value is refused once by name, and the next watch waits for
/// the revision after it; without it the same bytes would be fetched again
/// and again.
fn head_revision(content: &[u8]) -> Option<Revision> {
    let found = Cell::new(None);
    let mut reader = serde_json::Deserializer::from_slice(content);
    // The text is known to break off, so the reader's verdict is of no use.
    let _ = HeadSeed(&found).deserialize(&mut reader);
    found.get()
}

struct HeadSeed<'a>(&'a Cell<Option<Revision>>);

impl<'de> DeserializeSeed<'de> for HeadSeed<'_> {
    type Value = ();

    fn deserialize<D: serde::Deserializer<'de>>(self, reader: D) -> Result<(), D::Error> {
        reader.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for HeadSeed<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object with a revision")
    }

    fn visit_map<M: MapAccess<'de>>(self, mut map: M) -> Result<(), M::Error> {
        while let Some(name) = map.next_key::<String>()? {
            if name == "revision" {
                self.0.set(Some(map.next_value()?));
                return Ok(());
            }
            map.next_value::<IgnoredAny>()?;
        }
        Ok(())
    }
}
