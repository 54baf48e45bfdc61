//! What the handles share.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use mangofront_placement::Estimate;
use mangofront_settings::ids::ClassName;
use mangofront_settings::published::Class;

use crate::backoff::Jitter;
use crate::entered::{Admitted, Entered, Queued};
use crate::lane::{Lane, LaneKey, LengthLane};
use crate::queue::{Verdict, Waiter, WaiterId};
use crate::request::{AdmissionRequest, Refusal, RefusalReason};

/// Time to come back when nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Least cost of a request in its organisation's share, in tokens.
const MIN_COST_TOKENS: u64 = 512;

/// State behind an [`Admission`](crate::Admission).
///
/// Invariant: a request is in one of four places: in its lane's queue, granted
/// a place that it has not taken up, holding a permit, or gone. Only the second
/// and third count as outstanding.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) classes: BTreeMap<ClassName, Class>,
    pub(crate) closed: Option<Duration>,
    pub(crate) lanes: BTreeMap<LaneKey, Lane>,
    pub(crate) admitted: u64,
    pub(crate) refused: BTreeMap<RefusalReason, u64>,
    queue_limit: usize,
    next_id: WaiterId,
    jitter: Jitter,
}

impl State {
    pub(crate) fn new(queue_limit: usize) -> Self {
        Self {
            classes: BTreeMap::new(),
            closed: None,
            lanes: BTreeMap::new(),
            admitted: 0,
            refused: BTreeMap::new(),
            queue_limit,
            next_id: 0,
            jitter: Jitter::default(),
        }
    }

    /// Admits, queues or refuses a request that has just come in.
    pub(crate) fn enter(
        &mut self,
        request: &AdmissionRequest,
        estimate: Option<Estimate>,
        now: Instant,
    ) -> Result<Entered, Refusal> {
        let class = self.class(request)?;
        let estimate = estimate.ok_or_else(|| plain(RefusalReason::NoEngine))?;
        let lane = self.lane(request);
        let ahead = if lane.is_free() {
            0
        } else {
            lane.queue.len() + 1
        };
        let is_free = lane.is_free();
        let unqueued_s = self.check(request, &class, &estimate, ahead, now)?;
        if is_free {
            let lane = self.lane(request);
            lane.outstanding += 1;
            return Ok(Entered::Admitted(
                self.admit(request, &class, estimate, now),
            ));
        }
        let last_end = last_end(request, &class);
        let unqueued = Duration::try_from_secs_f64(unqueued_s).unwrap_or(Duration::MAX);
        let latest_start = last_end.checked_sub(unqueued).unwrap_or(now);
        self.queue(request, latest_start, now).map(Entered::Queued)
    }

    /// Admits or refuses a request that was granted a place after a wait.
    pub(crate) fn take_up(
        &mut self,
        request: &AdmissionRequest,
        estimate: Option<Estimate>,
        now: Instant,
    ) -> Result<Admitted, Refusal> {
        let class = self.class(request)?;
        let estimate = estimate.ok_or_else(|| plain(RefusalReason::NoEngine))?;
        self.check(request, &class, &estimate, 0, now)?;
        Ok(self.admit(request, &class, estimate, now))
    }

    /// Refuses those that wait in vain and gives out free places.
    pub(crate) fn refresh(&mut self, key: &LaneKey, now: Instant) {
        let Some(lane) = self.lanes.get_mut(key) else {
            return;
        };
        for waiter in lane.queue.expire(now) {
            let jitter = self.jitter.draw();
            let refusal = lane.refusal(RefusalReason::TooLate, 0.0, jitter, now);
            send(waiter, refusal);
        }
        lane.dispatch();
    }

    /// Takes out a waiter that does not wait any more.
    pub(crate) fn leave(&mut self, queued: &Queued) {
        if let Some(lane) = self.lanes.get_mut(&queued.lane) {
            lane.queue.remove(queued.id);
        }
    }

    /// Gives back a place.
    pub(crate) fn release(&mut self, key: &LaneKey, has_run: bool, now: Instant) {
        if let Some(lane) = self.lanes.get_mut(key) {
            lane.release(has_run, now);
        }
        self.refresh(key, now);
    }

    /// Takes in a request's time to its first token.
    pub(crate) fn observe(&mut self, admitted: &Admitted, measured: Duration, now: Instant) {
        let Some(lane) = self.lanes.get_mut(&admitted.lane) else {
            return;
        };
        let predicted = admitted.predicted.time_to_first_token;
        lane.observe_error(measured, predicted, now);
        lane.limit
            .observe(admitted.seen(measured), lane.outstanding, now);
        self.refresh(&admitted.lane, now);
    }

