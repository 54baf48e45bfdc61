//! Submission and cancellation of answers and segments.

use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_prompt::Prompt;

use super::output::{AnswerPlan, Attempt, Output, Reader, RequestId, StreamId};
use super::refusal::Refusal;
use super::sequence::{Kind, Memory, Rank, ReservationId, Sequence};
use super::state::{Engine, State};
use crate::answer::length_tokens;

/// Parsed headers of a completion request.
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
    /// Part of the prompt that precedes the segment, computed by other engines,
    /// in tokens.
    #[serde(default)]
    offset_tokens: u64,
    priority: u8,
}

impl Engine {
    /// Queues an answer and returns its reader.
    pub(crate) fn submit(&self, head: RequestHead, prompt: Prompt) -> Result<Reader, Refusal> {
        let mut state = self.state.borrow_mut();
        state.check_answer(&head, &prompt.model)?;
        let plan = plan_answer(&prompt, head.resume_offset)?;
        let share_tokens = self.allocate_share(&mut state, &head, &plan)?;
        let (rank, id) = self.next_rank(&mut state, head.priority);
        let key = (head.request.clone(), head.attempt);
        let output = Rc::new(Output::new(id.clone(), head.request, head.attempt, plan));
        let mut sequence = Sequence::new(Kind::Answer, rank, share_tokens, Rc::clone(&output));
        match head.reservation {
            Some(reservation) => sequence.memory = Memory::Reservation(reservation),
            None => sequence.blocks = prompt.blocks.into(),
        }
        sequence.context_tokens = prompt.length_tokens.saturating_sub(share_tokens);
        let deadline = head.deadline;
        sequence.deadline = deadline.and_then(|remaining| Instant::now().checked_add(remaining));
        state.batch.waiting.insert(rank, sequence);
        state.streams.insert(id.clone(), Rc::clone(&output));
        state.attempts.insert(key, id);
        state.counters.started += 1;
        drop(state);
        self.after_change();
        self.work.notify();
        Ok(output.add_reader())
    }

    fn next_rank(&self, state: &mut State, priority: u8) -> (Rank, StreamId) {
        let arrival = state.next_arrival();
        let rank = Rank { priority, arrival };
        (rank, format!("{:x}-{arrival:x}", self.incarnation))
    }

    /// Determines the tokens that this engine prefills for an answer, and takes
    /// them from its reservation if it has one.
    fn allocate_share(
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
        // Segments, computed here or by other engines of the group, are not
        // computed again; this engine prefills as much of the rest as fits.
        let room_tokens = reservation.free_tokens();
        let answer_tokens = u64::from(plan.max_tokens);
        if answer_tokens >= room_tokens {
            let wanted_tokens = answer_tokens + 1;
            return Err(Refusal::NoMemory {
                wanted_tokens,
                room_tokens,
            });
        }
        let remaining_tokens = plan
            .prompt_tokens
            .saturating_sub(reservation.computed_tokens);
        let share_tokens = remaining_tokens.clamp(1, room_tokens - answer_tokens);
        reservation.held_tokens += share_tokens + answer_tokens;
        Ok(share_tokens)
    }

    /// Queues a segment of a long prompt and returns its reader.
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
        let plan = AnswerPlan {
            digest: 0,
            prompt_tokens: request.tokens,
            max_tokens: 0,
            length_tokens: 0,
            start_offset: 0,
        };
        let (rank, id) = self.next_rank(&mut state, request.priority);
        let output = Rc::new(Output::new(id, request.request, request.attempt, plan));
        let mut sequence = Sequence::new(Kind::Segment, rank, request.tokens, Rc::clone(&output));
        sequence.memory = Memory::Reservation(request.reservation);
        sequence.context_tokens = request.offset_tokens;
        state.batch.waiting.insert(rank, sequence);
        drop(state);
        self.after_change();
        self.work.notify();
        Ok(output.add_reader())
    }

    /// Cancels an attempt, including one that has not arrived yet.
    pub(crate) fn cancel(&self, request: &str, attempt: Attempt) {
        self.state
            .borrow_mut()
            .cancel(request, attempt, Instant::now());
        self.after_change();
        self.work.notify();
    }
}

fn plan_answer(prompt: &Prompt, start_offset: u32) -> Result<AnswerPlan, Refusal> {
    let length_tokens = length_tokens(prompt.digest, prompt.max_tokens);
    if start_offset >= length_tokens {
        let message = format!("the answer ends before offset {start_offset}");
        return Err(Refusal::Malformed(message));
    }
    Ok(AnswerPlan {
        digest: prompt.digest,
        prompt_tokens: prompt.length_tokens,
        max_tokens: prompt.max_tokens,
        length_tokens,
        start_offset,
    })
}

impl State {
    fn check_answer(&self, head: &RequestHead, model: &str) -> Result<(), Refusal> {
        self.check_accepting()?;
        if !self.orders.serves(model) {
            return Err(Refusal::UnknownModel(model.to_owned()));
        }
        let key = (head.request.clone(), head.attempt);
        if self.attempts.contains_key(&key) {
            return Err(Refusal::Duplicate);
        }
        self.check_tombstone(&head.request, head.attempt)
    }

    pub(crate) fn check_accepting(&self) -> Result<(), Refusal> {
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
