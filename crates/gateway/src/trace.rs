//! Structured log lines of the gateway's decisions.
//!
//! Each line is one decision or change of belief, with what decided it as
//! typed fields. A calm request costs two lines: where it was placed, which is
//! what remains of it when its daemon is killed, and its end, which carries the
//! steps it went through.

use std::time::Duration;

use mangofront_engines::{Failure, NoUpstream, Placement};
use mangofront_routes::{ConfigurationVersion, RouteTable, Upstream, UpstreamId};
use mangofront_settings::ids::InstanceId;
use mangofront_telemetry::metrics::{Disposition, LengthBucket, Metrics, RequestOutcome};

use crate::call::Call;
use crate::dialect::Position;
use crate::fingerprint::Fingerprint;
use crate::history::History;
use crate::lease::Lease;
use crate::provenance::Provenance;
use crate::published::Published;
use crate::refusal::Refusal;

/// A dependency answers no more.
pub(crate) fn dependency_lost(name: &str, reason: &str) {
    log::warn!(dependency = name, reason = reason; "gateway: dependency lost");
}

/// A dependency answers again.
pub(crate) fn dependency_regained(name: &str) {
    log::info!(dependency = name; "gateway: dependency regained");
}

/// A configuration came into force.
pub(crate) fn configuration_accepted(
    table: &RouteTable,
    before: Option<ConfigurationVersion>,
    provenance: &Provenance,
) {
    log::info!(
        version = table.version(),
        before_version = before.unwrap_or_default(),
        routes = table.route_count(),
        learned_by = provenance.channel.name(),
        learned_from = provenance.from.as_str();
        "gateway: configuration in force"
    );
}

/// An upstream was registered or changed, which others have known for `late`.
pub(crate) fn upstream_published(upstream: &Upstream, late: Duration, provenance: &Provenance) {
    log::info!(
        upstream = upstream.id.as_str(),
        address = upstream.address.to_string().as_str(),
        service = upstream.service.as_str(),
        leaving = upstream.leaving,
        learned_by = provenance.channel.name(),
        learned_from = provenance.from.as_str(),
        position = provenance.position,
        age_ms = provenance.age.map(milliseconds),
        late_ms = milliseconds(late);
        "gateway: upstream registered"
    );
}

/// An upstream has started again under its id; what it did before is lost.
pub(crate) fn upstream_restarted(upstream: &Upstream) {
    log::info!(
        upstream = upstream.id.as_str(),
        address = upstream.address.to_string().as_str(),
        started_at_ms = upstream.started_at_ms;
        "gateway: upstream started again"
    );
}

/// A registration was written by an earlier life than the one that is known.
pub(crate) fn earlier_life(upstream: &Upstream) {
    log::info!(
        upstream = upstream.id.as_str(),
        started_at_ms = upstream.started_at_ms;
        "gateway: registration of an earlier life passed over"
    );
}

/// A registration that names no upstream to use.
pub(crate) fn unusable_registration(id: &str, reason: &str, provenance: &Provenance) {
    log::warn!(
        upstream = id,
        reason = reason,
        learned_by = provenance.channel.name(),
        learned_from = provenance.from.as_str(),
        position = provenance.position;
        "gateway: registration can't be used"
    );
}

/// An upstream is no longer used, as its registration is gone, which others have known
/// for `late`.
pub(crate) fn upstream_gone(id: &UpstreamId, late: Duration, provenance: &Provenance) {
    log::info!(
        upstream = id.as_str(),
        learned_by = provenance.channel.name(),
        learned_from = provenance.from.as_str(),
        position = provenance.position,
        age_ms = provenance.age.map(milliseconds),
        late_ms = milliseconds(late);
        "gateway: upstream gone"
    );
}

/// A registration is missing that may only have lapsed; its upstream stays in use.
pub(crate) fn removal_put_off(id: &UpstreamId, time: Duration, provenance: &Provenance) {
    log::info!(
        upstream = id.as_str(),
        kept_ms = milliseconds(time),
        learned_by = provenance.channel.name(),
        learned_from = provenance.from.as_str(),
        position = provenance.position,
        age_ms = provenance.age.map(milliseconds);
        "gateway: registration missing, upstream kept for now"
    );
}

