//! Decides which of the attempts at a stream is forwarded.
//!
//! Attempts at one request may run beside each other. The first of them that completes an event
//! after the last forwarded one is forwarded from then on, and the others are discarded, so the
//! caller gets each event once and in order, and pieces of two attempts are joined only at an
//! event's id. A stream is complete if the attempt that is forwarded ends between two events.

use std::cmp::Ordering;

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
    /// The stream ended before the last forwarded event.
    #[error("ended before the last forwarded event")]
    EndedEarly,
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
    ///
    /// Events that were forwarded since its request was sent are dropped. If one of them had no
    /// id and none followed it, the attempt is discarded.
    pub fn begin(&mut self, attempt: AttemptNumber, after: Option<EventId>) {
        self.discard(attempt);
        let ResumePoint::After(last_id) = self.resume_point else {
            return;
        };
        let framer = match after.cmp(&last_id) {
            Ordering::Less => EventFramer::before(last_id),
            Ordering::Equal => EventFramer::after(last_id),
            // Events would be missing.
            Ordering::Greater => return,
        };
        self.running.push((attempt, framer));
    }

    /// Adds a chunk of an attempt; returns the events to forward.
    ///
    /// If there are any, all other attempts are discarded. Comments discard none, and are
    /// forwarded only while no other attempt runs.
    ///
    /// # Errors
    /// [`StreamFault`] if the attempt can't be forwarded any further.
    pub fn push(&mut self, attempt: AttemptNumber, chunk: &[u8]) -> Result<Bytes, StreamFault> {
        let is_alone = self.running.len() == 1;
        let framer = self.framer(attempt)?;
        let Some(framed) = framer.push(chunk) else {
            self.discard(attempt);
            return Err(StreamFault::EndlessEvent);
        };
        if framed.count == framed.comments {
            return Ok(if is_alone { framed.bytes } else { Bytes::new() });
        }
        self.resume_point = match framer.ends_with_id() {
            true => ResumePoint::After(framer.last_id()),
            false => ResumePoint::None,
        };
        self.running.retain(|(other, _)| *other == attempt);
        Ok(framed.bytes)
    }

    /// Memory that an attempt's incomplete event takes, in bytes.
    #[must_use]
    pub fn pending_bytes(&self, attempt: AttemptNumber) -> usize {
        let mut running = self.running.iter();
        let running = running.find(|(number, _)| *number == attempt);
        running.map_or(0, |(_, framer)| framer.pending_bytes())
    }

    /// Ends the stream with that of an attempt, and discards all others.
    ///
    /// # Errors
    /// [`StreamFault`] if the attempt's stream is not complete.
    pub fn finish(&mut self, attempt: AttemptNumber) -> Result<(), StreamFault> {
        let framer = self.framer(attempt)?;
        let fault = match (framer.is_mid_event(), framer.is_repeating()) {
            (true, _) => Some(StreamFault::EndedWithinEvent),
            (false, true) => Some(StreamFault::EndedEarly),
            (false, false) => None,
        };
        if let Some(fault) = fault {
            self.discard(attempt);
            return Err(fault);
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
