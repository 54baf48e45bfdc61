//! Sending of attempts through other daemons.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::Request;
use http_body_util::Full;
use mangofront_engines::key_of;
use mangofront_http::Outcome;
use mangofront_routes::Upstream;
use mangofront_settings::ids::InstanceId;
use mangofront_upstream::{
    ConnectionFault, Connections, SendError, Step, Target, UpstreamResponse,
};

use super::headers::{AttemptKind, AttemptOrder, ProxyOutcome, SERVICE_PATHS_LOST, TAKES_NO_WORK};
use super::selection::{OutstandingAttempt, Proxy, ProxySelection};
use crate::probe::ProbeResult;

/// Daemons that are asked first to probe an upstream, and those that are asked if none of them
/// reaches it: a partition may have cut off the first ones.
const WITNESSES: [usize; 2] = [3, 9];

/// Other daemons that have to be refused for it to count if none can prove its paths.
const LEAST_UNPROVEN_REFUSALS: usize = 2;

/// Daemons that are tried as proxies for one attempt, except those without a path.
const MAX_PROXIES: usize = 4;

/// Daemons that may reply to one attempt that they have no path: they do so at once.
const MAX_WITHOUT_PATH: usize = 32;

/// Time after which no further daemon is tried.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for another daemon to accept a connection: many round trips between zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for another daemon to report the result of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Largest answer of a proxy that sent nothing, in bytes.
const REFUSAL_LIMIT_BYTES: usize = 16 * 1024;

/// Time limits of an attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Times {
    /// Latest time for the head of the answer.
    pub(crate) deadline: Instant,
    /// Latest time at which the complete answer is useful.
    pub(crate) expires: Instant,
}

/// Where an attempt goes, and on which ways.
#[derive(Clone, Copy)]
pub(crate) struct Destination<'a> {
    pub(crate) upstream: &'a Upstream,
    /// Whether its body may pass through a daemon of a zone.
    pub(crate) may_pass: &'a dyn Fn(&str) -> bool,
}

/// The answer of an upstream, received through a proxy.
#[derive(Debug)]
pub(crate) struct Proxied {
    pub(crate) answer: UpstreamResponse,
    /// The daemon that forwarded the attempt.
    pub(crate) proxy: InstanceId,
    /// Counts the attempt at the proxy until its answer is complete.
    pub(crate) outstanding: OutstandingAttempt,
}

/// Why a proxied attempt has no answer.
#[derive(Debug)]
pub(crate) enum ProxyError {
    /// Nothing was sent: no daemon is known that could forward the attempt.
    NoProxy,
    /// Nothing was sent: daemons with a path to other upstreams can't reach this one.
    Unreachable(ProbeResult),
    /// The attempt may have run.
    Unknown(SendError),
    /// The attempt was no longer wanted; nothing was sent.
    Withdrawn(SendError),
}

/// Sends attempts through other daemons; clones share their state.
#[derive(Debug, Clone)]
pub(crate) struct ProxyClient {
    instance: InstanceId,
    connections: Connections,
    selection: Rc<ProxySelection>,
}

/// Result of one proxy.
enum Reply {
    Answered(UpstreamResponse),
    NotSent(ProxyOutcome, String),
    /// The proxy works, and does not know whether the attempt ran.
    Unknown(SendError),
}

/// What one daemon says of an upstream that it probed.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Statement {
    /// It answers that daemon.
    Answers(InstanceId),
    /// It does not answer this daemon, and it runs or another upstream of its service answers.
    Fails(InstanceId, ProbeResult),
    /// It refuses connections, and no other upstream of its service answers either.
    RefusesWithoutProof,
    /// That daemon has no path to it.
    NoPath,
}

/// What other daemons are asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NeededEvidence {
    /// Whether the upstream runs.
    Life,
    /// Whether it takes new connections of any daemon.
    Path,
}

/// What other daemons say of an upstream that they probed.
#[derive(Debug, Default)]
pub(crate) struct Testimony {
    /// A daemon that it answers.
    pub(crate) answered_by: Option<InstanceId>,
    /// A daemon whose connection it accepted and left open without an answer.
    pub(crate) accepted_by: Option<InstanceId>,
    /// How it fails, by daemons that reach another upstream of its service.
    pub(crate) failures: Vec<ProbeResult>,
    /// Daemons whose connections it refuses and that reach no other upstream of its service.
    pub(crate) unproven_refusals: usize,
    /// Daemons without a path to it.
    pub(crate) without_path: usize,
}

