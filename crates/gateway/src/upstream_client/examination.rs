//! Examination of upstreams and paths: probes of this daemon, and what other daemons see.

use std::time::{Duration, Instant};

use compio::runtime::spawn;
use futures_util::future::{LocalBoxFuture, Shared as SharedFuture};
use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt, StreamExt};
use mangofront_engines::{Failure, UpstreamKey, key_of};
use mangofront_paths::{KnownUpstream, Route};
use mangofront_routes::Upstream;
use mangofront_telemetry::metrics::PathState;
use mangofront_upstream::{SendError, UpstreamResponse};
use xxhash_rust::xxh3::xxh3_64;

use super::UpstreamClient;
use crate::probe::{ProbeResult, probe};
use crate::proxy::{NeededEvidence, Testimony};
use crate::rate_limits;
use crate::trace;

/// Period with which lost and silent paths are looked for.
const WATCH_PERIOD: Duration = Duration::from_millis(250);

/// Shortest time between two looks, so that failures in series don't each cause a survey.
const MIN_WATCH_PAUSE: Duration = Duration::from_millis(50);

/// Looks after which paths to upstreams that are gone are dropped.
const TICKS_PER_RETAIN: u64 = 40;

/// Time in which the end of a process is detected on all connections to it.
const END_DETECTION_TIME: Duration = Duration::from_millis(50);

/// Time for which the proof that this daemon reaches some upstream is good.
const PROOF_LIFETIME: Duration = Duration::from_millis(300);

/// Time for another upstream to answer such a probe.
const PROOF_TIMEOUT: Duration = Duration::from_millis(250);

/// Age up to which a probe that runs is shared.
const SHARED_PROBE_AGE: Duration = Duration::from_millis(30);

/// Time between two questions to others about upstreams that close new connections and keep others:
/// each adds connections to upstreams that may have too many.
const OVERLOAD_QUESTION_PAUSE: Duration = Duration::from_secs(2);

/// Cause of a probe, for logs.
const PROBE_CAUSE: &str = "probe";

/// Other upstreams of a service that are probed to prove that this daemon reaches any.
const PROOF_PROBES: usize = 2;

/// The upstreams by which a daemon may prove its paths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProofScope {
    /// Others of the same service, if there are any.
    Service,
    /// All others.
    Any,
}

/// An examination that several tasks may wait for.
pub(super) type Examination = SharedFuture<LocalBoxFuture<'static, Verdict>>;

/// A probe that several other daemons may wait for.
pub(super) type SharedProbe = SharedFuture<LocalBoxFuture<'static, ProbeResult>>;

/// What an examination of an upstream showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It answers this daemon.
    Answers,
    /// It answers another daemon, or leaves its connection open, and not this one's.
    PathLost,
    /// It answers neither this daemon nor another one with working paths, or there is no
    /// other daemon.
    Fails(ProbeResult),
    /// No daemon could tell.
    Unknown,
}

impl Verdict {
    /// Name in logs.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Answers => "answers",
            Self::PathLost => "path lost",
            Self::Fails(result) => result.name(),
            Self::Unknown => "unknown",
        }
    }
}

impl UpstreamClient {
    /// Ejects an upstream whose connection was lost, and examines whether the upstream or the path
    /// failed.
    pub(crate) fn suspect(&self, upstream: &Upstream, cause: &str) {
        let key = key_of(upstream);
        let ejection = self.record_failure(key, Failure::Unreachable, false, cause);
        let (client, upstream) = (self.clone(), upstream.clone());
        spawn(async move {
            match client.examine(&upstream).await {
                // The failure is not one of the path, so it may concern all daemons.
                Verdict::Answers | Verdict::Fails(_) => {
                    client.0.parts.upstreams.publish_failure(key, ejection);
                }
                Verdict::PathLost | Verdict::Unknown => {}
            }
        })
        .detach();
    }

    /// Has new requests prefer others to an upstream that is silent, and examines it.
    ///
    /// Silence proves nothing: it is ejected only if it certainly doesn't run.
    pub(crate) fn avoid_silent(&self, upstream: &Upstream, cause: &str) {
        let key = key_of(upstream);
        if let Some(time) = self.0.parts.upstreams.record_silence(key) {
            trace::silent_upstream_avoided(upstream, time, cause);
        }
        let (client, upstream, cause) = (self.clone(), upstream.clone(), cause.to_owned());
        spawn(async move {
            if let Verdict::Fails(result) = client.examine(&upstream).await
                && !result.shows_life()
            {
                client.record_failure(key, Failure::Unreachable, true, &cause);
            }
        })
        .detach();
    }