/// An upstream that was kept is no longer used, as the source was there all the while.
pub(crate) fn keeping_ended(id: &UpstreamId) {
    log::info!(upstream = id.as_str(); "gateway: upstream gone, its registration had not lapsed");
}

/// A copy of what is in force could not be had from another daemon.
pub(crate) fn copy_failed(from: &InstanceId, reason: &str) {
    log::info!(from = from.as_str(), reason = reason; "gateway: copy not handed over");
}

/// Nobody who is in touch with the source answers, or somebody does again.
pub(crate) fn confirmed_by_others(is_confirmed: bool) {
    log::info!(is_confirmed = is_confirmed; "gateway: confirmation by other daemons");
}

/// An answer with changes is so large that it may lack later ones.
pub(crate) fn changes_may_be_cut(position: Position) {
    log::info!(position = position; "gateway: changes may be cut, everything is read");
}

/// A published value can't be read; the one before it stays in force.
pub(crate) fn malformed(name: &str, reason: &str) {
    log::warn!(name = name, reason = reason; "gateway: published value refused");
}

/// A request goes to the upstreams that were chosen for it.
pub(crate) fn placed(call: &Call, history: &History, placed: &Placement, published: &Published) {
    let known = published.confirmation();
    let ids: Vec<&str> = placed
        .shares
        .iter()
        .map(|reader| reader.upstream.id.as_str())
        .collect();
    log::info!(
        request = call.id.as_str(),
        fingerprint = call.fingerprint.to_string().as_str(),
        route = call.route.name.as_str(),
        prompt_tokens = call.tokens.map_or(0, |tokens| tokens.prompt_tokens),
        attempt = history.tried.len() + 1,
        upstream = ids[0],
        helpers = ids[1..].join(" ").as_str(),
        waited_ms = milliseconds(history.waited),
        expected_ms = milliseconds(placed.expected_first_event),
        queue_ms = milliseconds(placed.queue_delay),
        daemons_heard = placed.known_daemons,
        oldest_news_ms = milliseconds(placed.oldest_update),
        configuration_version = call.version,
        position = known.map(|known| known.upstreams_position),
        position_age_ms = known.map(|known| known.age_ms);
        "gateway: request placed"
    );
}

/// An upstream failed a request, or answered that it had not run it.
pub(crate) fn attempt_failed(call: &Call, upstream: &Upstream, outcome: &str, reason: &str) {
    log::info!(
        request = call.id.as_str(),
        fingerprint = call.fingerprint.to_string().as_str(),
        upstream = upstream.id.as_str(),
        upstream_started_at_ms = upstream.started_at_ms,
        outcome = outcome,
        reason = reason;
        "gateway: attempt failed"
    );
}

/// An upstream crashed while it ran a request.
pub(crate) fn crashed_under(
    request: &str,
    fingerprint: Fingerprint,
    upstream: &Upstream,
    crashes: usize,
    evidence: &str,
) {
    log::warn!(
        request = request,
        fingerprint = fingerprint.to_string().as_str(),
        upstream = upstream.id.as_str(),
        upstream_started_at_ms = upstream.started_at_ms,
        crashes = crashes,
        evidence = evidence;
        "gateway: upstream crashed under a request"
    );
}

/// A request is tried once more after upstreams crashed under it.
pub(crate) fn tried_again(call: &Call) {
    log::info!(
        request = call.id.as_str(),
        fingerprint = call.fingerprint.to_string().as_str();
        "gateway: request tried again after its quarantine"
    );
}

/// A request is no longer held to be at fault for crashes.
pub(crate) fn cleared(fingerprint: Fingerprint, reason: &str) {
    log::info!(fingerprint = fingerprint.to_string().as_str(), reason = reason;
        "gateway: request cleared of crashes");
}

/// An upstream gets no requests for a while.
pub(crate) fn upstream_left_out(upstream: &str, failure: Failure, time: Duration, cause: &str) {
    log::info!(
        upstream = upstream,
        failure = failure.name(),
        left_out_ms = milliseconds(time),
        cause_request = cause;
        "gateway: upstream left out"
    );
}

/// Another zone can be reached no more, or again.
pub(crate) fn zone_changed(zone: &str, is_reachable: bool) {
    log::info!(dependency = zone, reachable = is_reachable; "gateway: zone reachability changed");
}