impl Testimony {
    fn add(&mut self, statement: Option<Statement>) {
        match statement {
            Some(Statement::Answers(witness)) => self.answered_by = Some(witness),
            Some(Statement::Fails(witness, result)) => {
                if result == ProbeResult::Silent {
                    self.accepted_by = Some(witness);
                }
                self.failures.push(result);
            }
            Some(Statement::RefusesWithoutProof) => self.unproven_refusals += 1,
            Some(Statement::NoPath) => self.without_path += 1,
            None => {}
        }
    }

    fn shows(&self, needed: NeededEvidence) -> bool {
        let is_enough = |result: &ProbeResult| match needed {
            NeededEvidence::Life => result.shows_life(),
            NeededEvidence::Path => *result == ProbeResult::Silent,
        };
        self.answered_by.is_some() || self.failures.iter().any(is_enough)
    }

    /// Whether all daemons say alike that nothing listens at its address. It can be no path of
    /// theirs unless each of them has lost it in the same way.
    pub(crate) fn refuses_all(&self) -> bool {
        self.answered_by.is_none()
            && self.failures.is_empty()
            && self.without_path == 0
            && self.unproven_refusals >= LEAST_UNPROVEN_REFUSALS
    }
}

impl ProxyClient {
    /// Creates a client for the daemon `instance`; `connections` are to other daemons.
    pub(crate) fn new(
        instance: InstanceId,
        connections: Connections,
        selection: ProxySelection,
    ) -> Self {
        Self {
            instance,
            connections,
            selection: Rc::new(selection),
        }
    }

    /// Whether no other daemon is known, in whatever state.
    pub(crate) fn is_alone(&self) -> bool {
        self.selection.is_alone()
    }

    /// Sends an attempt to an upstream through another daemon.
    ///
    /// Another one is tried only if nothing was sent.
    pub(crate) async fn send(
        &self,
        destination: Destination<'_>,
        request: Request<Full<Bytes>>,
        kind: AttemptKind,
        times: Times,
        is_wanted: impl Fn() -> bool,
    ) -> Result<Proxied, ProxyError> {
        let upstream = destination.upstream;
        let mut tried = Vec::new();
        let mut without_path = 0;
        let mut unreachable = None;
        let mut is_overloaded = false;
        let started = Instant::now();
        while tried.len() - without_path < MAX_PROXIES
            && without_path < MAX_WITHOUT_PATH
            && started.elapsed() < SEARCH_TIMEOUT
            && let Some(proxy) = self.selection.next(destination, &tried)
        {
            tried.push(proxy.instance.clone());
            let outstanding = self.selection.begin(&proxy);
            let sent = self
                .send_through(&proxy, upstream, request.clone(), kind, times, &is_wanted)
                .await;
            match sent {
                Ok(Reply::Answered(answer)) => {
                    return Ok(Proxied {
                        answer,
                        proxy: proxy.instance,
                        outstanding,
                    });
                }
                Ok(Reply::NotSent(ProxyOutcome::Unreachable, evidence)) => {
                    let evidence = ProbeResult::from_name(&evidence);
                    let evidence = evidence.unwrap_or(ProbeResult::NotConnected);
                    // It may lie behind a partition that open connections survive.
                    if evidence == ProbeResult::Overloaded {
                        self.selection.record_no_path(&proxy, key_of(upstream));
                        is_overloaded = true;
                        continue;
                    }
                    // The path of one proxy to this upstream alone may be lost.
                    if unreachable.replace(evidence).is_some() {
                        break;
                    }
                }
                Ok(Reply::NotSent(ProxyOutcome::NoPath, reason)) => {
                    without_path += 1;
                    match reason == SERVICE_PATHS_LOST {
                        true => self
                            .selection
                            .record_no_path_to_service(&proxy, &upstream.service),
                        false => self.selection.record_no_path(&proxy, key_of(upstream)),
                    }
                }
                Ok(Reply::NotSent(_, reason)) if reason == TAKES_NO_WORK => {
                    let peer = upstream.id.clone();
                    return Err(ProxyError::Withdrawn(SendError::Withdrawn { peer }));
                }
                Ok(Reply::NotSent(..)) => self.selection.record_refusal(&proxy),
                Ok(Reply::Unknown(error)) => return Err(ProxyError::Unknown(error)),
                Err(error @ SendError::Withdrawn { .. }) => {
                    return Err(ProxyError::Withdrawn(error));
                }
                Err(error) if error.outcome() == Outcome::NotRun => {
                    log::debug!("gateway: proxy {} not reached: {error}", proxy.instance);
                    self.selection.record_failure(&proxy);
                }
                Err(error) => {
                    self.selection.record_failure(&proxy);
                    return Err(ProxyError::Unknown(error));
                }
            }
        }
        match unreachable {
            Some(evidence) => Err(ProxyError::Unreachable(evidence)),
            None if is_overloaded => Err(ProxyError::Unreachable(ProbeResult::Overloaded)),
            None => Err(ProxyError::NoProxy),
        }
    }

