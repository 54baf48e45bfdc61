//! Decides which of the attempts at a stream is forwarded.
//!
//! Attempts at one request may run beside each other. The first of them that completes an event
//! after the last forwarded one is forwarded from then on, and the others are discarded, so the
//! caller gets each event once and in order, and pieces of two attempts are joined only at an
//! event's id. A stream is complete if the attempt that is forwarded ends between two events.

use bytes::Bytes;
use thiserror::Error;

use crate::dialect::EventId;
use crate::events::EventFramer;

/// Number of an attempt at a request, from 0.
pub type AttemptNumber = u32;

/// An attempt that can't be forwarded any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum StreamFault {
    /// An event exceeds the size limit.
    #[error("an endless event")]
    EndlessEvent,
    /// The stream ended in the middle of an event.
    #[error("ended within an event")]
    EndedWithinEvent,
    /// Another attempt is forwarded.
    #[error("another attempt is forwarded")]
    Discarded,
}

/// Where another attempt could take a stream up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumePoint {
    /// After this event; at the start of the stream if there is none.
    After(Option<EventId>),
    /// Nowhere: an event without an id was forwarded, which another attempt would repeat.
    None,
}

/// The attempts at one stream.
#[derive(Debug)]
pub struct StreamRace {
    running: Vec<(AttemptNumber, EventFramer)>,
    resume_point: ResumePoint,
}

impl StreamRace {
    /// A stream of which the caller has the events up to `after`, without attempts.
    #[must_use]
    pub fn new(after: Option<EventId>) -> Self {
        Self {
            running: Vec::new(),
            resume_point: ResumePoint::After(after),
        }
    }

    /// Where an attempt that begins now has to take the stream up.
    #[must_use]
    pub fn resume_point(&self) -> ResumePoint {
        self.resume_point
    }

    /// Adds an attempt that takes the stream up after the event `after`.
    pub fn begin(&mut self, attempt: AttemptNumber, after: Option<EventId>) {
        self.discard(attempt);
        self.running.push((attempt, EventFramer::after(after)));
    }

    /// Adds a chunk of an attempt; returns the events to forward.
    ///
    /// If there are any, all other attempts are discarded.
    ///
    /// # Errors
    /// [`StreamFault`] if the attempt can't be forwarded any further.
    pub fn push(&mut self, attempt: AttemptNumber, chunk: &[u8]) -> Result<Bytes, StreamFault> {
        let framer = self.framer(attempt)?;
        let framed = framer.push(chunk).ok_or(StreamFault::EndlessEvent)?;
        if framed.count == 0 {
            return Ok(Bytes::new());
        }
        self.resume_point = match framer.ends_with_id() {
            true => ResumePoint::After(framer.last_id()),
            false => ResumePoint::None,
        };
        self.running.retain(|(other, _)| *other == attempt);
        Ok(framed.bytes)
    }

    /// Ends the stream with that of an attempt, and discards all others.
    ///
    /// # Errors
    /// [`StreamFault`] if the attempt's stream is not complete.
    pub fn finish(&mut self, attempt: AttemptNumber) -> Result<(), StreamFault> {
        if self.framer(attempt)?.is_mid_event() {
            return Err(StreamFault::EndedWithinEvent);
        }
        self.running.retain(|(other, _)| *other == attempt);
        Ok(())
    }

    /// Removes an attempt that has failed.
    pub fn discard(&mut self, attempt: AttemptNumber) {
        self.running.retain(|(other, _)| *other != attempt);
    }

    fn framer(&mut self, attempt: AttemptNumber) -> Result<&mut EventFramer, StreamFault> {
        let mut running = self.running.iter_mut();
        let running = running.find(|(number, _)| *number == attempt);
        running
            .map(|(_, framer)| framer)
            .ok_or(StreamFault::Discarded)
    }
}
