//! Makes one attempt at a request: places it, reserves memory, sends it and awaits the head of the
//! answer.
//!
//! Nothing here gives an attempt up: it ends with its answer, with the proof that it is lost, or
//! with the deadline of the request. `in_flight` decides when another one may run beside it, and
//! which of them is forwarded.

use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{Either, select};
use http::{Request, StatusCode};
use http_body_util::Full;
use mangofront_engines::{Failure, Placement, Share, UpstreamKey, key_of};
use mangofront_routes::Upstream;
use mangofront_upstream::{SendError, UpstreamResponse};

use crate::call::Call;
use crate::dialect::{AnswerHead, AttemptHead, EventId, Helper};
use crate::gateway::Gateway;
use crate::history::{AnswerProgress, AttemptError, SendLeave, SharedHistory};
use crate::place::{Placed, place};
use crate::proxy::{AttemptKind, Times};
use crate::quarantine::{check_quarantine, recheck_quarantine};
use crate::rate_limits::SendPermits;
use crate::reservations::{ReservationFailure, Reservations};
use crate::silence::{AwaitedAnswer, RunTime};
use crate::stopping::unless_stopping;
use crate::stream_race::AttemptNumber;
use crate::trace;
use crate::upstream_client::{CallProgress, UpstreamAnswer, UpstreamCall, UpstreamCallError, Way};

/// Urgency of the most urgent rank; each following rank adds one.
const HIGHEST_URGENCY: u8 = 2;

/// Lowest urgency that engines accept.
const LOWEST_URGENCY: u8 = 9;

/// Outcome, in metrics and logs, of an attempt whose answer broke off after it had begun.
pub(crate) const OUTCOME_BROKEN_OFF: &str = "broken_off";

/// What an attempt is made with.
#[derive(Debug)]
pub(crate) struct AttemptPlan {
    pub(crate) number: AttemptNumber,
    pub(crate) last_event_id: Option<EventId>,
    pub(crate) leave: SendLeave,
}

/// How far an attempt got, as others may look while it runs.
#[derive(Debug, Default)]
pub(crate) struct AttemptProgress {
    /// The upstream that answers, once one is selected.
    upstream: RefCell<Option<Upstream>>,
    /// Predicted time from the send to the first event.
    expected: Cell<Duration>,
    /// When the request was written.
    sent_at: Cell<Option<RunTime>>,
    /// Counts the attempt as awaited.
    awaited: RefCell<Option<AwaitedAnswer>>,
    call: CallProgress,
}

impl AttemptProgress {
    pub(crate) fn upstream(&self) -> Option<Upstream> {
        self.upstream.borrow().clone()
    }

    pub(crate) fn expected(&self) -> Duration {
        self.expected.get()
    }

    pub(crate) fn sent_at(&self) -> Option<RunTime> {
        self.sent_at.get()
    }

    /// Whether it goes on a connection of this daemon to the upstream.
    pub(crate) fn is_direct(&self) -> bool {
        self.call.is_direct()
    }

    fn record_send(&self, gateway: &Gateway) {
        let silence = gateway.silence();
        self.sent_at.set(Some(silence.run_time()));
        if let Some(upstream) = &*self.upstream.borrow() {
            let key = key_of(upstream);
            let awaited = silence.await_answer(key, &upstream.service, self.expected());
            self.awaited.replace(Some(awaited));
        }
    }
}

/// The head of an upstream's answer, and what the request holds at that upstream.
#[derive(Debug)]
pub(crate) struct AttemptAnswer {
    pub(crate) answer: UpstreamResponse,
    pub(crate) placement: Placement,
    pub(crate) upstream: Upstream,
    /// Released when the request no longer uses the memory.
    pub(crate) reservations: Reservations,
    pub(crate) way: Way,
}

