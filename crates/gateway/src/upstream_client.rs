//! Calls to upstreams, on the direct path or through another daemon.
//!
//! An upstream that takes no connection may be down, or this daemon's path to it lost. Nothing
//! was sent in that case, so the same call is made through another daemon at once, and its
//! result tells which it was: if it is answered, the path is lost; if the other daemon can't
//! reach the upstream either, and has proof that its own paths work, the upstream is down.
//! Failures after a call was sent are examined in the background.
//!
//! Only an upstream that failed is reported to the other daemons. What happens on this daemon's
//! own paths says nothing about the upstream.

mod examination;
mod notices;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use mangofront_engines::{Failure, UpstreamKey, Upstreams, key_of};
use mangofront_http::Outcome;
use mangofront_paths::{PathFault, Route};
use mangofront_routes::{AllowedRegions, Upstream};
use mangofront_settings::ids::{InstanceId, ServiceName};
use mangofront_telemetry::metrics::Metrics;
use mangofront_upstream::{ConnectionFault, Connections, SendError, Step, UpstreamResponse};

use crate::dialect::Dialect;
use crate::paths::{Paths, PendingAttempt, SIGN_OF_PATHS_LIFETIME};
use crate::probe::{ProbeResult, target_of};
use crate::proxy::{AttemptKind, Destination, OutstandingAttempt, ProxyClient, ProxyError, Times};
use crate::published::Published;
use crate::rate_limits::{self, RateLimits};
use crate::trace;

use examination::{Examination, SharedProbe};
pub(crate) use examination::{ProofScope, Verdict};

/// One call to an upstream.
pub(crate) struct UpstreamCall<'a> {
    pub(crate) upstream: &'a Upstream,
    /// Regions in which the body may be handled.
    pub(crate) allowed_regions: &'a AllowedRegions,
    pub(crate) request: Request<Full<Bytes>>,
    pub(crate) times: Times,
    pub(crate) kind: AttemptKind,
    /// Tells the caller how far it got.
    pub(crate) progress: &'a CallProgress,
    /// Id of the request that it serves, for logs.
    pub(crate) cause: &'a str,
}

/// How far a call got.
#[derive(Debug, Default)]
pub(crate) struct CallProgress {
    is_direct: Cell<bool>,
}

impl CallProgress {
    /// Whether the call goes on a connection of this daemon to the upstream.
    pub(crate) fn is_direct(&self) -> bool {
        self.is_direct.get()
    }
}

/// Head of an answer, and the way that it came.
#[derive(Debug)]
pub(crate) struct UpstreamAnswer {
    pub(crate) answer: UpstreamResponse,
    pub(crate) way: Way,
}

/// The way of a call that was answered.
#[derive(Debug)]
pub(crate) enum Way {
    /// On a connection of this daemon.
    Direct {
        /// Counts the attempt as waiting until the answer is complete.
        _pending: PendingAttempt,
    },
    /// Through another daemon.
    Proxied {
        /// The other daemon.
        proxy: InstanceId,
        /// Counts the attempt there until the answer is complete.
        _outstanding: OutstandingAttempt,
    },
}

impl Way {
    /// The daemon through which the call went.
    pub(crate) fn proxy(&self) -> Option<&InstanceId> {
        match self {
            Self::Direct { .. } => None,
            Self::Proxied { proxy, .. } => Some(proxy),
        }
    }
}

/// Why a call has no answer.
#[derive(Debug)]
pub(crate) enum UpstreamCallError {
    /// Nothing was sent: the path is lost, and no other daemon could forward the call.
    NoPath,
    /// Nothing was sent: the upstream takes no connection.
    NotConnected(SendError),
    /// The call was no longer wanted; nothing was sent.
    Withdrawn(SendError),
    /// The call may have run.
    MayHaveRun(SendError),
}

impl UpstreamCallError {
    /// Whether the upstream may have received the call.
    pub(crate) fn may_have_arrived(&self) -> bool {
        matches!(self, Self::MayHaveRun(_))
    }
}

/// Dependencies of an [`UpstreamClient`].
#[derive(Clone)]
pub(crate) struct UpstreamClientParts {
    pub(crate) connections: Connections,
    pub(crate) upstreams: Upstreams,
    pub(crate) published: Published,
    pub(crate) proxies: ProxyClient,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) limits: RateLimits,
    pub(crate) metrics: Metrics,
}

impl std::fmt::Debug for UpstreamClientParts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("UpstreamClientParts")
            .finish_non_exhaustive()
    }
}

