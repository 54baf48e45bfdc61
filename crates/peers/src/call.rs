//! Requests to one other daemon.
//!
//! A request is sent at most once: nng resends nothing, and a reply after the
//! time-out is dropped. [`CallError::may_have_run`] tells whether the other
//! side can have taken the request up.

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
use crate::wire::{self, CallHead, Refusal, Reply, Request};

/// Connections kept for calls; the least recently used goes first.
const CONNECTION_LIMIT: usize = 64;

/// Time after which an unused connection goes.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// Which part of a daemon answers a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Service {
    /// Orders that may not repeat.
    Once,
    /// Relay of the configuration.
    Platform,
    /// Load and reservations.
    Placement,
}

/// Call that brought no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// No address is known for the instance.
    #[error("call to {peer}: no address is known")]
    UnknownPeer {
        /// Instance called.
        peer: InstanceId,
    },
    /// The instance is dead in this daemon's view.
    #[error("call to {peer}: it is dead")]
    Dead {
        /// Instance called.
        peer: InstanceId,
    },
    /// No connection could be opened.
    #[error("call to {peer}: no connection: {cause}")]
    Open {
        /// Instance called.
        peer: InstanceId,
        /// What the library said.
        cause: nng::Error,
    },
    /// It did not reach a connection in time.
    #[error("call to {peer}: not sent: {cause}")]
    NotSent {
        /// Instance called.
        peer: InstanceId,
        /// What the library said.
        cause: nng::Error,
    },
    /// The other side has too many calls running, or is another instance by now.
    #[error("call to {peer}: refused")]
    Refused {
        /// Instance called.
        peer: InstanceId,
        /// Whether it is only busy.
        busy: bool,
    },
    /// No reply came in time.
    #[error("call to {peer}: no reply in time")]
    Timeout {
        /// Instance called.
        peer: InstanceId,
    },
    /// The connection broke before the reply.
    #[error("call to {peer}: connection broke: {cause}")]
    Broken {
        /// Instance called.
        peer: InstanceId,
        /// What the library said.
        cause: nng::Error,
    },
    /// The reply could not be read.
    #[error("call to {peer}: malformed reply")]
    Malformed {
        /// Instance called.
        peer: InstanceId,
    },
}

impl CallError {
    /// Whether the other side can have taken the request up.
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

/// Connections that calls share.
#[derive(Debug, Default)]
pub(crate) struct CallLinks(BTreeMap<InstanceId, CallLink>);

#[derive(Debug)]
struct CallLink {
    address: SocketAddr,
    connection: Rc<Connection>,
    used: Instant,
}

impl CallLinks {
    /// The connection to a peer's present address, opened when there is none.
    fn get(
        &mut self,
        server: &Server,
        peer: &InstanceId,
        address: SocketAddr,
    ) -> nng::Result<Rc<Connection>> {
        let used = Instant::now();
        if let Some(link) = self.0.get_mut(peer).filter(|link| link.address == address) {
            link.used = used;
            return Ok(Rc::clone(&link.connection));
        }
        let connection = Rc::new(server.dial(address)?);
        let link = CallLink {
            address,
            connection: Rc::clone(&connection),
            used,
        };
        self.0.insert(peer.clone(), link);
        while self.0.len() > CONNECTION_LIMIT {
            let oldest = self.0.iter().min_by_key(|(_, link)| link.used);
            let Some(oldest) = oldest.map(|(peer, _)| peer.clone()) else {
                break;
            };
            self.0.remove(&oldest);
        }
        Ok(connection)
    }

    /// Lets a connection go after a failure, so that the next call dials anew.
    fn discard(&mut self, peer: &InstanceId, connection: &Rc<Connection>) {
        if self
            .0
            .get(peer)
            .is_some_and(|link| Rc::ptr_eq(&link.connection, connection))
        {
            self.0.remove(peer);
        }
    }

    /// Lets unused connections go.
    pub(crate) fn close_idle(&mut self, now: Instant) {
        self.0
            .retain(|_, link| now.saturating_duration_since(link.used) < IDLE_LIMIT);
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
        .call_links
        .borrow_mut()
        .get(&shared.server, peer, address);
    let connection = opened.map_err(|cause| CallError::Open {
        peer: peer.clone(),
        cause,
    })?;
    let head = Request::Call(CallHead {
        from: shared.options.instance.clone(),
        to: peer.clone(),
        service,
    });
    let request = wire::encode(&head, &payload).ok_or_else(|| CallError::NotSent {
        peer: peer.clone(),
        cause: nng::Error::MessageTooLarge,
    })?;
    shared
        .counters
        .update(|counters| counters.calls.sent(request.len()));
    let message = match connection.request(&request, timeout).await {
        Ok(message) => message,
        Err(error) => {
            shared.call_links.borrow_mut().discard(peer, &connection);
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

/// Where a peer that isn't dead listens.
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
