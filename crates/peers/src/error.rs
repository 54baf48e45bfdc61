//! Errors of starting and of links.

use std::net::SocketAddr;

use thiserror::Error;

/// Membership that could not start.
#[derive(Debug, Error)]
pub enum PeersError {
    /// The socket could not be opened or configured.
    #[error("peer socket could not be opened: {0}")]
    Socket(nng::Error),
    /// The listen address could not be taken.
    #[error("listening for peers on {address} failed: {cause}")]
    Listen {
        /// Address asked for.
        address: SocketAddr,
        /// What the library said.
        cause: nng::Error,
    },
}

impl PeersError {
    /// Whether another process has the listen address.
    #[must_use]
    pub fn is_address_in_use(&self) -> bool {
        match self {
            Self::Listen { cause, .. } => *cause == nng::Error::AddressInUse,
            Self::Socket(_) => false,
        }
    }
}

/// Step of a link at which an error arose.
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
    /// Makes the adapter from the library's error at one step.
    pub(crate) fn at(step: LinkStep) -> impl Fn(nng::Error) -> Self {
        move |cause| Self { step, cause }
    }
}
