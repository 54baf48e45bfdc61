//! Progress of an answer or segment, and its readers.
//!
//! The text of an answer is a function of its prompt, so an output stores only
//! the number of tokens produced. A slow reader needs no buffer.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use crate::notify::Notify;

/// Id of a request, assigned by the daemon.
pub(crate) type RequestId = String;

/// Number of an attempt within a request.
pub(crate) type Attempt = u32;

/// Id of a stream, unique across engine incarnations.
pub(crate) type StreamId = String;

/// Reason for which an answer or segment ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// All of it was computed.
    Finished,
    /// It was cancelled, or had no reader for the resume window.
    Cancelled,
    /// Its deadline passed.
    Deadline,
    /// Its reservation was released or expired.
    ReservationGone,
}

impl End {
    /// Error code used in response bodies.
    pub(crate) fn code(self) -> &'static str {
        match self {
            Self::Finished => "finished",
            Self::Cancelled => "cancelled",
            Self::Deadline => "deadline",
            Self::ReservationGone => "reservation_gone",
        }
    }
}

/// Prompt digest and sizes of an answer, fixed when it is queued.
#[derive(Debug, Clone)]
pub(crate) struct AnswerPlan {
    pub(crate) digest: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) max_tokens: u32,
    /// Tokens of the whole answer.
    pub(crate) length_tokens: u32,
    /// Offset of the first token that this attempt produces.
    pub(crate) start_offset: u32,
}

/// Progress of one answer or segment, shared between the scheduler and the readers.
///
/// Invariant: `plan.start_offset <= produced <= plan.length_tokens`, and
/// neither `produced` nor `cached_tokens` changes once `end` is set.
#[derive(Debug)]
pub(crate) struct Output {
    pub(crate) id: StreamId,
    pub(crate) request: RequestId,
    pub(crate) attempt: Attempt,
    pub(crate) plan: AnswerPlan,
    /// Offset after the last token that was computed.
    pub(crate) produced: Cell<u32>,
    /// Prompt tokens found in the prefix cache.
    pub(crate) cached_tokens: Cell<u64>,
    pub(crate) end: Cell<Option<End>>,
    pub(crate) changed: Notify,
    readers: Cell<u32>,
    unread_since: Cell<Option<Instant>>,
}

impl Output {
    pub(crate) fn new(
        id: StreamId,
        request: RequestId,
        attempt: Attempt,
        plan: AnswerPlan,
    ) -> Self {
        let produced = Cell::new(plan.start_offset);
        Self {
            id,
            request,
            attempt,
            plan,
            produced,
            cached_tokens: Cell::new(0),
            end: Cell::new(None),
            changed: Notify::default(),
            readers: Cell::new(0),
            unread_since: Cell::new(None),
        }
    }

    /// Sets the end reason if none is set, and wakes the readers.
    pub(crate) fn finish(&self, end: End) {
        if self.end.get().is_none() {
            self.end.set(Some(end));
        }
        self.changed.notify();
    }

    /// Registers a reader until the guard is dropped.
    pub(crate) fn add_reader(self: &Rc<Self>) -> Reader {
        self.readers.set(self.readers.get() + 1);
        self.unread_since.set(None);
        Reader(Rc::clone(self))
    }

    /// Time at which the last reader disconnected, if there is none now.
    pub(crate) fn unread_since(&self) -> Option<Instant> {
        self.unread_since.get()
    }

    /// Waits until the output has ended and returns the reason.
    pub(crate) async fn wait_for_end(&self) -> End {
        loop {
            let seen = self.changed.generation();
            if let Some(end) = self.end.get() {
                return end;
            }
            self.changed.changed(seen).await;
        }
    }
}

/// Guard for one reader of an output.
#[derive(Debug)]
pub(crate) struct Reader(pub(crate) Rc<Output>);

impl Drop for Reader {
    fn drop(&mut self) {
        let readers = self.0.readers.get() - 1;
        self.0.readers.set(readers);
        if readers == 0 {
            self.0.unread_since.set(Some(Instant::now()));
        }
    }
}
