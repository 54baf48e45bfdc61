//! Copies of what is in force, which daemons hand to each other in parts.
//!
//! A call to the source is counted against the budget of the whole fleet, and each
//! new configuration would be fetched by every daemon; one that the source turns away
//! could not fetch it at all. So daemons fetch it from one that has it. A part fits
//! through a narrow link well within the time of a call, so that a copy is as large as
//! it has to be, and what is said meanwhile does not wait behind it.

use std::cell::RefCell;
use std::collections::VecDeque;

use bytes::Bytes;
use mangofront_routes::ConfigurationVersion;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::dialect::Position;

/// Largest part of a copy, in bytes.
const PART_BYTES: usize = 24 * 1024;

/// Largest copy that is put together, in bytes; a larger one is no copy.
const COPY_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Copies that are kept while others may be fetching them; the oldest goes first.
const KEPT_COPIES: usize = 4;

/// What a copy is of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CopyOf {
    /// The configuration of this version.
    Configuration(ConfigurationVersion),
    /// All upstreams as of this position.
    Upstreams(Position),
}

/// What a daemon asks a copy of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Wanted {
    /// The configuration in force.
    Configuration,
    /// All upstreams.
    Upstreams,
    /// More of a copy.
    More {
        /// Copy that was begun.
        copy: CopyOf,
        /// Bytes that the asker has.
        from_byte: u32,
    },
}

/// A part of a copy.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CopyPart {
    pub(crate) copy: CopyOf,
    /// Size of the whole copy.
    pub(crate) size_bytes: u32,
    /// Digest of the whole copy: another life of its maker may write it in another order.
    pub(crate) digest: u64,
    pub(crate) bytes: Vec<u8>,
}

/// Which copy the parts are of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Begun {
    copy: CopyOf,
    size_bytes: u32,
    digest: u64,
}

/// A copy that is put together.
#[derive(Debug, Default)]
pub(crate) struct PartialCopy {
    begun: Option<Begun>,
    bytes: Vec<u8>,
}

/// Copies that were handed out last, as bytes.
#[derive(Debug, Default)]
pub(crate) struct HandedOut(RefCell<VecDeque<Written>>);

/// A copy as bytes.
#[derive(Debug)]
struct Written {
    copy: CopyOf,
    digest: u64,
    bytes: Bytes,
}

impl Wanted {
    /// The request as bytes.
    pub(crate) fn write(self) -> Bytes {
        // Numbers, so writing can't fail.
        Bytes::from(postcard::to_stdvec(&self).unwrap_or_default())
    }

    /// The request that these bytes are, if they are one.
    pub(crate) fn read(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

impl CopyPart {
    /// The part as bytes.
    pub(crate) fn write(&self) -> Bytes {
        // Numbers and bytes, so writing can't fail.
        Bytes::from(postcard::to_stdvec(self).unwrap_or_default())
    }

    /// The part that these bytes are, if they are one.
    pub(crate) fn read(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

impl PartialCopy {
    /// What to ask for next of a copy of `wanted`; nothing when it is whole.
    pub(crate) fn missing(&self, wanted: Wanted) -> Option<Wanted> {
        let Some(begun) = self.begun else {
            return Some(wanted);
        };
        let copy = begun.copy;
        let from_byte = self.bytes.len() as u32;
        (from_byte < begun.size_bytes).then_some(Wanted::More { copy, from_byte })
    }

    /// Adds a part; whether it belongs to the copy and brings it on.
    pub(crate) fn add(&mut self, part: CopyPart) -> bool {
        let begun = Begun {
            copy: part.copy,
            size_bytes: part.size_bytes,
            digest: part.digest,
        };
        let is_of_another = self.begun.is_some_and(|before| before != begun);
        let size_bytes = part.size_bytes as usize;
        let is_too_long = self.bytes.len() + part.bytes.len() > size_bytes;
        if is_of_another || is_too_long || part.bytes.is_empty() || size_bytes > COPY_LIMIT_BYTES {
            return false;
        }
        self.begun = Some(begun);
        self.bytes.extend_from_slice(&part.bytes);
        true
    }

    /// The whole copy, if it can be read.
    pub(crate) fn read<T: DeserializeOwned>(&self) -> Option<T> {
        postcard::from_bytes(&self.bytes).ok()
    }

    /// What it is a copy of.
    pub(crate) fn copy(&self) -> Option<CopyOf> {
        self.begun.map(|begun| begun.copy)
    }
}

impl HandedOut {
    /// The first part of `copy`, which `write` makes unless it was handed out before.
    pub(crate) fn first_part(&self, copy: CopyOf, write: impl FnOnce() -> Vec<u8>) -> CopyPart {
        if let Some(part) = self.more(copy, 0) {
            return part;
        }
        let bytes = Bytes::from(write());
        let digest = xxh3_64(&bytes);
        let written = Written {
            copy,
            digest,
            bytes,
        };
        let part = written.part(0);
        let mut copies = self.0.borrow_mut();
        copies.push_back(written);
        if copies.len() > KEPT_COPIES {
            copies.pop_front();
        }
        part
    }

    /// The part of `copy` that begins at a byte, if that copy is still at hand.
    pub(crate) fn more(&self, copy: CopyOf, from_byte: u32) -> Option<CopyPart> {
        let copies = self.0.borrow();
        let written = copies.iter().find(|written| written.copy == copy)?;
        Some(written.part(from_byte as usize))
    }
}

impl Written {
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