/// A second send that the budget of the fleet did not allow.
pub(crate) fn second_send_refused(request: &str, service: &str, daemons: usize) {
    log::info!(request = request, service = service, daemons = daemons;
        "gateway: second send not allowed by the budget");
}

/// A request that was refused before its route was known.
pub(crate) fn refused(request: &str, path: &str, peer: &str, refusal: &Refusal, lease: &Lease) {
    log::info!(
        request = request,
        path = path,
        caller = peer,
        reason = refusal.reason(),
        status = refusal.status().as_u16(),
        lease_age_ms = lease.age().map_or(0, milliseconds);
        "gateway: request refused"
    );
}

/// How a request ended, with what decided it.
///
/// What went wrong on the way has lines of its own.
#[derive(Debug)]
pub(crate) struct Ended<'a> {
    pub(crate) request: &'a str,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) route: &'a str,
    pub(crate) organisation: &'a str,
    pub(crate) outcome: RequestOutcome,
    pub(crate) reason: &'a str,
    pub(crate) status: u16,
    pub(crate) upstream: &'a str,
    pub(crate) attempts: u32,
    /// Engines that read the prompt.
    pub(crate) readers: usize,
    pub(crate) prompt_tokens: u64,
    /// Time to the first event, or to the whole answer, that is aimed at.
    pub(crate) target: Duration,
    /// Time for which the request waited for engines with less to do.
    pub(crate) waited: Duration,
    /// Time to the first event, as predicted when it was placed.
    pub(crate) expected: Duration,
    pub(crate) first_event: Option<Duration>,
    pub(crate) longest_pause: Duration,
    pub(crate) took: Duration,
    pub(crate) version: ConfigurationVersion,
    pub(crate) lease_age: Option<Duration>,
}

impl Ended<'_> {
    /// What the caller got.
    fn disposition(&self) -> Disposition {
        let is_refused_for_load = self.reason == NoUpstream::Overrun.code();
        match self.outcome {
            RequestOutcome::Answered if self.first_event.unwrap_or(self.took) <= self.target => {
                Disposition::ServedInTime
            }
            RequestOutcome::Answered => Disposition::ServedLate,
            RequestOutcome::NotRun if !is_refused_for_load => Disposition::RefusedOtherwise,
            RequestOutcome::NotRun if self.waited.is_zero() => Disposition::RefusedAtArrival,
            RequestOutcome::NotRun => Disposition::RefusedAfterWait,
            RequestOutcome::Cancelled => Disposition::Left,
            RequestOutcome::Failed => Disposition::BrokenOff,
            RequestOutcome::Unknown => Disposition::Unanswered,
        }
    }

    /// Writes the line and counts the request.
    pub(crate) fn write(&self, metrics: &Metrics) {
        metrics.request_ended(self.route, self.outcome);
        metrics.request_took(self.route, self.outcome, self.took);
        metrics.organisation_ended(self.organisation, self.outcome);
        let disposition = self.disposition();
        if self.prompt_tokens > 0 {
            metrics.prompt_ended(self.route, self.prompt_tokens, disposition);
        }
        if let Some(first_event) = self.first_event {
            let length = LengthBucket::of(self.prompt_tokens);
            metrics.first_token(self.route, length, first_event);
        }
        log::info!(
            request = self.request,
            fingerprint = self.fingerprint.to_string().as_str(),
            route = self.route,
            organisation = self.organisation,
            outcome = self.outcome.name(),
            disposition = disposition.name(),
            reason = self.reason,
            status = self.status,
            upstream = self.upstream,
            attempts = self.attempts,
            readers = self.readers,
            prompt_tokens = self.prompt_tokens,
            target_ms = milliseconds(self.target),
            waited_ms = milliseconds(self.waited),
            expected_ms = milliseconds(self.expected),
            first_event_ms = self.first_event.map_or(0, milliseconds),
            longest_pause_ms = milliseconds(self.longest_pause),
            took_ms = milliseconds(self.took),
            configuration_version = self.version,
            lease_age_ms = self.lease_age.map_or(0, milliseconds);
            "gateway: request ended"
        );
    }
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