    /// Records that a replacement went on first while an upstream was silent on the direct path
    /// for a request that was sent `age` ago.
    ///
    /// Other daemons are not told, as it may be this daemon's path that is silent.
    pub(crate) fn record_overtaken(&self, upstream: &Upstream, age: Duration, cause: &str) {
        let upstreams = &self.0.parts.upstreams;
        if let Some(time) = upstreams.record_overtaken(key_of(upstream), age) {
            trace::upstream_ejected(&upstream.id, Failure::Overtaken, time, cause);
        }
    }

    /// Finds out whether an upstream answers this daemon, or else another one.
    ///
    /// Those who ask at the same time share one examination.
    pub(crate) async fn examine(&self, upstream: &Upstream) -> Verdict {
        let key = key_of(upstream);
        let running = self.0.examinations.borrow().get(&key).cloned();
        let examination = running.unwrap_or_else(|| {
            let (client, upstream) = (self.clone(), upstream.clone());
            let examination = async move { client.examine_once(&upstream).await };
            let examination = examination.boxed_local().shared();
            let mut examinations = self.0.examinations.borrow_mut();
            examinations.insert(key, examination.clone());
            examination
        });
        let verdict = examination.await;
        self.0.examinations.borrow_mut().remove(&key);
        verdict
    }

    async fn examine_once(&self, upstream: &Upstream) -> Verdict {
        let (key, started) = (key_of(upstream), Instant::now());
        let own = match self.0.paths.route(key) {
            Route::Direct if self.0.parts.upstreams.rest(key).is_none() => {
                Some(self.probe(upstream).await)
            }
            Route::Direct | Route::Proxied => None,
        };
        let needed = match own {
            Some(ProbeResult::Answered) => return Verdict::Answers,
            Some(ProbeResult::Overloaded) if self.may_ask_about_overloaded() => {
                NeededEvidence::Path
            }
            // It runs, and more connections would only add to what it closes. If others close
            // theirs too, it may be the paths.
            Some(ProbeResult::Overloaded) if !self.0.paths.has_doubt() => {
                return Verdict::Fails(ProbeResult::Overloaded);
            }
            _ => NeededEvidence::Life,
        };
        let testimony = self.0.parts.proxies.probe(upstream, needed).await;
        let verdict = self.verdict(own, &testimony);
        trace::upstream_examined(upstream, own, &testimony, verdict);
        match verdict {
            Verdict::PathLost => {
                let fault = own.and_then(ProbeResult::fault);
                let witness = testimony.answered_by.or(testimony.accepted_by);
                if let (Some(fault), Some(witness)) = (fault, &witness) {
                    self.0.paths.lose(upstream, fault, started, witness);
                    self.0.parts.upstreams.forgive(key);
                }
            }
            Verdict::Unknown => {
                let is_slow = own.is_some_and(|own| self.is_merely_slow(upstream, own));
                if let Some(fault) = own.and_then(ProbeResult::fault).filter(|_| !is_slow) {
                    self.0.paths.suspect(upstream, fault, started);
                }
            }
            Verdict::Answers | Verdict::Fails(_) => {}
        }
        verdict
    }

    /// Whether others may be asked about an upstream that closes new connections and keeps others,
    /// which may have too many or lie behind a partition; counts it as asked about.
    fn may_ask_about_overloaded(&self) -> bool {
        let (asked_at, now) = (&self.0.asked_about_overloaded_at, Instant::now());
        let last = asked_at.get();
        let is_early =
            last.is_some_and(|at| now.saturating_duration_since(at) < OVERLOAD_QUESTION_PAUSE);
        if !is_early {
            asked_at.set(Some(now));
        }
        !is_early
    }

