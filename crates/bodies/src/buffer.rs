//! A growing buffer whose memory goes back to the system as soon as it is dropped.
//!
//! Large blocks of the general allocator may stay with the process after they were freed, so a
//! large buffer is a private mapping of its own.

use std::io;

use memmap2::MmapMut;

/// Largest buffer on the heap, in bytes.
pub(crate) const HEAP_LIMIT_BYTES: usize = 64 * 1024;

/// Capacity of the first allocation of a body whose length isn't known, in bytes.
const FIRST_CAPACITY_BYTES: usize = 1024;

/// Unit in which the system provides memory for mappings, in bytes.
const PAGE_BYTES: usize = 4096;

/// Bytes read so far.
#[derive(Debug)]
pub struct Buffer(Storage);

#[derive(Debug)]
enum Storage {
    Heap(Vec<u8>),
    Mapped { map: MmapMut, length: usize },
}

impl Default for Buffer {
    fn default() -> Self {
        Self(Storage::Heap(Vec::new()))
    }
}

impl Buffer {
    /// Buffer with room for `capacity` bytes.
    pub(crate) fn with_capacity(capacity: usize) -> io::Result<Self> {
        match capacity <= HEAP_LIMIT_BYTES {
            true => Ok(Self(Storage::Heap(Vec::with_capacity(capacity)))),
            false => {
                let map = MmapMut::map_anon(capacity)?;
                Ok(Self(Storage::Mapped { map, length: 0 }))
            }
        }
    }

    /// Number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        match &self.0 {
            Storage::Heap(bytes) => bytes.len(),
            Storage::Mapped { length, .. } => *length,
        }
    }

    /// Whether there are no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Memory that the buffer may take, in bytes.
    #[must_use]
    pub fn capacity(&self) -> usize {
        match &self.0 {
            Storage::Heap(bytes) => bytes.capacity(),
            Storage::Mapped { map, .. } => map.len(),
        }
    }

    /// Capacity to which to grow for `length` bytes of a body of up to `limit`.
    pub(crate) fn next_capacity(&self, length: usize, limit: usize) -> usize {
        let doubled = (self.capacity() * 2).max(FIRST_CAPACITY_BYTES);
        doubled.min(limit).max(length)
    }

    /// Grows to `capacity`.
    pub(crate) fn grow(&mut self, capacity: usize) -> io::Result<()> {
        let mut grown = Self::with_capacity(capacity)?;
        grown.push(self.as_ref());
        *self = grown;
        Ok(())
    }

    /// Appends `bytes`, for which there must be room.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        match &mut self.0 {
            Storage::Heap(heap) => heap.extend_from_slice(bytes),
            Storage::Mapped { map, length } => {
                let end = *length + bytes.len();
                map[*length..end].copy_from_slice(bytes);
                *length = end;
            }
        }
    }

    /// Appends `bytes`, and grows for them if need be.
    ///
    /// # Errors
    /// If the system provides no memory.
    pub fn extend(&mut self, bytes: &[u8]) -> io::Result<()> {
        let length = self.len() + bytes.len();
        if length > self.capacity() {
            self.grow(self.next_capacity(length, usize::MAX))?;
        }
        self.push(bytes);
        Ok(())
    }

    /// Removes the first `count` bytes, and returns memory that is no longer needed.
    pub fn remove_first(&mut self, count: usize) {
        let rest = &self.as_ref()[count..];
        let is_oversized = self.capacity() > HEAP_LIMIT_BYTES / 4;
        if rest.len() <= HEAP_LIMIT_BYTES && is_oversized {
            *self = Self(Storage::Heap(rest.to_vec()));
            return;
        }
        match &mut self.0 {
            Storage::Heap(bytes) => drop(bytes.drain(..count)),
            Storage::Mapped { map, length } => {
                map.copy_within(count..*length, 0);
                *length -= count;
            }
        }
    }

    /// Releases what was not used; returns the memory that is, in bytes.
    pub(crate) fn shrink(&mut self) -> usize {
        match &mut self.0 {
            Storage::Heap(bytes) => {
                bytes.shrink_to_fit();
                bytes.capacity()
            }
            // Pages that were never written take no memory.
            Storage::Mapped { map, length } => length.next_multiple_of(PAGE_BYTES).min(map.len()),
        }
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        match &self.0 {
            Storage::Heap(bytes) => bytes,
            Storage::Mapped { map, length } => &map[..*length],
        }
    }
}
