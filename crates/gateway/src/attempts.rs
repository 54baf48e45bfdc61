//! Sends one request to upstreams, one attempt at a time.
//!
//! The outcome of a failed attempt decides whether another one may follow. A request that
//! was not run may be sent to another upstream; one that may have run is sent again only if
//! it may be repeated. Both are limited by the attempts of the route and by the retry
//! budget of the whole fleet.

use std::pin::pin;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::{Either, select};
use http::{Request, StatusCode};
use http_body_util::Full;
use mangofront_engines::{Failure, Placement, Share, UpstreamKey, key_of};
use mangofront_routes::{RetrySafety, Upstream};
use mangofront_upstream::{SendError, UpstreamResponse};

use crate::call::Call;
use crate::dialect::{AnswerHead, AttemptHead, EventId, Helper};
use crate::gateway::Gateway;
use crate::history::{AnswerProgress, AttemptError, History};
use crate::place::{Placed, place};
use crate::proxy::{AttemptKind, Times};
use crate::quarantine::{check_quarantine, recheck_quarantine, record_lost_connection};
use crate::rate_limits::SendPermits;
use crate::reservations::{ReservationFailure, Reservations};
use crate::trace;
use crate::upstream_client::{UpstreamAnswer, UpstreamCall, UpstreamCallError, Way};

/// Multiple of the predicted time to the first event that an upstream may take before the
/// attempt is given up, if another attempt may follow.
const HEAD_TIMEOUT_FACTOR: u32 = 3;

/// Divisor of the remaining time that a plain service gets to answer before another
/// upstream is tried; the result is well above its slowest usual answer.
const PLAIN_TIMEOUT_DIVISOR: u32 = 2;

/// Urgency of the most urgent rank; each following rank adds one.
const HIGHEST_URGENCY: u8 = 2;

/// Lowest urgency that engines accept.
const LOWEST_URGENCY: u8 = 9;

