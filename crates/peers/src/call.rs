//! Calls: requests to one other daemon.
//!
//! A request is sent at most once: nng doesn't resend it, and a reply after the timeout
//! is dropped. [`CallError::may_have_run`] tells whether the other side may have started
//! to handle the request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mangofront_settings::ids::InstanceId;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::error::{LinkError, LinkStep};
use crate::member::MemberState;
use crate::state::Shared;
use crate::transport::{Connection, Server};
use crate::wire::{self, CallHeader, Refusal, Reply, Request};

/// Connections kept for calls; beyond that the least recently used one is closed.
const CONNECTION_LIMIT: usize = 64;

/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The part of a daemon that answers a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Service {
    /// Orders that must not run twice.
    Once,
    /// Relay of the configuration.
    Platform,
    /// Load and reservations.
    Placement,
}

/// A call that brought no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// No address is known for the instance.
    #[error("call to {peer}: no address is known")]
    UnknownPeer {
        /// The instance that was called.
        peer: InstanceId,
    },
    /// The instance is dead in this daemon's view.
    #[error("call to {peer}: it is dead")]
    Dead {
        /// The instance that was called.
        peer: InstanceId,
    },
    /// No connection could be opened.
    #[error("call to {peer}: no connection: {cause}")]
    Open {
        /// The instance that was called.
        peer: InstanceId,
        /// Error of the nng library.
        cause: nng::Error,
    },
    /// The request was not sent within the timeout.
    #[error("call to {peer}: not sent: {cause}")]
    NotSent {
        /// The instance that was called.
        peer: InstanceId,
        /// Error of the nng library.
        cause: nng::Error,
    },
    /// The other side runs too many calls, or another instance has the address by now.
    #[error("call to {peer}: refused")]
    Refused {
        /// The instance that was called.
        peer: InstanceId,
        /// Whether the other side runs too many calls.
        busy: bool,
    },
    /// No reply arrived within the timeout.
    #[error("call to {peer}: no reply in time")]
    Timeout {
        /// The instance that was called.
        peer: InstanceId,
    },
    /// The connection broke before the reply.
    #[error("call to {peer}: connection broke: {cause}")]
    Broken {
        /// The instance that was called.
        peer: InstanceId,
        /// Error of the nng library.
        cause: nng::Error,
    },
    /// The reply could not be decoded.
    #[error("call to {peer}: malformed reply")]
    Malformed {
        /// The instance that was called.
        peer: InstanceId,
    },
}

impl CallError {
    /// Whether the other side may have started to handle the request.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::UnknownPeer { .. }
            | Self::Dead { .. }
            | Self::Open { .. }
            | Self::NotSent { .. }
            | Self::Refused { .. } => false,
            Self::Timeout { .. } | Self::Broken { .. } | Self::Malformed { .. } => true,
        }
    }

    fn from_link(peer: &InstanceId, error: &LinkError) -> Self {
        let peer = peer.clone();
        let cause = error.cause;
        match (error.step, cause) {
            (LinkStep::Open, _) => Self::Open { peer, cause },
            (LinkStep::Send, _) => Self::NotSent { peer, cause },
            (_, nng::Error::TimedOut) => Self::Timeout { peer },
            (LinkStep::Receive | LinkStep::Decode, _) => Self::Broken { peer, cause },
        }
    }
}

/// Connections shared by all calls.
#[derive(Debug, Default)]
pub(crate) struct CallConnections(BTreeMap<InstanceId, CallConnection>);

#[derive(Debug)]
struct CallConnection {
    address: SocketAddr,
    connection: Rc<Connection>,
    last_used: Instant,
}

impl CallConnections {
    /// The connection to a peer's present address; opened if there is none.
    fn get(
        &mut self,
        server: &Server,
        peer: &InstanceId,
        address: SocketAddr,
    ) -> nng::Result<Rc<Connection>> {
        let last_used = Instant::now();
        if let Some(entry) = self
            .0
            .get_mut(peer)
            .filter(|entry| entry.address == address)
        {
            entry.last_used = last_used;
            return Ok(Rc::clone(&entry.connection));
        }
        let connection = Rc::new(server.dial(address)?);
        let entry = CallConnection {
            address,
            connection: Rc::clone(&connection),
            last_used,
        };
        self.0.insert(peer.clone(), entry);
        while self.0.len() > CONNECTION_LIMIT {
            let oldest = self.0.iter().min_by_key(|(_, entry)| entry.last_used);
            let Some(oldest) = oldest.map(|(peer, _)| peer.clone()) else {
                break;
            };
            self.0.remove(&oldest);
        }
        Ok(connection)
    }

    /// Drops a connection after a failure, so that the next call opens a new one.
    fn discard(&mut self, peer: &InstanceId, connection: &Rc<Connection>) {
        if self
            .0
            .get(peer)
            .is_some_and(|entry| Rc::ptr_eq(&entry.connection, connection))
        {
            self.0.remove(peer);
        }
    }

    /// Closes the connections that were not used for [`IDLE_TIMEOUT`].
    pub(crate) fn close_idle(&mut self, now: Instant) {
        self.0
            .retain(|_, entry| now.saturating_duration_since(entry.last_used) < IDLE_TIMEOUT);
    }
}

/// Calls one other daemon and awaits its answer.
pub(crate) async fn call(
    shared: &Shared,
    peer: &InstanceId,
    service: Service,
    payload: Bytes,
    timeout: Duration,
) -> Result<Bytes, CallError> {
    let address = address_of(shared, peer)?;
    let opened = shared
        .call_connections
        .borrow_mut()
        .get(&shared.server, peer, address);
    let connection = opened.map_err(|cause| CallError::Open {
        peer: peer.clone(),
        cause,
    })?;
    let header = Request::Call(CallHeader {
        from: shared.options.instance.clone(),
        to: peer.clone(),
        service,
    });
    let request = wire::encode(&header, &payload).ok_or_else(|| CallError::NotSent {
        peer: peer.clone(),
        cause: nng::Error::MessageTooLarge,
    })?;
    shared
        .counters
        .update(|counters| counters.calls.sent(request.len()));
    let message = match connection.request(&request, timeout).await {
        Ok(message) => message,
        Err(error) => {
            shared
                .call_connections
                .borrow_mut()
                .discard(peer, &connection);
            return Err(CallError::from_link(peer, &error));
        }
    };
    shared
        .counters
        .update(|counters| counters.calls.received(message.len()));
    match wire::decode_reply(&message) {
        Some((Reply::Answer, payload)) => Ok(Bytes::copy_from_slice(payload)),
        Some((Reply::Refused(refusal), _)) => Err(CallError::Refused {
            peer: peer.clone(),
            busy: refusal == Refusal::Busy,
        }),
        _ => {
            shared.counters.update(|counters| counters.malformed += 1);
            Err(CallError::Malformed { peer: peer.clone() })
        }
    }
}

/// Address of a peer that isn't dead.
fn address_of(shared: &Shared, peer: &InstanceId) -> Result<SocketAddr, CallError> {
    let state = shared.state.borrow();
    let member = state
        .member(peer, Instant::now())
        .filter(|_| *peer != shared.options.instance)
        .ok_or_else(|| CallError::UnknownPeer { peer: peer.clone() })?;
    if member.state == MemberState::Dead {
        return Err(CallError::Dead { peer: peer.clone() });
    }
    Ok(member.address)
}