/// Sends the request to the next upstream and waits for the head of its answer.
pub(crate) async fn attempt(
    gateway: Gateway,
    call: Rc<Call>,
    history: SharedHistory,
    plan: AttemptPlan,
    progress: Rc<AttemptProgress>,
) -> Result<AttemptAnswer, AttemptError> {
    let (gateway, call) = (&gateway, &*call);
    let placing = async {
        check_quarantine(gateway, call, &history).await?;
        place(gateway, call, &history).await
    };
    let Placed {
        mut placement,
        permits,
    } = unless_stopping(gateway, call, &history, placing).await?;
    let upstream = placement.answering().clone();
    progress.upstream.replace(Some(upstream.clone()));
    progress.expected.set(placement.expected_first_event);
    {
        let history = &mut *history.borrow_mut();
        let published = &gateway.parts().published;
        trace::request_placed(call, history, plan.number, &placement, published);
        history.record_placement(&upstream);
    }
    if !placement.believed_saving.is_zero() {
        gateway.parts().metrics.prefix_placement();
        trace::prefix_held(call, &placement);
    }
    let name = format!(
        "{}-{}-{}",
        gateway.options().instance,
        call.id,
        placement.work_id()
    );
    let reservations =
        Reservations::acquire(gateway.reservation_client(), &placement.shares, &name)
            .await
            .map_err(|failed| reservation_failed(gateway, call, &failed))?;
    // Other daemons may have seen more upstreams crash under this request while it waited.
    recheck_quarantine(gateway, call, &history)?;
    let request = build_request(gateway, call, &placement, &reservations, plan.last_event_id)?;
    let upstreams = upstreams_of(&placement);
    let outgoing = Outgoing {
        upstreams: &upstreams,
        request,
        permits: &permits,
        leave: &plan.leave,
        progress: &progress,
    };
    let sent = {
        let sending = pin!(send(gateway, call, outgoing, &history));
        until_restart(&mut placement, sending).await
    };
    let answered = match sent {
        Some(Ok(answer)) => check_head(gateway, call, &upstream, answer, &history)?,
        Some(Err(error)) => return Err(send_failed(gateway, call, &upstream, error)),
        None if progress.sent_at().is_none() => {
            let reason = format!("{} has started again", upstream.id);
            return Err(AttemptError::Unreachable(reason));
        }
        None => return Err(upstream_restarted()),
    };
    let zone = &upstream.availability_zone;
    gateway.parts().metrics.attempt_ended(zone, "answered");
    let UpstreamAnswer { answer, way } = answered;
    Ok(AttemptAnswer {
        answer,
        placement,
        upstream,
        reservations,
        way,
    })
}

/// An attempt that failed.
#[derive(Debug)]
pub(crate) struct FailedAttempt<'a> {
    pub(crate) upstream: &'a Upstream,
    /// Outcome in metrics and logs.
    pub(crate) outcome: &'static str,
    pub(crate) progress: AnswerProgress,
}

/// The upstreams of a placement; the first one answers.
pub(crate) fn upstreams_of(placement: &Placement) -> Vec<Upstream> {
    let shares = placement.shares.iter();
    shares.map(|share| share.upstream.clone()).collect()
}

fn reservation_failed(gateway: &Gateway, call: &Call, failed: &ReservationFailure) -> AttemptError {
    let upstream = &failed.upstream;
    // Without an answer it is not known whether the upstream is full.
    gateway.upstream_client().record_failure(
        key_of(upstream),
        Failure::Full,
        failed.is_answered,
        &call.id,
    );
    AttemptError::Unreachable(format!("{} reserved no memory", upstream.id))
}

fn build_request(
    gateway: &Gateway,
    call: &Call,
    placement: &Placement,
    reservations: &Reservations,
    last_event_id: Option<EventId>,
) -> Result<Request<Full<Bytes>>, AttemptError> {
    let helper = |share: &Share| Helper {
        address: share.upstream.address,
        reservation: reservations.id_at(&share.upstream),
    };
    let helpers: Vec<Helper> = placement.shares.iter().skip(1).map(helper).collect();
    let organisation = call.organisation.as_ref();
    let attempt = AttemptHead {
        upstream: &placement.answering().id,
        organisation: organisation.map(|organisation| organisation.id.as_str()),
        time_left: call.time_left(),
        urgency: call.tokens.map(|_| urgency(call)),
        last_event_id,
        helpers: &helpers,
    };
    let headers = gateway
        .parts()
        .dialect
        .attempt_headers(&call.headers, &attempt);
    let path = call.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(path)
        .body(Full::new(call.body.clone()))
        .map_err(|error| AttemptError::Unreachable(error.to_string()))?;
    *request.headers_mut() = headers;
    Ok(request)
}

/// Urgency at the engine: the organisation's priority, or else the route's, and then a
/// lower number for a shorter latency target.
fn urgency(call: &Call) -> u8 {
    let organisation = call.organisation.as_ref();
    let rank = organisation
        .and_then(|organisation| organisation.priority)
        .unwrap_or(call.route.priority);
    let by_target = match call.route.target.as_millis() {
        0..=500 => 0,
        501..=2_000 => 1,
        _ => 2,
    };
    (HIGHEST_URGENCY + rank.min(LOWEST_URGENCY - HIGHEST_URGENCY) + by_target).min(LOWEST_URGENCY)
}

/// Runs `future` until the upstream starts again; `None` if it did.
pub(crate) async fn until_restart<F: Future + Unpin>(
    placement: &mut Placement,
    future: F,
) -> Option<F::Output> {
    match select(future, pin!(placement.restarted())).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(_) => None,
    }
}

/// Error of an attempt whose upstream started again and so lost the request.
pub(crate) fn upstream_restarted() -> AttemptError {
    AttemptError::ConnectionLost("the upstream has started again".to_owned())
}

/// A request that is about to be sent.
struct Outgoing<'a> {
    /// The upstreams that get the request or a part of it; the first one answers.
    upstreams: &'a [Upstream],
    request: Request<Full<Bytes>>,
    permits: &'a SendPermits,
    leave: &'a SendLeave,
    progress: &'a AttemptProgress,
}

