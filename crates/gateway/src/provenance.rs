//! Where a daemon learned of a published value.
//!
//! Each log line about a change carries this, which distinguishes a daemon that acted on
//! outdated values from one that received wrong values, and shows who sent them.

use std::net::IpAddr;
use std::time::Duration;

use mangofront_settings::ids::InstanceId;

use crate::datagram::Confirmation;
use crate::dialect::Position;

/// Name of the source in log lines.
const SOURCE: &str = "platform";

/// How a value was learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Channel {
    /// By a full read from the source.
    Read,
    /// By watching the changes at the source.
    Watch,
    /// From a watcher that relayed changes.
    Relay,
    /// From another daemon's reply to a query.
    Answer,
    /// From a copy of another daemon's values.
    Copy,
}

impl Channel {
    /// Name in log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Watch => "watch",
            Self::Relay => "relay",
            Self::Answer => "answer",
            Self::Copy => "copy",
        }
    }
}

/// How, from where and as of when a value was learned.
#[derive(Debug, Clone)]
pub(crate) struct Provenance {
    pub(crate) channel: Channel,
    /// The source, or the daemon that sent the value.
    pub(crate) from: String,
    /// Position up to which the sender knew all changes.
    pub(crate) position: Position,
    /// Time since that was known to be current, if the sender reports it.
    pub(crate) age: Option<Duration>,
}

impl Provenance {
    /// A full read from the source that began `age` ago.
    pub(crate) fn read(position: Position, age: Duration) -> Self {
        Self::of_source(Channel::Read, position, age)
    }

    /// An answer to a watch call that began `age` ago.
    pub(crate) fn watched(position: Position, age: Duration) -> Self {
        Self::of_source(Channel::Watch, position, age)
    }

    /// Changes that the daemon at `from` relayed.
    pub(crate) fn relayed(from: IpAddr, position: Position) -> Self {
        Self {
            channel: Channel::Relay,
            from: from.to_string(),
            position,
            age: None,
        }
    }

    /// Changes in a reply of the daemon at `from`.
    pub(crate) fn answered(from: IpAddr, confirmation: &Confirmation) -> Self {
        Self {
            channel: Channel::Answer,
            from: from.to_string(),
            position: confirmation.upstreams_position,
            age: Some(confirmation.age()),
        }
    }

    /// A copy of the values of `from`.
    pub(crate) fn copied(from: &InstanceId, position: Position) -> Self {
        Self {
            channel: Channel::Copy,
            from: from.clone(),
            position,
            age: None,
        }
    }

    fn of_source(channel: Channel, position: Position, age: Duration) -> Self {
        Self {
            channel,
            from: SOURCE.to_owned(),
            position,
            age: Some(age),
        }
    }
}
