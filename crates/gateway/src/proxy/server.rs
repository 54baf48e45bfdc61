//! Forwarding of attempts for other daemons.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt;
use http::{HeaderMap, Request, Response, StatusCode, header, request::Parts};
use http_body_util::Full;
use hyper::body::{Body as _, Incoming};
use mangofront_bodies::Purpose;
use mangofront_engines::{UpstreamKey, key_of};
use mangofront_http::{Aborted, Body, Outcome, empty, read_body, stream_until_abort};
use mangofront_paths::Route;
use mangofront_routes::Upstream;
use mangofront_settings::ids::InstanceId;
use mangofront_upstream::{SendError, UpstreamResponse};

use super::headers::{AttemptKind, AttemptOrder, ProxyOutcome, SERVICE_PATHS_LOST, TAKES_NO_WORK};
use crate::body_end::BodyEnd;
use crate::gateway::{Gateway, InProgress};
use crate::probe::{ProbeResult, target_of};
use crate::rate_limits;
use crate::stopping::{CUT_OFF, STOPPING};
use crate::trace;
use crate::upstream_client::ProofScope;

/// Time for an upstream to accept a connection: less than the daemon that waits for the
/// result allows for its own.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for the body of an attempt to be read, which another daemon has sent at once.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Reason for refusing an attempt for whose body there is no memory.
const BODIES_FULL: &str = "too many bytes of bodies";

/// Age up to which the proof of a path is good for an attempt that may not be repeated.
const FORWARDING_PROOF_LIFETIME: Duration = Duration::from_secs(1);

/// Attempts of other daemons that are forwarded at once, and the sum of their bodies.
#[derive(Debug, Default)]
pub(crate) struct ProxiedAttempts {
    count: Cell<usize>,
    body_bytes: Cell<usize>,
}

/// Counts a forwarded attempt until its answer is complete.
struct ForwardedAttempt {
    gateway: Gateway,
    /// Id of the request.
    request: String,
    sender: InstanceId,
    upstream: UpstreamKey,
    /// Whether it was sent, and its answer is neither complete nor broken off.
    is_running: bool,
    attempts: Rc<ProxiedAttempts>,
    body_bytes: usize,
    _in_progress: InProgress,
}

impl ForwardedAttempt {
    /// Counts an attempt, unless the limit is reached.
    fn begin(gateway: &Gateway, headers: &HeaderMap, order: &AttemptOrder) -> Option<Self> {
        let attempts = Rc::clone(gateway.proxied_attempts());
        if attempts.count.get() >= gateway.options().proxied_limit {
            return None;
        }
        attempts.count.set(attempts.count.get() + 1);
        let request = gateway.parts().dialect.request_id(headers);
        Some(Self {
            gateway: gateway.clone(),
            request: request.unwrap_or_default(),
            sender: order.sender.clone(),
            upstream: order.upstream,
            is_running: false,
            attempts,
            body_bytes: 0,
            _in_progress: gateway.begin_request(),
        })
    }

    /// Records that the answer has ended.
    fn record_end(&mut self) {
        self.is_running = false;
    }

    /// Counts the body of the attempt, unless the limit is reached.
    fn add_body(&mut self, bytes: usize, limit_bytes: usize) -> bool {
        let sum = self.attempts.body_bytes.get() + bytes;
        let has_room = sum <= limit_bytes;
        if has_room {
            self.body_bytes = bytes;
            self.attempts.body_bytes.set(sum);
        }
        has_room
    }
}

impl Drop for ForwardedAttempt {
    fn drop(&mut self) {
        let drain = self.gateway.drain();
        if self.is_running && drain.has_ended() {
            drain.record_cut_off();
            trace::forwarded_attempt_cut_off(&self.request, &self.sender, self.upstream);
        }
        let attempts = &self.attempts;
        attempts.count.set(attempts.count.get() - 1);
        attempts
            .body_bytes
            .set(attempts.body_bytes.get() - self.body_bytes);
    }
}

