//! State shared by the clones of an [`Admission`](crate::Admission).

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use mangofront_placement::Estimate;
use mangofront_settings::ids::ClassName;
use mangofront_settings::published::Class;

use crate::backoff::Jitter;
use crate::decision::{Admitted, Decision, Queued};
use crate::lane::{Lane, LaneKey, LengthLane};
use crate::queue::{QueueOutcome, Waiter, WaiterId};
use crate::request::{AdmissionRequest, Refusal, RefusalReason};

/// Retry time of refusals without a better estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Minimum cost of a request charged to its organisation, in tokens.
const MIN_COST_TOKENS: u64 = 512;

/// Classes, lanes and counters.
///
/// Invariant: a request is in one of four states: waiting in its lane's queue,
/// granted a slot that it has not claimed yet, holding a permit, or gone. Only
/// the second and third count as outstanding.
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

    /// Admits, queues or refuses a new request.
    pub(crate) fn submit(
        &mut self,
        request: &AdmissionRequest,
        estimate: Option<Estimate>,
        now: Instant,
    ) -> Result<Decision, Refusal> {
        let class = self.class(request)?;
        let estimate = estimate.ok_or_else(|| default_refusal(RefusalReason::NoEngine))?;
        let lane = self.lane(request);
        let ahead = if lane.is_free() {
            0
        } else {
            lane.queue.len() + 1
        };
        let is_free = lane.is_free();
        let unqueued_s = self.check_time(request, &class, &estimate, ahead, now)?;
        if is_free {
            let lane = self.lane(request);
            lane.outstanding += 1;
            return Ok(Decision::Admitted(
                self.admit(request, &class, estimate, now),
            ));
        }
        let latest_end = latest_end(request, &class);
        let unqueued = Duration::try_from_secs_f64(unqueued_s).unwrap_or(Duration::MAX);
        let latest_start = latest_end.checked_sub(unqueued).unwrap_or(now);
        self.enqueue(request, latest_start, now)
            .map(Decision::Queued)
    }

    /// Admits or refuses a request that was granted a slot after waiting.
    pub(crate) fn admit_granted(
        &mut self,
        request: &AdmissionRequest,
        estimate: Option<Estimate>,
        now: Instant,
    ) -> Result<Admitted, Refusal> {
        let class = self.class(request)?;
        let estimate = estimate.ok_or_else(|| default_refusal(RefusalReason::NoEngine))?;
        self.check_time(request, &class, &estimate, 0, now)?;
        Ok(self.admit(request, &class, estimate, now))
    }

    /// Refuses waiters that can't start in time any more and grants free slots.
    pub(crate) fn refresh(&mut self, key: &LaneKey, now: Instant) {
        let Some(lane) = self.lanes.get_mut(key) else {
            return;
        };
        for waiter in lane.queue.expire(now) {
            let jitter = self.jitter.draw();
            let refusal = lane.refusal(RefusalReason::TooLate, 0.0, jitter, now);
            refuse_waiter(waiter, refusal);
        }
        lane.dispatch();
    }

    /// Removes a waiter that was dropped.
    pub(crate) fn remove_waiter(&mut self, queued: &Queued) {
        if let Some(lane) = self.lanes.get_mut(&queued.lane) {
            lane.queue.remove(queued.id);
        }
    }

    /// Releases a slot.
    pub(crate) fn release(&mut self, key: &LaneKey, has_run: bool, now: Instant) {
        if let Some(lane) = self.lanes.get_mut(key) {
            lane.release(has_run, now);
        }
        self.refresh(key, now);
    }

    /// Records the time from a request's admission to its first token.
    pub(crate) fn observe_first_token(
        &mut self,
        admitted: &Admitted,
        measured: Duration,
        now: Instant,
    ) {
        let Some(lane) = self.lanes.get_mut(&admitted.lane) else {
            return;
        };
        let predicted = admitted.predicted.time_to_first_token;
        lane.observe_prediction_error(measured, predicted, now);
        lane.limit
            .observe(admitted.sample(measured), lane.outstanding, now);
        self.refresh(&admitted.lane, now);
    }

    /// Records the end of a request without a first token, if it is late.
    pub(crate) fn observe_missing_first_token(&mut self, admitted: &Admitted, now: Instant) {
        let sample = admitted.sample(now - admitted.admitted_at);
        if !sample.is_late() {
            return;
        }
        if let Some(lane) = self.lanes.get_mut(&admitted.lane) {
            lane.limit.observe(sample, lane.outstanding, now);
        }
    }

    /// Refuses all waiting and all future requests.
    pub(crate) fn close(&mut self, retry_after: Duration) {
        self.closed = Some(retry_after);
        let refusal = closed_refusal(retry_after);
        let mut refused = 0;
        for lane in self.lanes.values_mut() {
            for waiter in lane.queue.drain() {
                refuse_waiter(waiter, refusal);
                refused += 1;
            }
        }
        log::info!("admission: closed, {refused} waiting requests refused");
    }

    fn class(&self, request: &AdmissionRequest) -> Result<Class, Refusal> {
        if let Some(retry_after) = self.closed {
            return Err(closed_refusal(retry_after));
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

    /// Checks that the request can be served in time with `ahead` others before
    /// it; returns the time that it needs without any queue, in seconds.
    fn check_time(
        &mut self,
        request: &AdmissionRequest,
        class: &Class,
        estimate: &Estimate,
        ahead: usize,
        now: Instant,
    ) -> Result<f64, Refusal> {
        // Otherwise a daemon that has just started would refuse long answers
        // because of assumed speeds, although the engines may be idle and fast.
        if estimate.is_assumed {
            return Ok(0.0);
        }
        let remaining = latest_end(request, class).saturating_duration_since(now);
        let jitter = self.jitter.draw();
        let lane = self.lane(request);
        let forecast = lane.forecast(estimate, ahead, now);
        let excess_s = forecast.needed_s - remaining.as_secs_f64();
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

    fn enqueue(
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
            let Some(evicted) = lane.queue.evict_for(&request.organisation) else {
                return Err(refusal);
            };
            refuse_waiter(evicted, refusal);
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

/// Latest time at which the request may end by its class and deadline.
fn latest_end(request: &AdmissionRequest, class: &Class) -> Instant {
    let limit = request.arrived.checked_add(class.time_limit());
    limit.map_or(request.deadline, |limit| limit.min(request.deadline))
}

fn default_refusal(reason: RefusalReason) -> Refusal {
    Refusal {
        reason,
        retry_after: DEFAULT_RETRY_AFTER,
    }
}

fn closed_refusal(retry_after: Duration) -> Refusal {
    Refusal {
        reason: RefusalReason::Closed,
        retry_after,
    }
}

/// Refuses a waiter; one that was dropped needs no reply.
fn refuse_waiter(waiter: Waiter, refusal: Refusal) {
    let _ = waiter.reply.send(QueueOutcome::Refused(refusal));
}
