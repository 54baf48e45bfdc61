//! Taking in answers, segments and reservations, or refusing them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::StatusCode;
use mangofront_http::Outcome;
use mangofront_prompt::Prompt;
use thiserror::Error;

use super::output::{AnswerPlan, Attempt, Output, Reader, RequestId};
use super::sequence::{Kind, Memory, Rank, ReservationId, Sequence};
use super::state::{Engine, State};
use crate::answer::length_tokens;

/// What the headers of a request say.
#[derive(Debug)]
pub(crate) struct RequestHead {
    pub(crate) request: RequestId,
    pub(crate) attempt: Attempt,
    pub(crate) priority: u8,
    pub(crate) deadline: Option<Duration>,
    pub(crate) resume_offset: u32,
    pub(crate) reservation: Option<ReservationId>,
}

/// Body of `POST /v1/segments`.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SegmentRequest {
    reservation: ReservationId,
    request: RequestId,
    attempt: Attempt,
    tokens: u64,
    priority: u8,
}

/// Reason to refuse work.
#[derive(Debug, Error)]
pub(crate) enum Refusal {
    #[error("{0}")]
    Malformed(String),
    #[error("no model or adapter {0} is loaded")]
    UnknownModel(String),
    #[error("reservation {0} is unknown or expired")]
    UnknownReservation(ReservationId),
    #[error("{wanted_tokens} tokens can never fit into {room_tokens}")]
    NoMemory {
        wanted_tokens: u64,
        room_tokens: u64,
    },
    #[error("attempt was cancelled before it arrived")]
    Cancelled,
    #[error("attempt was already received")]
    Duplicate,
    #[error("{0} requests wait already")]
    Busy(usize),
    #[error("engine takes no new work")]
    Leaving,
    #[error("engine loads a model")]
    Loading,
}

impl Refusal {
    /// Status and stable code.
    pub(crate) fn status_and_code(&self) -> (StatusCode, &'static str) {
        match self {
            Self::Malformed(_) => (StatusCode::BAD_REQUEST, "malformed"),
            Self::UnknownModel(_) => (StatusCode::NOT_FOUND, "unknown_model"),
            Self::UnknownReservation(_) => (StatusCode::NOT_FOUND, "unknown_reservation"),
            Self::NoMemory { .. } => (StatusCode::CONFLICT, "no_memory"),
            Self::Cancelled => (StatusCode::CONFLICT, "cancelled"),
            Self::Duplicate => (StatusCode::CONFLICT, "duplicate"),
            Self::Busy(_) => (StatusCode::TOO_MANY_REQUESTS, "busy"),
            Self::Leaving => (StatusCode::SERVICE_UNAVAILABLE, "leaving"),
            Self::Loading => (StatusCode::SERVICE_UNAVAILABLE, "loading"),
        }
    }

    /// What is known of the work: an attempt that came twice may have run.
    pub(crate) fn outcome(&self) -> Outcome {
        match self {
            Self::Duplicate => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }
}

impl Engine {
    /// Queues an answer; the reader it is for.
    pub(crate) fn submit(&self, head: RequestHead, prompt: Prompt) -> Result<Reader, Refusal> {
        let mut state = self.state.borrow_mut();
        state.check_open()?;
        if !state.orders.serves(&prompt.model) {
            return Err(Refusal::UnknownModel(prompt.model));
        }
        let key = (head.request.clone(), head.attempt);
        if state.attempts.contains_key(&key) {
            return Err(Refusal::Duplicate);
        }
        state.check_tombstone(&key.0, key.1)?;
        let plan = AnswerPlan {
            digest: prompt.digest,
            prompt_tokens: prompt.length_tokens,
            max_tokens: prompt.max_tokens,
            length_tokens: length_tokens(prompt.digest, prompt.max_tokens),
            start_offset: head.resume_offset,
        };
        if plan.start_offset >= plan.length_tokens {
            let message = format!("the answer ends before offset {}", plan.start_offset);
            return Err(Refusal::Malformed(message));
        }
        let share_tokens = self.take_share(&mut state, &head, &plan)?;
        let arrival = state.arrival();
        let id = format!("{:x}-{arrival:x}", self.incarnation);
        let output = Rc::new(Output::new(id.clone(), key.0.clone(), key.1, plan));
        let rank = Rank {
            priority: head.priority,
            arrival,
        };
        let sequence = Sequence {
            rank,
            kind: Kind::Answer,
            blocks: match head.reservation {
                Some(_) => Rc::default(),
                None => prompt.blocks.into(),
            },
            memory: head.reservation.map_or(Memory::Pool, Memory::Reservation),
            share_tokens,
            context_tokens: prompt.length_tokens.saturating_sub(share_tokens),
            prefilled_tokens: 0,
            private_tokens: 0,
            pinned_blocks: 0,
            deadline: head
                .deadline
                .and_then(|left| Instant::now().checked_add(left)),
            output: Rc::clone(&output),
        };
        state.batch.waiting.insert(rank, sequence);
        state.streams.insert(id.clone(), Rc::clone(&output));
        state.attempts.insert(key, id);
        state.counters.started += 1;
        drop(state);
        self.after_change();
        self.work.notify();
        Ok(output.reader())
    }