async fn send(
    gateway: &Gateway,
    call: &Call,
    outgoing: Outgoing<'_>,
    history: &SharedHistory,
) -> Result<UpstreamAnswer, UpstreamCallError> {
    let Outgoing {
        upstreams,
        request,
        permits,
        leave,
        progress,
    } = outgoing;
    let upstream = &upstreams[0];
    // Since the upstream was selected, memory was reserved and a connection opened. The
    // upstreams may have announced their shutdown, asked for rest or named a limit since then,
    // their zone may be evacuated, or this daemon may have been suspended.
    let keys: Vec<UpstreamKey> = upstreams.iter().map(key_of).collect();
    let parts = gateway.parts();
    let is_eligible = |key: &UpstreamKey| {
        let eligibility = parts.upstreams.eligibility(*key, &call.allowed_regions);
        eligibility.is_eligible()
    };
    let is_still_wanted = || {
        let is_wanted = parts.published.may_be_acted_on()
            && keys.iter().all(is_eligible)
            && permits.allow(&keys);
        if is_wanted {
            permits.spend(upstreams, &call.id);
            if leave.spend() {
                parts.metrics.retried();
            }
            if progress.sent_at().is_none() {
                history.borrow_mut().sent += 1;
                progress.record_send(gateway);
            }
        }
        is_wanted
    };
    let upstream_call = UpstreamCall {
        upstream,
        allowed_regions: &call.allowed_regions,
        request,
        times: Times {
            deadline: call.deadline,
            expires: call.deadline,
        },
        kind: match call.route.safety.may_retry() {
            true => AttemptKind::Repeatable,
            false => AttemptKind::AtMostOnce,
        },
        progress: &progress.call,
        cause: &call.id,
    };
    let client = gateway.upstream_client();
    let sent = client.send(upstream_call, is_still_wanted).await;
    let history = &mut *history.borrow_mut();
    match &sent {
        Ok(answer) => history.proxy = answer.way.proxy().cloned(),
        Err(error) if !error.may_have_arrived() => {
            if progress.sent_at.take().is_some() {
                history.sent -= 1;
                progress.awaited.take();
            }
        }
        Err(_) => {}
    }
    sent
}

/// Checks that the head answers this request and comes from the intended upstream.
fn check_head(
    gateway: &Gateway,
    call: &Call,
    upstream: &Upstream,
    answered: UpstreamAnswer,
    history: &SharedHistory,
) -> Result<UpstreamAnswer, AttemptError> {
    let answer = &answered.answer;
    let head = gateway
        .parts()
        .dialect
        .read_answer(answer.status, &answer.headers);
    let key = key_of(upstream);
    if head.not_run {
        return Err(refused_by_upstream(
            gateway,
            call,
            key,
            &head,
            answer.status,
        ));
    }
    match &head.request_id {
        Some(id) if *id == call.id => {}
        // This is a late answer to an earlier request, or it names no request, so the
        // outcome of this one is unknown. Dropping the answer closes the connection.
        other => {
            history.borrow_mut().may_have_run = true;
            let other = other.as_deref().unwrap_or("no request");
            return Err(AttemptError::MayHaveRun(format!("an answer to {other}")));
        }
    }
    gateway.parts().upstreams.record_answer(key);
    Ok(answered)
}

fn refused_by_upstream(
    gateway: &Gateway,
    call: &Call,
    key: UpstreamKey,
    head: &AnswerHead,
    status: StatusCode,
) -> AttemptError {
    let upstreams = &gateway.parts().upstreams;
    let at_fault = head
        .at_fault
        .and_then(|address| upstreams.at_address(address));
    match at_fault {
        Some(other) if other != key => gateway.eject(other, Failure::Unreachable, &call.id),
        _ if head.wrong_upstream => gateway.eject(key, Failure::Unreachable, &call.id),
        _ => gateway.eject(key, Failure::Full, &call.id),
    }
    AttemptError::NotRun(format!("refused with {status}"))
}

fn send_failed(
    gateway: &Gateway,
    call: &Call,
    upstream: &Upstream,
    error: UpstreamCallError,
) -> AttemptError {
    let error = match error {
        UpstreamCallError::NoPath => return AttemptError::NoPath,
        UpstreamCallError::NotConnected(error) | UpstreamCallError::Withdrawn(error) => {
            return AttemptError::Unreachable(error.to_string());
        }
        UpstreamCallError::MayHaveRun(error) => error,
    };
    let is_lost = matches!(error, SendError::ConnectionFailed { .. });
    if is_lost {
        gateway.upstream_client().suspect(upstream, &call.id);
    }
    match is_lost {
        _ if call.time_left().is_zero() => AttemptError::DeadlineExceeded,
        true => AttemptError::ConnectionLost(error.to_string()),
        false => AttemptError::MayHaveRun(error.to_string()),
    }
}