    /// What the failed probe of this daemon, if it has a path, and those of others show.
    fn verdict(&self, own: Option<ProbeResult>, testimony: &Testimony) -> Verdict {
        if testimony.answered_by.is_some()
            || testimony.accepted_by.is_some() && own.is_some_and(|own| !own.shows_life())
        {
            return Verdict::PathLost;
        }
        if let Some(first) = testimony.failures.first() {
            let mut results = testimony.failures.iter().chain(&own);
            let sign_of_life = results.find(|result| result.shows_life());
            return Verdict::Fails(*sign_of_life.unwrap_or(own.as_ref().unwrap_or(first)));
        }
        match own {
            Some(own) if self.0.parts.proxies.is_alone() => Verdict::Fails(own),
            Some(ProbeResult::Refused) | None if testimony.refuses_all() => {
                Verdict::Fails(ProbeResult::Refused)
            }
            _ => Verdict::Unknown,
        }
    }

    /// Probes an upstream on the direct path.
    pub(crate) async fn probe(&self, upstream: &Upstream) -> ProbeResult {
        let table = self.0.parts.published.table();
        let service = table
            .as_ref()
            .and_then(|table| table.service(&upstream.service));
        let path = service.and_then(|service| service.probe_path.clone());
        if path.is_some() {
            self.0.parts.limits.charge(upstream, PROBE_CAUSE);
        }
        let (started, sent_at) = (Instant::now(), rate_limits::now());
        let observe = |answer: &UpstreamResponse| {
            self.observe_answer(upstream, answer, PROBE_CAUSE, sent_at);
        };
        let connections = &self.0.parts.connections;
        let result = probe(connections, upstream, path.as_deref(), observe).await;
        let result = self.detect_life(upstream, result, started).await;
        match result.fault() {
            None => {
                self.0.paths.prove(upstream);
                self.0.parts.upstreams.received_from(key_of(upstream));
            }
            // It accepted the connection, and others answer: it is slow.
            Some(_) if self.is_merely_slow(upstream, result) => {
                self.0.paths.postpone_probe(key_of(upstream));
            }
            Some(fault) => self.0.paths.fail_probe(key_of(upstream), fault),
        }
        result
    }

    /// Whether a probe that was not answered shows nothing about the path, as other upstreams of the
    /// service are heard.
    pub(crate) fn is_merely_slow(&self, upstream: &Upstream, result: ProbeResult) -> bool {
        result == ProbeResult::Silent && self.0.paths.hears_another(key_of(upstream), true)
    }

    /// Probes an upstream for another daemon; those that ask at the same time share one probe.
    ///
    /// An older one shows nothing of what happened since it began.
    pub(crate) async fn probe_for_another(&self, upstream: &Upstream) -> ProbeResult {
        let key = key_of(upstream);
        let running = self.0.probes.borrow().get(&key).cloned();
        let just_begun = running.filter(|(begun, _)| begun.elapsed() < SHARED_PROBE_AGE);
        let (begun, probe) = just_begun.unwrap_or_else(|| {
            let (client, upstream) = (self.clone(), upstream.clone());
            let probe = async move { client.probe(&upstream).await };
            let begun = (Instant::now(), probe.boxed_local().shared());
            self.0.probes.borrow_mut().insert(key, begun.clone());
            begun
        });
        let result = probe.await;
        let mut probes = self.0.probes.borrow_mut();
        if probes.get(&key).is_some_and(|(other, _)| *other == begun) {
            probes.remove(&key);
        }
        result
    }

    /// Whether connections to an upstream are open for longer than it takes to detect their end.
    async fn stays_connected(&self, upstream: &Upstream, since: Instant) -> bool {
        if !self.is_connected(upstream, since) {
            return false;
        }
        compio::time::sleep(END_DETECTION_TIME).await;
        self.is_connected(upstream, since + END_DETECTION_TIME)
    }

    /// Whether a connection to an upstream is open, or brought something since `since`.
    fn is_connected(&self, upstream: &Upstream, since: Instant) -> bool {
        let idle = self.0.parts.connections.idle_addresses();
        idle.contains(&upstream.address) || self.0.paths.has_received_since(key_of(upstream), since)
    }

    /// Tells how a connection that could not be opened failed.
    pub(crate) async fn explain_failed_connect(
        &self,
        upstream: &Upstream,
        error: &SendError,
    ) -> ProbeResult {
        let failed = ProbeResult::of_failed_connect(error);
        self.detect_life(upstream, failed, Instant::now()).await
    }