    /// Prefill that this engine does for an answer, with its memory checked.
    fn take_share(
        &self,
        state: &mut State,
        head: &RequestHead,
        plan: &AnswerPlan,
    ) -> Result<u64, Refusal> {
        let Some(id) = &head.reservation else {
            let wanted_tokens = plan.prompt_tokens + u64::from(plan.max_tokens);
            let room_tokens = state.batch.memory.total_tokens();
            if wanted_tokens > room_tokens {
                return Err(Refusal::NoMemory {
                    wanted_tokens,
                    room_tokens,
                });
            }
            if state.batch.waiting.len() >= self.settings.max_waiting {
                return Err(Refusal::Busy(state.batch.waiting.len()));
            }
            return Ok(plan.prompt_tokens);
        };
        let Some(reservation) = state.reservations.get_mut(id) else {
            return Err(Refusal::UnknownReservation(id.clone()));
        };
        // What segments computed, here or on the group's other engines, is
        // not computed again; this engine does the rest that fits.
        let room_tokens = reservation.free_tokens();
        let answer_tokens = u64::from(plan.max_tokens);
        if answer_tokens >= room_tokens {
            let wanted_tokens = answer_tokens + 1;
            return Err(Refusal::NoMemory {
                wanted_tokens,
                room_tokens,
            });
        }
        let left_tokens = plan
            .prompt_tokens
            .saturating_sub(reservation.computed_tokens);
        let share_tokens = left_tokens.clamp(1, room_tokens - answer_tokens);
        reservation.held_tokens += share_tokens + answer_tokens;
        Ok(share_tokens)
    }

    /// Queues a segment of a long prompt's prefill; the reader that waits.
    pub(crate) fn submit_segment(&self, request: SegmentRequest) -> Result<Reader, Refusal> {
        let mut state = self.state.borrow_mut();
        state.check_tombstone(&request.request, request.attempt)?;
        if request.tokens == 0 {
            return Err(Refusal::Malformed(
                "a segment has at least 1 token".to_owned(),
            ));
        }
        let Some(reservation) = state.reservations.get_mut(&request.reservation) else {
            return Err(Refusal::UnknownReservation(request.reservation));
        };
        let room_tokens = reservation.free_tokens();
        if request.tokens > room_tokens {
            let wanted_tokens = request.tokens;
            return Err(Refusal::NoMemory {
                wanted_tokens,
                room_tokens,
            });
        }
        reservation.held_tokens += request.tokens;
        let arrival = state.arrival();
        let plan = AnswerPlan {
            digest: 0,
            prompt_tokens: request.tokens,
            max_tokens: 0,
            length_tokens: 0,
            start_offset: 0,
        };
        let id = format!("{:x}-{arrival:x}", self.incarnation);
        let output = Rc::new(Output::new(id, request.request, request.attempt, plan));
        let rank = Rank {
            priority: request.priority,
            arrival,
        };
        let sequence = Sequence {
            rank,
            kind: Kind::Segment,
            memory: Memory::Reservation(request.reservation),
            blocks: Rc::default(),
            share_tokens: request.tokens,
            context_tokens: 0,
            prefilled_tokens: 0,
            private_tokens: 0,
            pinned_blocks: 0,
            deadline: None,
            output: Rc::clone(&output),
        };
        state.batch.waiting.insert(rank, sequence);
        drop(state);
        self.after_change();
        self.work.notify();
        Ok(output.reader())
    }

    /// Makes a reservation, or renews the one of that id.
    pub(crate) fn reserve(
        &self,
        id: ReservationId,
        tokens: u64,
        lease: Duration,
    ) -> Result<(), Refusal> {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        state.check_open()?;
        if state.reservations.is_buried(&id) {
            return Err(Refusal::Cancelled);
        }
        if let Some(reservation) = state.reservations.get_mut(&id) {
            if reservation.tokens != tokens {
                return Err(Refusal::Duplicate);
            }
            state.reservations.renew(&id, lease, now);
            return Ok(());
        }
        if !state.batch.memory.reserve(tokens) {
            return Err(Refusal::NoMemory {
                wanted_tokens: tokens,
                room_tokens: state.batch.memory.available_tokens(),
            });
        }
        state.reservations.insert(id, tokens, lease, now);
        drop(state);
        self.after_change();
        Ok(())
    }

    /// Releases a reservation, also one that arrives later.
    pub(crate) fn release(&self, id: &str) {
        let mut state = self.state.borrow_mut();
        state.reservations.bury(id, Instant::now());
        state.drop_reservation(id);
        drop(state);
        self.after_change();
        self.work.notify();
    }

    /// Cancels an attempt, also one that arrives later.
    pub(crate) fn cancel(&self, request: &str, attempt: Attempt) {
        self.state
            .borrow_mut()
            .cancel(request, attempt, Instant::now());
        self.after_change();
        self.work.notify();
    }
}

impl State {
    fn check_open(&self) -> Result<(), Refusal> {
        if self.switches.leaving {
            return Err(Refusal::Leaving);
        }
        if self.orders.is_loading() {
            return Err(Refusal::Loading);
        }
        Ok(())
    }

    fn check_tombstone(&self, request: &str, attempt: Attempt) -> Result<(), Refusal> {
        let key = (request.to_owned(), attempt);
        match self.tombstones.get(&key) {
            Some(tombstone) if tombstone.had_arrived => Err(Refusal::Duplicate),
            Some(_) => Err(Refusal::Cancelled),
            None => Ok(()),
        }
    }
}