/// Outcome, in metrics and logs, of an attempt whose answer broke off after it had begun.
pub(crate) const OUTCOME_BROKEN_OFF: &str = "broken_off";

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
    gateway: &Gateway,
    call: &Call,
    history: &mut History,
    last_event_id: Option<EventId>,
) -> Result<AttemptAnswer, AttemptError> {
    check_quarantine(gateway, call, history).await?;
    let Placed {
        mut placement,
        permits,
    } = place(gateway, call, history).await?;
    let upstream = placement.answering().clone();
    let key = key_of(&upstream);
    trace::request_placed(call, history, &placement, &gateway.parts().published);
    history.tried.push(key);
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
    recheck_quarantine(gateway, call, history)?;
    let request = build_request(gateway, call, &placement, &reservations, last_event_id)?;
    let head_timeout = head_timeout(gateway, call, history, &placement);
    let sent = {
        let upstreams = upstreams_of(&placement);
        let outgoing = Outgoing {
            upstreams: &upstreams,
            request,
            head_timeout,
            permits: &permits,
        };
        let sending = pin!(send(gateway, call, outgoing, history));
        until_restart(&mut placement, sending).await
    };
    let result = match sent {
        Some(Ok(answer)) => check_head(gateway, call, &upstream, answer, history),
        Some(Err(error)) => Err(send_failed(gateway, call, &upstream, error)),
        None => {
            history.sent += 1;
            Err(upstream_restarted())
        }
    };
    match &result {
        Ok(_) => {
            let zone = &upstream.availability_zone;
            gateway.parts().metrics.attempt_ended(zone, "answered");
        }
        Err(error) => {
            let failed = FailedAttempt::starting(&upstream, error.code());
            record_failed_attempt(gateway, call, history, &failed, error).await;
        }
    }
    let UpstreamAnswer { answer, way } = result?;
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

impl<'a> FailedAttempt<'a> {
    /// An attempt that failed before its answer was underway.
    pub(crate) fn starting(upstream: &'a Upstream, outcome: &'static str) -> Self {
        Self {
            upstream,
            outcome,
            progress: AnswerProgress::Starting,
        }
    }
}

/// Records a failed attempt in metrics and logs, and checks whether its upstream crashed.
pub(crate) async fn record_failed_attempt(
    gateway: &Gateway,
    call: &Call,
    history: &History,
    failed: &FailedAttempt<'_>,
    error: &AttemptError,
) {
    let zone = &failed.upstream.availability_zone;
    gateway.parts().metrics.attempt_ended(zone, failed.outcome);
    trace::attempt_failed(call, failed, &error.to_string());
    if let AttemptError::ConnectionLost(_) = error {
        record_lost_connection(gateway, call, history, failed).await;
    }
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

/// Time to wait for the head of the answer.
///
/// A request that must not be sent again is never given up because of silence.
fn head_timeout(
    gateway: &Gateway,
    call: &Call,
    history: &History,
    placement: &Placement,
) -> Duration {
    let left = call.time_left();
    let may_retry = call.route.safety.may_retry();
    if !may_retry || history.sent + 1 >= call.route.attempts {
        return left;
    }
    match call.route.safety {
        RetrySafety::Stream { .. } => {
            let predicted = placement.expected_first_event * HEAD_TIMEOUT_FACTOR;
            left.min(predicted + gateway.stall_timeout())
        }
        RetrySafety::Idempotent | RetrySafety::AtMostOnce => left / PLAIN_TIMEOUT_DIVISOR,
    }
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
    head_timeout: Duration,
    permits: &'a SendPermits,
}

async fn send(
    gateway: &Gateway,
    call: &Call,
    outgoing: Outgoing<'_>,
    history: &mut History,
) -> Result<UpstreamAnswer, UpstreamCallError> {
    let Outgoing {
        upstreams,
        request,
        head_timeout,
        permits,
    } = outgoing;
    let upstream = &upstreams[0];
    let deadline = Instant::now() + head_timeout;
    // Since the upstream was selected, memory was reserved and a connection opened. The
    // upstreams may have announced their shutdown, asked for rest or named a limit since then,
    // or this daemon may have been suspended.
    let keys: Vec<UpstreamKey> = upstreams.iter().map(key_of).collect();
    let parts = gateway.parts();
    let is_still_wanted = || {
        let is_wanted = parts.published.may_be_acted_on()
            && keys.iter().all(|key| parts.upstreams.accepts_work(*key))
            && permits.allow(&keys);
        if is_wanted {
            permits.spend(upstreams, &call.id);
        }
        is_wanted
    };
    let may_retry = call.route.safety.may_retry();
    let upstream_call = UpstreamCall {
        upstream,
        request,
        times: Times {
            deadline,
            expires: call.deadline,
        },
        kind: match may_retry {
            true => AttemptKind::Repeatable,
            false => AttemptKind::AtMostOnce,
        },
        leaves_lost_path: may_retry && history.may_resend_after_next(gateway, call),
        cause: &call.id,
    };
    let client = gateway.upstream_client();
    let sent = client.send(upstream_call, is_still_wanted).await;
    let has_arrived = match &sent {
        Ok(answer) => {
            history.proxy = answer.way.proxy().cloned();
            true
        }
        Err(error) => error.may_have_arrived(),
    };
    if has_arrived {
        history.sent += 1;
    }
    sent
}

/// Checks that the head answers this request and comes from the intended upstream.
fn check_head(
    gateway: &Gateway,
    call: &Call,
    upstream: &Upstream,
    answered: UpstreamAnswer,
    history: &mut History,
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
            history.may_have_run = true;
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
        UpstreamCallError::PathLost => return AttemptError::PathLost,
        UpstreamCallError::MayHaveRun(error) => error,
    };
    let failure = match error {
        SendError::Timeout { .. } => Failure::Silent,
        _ => Failure::Unreachable,
    };
    let client = gateway.upstream_client();
    client.suspect(upstream, failure, &call.id);
    if call.time_left().is_zero() {
        return AttemptError::DeadlineExceeded;
    }
    match error {
        SendError::ConnectionFailed { .. } => AttemptError::ConnectionLost(error.to_string()),
        _ => AttemptError::MayHaveRun(error.to_string()),
    }
}