    /// Takes in that a request ended late without a first token.
    pub(crate) fn observe_end(&mut self, admitted: &Admitted, now: Instant) {
        let seen = admitted.seen(now - admitted.admitted_at);
        if !seen.is_late() {
            return;
        }
        if let Some(lane) = self.lanes.get_mut(&admitted.lane) {
            lane.limit.observe(seen, lane.outstanding, now);
        }
    }

    /// Refuses everything from now on, and all that wait.
    pub(crate) fn close(&mut self, retry_after: Duration) {
        self.closed = Some(retry_after);
        let refusal = closed(retry_after);
        let mut refused = 0;
        for lane in self.lanes.values_mut() {
            for waiter in lane.queue.drain() {
                send(waiter, refusal);
                refused += 1;
            }
        }
        log::info!("admission: closed, {refused} waiting requests refused");
    }

    fn class(&self, request: &AdmissionRequest) -> Result<Class, Refusal> {
        if let Some(retry_after) = self.closed {
            return Err(closed(retry_after));
        }
        let class = self.classes.get(&request.class).cloned();
        class.ok_or(Refusal {
            reason: RefusalReason::UnknownClass,
            retry_after: Duration::ZERO,
        })
    }

    fn lane(&mut self, request: &AdmissionRequest) -> &mut Lane {
        let length = LengthLane::of(request.length_tokens);
        let key = (request.model.clone(), length);
        self.lanes.entry(key).or_insert_with(|| Lane::new(length))
    }

    /// Time that the request needs without any queue, in seconds, if it can
    /// still be served behind `ahead` others.
    fn check(
        &mut self,
        request: &AdmissionRequest,
        class: &Class,
        estimate: &Estimate,
        ahead: usize,
        now: Instant,
    ) -> Result<f64, Refusal> {
        // A daemon that has just started would refuse long answers by the speed
        // that it assumes of engines, though they are idle and fast.
        if estimate.is_assumed {
            return Ok(0.0);
        }
        let left = last_end(request, class).saturating_duration_since(now);
        let jitter = self.jitter.draw();
        let lane = self.lane(request);
        let forecast = lane.forecast(estimate, ahead, now);
        let excess_s = forecast.needed_s - left.as_secs_f64();
        if excess_s > 0.0 {
            return Err(lane.refusal(RefusalReason::TooLate, excess_s, jitter, now));
        }
        Ok(forecast.unqueued_s)
    }

    fn admit(
        &mut self,
        request: &AdmissionRequest,
        class: &Class,
        predicted: Estimate,
        now: Instant,
    ) -> Admitted {
        self.admitted += 1;
        Admitted {
            lane: (request.model.clone(), LengthLane::of(request.length_tokens)),
            arrived: request.arrived,
            admitted_at: now,
            predicted,
            target: class.time_to_first_token(),
        }
    }

    fn queue(
        &mut self,
        request: &AdmissionRequest,
        latest_start: Instant,
        now: Instant,
    ) -> Result<Queued, Refusal> {
        let queue_limit = self.queue_limit;
        let jitter = self.jitter.draw();
        let id = self.next_id;
        self.next_id += 1;
        let lane = self.lane(request);
        if lane.queue.len() >= queue_limit {
            let refusal = lane.refusal(RefusalReason::QueueFull, 0.0, jitter, now);
            let Some(evicted) = lane.queue.make_room_for(&request.organisation) else {
                return Err(refusal);
            };
            send(evicted, refusal);
        }
        let (reply, receiver) = oneshot::channel();
        let waiter = Waiter {
            id,
            cost_tokens: request.length_tokens.max(MIN_COST_TOKENS),
            latest_start,
            reply,
        };
        lane.queue
            .push(&request.class, &request.organisation, waiter);
        let length = LengthLane::of(request.length_tokens);
        Ok(Queued {
            lane: (request.model.clone(), length),
            id,
            latest_start,
            reply: receiver,
        })
    }
}

/// Time by which a request must have ended.
fn last_end(request: &AdmissionRequest, class: &Class) -> Instant {
    let limit = request.arrived.checked_add(class.time_limit());
    limit.map_or(request.deadline, |limit| limit.min(request.deadline))
}

fn plain(reason: RefusalReason) -> Refusal {
    Refusal {
        reason,
        retry_after: DEFAULT_RETRY_AFTER,
    }
}

fn closed(retry_after: Duration) -> Refusal {
    Refusal {
        reason: RefusalReason::Closed,
        retry_after,
    }
}

/// Tells a waiter that it was refused; one that is gone needs no answer.
fn send(waiter: Waiter, refusal: Refusal) {
    let _ = waiter.reply.send(Verdict::Refused(refusal));
}
