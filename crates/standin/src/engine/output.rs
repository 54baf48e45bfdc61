//! What one piece of work has yielded so far, and who reads it.
//!
//! The text of an answer follows from its prompt, so an output stores only how
//! far it has come. However slowly it is read, it takes the same few bytes.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use crate::notify::Notify;

/// Id of a request, given by the daemon.
pub(crate) type RequestId = String;

/// Number of an attempt within a request.
pub(crate) type Attempt = u32;

/// Id of a stream, unique over the lives of all engines.
pub(crate) type StreamId = String;

/// How a piece of work ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// Everything was computed.
    Finished,
    /// Somebody cancelled it, or nobody read it.
    Cancelled,
    /// Its deadline passed.
    Deadline,
    /// The reservation it computed under ran out.
    ReservationGone,
}

impl End {
    /// Stable code for the error body.
    pub(crate) fn code(self) -> &'static str {
        match self {
            Self::Finished => "finished",
            Self::Cancelled => "cancelled",
            Self::Deadline => "deadline",
            Self::ReservationGone => "reservation_gone",
        }
    }
}

/// Names and sizes of an answer, fixed when it is queued.
#[derive(Debug, Clone)]
pub(crate) struct AnswerPlan {
    pub(crate) digest: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) max_tokens: u32,
    /// Tokens of the whole answer.
    pub(crate) length_tokens: u32,
    /// First token that this attempt yields.
    pub(crate) start_offset: u32,
}

/// Progress of one answer or segment, shared by the scheduler and its readers.
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
    /// Prompt tokens that the prefix cache spared.
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

    /// Sets the end unless there is one, and wakes the readers.
    pub(crate) fn finish(&self, end: End) {
        if self.end.get().is_none() {
            self.end.set(Some(end));
        }
        self.changed.notify();
    }

    /// Counts a reader until the guard is dropped.
    pub(crate) fn reader(self: &Rc<Self>) -> Reader {
        self.readers.set(self.readers.get() + 1);
        self.unread_since.set(None);
        Reader(Rc::clone(self))
    }

    /// When the last reader went away, if none is there.
    pub(crate) fn unread_since(&self) -> Option<Instant> {
        self.unread_since.get()
    }

    /// Waits for the end.
    pub(crate) async fn ended(&self) -> End {
        loop {
            let seen = self.changed.generation();
            if let Some(end) = self.end.get() {
                return end;
            }
            self.changed.changed(seen).await;
        }
    }
}

/// One reader of an output.
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
