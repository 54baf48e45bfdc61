//! From whom a daemon learned of something that is published.
//!
//! Each line that tells of a change carries it, so that a daemon that acted on an
//! outdated belief can be told from one that was told something wrong, and by whom.

use std::net::IpAddr;
use std::time::Duration;

use mangofront_settings::ids::InstanceId;

use crate::datagram::Confirmation;
use crate::dialect::Position;

/// Name of the source in log lines.
const SOURCE: &str = "platform";

/// How something was learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Channel {
    /// Everything was read at the source.
    Read,
    /// The source told of changes.
    Watch,
    /// A daemon that watches passed changes on.
    Relay,
    /// Another daemon told of changes when it was asked.
    Answer,
    /// Another daemon handed over all that it has in force.
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

/// How, from whom and as of when something was learned.
#[derive(Debug, Clone)]
pub(crate) struct Provenance {
    pub(crate) channel: Channel,
    /// The source, or the daemon that told.
    pub(crate) from: String,
    /// Position up to which the teller knew all changes.
    pub(crate) position: Position,
    /// Time since that was known to be current, where the teller says it.
    pub(crate) age: Option<Duration>,
}

impl Provenance {
    /// The source's answer to a reading that began `age` ago.
    pub(crate) fn read(position: Position, age: Duration) -> Self {
        Self::of_source(Channel::Read, position, age)
    }

    /// The source's answer to a watch that began `age` ago.
    pub(crate) fn watched(position: Position, age: Duration) -> Self {
        Self::of_source(Channel::Watch, position, age)
    }

    /// Changes that the daemon at `from` passed on.
    pub(crate) fn relayed(from: IpAddr, position: Position) -> Self {
        Self {
            channel: Channel::Relay,
            from: from.to_string(),
            position,
            age: None,
        }
    }

    /// Changes that the daemon at `from` told of when it was asked.
    pub(crate) fn answered(from: IpAddr, known: &Confirmation) -> Self {
        Self {
            channel: Channel::Answer,
            from: from.to_string(),
            position: known.upstreams_position,
            age: Some(known.age()),
        }
    }

    /// What `from` had in force.
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
