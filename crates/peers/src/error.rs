//! Errors of starting the membership and of links.

use std::net::SocketAddr;

use thiserror::Error;

/// The membership could not be started.
#[derive(Debug, Error)]
pub enum PeersError {
    /// The socket could not be opened or configured.
    #[error("peer socket could not be opened: {0}")]
    Socket(nng::Error),
    /// The listen address could not be bound.
    #[error("listening for peers on {address} failed: {cause}")]
    Listen {
        /// The listen address.
        address: SocketAddr,
        /// Error of the nng library.
        cause: nng::Error,
    },
}

impl PeersError {
    /// Whether another process uses the listen address.
    #[must_use]
    pub fn is_address_in_use(&self) -> bool {
        match self {
            Self::Listen { cause, .. } => *cause == nng::Error::AddressInUse,
            Self::Socket(_) => false,
        }
    }
}

/// The step of a link's request that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkStep {
    Open,
    Send,
    Receive,
    Decode,
}

/// A request over a link that brought no reply.
#[derive(Debug, Error)]
#[error("{step:?}: {cause}")]
pub(crate) struct LinkError {
    pub(crate) step: LinkStep,
    pub(crate) cause: nng::Error,
}

impl LinkError {
    /// Converts an error of the nng library at one step.
    pub(crate) fn at(step: LinkStep) -> impl Fn(nng::Error) -> Self {
        move |cause| Self { step, cause }
    }
}
