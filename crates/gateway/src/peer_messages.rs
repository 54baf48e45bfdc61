//! Messages of the gateway's parts to other daemons.

use std::net::IpAddr;

use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};

use crate::datagram::Message;

/// A message to other daemons.
pub(crate) struct Outgoing {
    pub(crate) to: Vec<IpAddr>,
    pub(crate) message: Message,
}

/// Queues messages to other daemons.
#[derive(Clone)]
pub struct PeerMessageSender(UnboundedSender<Outgoing>);

/// Messages that are to be sent, for a [`crate::StateExchange`].
pub struct PeerMessages(pub(crate) UnboundedReceiver<Outgoing>);

impl std::fmt::Debug for PeerMessageSender {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerMessageSender").finish_non_exhaustive()
    }
}

impl std::fmt::Debug for PeerMessages {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerMessages").finish_non_exhaustive()
    }
}

/// Creates a queue of messages to other daemons.
#[must_use]
pub fn peer_messages() -> (PeerMessageSender, PeerMessages) {
    let (sender, messages) = unbounded();
    (PeerMessageSender(sender), PeerMessages(messages))
}

impl PeerMessageSender {
    pub(crate) fn send(&self, to: Vec<IpAddr>, message: Message) {
        // Without a receiver the process is about to exit.
        let _ = self.0.unbounded_send(Outgoing { to, message });
    }
}