    /// Has other daemons probe an upstream until `needed` is known.
    ///
    /// An upstream that answers one of them works, whatever the others see.
    pub(crate) async fn probe(&self, upstream: &Upstream, needed: NeededEvidence) -> Testimony {
        let mut testimony = Testimony::default();
        let mut asked = Vec::new();
        for count in WITNESSES {
            let witnesses = self.selection.witnesses(upstream, &asked, count);
            asked.extend(witnesses.iter().map(|witness| witness.instance.clone()));
            let mut probes: FuturesUnordered<_> = witnesses
                .iter()
                .map(|witness| self.probe_through(witness, upstream))
                .collect();
            while let Some(statement) = probes.next().await {
                testimony.add(statement);
                if testimony.shows(needed) {
                    return testimony;
                }
            }
        }
        testimony
    }

    async fn probe_through(&self, witness: &Proxy, upstream: &Upstream) -> Option<Statement> {
        let request = Request::new(Full::new(Bytes::new()));
        let deadline = Instant::now() + PROBE_TIMEOUT;
        let times = Times {
            deadline,
            expires: deadline,
        };
        let kind = AttemptKind::Probe;
        let sent = self.send_through(witness, upstream, request, kind, times, || true);
        match sent.await {
            Ok(Reply::Answered(answer)) => {
                // Read to the end, so that the connection can be reused.
                answer.discard(REFUSAL_LIMIT_BYTES, deadline).await;
                Some(Statement::Answers(witness.instance.clone()))
            }
            Ok(Reply::NotSent(ProxyOutcome::Unreachable, evidence)) => {
                let result = ProbeResult::from_name(&evidence);
                result.map(|result| Statement::Fails(witness.instance.clone(), result))
            }
            Ok(Reply::NotSent(ProxyOutcome::NoPath, evidence)) => {
                if ProbeResult::from_name(&evidence) == Some(ProbeResult::Refused) {
                    return Some(Statement::RefusesWithoutProof);
                }
                self.selection.record_no_path(witness, key_of(upstream));
                Some(Statement::NoPath)
            }
            Ok(Reply::NotSent(..) | Reply::Unknown(_)) => None,
            Err(_) => {
                self.selection.record_failure(witness);
                None
            }
        }
    }

    async fn send_through(
        &self,
        proxy: &Proxy,
        upstream: &Upstream,
        request: Request<Full<Bytes>>,
        kind: AttemptKind,
        times: Times,
        is_wanted: impl Fn() -> bool,
    ) -> Result<Reply, SendError> {
        let target = Target {
            instance: proxy.instance.clone(),
            address: proxy.address,
        };
        let Times { deadline, expires } = times;
        let prepare = |request: &mut Request<Full<Bytes>>| {
            let order = AttemptOrder {
                sender: self.instance.clone(),
                kind,
                upstream: key_of(upstream),
                time_left: expires.saturating_duration_since(Instant::now()),
            };
            order.write(request.headers_mut());
            is_wanted()
        };
        let connect_deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let mut answer = match kind {
            AttemptKind::Repeatable | AttemptKind::Order | AttemptKind::Probe => {
                self.connections
                    .send_prepared(&target, request, connect_deadline, deadline, prepare)
                    .await?
            }
            // If a reused connection breaks, it is unknown whether the request was run.
            AttemptKind::AtMostOnce => {
                let opened = self.connections.open(&target, connect_deadline).await?;
                opened.send_prepared(request, deadline, prepare).await?
            }
        };
        match ProxyOutcome::take(&mut answer.headers) {
            (ProxyOutcome::Answered, _) => Ok(Reply::Answered(answer)),
            (ProxyOutcome::Unknown, reason) => Ok(Reply::Unknown(SendError::ConnectionFailed {
                step: Step::Head,
                fault: ConnectionFault::Other,
                peer: upstream.id.clone(),
                cause: format!("{reason}, through {}", proxy.instance),
            })),
            (outcome, reason) => {
                // Read to the end, so that the connection can be reused.
                answer.discard(REFUSAL_LIMIT_BYTES, deadline).await;
                Ok(Reply::NotSent(outcome, reason))
            }
        }
    }
}
