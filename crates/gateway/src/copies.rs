//! Copies of what is in force, which daemons of a zone hand to each other.
//!
//! A call to the source is counted against the budget of the whole fleet, and each
//! new configuration would be fetched by every daemon. So daemons fetch it from one
//! of their zone that watches. A copy is as good as what it was made from: it says
//! how far its maker knows what is published, and how long ago that was current.

use bytes::Bytes;
use mangofront_routes::{ConfigurationVersion, RouteTable, Upstream};
use serde::{Deserialize, Serialize};

use crate::datagram::Confirmation;
use crate::dialect::Position;

/// Largest copy that is handed out, in bytes.
///
/// Two watchers of a zone with forty daemons and links of 20 Mbit/s hand out twenty
/// such copies each in half a second; a larger one is sooner read at the source.
const COPY_LIMIT_BYTES: usize = 64 * 1024;

/// Asks for a copy of what the asker does not have.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CopyRequest {
    /// Configuration that the asker has in force.
    pub(crate) version: Option<ConfigurationVersion>,
    /// Position up to which it knows the upstreams.
    pub(crate) after: Option<Position>,
}

/// What is in force at one daemon.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct PublishedCopy {
    /// How far its maker knows what is published.
    pub(crate) known: Confirmation,
    /// The configuration, if it is another than the asker's.
    pub(crate) table: Option<RouteTable>,
    /// All upstreams, if any has changed since the asker's position.
    pub(crate) upstreams: Option<Vec<Upstream>>,
}

impl CopyRequest {
    /// The request as bytes.
    pub(crate) fn write(&self) -> Bytes {
        // Two numbers, so writing can't fail.
        Bytes::from(postcard::to_stdvec(self).unwrap_or_default())
    }

    /// The request that these bytes are, if they are one.
    pub(crate) fn read(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

impl PublishedCopy {
    /// The copy as bytes; none if it is too large to be handed out.
    pub(crate) fn write(&self) -> Bytes {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        match bytes.len() {
            0..=COPY_LIMIT_BYTES => Bytes::from(bytes),
            _ => Bytes::new(),
        }
    }

    /// The copy that these bytes are, if they are one.
    pub(crate) fn read(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
