//! Copies of the values in force, which daemons transfer to each other in parts.
//!
//! Each call to the source counts against the budget of the whole fleet, and every daemon
//! would have to fetch each new configuration; a daemon that the source rejects could not
//! fetch it at all. Daemons therefore fetch it from another one that has it. A part passes
//! through a slow link well within the timeout of a call, so that the size of a copy is not
//! limited by it and other messages do not queue behind a whole copy.

use std::cell::RefCell;
use std::collections::VecDeque;

use bytes::Bytes;
use mangofront_routes::{ConfigurationVersion, Upstream};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::datagram::UpstreamChange;
use crate::dialect::Position;

/// Largest part of a copy, in bytes.
const PART_BYTES: usize = 24 * 1024;

/// Largest copy that is assembled, in bytes.
const COPY_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Copies that are cached while other daemons may be fetching them; the oldest is dropped
/// first.
const CACHED_COPIES_LIMIT: usize = 4;

/// Identifies the content of a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CopyId {
    /// The configuration of this version.
    Configuration(ConfigurationVersion),
    /// All upstreams, and the evacuations of zones, as of this position.
    Upstreams(Position),
}

/// Content of a copy of all upstreams.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct UpstreamsCopy {
    /// The published registrations.
    pub(crate) upstreams: Vec<Upstream>,
    /// The last change of each zone.
    pub(crate) zones: Vec<UpstreamChange>,
}

/// Request for a part of a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CopyRequest {
    /// The first part of the configuration in force.
    Configuration,
    /// The first part of all upstreams.
    Upstreams,
    /// A further part of a copy.
    More {
        /// The copy that the first part belongs to.
        copy: CopyId,
        /// Number of bytes already received.
        from_byte: u32,
    },
}

/// A part of a copy.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CopyPart {
    pub(crate) copy: CopyId,
    /// Size of the whole copy.
    pub(crate) size_bytes: u32,
    /// Digest of the whole copy: after a restart its sender may encode the same values in
    /// another order.
    pub(crate) digest: u64,
    pub(crate) bytes: Vec<u8>,
}

/// What all parts of a copy have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct CopyHeader {
    copy: CopyId,
    size_bytes: u32,
    digest: u64,
}

/// A copy that is being assembled.
#[derive(Debug, Default)]
pub(crate) struct PartialCopy {
    header: Option<CopyHeader>,
    bytes: Vec<u8>,
}

/// The encoded copies that were requested last.
#[derive(Debug, Default)]
pub(crate) struct CopyCache(RefCell<VecDeque<CachedCopy>>);

/// An encoded copy.
#[derive(Debug)]
struct CachedCopy {
    copy: CopyId,
    digest: u64,
    bytes: Bytes,
}

impl CopyRequest {
    /// Encodes the request.
    pub(crate) fn encode(self) -> Bytes {
        // The value consists of numbers, which always serialise.
        Bytes::from(postcard::to_stdvec(&self).unwrap_or_default())
    }

    /// Decodes a request; `None` if the bytes are not one.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

impl CopyPart {
    /// Encodes the part.
    pub(crate) fn encode(&self) -> Bytes {
        // The value consists of numbers and bytes, which always serialise.
        Bytes::from(postcard::to_stdvec(self).unwrap_or_default())
    }

    /// Decodes a part; `None` if the bytes are not one.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

impl PartialCopy {
    /// The next request for a copy of `requested`; `None` once the copy is complete.
    pub(crate) fn next_request(&self, requested: CopyRequest) -> Option<CopyRequest> {
        let Some(header) = self.header else {
            return Some(requested);
        };
        let copy = header.copy;
        let from_byte = self.bytes.len() as u32;
        (from_byte < header.size_bytes).then_some(CopyRequest::More { copy, from_byte })
    }

    /// Adds a part; returns whether it belongs to the copy and extends it.
    pub(crate) fn add(&mut self, part: CopyPart) -> bool {
        let header = CopyHeader {
            copy: part.copy,
            size_bytes: part.size_bytes,
            digest: part.digest,
        };
        let is_of_another = self.header.is_some_and(|before| before != header);
        let size_bytes = part.size_bytes as usize;
        let is_too_long = self.bytes.len() + part.bytes.len() > size_bytes;
        if is_of_another || is_too_long || part.bytes.is_empty() || size_bytes > COPY_LIMIT_BYTES {
            return false;
        }
        self.header = Some(header);
        self.bytes.extend_from_slice(&part.bytes);
        true
    }

    /// Decodes the whole copy; `None` if that fails.
    pub(crate) fn decode<T: DeserializeOwned>(&self) -> Option<T> {
        postcard::from_bytes(&self.bytes).ok()
    }

    /// Identifies the content of the copy, once a part was added.
    pub(crate) fn copy(&self) -> Option<CopyId> {
        self.header.map(|header| header.copy)
    }
}

impl CopyCache {
    /// The first part of `copy`, which is created by `encode` unless it is cached.
    pub(crate) fn first_part(&self, copy: CopyId, encode: impl FnOnce() -> Vec<u8>) -> CopyPart {
        if let Some(part) = self.part_at(copy, 0) {
            return part;
        }
        let bytes = Bytes::from(encode());
        let digest = xxh3_64(&bytes);
        let cached = CachedCopy {
            copy,
            digest,
            bytes,
        };
        let part = cached.part(0);
        let mut copies = self.0.borrow_mut();
        copies.push_back(cached);
        if copies.len() > CACHED_COPIES_LIMIT {
            copies.pop_front();
        }
        part
    }

    /// The part of `copy` that begins at a byte, if the copy is cached.
    pub(crate) fn part_at(&self, copy: CopyId, from_byte: u32) -> Option<CopyPart> {
        let copies = self.0.borrow();
        let cached = copies.iter().find(|cached| cached.copy == copy)?;
        Some(cached.part(from_byte as usize))
    }
}

impl CachedCopy {
    fn part(&self, from_byte: usize) -> CopyPart {
        let from_byte = from_byte.min(self.bytes.len());
        let end = (from_byte + PART_BYTES).min(self.bytes.len());
        CopyPart {
            copy: self.copy,
            size_bytes: self.bytes.len() as u32,
            digest: self.digest,
            bytes: self.bytes[from_byte..end].to_vec(),
        }
    }
}