/// Calls upstreams; clones share their state.
#[derive(Debug, Clone)]
pub(crate) struct UpstreamClient(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    parts: UpstreamClientParts,
    paths: Paths,
    examinations: RefCell<HashMap<UpstreamKey, Examination>>,
    /// When others were last asked about an upstream that closes new connections and keeps others.
    asked_about_overloaded_at: Cell<Option<Instant>>,
    /// Probes for other daemons, and when they began.
    probes: RefCell<HashMap<UpstreamKey, (Instant, SharedProbe)>>,
    /// When an upstream of each service last answered a probe for proof, and which one.
    last_proofs: RefCell<HashMap<ServiceName, (Instant, UpstreamKey)>>,
}

impl UpstreamClient {
    /// Creates a client whose paths are all in use.
    pub(crate) fn new(parts: UpstreamClientParts) -> Self {
        Self(Rc::new(Shared {
            parts,
            paths: Paths::default(),
            examinations: RefCell::default(),
            asked_about_overloaded_at: Cell::default(),
            probes: RefCell::default(),
            last_proofs: RefCell::default(),
        }))
    }

    /// The paths of this daemon.
    pub(crate) fn paths(&self) -> &Paths {
        &self.0.paths
    }

    /// Whether an upstream may be sent new work.
    pub(crate) fn takes_work(&self, upstream: &Upstream) -> bool {
        self.0.parts.upstreams.accepts_work(key_of(upstream))
    }

    /// Makes a call; `is_wanted` is asked right before it is written.
    pub(crate) async fn send(
        &self,
        call: UpstreamCall<'_>,
        is_wanted: impl Fn() -> bool,
    ) -> Result<UpstreamAnswer, UpstreamCallError> {
        let (upstream, cause, sent_at) = (call.upstream, call.cause, rate_limits::now());
        let limits = &self.0.parts.limits;
        // Orders keep or free memory of requests that run, so they are never withheld.
        if call.kind == AttemptKind::Order {
            limits.charge(upstream, cause);
        }
        let sent = self.send_by_any_way(call, is_wanted).await;
        if let Ok(answered) = &sent {
            self.observe_answer(upstream, &answered.answer, cause, sent_at);
        }
        sent
    }

    async fn send_by_any_way(
        &self,
        call: UpstreamCall<'_>,
        is_wanted: impl Fn() -> bool,
    ) -> Result<UpstreamAnswer, UpstreamCallError> {
        match self.0.paths.route_of(key_of(call.upstream), call.kind) {
            Route::Direct => self.send_directly(call, is_wanted).await,
            Route::Proxied => match self.send_proxied(&call, &is_wanted).await {
                Ok(proxied) => {
                    if let Some(proxy) = proxied.way.proxy() {
                        self.0.paths.confirm_suspicion(call.upstream, proxy);
                    }
                    Ok(proxied)
                }
                // A daemon without enough processor time takes slow answers for lost paths.
                Err(UpstreamCallError::NoPath)
                    if self.0.paths.has_received_within(SIGN_OF_PATHS_LIFETIME)
                        || self.0.paths.route(key_of(call.upstream)) == Route::Direct =>
                {
                    self.send_directly(call, is_wanted).await
                }
                Err(error) => Err(error),
            },
        }
    }

    async fn send_directly(
        &self,
        call: UpstreamCall<'_>,
        is_wanted: impl Fn() -> bool,
    ) -> Result<UpstreamAnswer, UpstreamCallError> {
        let (key, started) = (key_of(call.upstream), Instant::now());
        let pending = self.0.paths.begin_attempt(key);
        let error = match self.try_directly(&call, &is_wanted).await {
            Ok(answer) => {
                self.0.paths.receive(key);
                if call.kind == AttemptKind::AtMostOnce {
                    // It was made on a new connection.
                    self.0.paths.prove(call.upstream);
                }
                return Ok(UpstreamAnswer {
                    answer,
                    way: Way::Direct { _pending: pending },
                });
            }
            Err(error) => error,
        };
        drop(pending);
        match error {
            SendError::Withdrawn { .. } => Err(UpstreamCallError::Withdrawn(error)),
            _ if error.outcome() != Outcome::NotRun => {
                if matches!(error, SendError::ConnectionFailed { .. }) {
                    self.0.paths.lose_connection(key);
                }
                Err(UpstreamCallError::MayHaveRun(error))
            }
            _ => {
                self.send_after_failed_connect(call, is_wanted, error, started)
                    .await
            }
        }
    }