    /// The result of a failed probe, unless connections that stay open show that the upstream runs.
    async fn detect_life(
        &self,
        upstream: &Upstream,
        result: ProbeResult,
        since: Instant,
    ) -> ProbeResult {
        match result {
            ProbeResult::Closed | ProbeResult::Refused
                if self.stays_connected(upstream, since).await =>
            {
                ProbeResult::Overloaded
            }
            result => result,
        }
    }

    /// Whether this daemon reaches another upstream than `except`, by a new connection.
    pub(crate) async fn reaches_another(&self, except: &Upstream, scope: ProofScope) -> bool {
        let service = &except.service;
        let except = key_of(except);
        let is_fresh =
            |(at, key): &(Instant, UpstreamKey)| *key != except && at.elapsed() < PROOF_LIFETIME;
        let has_proof = {
            let last_proofs = self.0.last_proofs.borrow();
            match scope {
                ProofScope::Service => last_proofs.get(service).is_some_and(is_fresh),
                ProofScope::Any => last_proofs.values().any(is_fresh),
            }
        };
        if has_proof {
            return true;
        }
        let upstreams = &self.0.parts.upstreams;
        let others = match scope {
            ProofScope::Service => upstreams.draw_of_service(except, PROOF_PROBES),
            ProofScope::Any => upstreams.draw_others(except, PROOF_PROBES),
        };
        let mut probes: FuturesUnordered<_> = others
            .iter()
            .map(|other| async move { (other, self.probe(other).await) })
            .collect();
        let first_answer = async {
            while let Some((other, result)) = probes.next().await {
                if result == ProbeResult::Answered {
                    return Some(other);
                }
            }
            None
        };
        let answered = compio::time::timeout(PROOF_TIMEOUT, first_answer).await;
        let Ok(Some(other)) = answered else {
            return false;
        };
        let mut last_proofs = self.0.last_proofs.borrow_mut();
        last_proofs.insert(other.service.clone(), (Instant::now(), key_of(other)));
        true
    }

    /// Looks for lost paths and probes them, forever.
    pub(crate) async fn watch_paths(self) {
        for tick in 0_u64.. {
            let started = Instant::now();
            self.0.paths.wait_for_failure(WATCH_PERIOD).await;
            compio::time::sleep(MIN_WATCH_PAUSE.saturating_sub(started.elapsed())).await;
            for key in self.0.paths.silent() {
                self.examine_in_background(key);
            }
            if self.0.paths.has_outage() {
                self.probe_due_paths();
            } else if tick % TICKS_PER_RETAIN == 0 {
                self.0.paths.retain(&self.known_upstreams());
            }
            let summary = self.0.paths.summary();
            let metrics = &self.0.parts.metrics;
            metrics.upstream_paths(PathState::Lost, summary.lost as u64);
            metrics.upstream_paths(PathState::Suspected, summary.suspected as u64);
            metrics.upstream_paths(PathState::Avoided, summary.avoided as u64);
        }
    }

    /// All upstreams, by service.
    fn known_upstreams(&self) -> Vec<KnownUpstream> {
        let known = |key, service: &str| KnownUpstream {
            key,
            group: xxh3_64(service.as_bytes()),
        };
        self.0.parts.upstreams.map_keys(known)
    }

    fn probe_due_paths(&self) {
        let upstreams = &self.0.parts.upstreams;
        let mut due = self.0.paths.due_probes(&self.known_upstreams());
        due.retain(|key| upstreams.rest(*key).is_none());
        for key in due {
            if let Some(upstream) = upstreams.registration(key) {
                let client = self.clone();
                spawn(async move { client.probe(&upstream).await }).detach();
            }
        }
    }

    pub(crate) fn examine_in_background(&self, key: UpstreamKey) {
        if let Some(upstream) = self.0.parts.upstreams.registration(key) {
            let client = self.clone();
            spawn(async move {
                if client.examine(&upstream).await == Verdict::Unknown {
                    client.0.paths.examine_again();
                }
            })
            .detach();
        }
    }

    /// Upstreams that this daemon does not reach on a direct path.
    pub(crate) fn without_direct_path(&self) -> Vec<UpstreamKey> {
        let mut keys = self.0.parts.upstreams.keys();
        keys.retain(|key| self.0.paths.route(*key) == Route::Proxied);
        keys
    }
}
