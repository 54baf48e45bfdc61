//! Client of the platform's HTTP interface, which is described in `docs/interfaces.md`; the
//! only module that depends on it.

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
use crate::decision::too_large;
use crate::document::Kind;
use crate::error::{ReadError, ReadStep};
use crate::options::VALUE_LIMIT_BYTES;

/// Maximum length of an answer besides its value, for revision and punctuation, in bytes.
const ENVELOPE_LIMIT_BYTES: usize = 4096;

/// One call to the service.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Call {
    /// Returns the value at once.
    Read,
    /// Returns the value as soon as its revision differs from `after`.
    Watch {
        /// Revision that the service reported last.
        after: Revision,
        /// Maximum time for which the service waits.
        wait: Duration,
    },
}

/// Answer of the service.
#[derive(Debug)]
pub(crate) enum Answer {
    /// Nothing changed during the wait.
    Unchanged,
    /// Nothing has been published yet.
    Absent,
    /// The text of a value, not parsed yet.
    Value { revision: Revision, body: Bytes },
    /// A revision whose value can't be read completely.
    Unreadable { revision: Revision, reason: Refusal },
}

/// Address and value of a call.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    pub(crate) kind: Kind,
}

/// Body of an answer with a value.
#[derive(Debug, Deserialize)]
struct Envelope<'a> {
    revision: Revision,
    #[serde(borrow)]
    value: &'a RawValue,
}

/// Makes one call with a time limit of `timeout`.
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
    let connection_error = |error: cyper::Error| ReadError::Connection {
        step,
        peer,
        reason: error.to_string(),
    };
    let request = client.get(url(target, call)).map_err(connection_error)?;
    let response = request.send().await.map_err(connection_error)?;
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
        content.extend_from_slice(&chunk.map_err(connection_error)?);
        if content.len() > limit_bytes {
            let revision = head_revision(&content);
            let revision = revision.ok_or(ReadError::NoRevision { step, peer })?;
            let reason = too_large();
            return Ok(Answer::Unreadable { revision, reason });
        }
    }
    unwrap_envelope(content.freeze()).ok_or(ReadError::NoRevision { step, peer })
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

/// Extracts the value from its envelope without copying it.
fn unwrap_envelope(content: Bytes) -> Option<Answer> {
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

/// Revision at the start of an answer that is truncated or not valid JSON.
///
/// With the revision, such a value is refused once, and the next watch waits for another
/// revision; without it the same answer would be fetched repeatedly.
fn head_revision(content: &[u8]) -> Option<Revision> {
    let found = Cell::new(None);
    let mut reader = serde_json::Deserializer::from_slice(content);
    // The text is known to be truncated or invalid, so the result is ignored.
    let _ = RevisionSeed(&found).deserialize(&mut reader);
    found.get()
}

struct RevisionSeed<'a>(&'a Cell<Option<Revision>>);

impl<'de> DeserializeSeed<'de> for RevisionSeed<'_> {
    type Value = ();

    fn deserialize<D: serde::Deserializer<'de>>(self, reader: D) -> Result<(), D::Error> {
        reader.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for RevisionSeed<'_> {
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