    /// Makes a call on the direct path.
    async fn try_directly(
        &self,
        call: &UpstreamCall<'_>,
        is_wanted: &impl Fn() -> bool,
    ) -> Result<UpstreamResponse, SendError> {
        call.progress.is_direct.set(true);
        let connections = &self.0.parts.connections;
        let target = target_of(call.upstream);
        let deadline = call.times.deadline;
        let request = call.request.clone();
        match call.kind {
            AttemptKind::Repeatable | AttemptKind::Order | AttemptKind::Probe => {
                connections
                    .send_if(&target, request, deadline, is_wanted)
                    .await
            }
            // If a reused connection breaks, it is unknown whether the request was run.
            AttemptKind::AtMostOnce => {
                let opened = connections.open(&target, deadline).await?;
                opened.send_if(request, deadline, is_wanted).await
            }
        }
    }

    /// Makes a call through another daemon, as no connection could be opened.
    async fn send_after_failed_connect(
        &self,
        call: UpstreamCall<'_>,
        is_wanted: impl Fn() -> bool,
        error: SendError,
        started: Instant,
    ) -> Result<UpstreamAnswer, UpstreamCallError> {
        let upstream = call.upstream;
        let fault = path_fault(&error);
        match self.send_proxied(&call, &is_wanted).await {
            Ok(proxied) => {
                if let Some(proxy) = proxied.way.proxy() {
                    self.0.paths.lose(upstream, fault, started, proxy);
                }
                Ok(proxied)
            }
            Err(UpstreamCallError::NoPath) => {
                let is_alone = self.0.parts.proxies.is_alone();
                if !is_alone {
                    self.0.paths.suspect(upstream, fault, started);
                }
                let key = key_of(upstream);
                self.record_failure(key, Failure::Unreachable, is_alone, call.cause);
                Err(UpstreamCallError::NotConnected(error))
            }
            Err(UpstreamCallError::NotConnected(_)) => Err(UpstreamCallError::NotConnected(error)),
            Err(other) => Err(other),
        }
    }

    async fn send_proxied(
        &self,
        call: &UpstreamCall<'_>,
        is_wanted: &impl Fn() -> bool,
    ) -> Result<UpstreamAnswer, UpstreamCallError> {
        call.progress.is_direct.set(false);
        let request = call.request.clone();
        let proxies = &self.0.parts.proxies;
        let upstreams = &self.0.parts.upstreams;
        let destination = Destination {
            upstream: call.upstream,
            may_pass: &|zone| upstreams.may_pass_through(zone, call.allowed_regions),
        };
        let sent = proxies.send(destination, request, call.kind, call.times, is_wanted);
        match sent.await {
            Ok(proxied) => {
                trace::attempt_proxied(call.cause, call.upstream, &proxied.proxy);
                self.0.parts.metrics.attempt_proxied("answered");
                Ok(UpstreamAnswer {
                    answer: proxied.answer,
                    way: Way::Proxied {
                        proxy: proxied.proxy,
                        _outstanding: proxied.outstanding,
                    },
                })
            }
            Err(ProxyError::NoProxy) => {
                self.0.parts.metrics.attempt_proxied("no_proxy");
                Err(UpstreamCallError::NoPath)
            }
            Err(ProxyError::Unreachable(evidence)) => {
                self.0.parts.metrics.attempt_proxied("unreachable");
                let key = key_of(call.upstream);
                // Connections that stay open say nothing of the paths that new ones take.
                if evidence != ProbeResult::Overloaded {
                    self.0.paths.excuse(key);
                }
                self.record_failure(key, Failure::Unreachable, true, call.cause);
                Err(UpstreamCallError::NotConnected(
                    SendError::ConnectionFailed {
                        step: Step::Connect,
                        fault: ConnectionFault::Other,
                        peer: call.upstream.id.clone(),
                        cause: evidence.name().to_owned(),
                    },
                ))
            }
            Err(ProxyError::Withdrawn(error)) => Err(UpstreamCallError::Withdrawn(error)),
            Err(ProxyError::Unknown(error)) => {
                self.0.parts.metrics.attempt_proxied("unknown");
                Err(UpstreamCallError::MayHaveRun(error))
            }
        }
    }

    /// Ejects an upstream for a while; reports it to the other daemons if `is_established`.
    pub(crate) fn record_failure(
        &self,
        upstream: UpstreamKey,
        failure: Failure,
        is_established: bool,
        cause: &str,
    ) -> Duration {
        let upstreams = &self.0.parts.upstreams;
        let Some(time) = upstreams.record_failure(upstream, failure) else {
            return Duration::ZERO;
        };
        let id = upstreams.id_of(upstream).unwrap_or_default();
        trace::upstream_ejected(&id, failure, time, cause);
        if is_established {
            upstreams.publish_failure(upstream, time);
        }
        time
    }
}

/// How a path failed on which no connection could be opened.
fn path_fault(error: &SendError) -> PathFault {
    match error {
        SendError::Timeout { .. } => PathFault::Silent,
        _ => PathFault::Refused,
    }
}