/// Forwards one attempt of the daemon at `peer`.
pub(crate) async fn handle(
    gateway: Gateway,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Response<Body> {
    let arrived = Instant::now();
    let (mut head, body) = request.into_parts();
    let order = AttemptOrder::take(&mut head.headers);
    let Some(order) = order.filter(|order| is_daemon(&gateway, &order.sender, peer)) else {
        trace::proxy_request_rejected(&peer.to_string());
        return not_sent(ProxyOutcome::Refused, "not a daemon", StatusCode::FORBIDDEN);
    };
    let (outcome, reason, response) = match forward(&gateway, head, body, &order, arrived).await {
        Ok(response) => (ProxyOutcome::Answered, String::new(), response),
        Err(NotAnswered { outcome, reason }) => {
            let status = match outcome {
                ProxyOutcome::Unknown => StatusCode::BAD_GATEWAY,
                _ => StatusCode::SERVICE_UNAVAILABLE,
            };
            let response = not_sent(outcome, &reason, status);
            (outcome, reason, response)
        }
    };
    gateway.parts().metrics.attempt_forwarded(outcome.name());
    if outcome != ProxyOutcome::Answered {
        trace::attempt_not_forwarded(&order.sender, order.upstream, outcome.name(), &reason);
    }
    response
}

/// Why an attempt has no answer.
struct NotAnswered {
    outcome: ProxyOutcome,
    reason: String,
}

impl NotAnswered {
    fn new(outcome: ProxyOutcome, reason: impl Into<String>) -> Self {
        Self {
            outcome,
            reason: reason.into(),
        }
    }
}

/// Whether a request comes from the daemon that it names, as membership knows it.
fn is_daemon(gateway: &Gateway, sender: &str, peer: SocketAddr) -> bool {
    let members = gateway.parts().peers.members();
    let mut members = members.iter();
    members.any(|member| member.instance == sender && member.address.ip() == peer.ip())
}

async fn forward(
    gateway: &Gateway,
    head: Parts,
    body: Incoming,
    order: &AttemptOrder,
    arrived: Instant,
) -> Result<Response<Body>, NotAnswered> {
    let refused = |reason: &str| NotAnswered::new(ProxyOutcome::Refused, reason);
    let drain = gateway.drain();
    let expires = arrived + order.time_left;
    // Another daemon may forward an attempt to its end that would be cut off here.
    if gateway.is_refusing() || drain.ends_before(expires) {
        return Err(refused(STOPPING));
    }
    let Some(mut attempt) = ForwardedAttempt::begin(gateway, &head.headers, order) else {
        return Err(refused("too many attempts"));
    };
    let announced_bytes = body.size_hint().exact();
    let announced_bytes = announced_bytes.and_then(|bytes| usize::try_from(bytes).ok());
    let body_bytes = announced_bytes.unwrap_or_else(|| gateway.body_limit_bytes());
    if !attempt.add_body(body_bytes, gateway.options().proxied_bodies_limit_bytes) {
        return Err(refused(BODIES_FULL));
    }
    let reading = read_body(
        gateway.body_memory(),
        Purpose::ForwardedRequest,
        body,
        gateway.body_limit_bytes(),
    );
    let reading = compio::time::timeout_at(expires.min(arrived + BODY_TIMEOUT), reading);
    let read = drain.until_refusing(reading).await;
    let read = read.ok_or_else(|| refused(STOPPING))?;
    // Another daemon may have room at once.
    let body = read.map_err(|_late| refused(BODIES_FULL))?;
    let body = body.map_err(|error| refused(&error.to_string()))?;
    let confirmed = gateway.parts().published.wait_until_confirmed();
    let confirmed = drain.until_refusing(confirmed).await;
    confirmed.ok_or_else(|| refused(STOPPING))?;
    let upstream = gateway.parts().upstreams.registration(order.upstream);
    let Some(upstream) = upstream else {
        return Err(refused("the upstream is not known"));
    };
    // A path may count as lost just because the upstream has exited, so it is probed all the same.
    if order.kind == AttemptKind::Probe {
        return match gateway.parts().upstreams.rest(order.upstream) {
            Some(_) => Err(refused("the upstream asked for rest")),
            None => probe(gateway, &upstream).await,
        };
    }
    let paths = gateway.upstream_client().paths();
    if paths.route(order.upstream) == Route::Proxied {
        let reason = match paths.is_common(order.upstream) {
            true => SERVICE_PATHS_LOST,
            false => "its path is lost",
        };
        return Err(NotAnswered::new(ProxyOutcome::NoPath, reason));
    }
    // An attempt that may not be repeated would be lost on a path that fails, and what its sender
    // lost this daemon may have lost too, so the path is probed unless it was just proven.
    let is_doubted = paths.route_of(order.upstream, order.kind) == Route::Proxied;
    let is_proven = paths.is_proven_within(order.upstream, FORWARDING_PROOF_LIFETIME);
    if (is_doubted || order.kind == AttemptKind::AtMostOnce && !is_proven)
        && let Err(failed) = probe(gateway, &upstream).await
    {
        // This daemon may be behind the partition of its sender, which open connections survive.
        if failed.reason == ProbeResult::Overloaded.name() {
            let client = gateway.upstream_client();
            client.examine_in_background(order.upstream);
        }
        return Err(failed);
    }
    let request = build_request(head, body);
    attempt.is_running = true;
    let sending = send(gateway, &upstream, request, order.kind, expires);
    let Some(sent) = drain.until_end(sending).await else {
        return Err(NotAnswered::new(ProxyOutcome::Unknown, CUT_OFF));
    };
    attempt.is_running = sent.is_ok();
    match sent {
        Ok(answer) => Ok(relay(gateway, &upstream, answer, attempt)),
        Err(error @ SendError::Withdrawn { .. }) => {
            let takes_work = gateway.parts().upstreams.accepts_work(order.upstream);
            let reason = match takes_work {
                true => error.to_string(),
                false => TAKES_NO_WORK.to_owned(),
            };
            Err(refused(&reason))
        }
        Err(error) if error.outcome() == Outcome::NotRun => {
            Err(explain_failure(gateway, &upstream, &error).await)
        }
        Err(error) => {
            let client = gateway.upstream_client();
            if matches!(error, SendError::ConnectionFailed { .. }) {
                client.paths().lose_connection(order.upstream);
            }
            client.examine_in_background(order.upstream);
            Err(NotAnswered::new(ProxyOutcome::Unknown, error.to_string()))
        }
    }
}

async fn probe(gateway: &Gateway, upstream: &Upstream) -> Result<Response<Body>, NotAnswered> {
    let client = gateway.upstream_client();
    match client.probe_for_another(upstream).await {
        ProbeResult::Answered => {
            let mut response = Response::new(empty());
            ProxyOutcome::Answered.write("", response.headers_mut());
            Ok(response)
        }
        // It may be held against the upstream, and a partition may be from one service alone.
        failed => Err(distinguish(gateway, upstream, failed, ProofScope::Service).await),
    }
}

/// Tells whether an upstream is down or this daemon has no path to upstreams, as it reaches another
/// one of `scope`.
async fn distinguish(
    gateway: &Gateway,
    upstream: &Upstream,
    failed: ProbeResult,
    scope: ProofScope,
) -> NotAnswered {
    let client = gateway.upstream_client();
    // A connection that something on the way accepts says nothing of the upstream.
    let certainly_runs = failed == ProbeResult::Overloaded;
    if certainly_runs
        || client.is_merely_slow(upstream, failed)
        || client.reaches_another(upstream, scope).await
    {
        return NotAnswered::new(ProxyOutcome::Unreachable, failed.name());
    }
    let reaches_any =
        scope != ProofScope::Any && client.reaches_another(upstream, ProofScope::Any).await;
    if let Some(fault) = failed.fault().filter(|_| !reaches_any) {
        client.paths().suspect(upstream, fault, Instant::now());
    }
    NotAnswered::new(ProxyOutcome::NoPath, failed.name())
}

async fn explain_failure(gateway: &Gateway, upstream: &Upstream, error: &SendError) -> NotAnswered {
    let client = gateway.upstream_client();
    let failed = client.explain_failed_connect(upstream, error).await;
    distinguish(gateway, upstream, failed, ProofScope::Any).await
}

fn build_request(head: Parts, body: Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = head.method;
    *request.uri_mut() = head.uri;
    *request.headers_mut() = head.headers;
    remove_framing(request.headers_mut());
    request
}

/// Removes the headers that belong to one connection.
fn remove_framing(headers: &mut HeaderMap) {
    for name in [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::TRANSFER_ENCODING,
    ] {
        headers.remove(name);
    }
}

async fn send(
    gateway: &Gateway,
    upstream: &Upstream,
    request: Request<Full<Bytes>>,
    kind: AttemptKind,
    expires: Instant,
) -> Result<UpstreamResponse, SendError> {
    let connect_deadline = expires.min(Instant::now() + CONNECT_TIMEOUT);
    let parts = gateway.parts();
    let target = target_of(upstream);
    let key = key_of(upstream);
    let (sent_at, id) = (
        rate_limits::now(),
        parts.dialect.request_id(request.headers()),
    );
    let prepare = |request: &mut Request<Full<Bytes>>| {
        if kind == AttemptKind::Order {
            return true;
        }
        let left = expires.saturating_duration_since(Instant::now());
        parts.dialect.limit_time(request.headers_mut(), left);
        parts.published.may_be_acted_on() && parts.upstreams.accepts_work(key)
    };
    let sent = match kind {
        AttemptKind::Repeatable | AttemptKind::Order | AttemptKind::Probe => {
            parts
                .connections
                .send_prepared(&target, request, connect_deadline, expires, prepare)
                .await
        }
        AttemptKind::AtMostOnce => {
            let opened = parts.connections.open(&target, connect_deadline).await?;
            opened.send_prepared(request, expires, prepare).await
        }
    };
    if let Ok(answer) = &sent {
        let id = id.unwrap_or_default();
        let client = gateway.upstream_client();
        client.observe_answer(upstream, answer, &id, sent_at);
        gateway.upstream_client().paths().receive(key);
        parts.upstreams.received_from(key);
    }
    sent
}

/// The answer as it arrives; dropped, and the upstream's connection with it, when the other
/// daemon disconnects.
fn relay(
    gateway: &Gateway,
    upstream: &Upstream,
    answer: UpstreamResponse,
    mut attempt: ForwardedAttempt,
) -> Response<Body> {
    let (status, mut headers) = (answer.status, answer.headers.clone());
    remove_framing(&mut headers);
    ProxyOutcome::Answered.write("", &mut headers);
    let (gateway, key, id) = (gateway.clone(), key_of(upstream), upstream.id.clone());
    let (end, confirming, ended) = (BodyEnd::of(&answer), gateway.clone(), upstream.clone());
    let chunks = Box::pin(answer.chunks());
    let chunks = futures_util::stream::unfold(chunks, move |mut chunks| {
        let (gateway, id) = (gateway.clone(), id.clone());
        async move {
            let chunk = match gateway.drain().until_end(chunks.next()).await {
                Some(Some(Ok(chunk))) => {
                    gateway.upstream_client().paths().receive(key);
                    Ok(chunk)
                }
                Some(Some(Err(error))) => {
                    log::debug!("gateway: forwarded answer of {id} broke off: {error}");
                    Err(Aborted)
                }
                Some(None) => return None,
                None => Err(Aborted),
            };
            Some((chunk, chunks))
        }
    });
    // The other daemon gets chunks, so it could not tell a cut answer from a complete one.
    let cut = futures_util::stream::once(async move {
        let confirmed = end.confirm(&confirming, &ended).await;
        attempt.record_end();
        confirmed.err().map(|error| {
            log::debug!("gateway: forwarded answer of {} is cut: {error}", ended.id);
            Err(Aborted)
        })
    });
    let chunks = chunks.chain(cut.filter_map(std::future::ready));
    let mut response = Response::new(stream_until_abort(chunks));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn not_sent(outcome: ProxyOutcome, reason: &str, status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    outcome.write(reason, response.headers_mut());
    response
}
