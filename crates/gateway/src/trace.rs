//! Structured log lines of the gateway's decisions.
//!
//! Each line records one decision or state change, with its inputs as typed fields. A
//! request without failures writes two lines: its placement, which is all that is left of
//! it if its daemon is killed, and its summary.

use std::time::Duration;

use mangofront_engines::{
    Failure, NoUpstream, ORGANISATION_OVER_SHARE, OverShare, Placement, UpstreamKey,
};
use mangofront_limits::{ColdChange, FleetView, LimitChange, RateLimit};
use mangofront_paths::{PathFault, PathSummary};
use mangofront_quarantine::{BLAMED_CRASHES, QuarantineState, Suspect};
use mangofront_routes::{ConfigurationVersion, RouteTable, Upstream, UpstreamId};
use mangofront_settings::ids::InstanceId;
use mangofront_telemetry::metrics::{Disposition, LengthBucket, Metrics, RequestOutcome};

use crate::attempts::FailedAttempt;
use crate::call::Call;
use crate::cold_upstreams::ColdSource;
use crate::dialect::Position;
use crate::evacuations::ZoneState;
use crate::fingerprint::Fingerprint;
use crate::hedging::HedgeTrigger;
use crate::history::{History, RATE_LIMITED};
use crate::introduction::Introduction;
use crate::lease::Lease;
use crate::probe::ProbeResult;
use crate::provenance::Provenance;
use crate::proxy::Testimony;
use crate::published::Published;
use crate::quarantine::{LostAttempt, format_suspect};
use crate::rate_limits::LimitSource;
use crate::refusal::Refusal;
use crate::silence::SilenceSummary;
use crate::stopping::CUT_OFF;
use crate::stream_race::AttemptNumber;
use crate::upstream_client::Verdict;

/// Characters of an invalid name that are logged.
const NAME_SHOWN_CHARS: usize = 64;

/// Prompt parts that one line lists.
const MAX_LOGGED_PARTS: usize = 16;

/// A dependency stopped answering.
pub(crate) fn dependency_lost(name: &str, reason: &str) {
    log::warn!(dependency = name, reason = reason; "gateway: dependency lost");
}

/// Another call to a dependency that was lost failed.
pub(crate) fn dependency_still_lost(name: &str, failures: u32, reason: &str) {
    log::info!(
        dependency = name,
        failures = failures,
        reason = reason;
        "gateway: dependency still lost"
    );
}

/// A dependency answers again.
pub(crate) fn dependency_regained(name: &str) {
    log::info!(dependency = name; "gateway: dependency regained");
}

/// The number of daemons that share limits has changed.
pub(crate) fn fleet_counted(expected: Option<usize>, counted: usize, view: &FleetView) {
    log::info!(
        expected = expected.unwrap_or_default(),
        is_known = expected.is_some(),
        counted = counted,
        running = view.running.len(),
        listed_unanswered = view.unanswered.len(),
        zones = view.zones.len();
        "gateway: daemons that share limits"
    );
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

/// An upstream was registered or changed, which other daemons have known for `late`.
pub(crate) fn upstream_published(upstream: &Upstream, late: Duration, provenance: &Provenance) {
    log::info!(
        upstream = upstream.id.as_str(),
        address = upstream.address.to_string().as_str(),
        service = upstream.service.as_str(),
        leaving = upstream.leaving,
        learned_by = provenance.channel.name(),
        learned_from = provenance.from.as_str(),
        position = provenance.position.revision,
        era = provenance.position.era,
        age_ms = provenance.age.map(milliseconds),
        late_ms = milliseconds(late);
        "gateway: upstream registered"
    );
}

/// An upstream started again under the same id; its earlier requests are lost.
pub(crate) fn upstream_restarted(upstream: &Upstream) {
    log::info!(
        upstream = upstream.id.as_str(),
        address = upstream.address.to_string().as_str(),
        started_at_ms = upstream.started_at_ms;
        "gateway: upstream started again"
    );
}

/// A registration was ignored, as an earlier incarnation of the upstream wrote it.
pub(crate) fn earlier_incarnation(upstream: &Upstream) {
    log::info!(
        upstream = upstream.id.as_str(),
        started_at_ms = upstream.started_at_ms;
        "gateway: registration of an earlier life passed over"
    );
}

/// A registration names no usable upstream.
pub(crate) fn unusable_registration(id: &str, reason: &str, provenance: &Provenance) {
    log::warn!(
        upstream = id,
        reason = reason,
        learned_by = provenance.channel.name(),
        learned_from = provenance.from.as_str(),
        position = provenance.position.revision,
        era = provenance.position.era;
        "gateway: registration can't be used"
    );
}

/// An upstream is no longer in use since its registration is gone, which other daemons have
/// known for `late`.
pub(crate) fn upstream_gone(id: &UpstreamId, late: Duration, provenance: &Provenance) {
    log::info!(
        upstream = id.as_str(),
        learned_by = provenance.channel.name(),
        learned_from = provenance.from.as_str(),
        position = provenance.position.revision,
        era = provenance.position.era,
        age_ms = provenance.age.map(milliseconds),
        late_ms = milliseconds(late);
        "gateway: upstream gone"
    );
}

/// Upstreams of a zone get no new work from now on, or get it again; other daemons have known that
/// for `late`.
pub(crate) fn zone_evacuation(
    zone: &str,
    state: ZoneState,
    late: Duration,
    provenance: &Provenance,
) {
    let message = match state {
        ZoneState::Evacuated => "gateway: zone evacuated, its upstreams get no new work",
        ZoneState::Open => "gateway: evacuation ended, the zone's upstreams get work again",
    };
    log::info!(
        availability_zone = zone,
        learned_by = provenance.channel.name(),
        learned_from = provenance.from.as_str(),
        position = provenance.position.revision,
        era = provenance.position.era,
        age_ms = provenance.age.map(milliseconds),
        late_ms = milliseconds(late);
        "{message}"
    );
}

/// A restored source does not tell of an evacuation, which stays in force.
pub(crate) fn evacuation_kept(zone: &str, provenance: &Provenance) {
    log::warn!(
        availability_zone = zone,
        learned_by = provenance.channel.name(),
        learned_from = provenance.from.as_str(),
        position = provenance.position.revision,
        era = provenance.position.era;
        "gateway: restored source does not tell of an evacuation, which stays in force"
    );
}

/// A statement about an evacuation was ignored.
pub(crate) fn evacuation_ignored(zone: &str, reason: &str, provenance: &Provenance) {
    let start: String = zone.chars().take(NAME_SHOWN_CHARS).collect();
    log::warn!(
        availability_zone = start.as_str(),
        reason,
        learned_by = provenance.channel.name(),
        learned_from = provenance.from.as_str();
        "gateway: evacuation ignored"
    );
}

/// An evacuation is not in force, as too many zones are evacuated.
pub(crate) fn evacuation_refused(zone: &str, provenance: &Provenance) {
    log::error!(
        availability_zone = zone,
        learned_by = provenance.channel.name(),
        learned_from = provenance.from.as_str();
        "gateway: evacuation not in force, as too many zones are evacuated"
    );
}

/// A registration is missing that may only have lapsed; its upstream stays in use.
pub(crate) fn removal_deferred(id: &UpstreamId, time: Duration, provenance: &Provenance) {
    log::info!(
        upstream = id.as_str(),
        kept_ms = milliseconds(time),
        learned_by = provenance.channel.name(),
        learned_from = provenance.from.as_str(),
        position = provenance.position.revision,
        era = provenance.position.era,
        age_ms = provenance.age.map(milliseconds);
        "gateway: registration missing, upstream kept for now"
    );
}

/// The grace period of an upstream ended early, as the source was available all the time.
pub(crate) fn grace_ended(id: &UpstreamId) {
    log::info!(upstream = id.as_str(); "gateway: upstream gone, its registration had not lapsed");
}

/// A copy of the values in force could not be fetched from another daemon.
pub(crate) fn copy_failed(from: &InstanceId, reason: &str) {
    log::info!(from = from.as_str(), reason = reason; "gateway: copy not handed over");
}

/// Queries began to fail, as no daemon that replies is in touch with the source, or succeed
/// again.
pub(crate) fn confirmed_by_others(is_confirmed: bool) {
    log::info!(is_confirmed = is_confirmed; "gateway: confirmation by other daemons");
}

/// The wait for other daemons after the start has ended.
pub(crate) fn introduced(how: Introduction, took: Duration) {
    let took_ms = milliseconds(took);
    log::info!(how = how.name(), took_ms = took_ms; "gateway: introduced");
}

/// The source came back from an earlier state and numbers its changes anew.
pub(crate) fn era_entered(before: Position, position: Position, provenance: &Provenance) {
    log::warn!(
        before_era = before.era,
        before_position = before.revision,
        era = position.era,
        position = position.revision,
        learned_by = provenance.channel.name(),
        learned_from = provenance.from.as_str();
        "gateway: source restored from an earlier state"
    );
}

/// The source told values that are older than what is known.
pub(crate) fn read_rejected(position: Position, known: Position) {
    log::warn!(
        position = position.revision,
        era = position.era,
        known_position = known.revision,
        known_era = known.era;
        "gateway: values of the source are older than the known ones"
    );
}

/// An answer with changes is so large that later ones may be missing.
pub(crate) fn changes_may_be_truncated(position: Position) {
    log::info!(position = position.revision, era = position.era; "gateway: changes may be cut, everything is read");
}

/// A published value can't be decoded; the one before it stays in force.
pub(crate) fn malformed(name: &str, reason: &str) {
    log::warn!(name = name, reason = reason; "gateway: published value refused");
}

/// A request is about to be sent to the upstreams selected for it.
pub(crate) fn request_placed(
    call: &Call,
    history: &History,
    number: AttemptNumber,
    placement: &Placement,
    published: &Published,
) {
    let confirmation = published.confirmation();
    let ids: Vec<&str> = placement
        .shares
        .iter()
        .map(|share| share.upstream.id.as_str())
        .collect();
    log::info!(
        request = call.id.as_str(),
        fingerprint = call.fingerprint.to_string().as_str(),
        route = call.route.name.as_str(),
        prompt_tokens = call.tokens.map_or(0, |tokens| tokens.prompt_tokens),
        attempt = number + 1,
        upstream = ids[0],
        helpers = ids[1..].join(" ").as_str(),
        waited_ms = milliseconds(history.waited),
        expected_ms = milliseconds(placement.expected_first_event),
        queue_ms = milliseconds(placement.queue_delay),
        daemons_heard = placement.known_daemons,
        oldest_news_ms = milliseconds(placement.oldest_update),
        configuration_version = call.version,
        position = confirmation.map(|confirmation| confirmation.upstreams_position.revision),
        position_age_ms = confirmation.map(|confirmation| confirmation.age_ms);
        "gateway: request placed"
    );
}

/// A request was placed where the beginning of its prompt is believed to be held.
pub(crate) fn prefix_held(call: &Call, placement: &Placement) {
    log::info!(
        request = call.id.as_str(),
        upstream = placement.answering().id.as_str(),
        saving_ms = milliseconds(placement.believed_saving);
        "gateway: beginning of the prompt believed to be held"
    );
}

/// An upstream failed a request, or reported that it did not run it.
pub(crate) fn attempt_failed(
    call: &Call,
    failed: &FailedAttempt<'_>,
    reason: &str,
    has_other_attempt: bool,
) {
    log::info!(
        request = call.id.as_str(),
        fingerprint = call.fingerprint.to_string().as_str(),
        upstream = failed.upstream.id.as_str(),
        upstream_started_at_ms = failed.upstream.started_at_ms,
        outcome = failed.outcome,
        answer = failed.progress.name(),
        has_other_attempt = has_other_attempt,
        reason = reason;
        "gateway: attempt failed"
    );
}

/// An attempt whose upstream is silent for much longer than usual.
#[derive(Debug)]
pub(crate) struct SilentAttempt<'a> {
    pub(crate) upstream: &'a Upstream,
    pub(crate) trigger: HedgeTrigger,
    pub(crate) silence: Duration,
    /// Silence from which on it counts.
    pub(crate) limit: Duration,
    /// How many other upstreams are silent too.
    pub(crate) summary: SilenceSummary,
    /// Time for which this daemon has not run since its start.
    pub(crate) lateness: Duration,
}

/// The upstream of an attempt has been silent for much longer than usual.
pub(crate) fn attempt_silent(call: &Call, silent: &SilentAttempt<'_>) {
    log::info!(
        request = call.id.as_str(),
        upstream = silent.upstream.id.as_str(),
        trigger = silent.trigger.name(),
        silent_ms = milliseconds(silent.silence),
        limit_ms = milliseconds(silent.limit),
        silent_upstreams = silent.summary.silent,
        awaited_upstreams = silent.summary.awaited,
        not_run_ms = milliseconds(silent.lateness),
        left_ms = milliseconds(call.time_left());
        "gateway: upstream of an attempt is silent"
    );
}

/// One of two attempts was first to go on, and the other is cancelled.
pub(crate) fn attempt_overtaken(
    call: &Call,
    winner: Option<Upstream>,
    loser: Option<Upstream>,
    by_replacement: bool,
) {
    let id = |upstream: Option<Upstream>| upstream.map_or(String::new(), |upstream| upstream.id);
    log::info!(
        request = call.id.as_str(),
        upstream = id(winner).as_str(),
        cancelled_upstream = id(loser).as_str(),
        by_replacement = by_replacement;
        "gateway: attempt overtaken"
    );
}

/// New requests of this daemon prefer others to an upstream that is silent.
pub(crate) fn silent_upstream_avoided(upstream: &Upstream, time: Duration, cause: &str) {
    log::info!(
        upstream = upstream.id.as_str(),
        avoided_ms = milliseconds(time),
        cause_request = cause;
        "gateway: silent upstream avoided"
    );
}

/// An upstream crashed while running a request.
pub(crate) fn upstream_crashed_under(
    lost: &LostAttempt,
    upstream: &Upstream,
    state: QuarantineState,
    evidence: &str,
) {
    let crashes = match state {
        QuarantineState::Open { crashes } => crashes,
        QuarantineState::Quarantined { .. } | QuarantineState::TrialAllowed => BLAMED_CRASHES,
    };
    log::warn!(
        request = lost.request.as_str(),
        fingerprint = lost.fingerprint.to_string().as_str(),
        prompt_parts = format_parts(lost.suspects()).as_str(),
        answer = lost.progress.name(),
        is_trial = lost.is_trial,
        upstream = upstream.id.as_str(),
        upstream_started_at_ms = upstream.started_at_ms,
        crashes = crashes,
        evidence = evidence;
        "gateway: upstream crashed under a request"
    );
}

/// A direct path that was found to fail.
#[derive(Debug)]
pub(crate) struct PathFailure {
    pub(crate) fault: PathFault,
    pub(crate) failed_for: Duration,
    /// Time since an upstream last answered on a new connection on this path.
    pub(crate) proof_age: Option<Duration>,
    /// All paths of this daemon.
    pub(crate) summary: PathSummary,
}

/// An upstream takes no connection of this daemon, and no other daemon could tell whether it
/// works.
pub(crate) fn path_suspected(upstream: &Upstream, failure: &PathFailure) {
    let summary = &failure.summary;
    log::info!(
        upstream = upstream.id.as_str(),
        address = upstream.address.to_string().as_str(),
        evidence = failure.fault.name(),
        failed_for_ms = milliseconds(failure.failed_for),
        proof_age_ms = failure.proof_age.map(milliseconds),
        lost_paths = summary.lost,
        suspected_paths = summary.suspected,
        avoided_paths = summary.avoided,
        longest_outage_ms = summary.longest_outage.map(milliseconds);
        "gateway: path to upstream suspected"
    );
}

/// The path from this daemon to an upstream is lost: `witness` reached the upstream.
pub(crate) fn path_lost(upstream: &Upstream, failure: &PathFailure, witness: &str) {
    let summary = &failure.summary;
    log::warn!(
        upstream = upstream.id.as_str(),
        address = upstream.address.to_string().as_str(),
        evidence = failure.fault.name(),
        failed_for_ms = milliseconds(failure.failed_for),
        proof_age_ms = failure.proof_age.map(milliseconds),
        reached_by = witness,
        lost_paths = summary.lost,
        suspected_paths = summary.suspected,
        avoided_paths = summary.avoided;
        "gateway: path to upstream lost"
    );
}

/// The path from this daemon to an upstream works again.
pub(crate) fn path_regained(upstream: &Upstream, outage: Duration) {
    log::info!(
        upstream = upstream.id.as_str(),
        outage_ms = milliseconds(outage);
        "gateway: path to upstream regained"
    );
}

/// Another daemon forwarded an attempt of this one.
pub(crate) fn attempt_proxied(cause: &str, upstream: &Upstream, proxy: &InstanceId) {
    log::info!(
        request = cause,
        upstream = upstream.id.as_str(),
        proxy = proxy.as_str();
        "gateway: attempt sent through another daemon"
    );
}

/// An attempt of another daemon has no answer.
pub(crate) fn attempt_not_forwarded(
    sender: &InstanceId,
    upstream: UpstreamKey,
    outcome: &str,
    reason: &str,
) {
    log::info!(
        sender = sender.as_str(),
        upstream_key = format!("{upstream:016x}").as_str(),
        outcome = outcome,
        reason = reason;
        "gateway: attempt of another daemon not answered"
    );
}

/// An attempt of another daemon was cut off, as this one stops.
pub(crate) fn forwarded_attempt_cut_off(request: &str, sender: &InstanceId, upstream: UpstreamKey) {
    log::info!(
        request = request,
        sender = sender.as_str(),
        upstream_key = format!("{upstream:016x}").as_str(),
        reason = CUT_OFF;
        "gateway: forwarded attempt cut off"
    );
}

/// Something that is not a known daemon called the port of proxied attempts.
pub(crate) fn proxy_request_rejected(peer: &str) {
    log::warn!(peer = peer; "gateway: proxied attempt rejected, its sender is no known daemon");
}

/// The rate limit of an upstream that is in force here changed; `source` tells how this daemon
/// learned of it.
pub(crate) fn rate_limit_changed(
    upstream: &Upstream,
    change: &LimitChange,
    source: LimitSource,
    age: Duration,
) {
    log::info!(
        upstream = upstream.id.as_str(),
        address = upstream.address.to_string().as_str(),
        before_per_s = change.before.map(RateLimit::per_s),
        now_per_s = change.now.map(RateLimit::per_s),
        learned_by = source.name(),
        age_ms = milliseconds(age);
        "gateway: rate limit of upstream changed"
    );
}

/// An upstream is cold for another time than was known, or warm; `source` tells how this daemon
/// learned of it.
pub(crate) fn upstream_cold_changed(id: &str, change: &ColdChange, source: ColdSource) {
    if let Some(stated) = change.bounded_from {
        log::warn!(
            upstream = id,
            stated_ms = milliseconds(stated);
            "gateway: upstream says that it stays cold for longer than its service publishes"
        );
    }
    log::info!(
        upstream = id,
        left_ms = milliseconds(change.left),
        limit_per_s = change.rate.per_s(),
        learned_by = source.name();
        "gateway: cold time of upstream changed"
    );
}

/// The rate of a service's warm-up can't be kept; its upstreams count as warm.
pub(crate) fn warm_up_invalid(upstream: &Upstream) {
    log::warn!(
        upstream = upstream.id.as_str(),
        service = upstream.service.as_str();
        "gateway: rate of the service's warm-up can't be kept"
    );
}

/// An upstream names a rate limit that can't be understood; the one in force stays.
pub(crate) fn rate_limit_invalid(upstream: &Upstream) {
    log::warn!(
        upstream = upstream.id.as_str();
        "gateway: rate limit of upstream can't be understood"
    );
}

/// The coordinator of an upstream's rate limit did not reply.
pub(crate) fn permit_not_decided(request: &str, upstream: &Upstream) {
    log::info!(
        request = request,
        upstream = upstream.id.as_str(),
        zone = upstream.availability_zone.as_str();
        "gateway: no permit, the coordinator of the rate limit does not reply"
    );
}

/// A request goes to an upstream with a rate limit.
pub(crate) fn rate_limited_send(
    request: &str,
    upstream: &Upstream,
    limit: RateLimit,
    limit_age_ms: u32,
    sent_by_this_daemon: usize,
    decision: &str,
) {
    log::info!(
        request = request,
        upstream = upstream.id.as_str(),
        limit_per_s = limit.per_s(),
        limit_age_ms = limit_age_ms,
        sent_in_4_s = sent_by_this_daemon,
        decision = decision;
        "gateway: request sent under a rate limit"
    );
}

/// A request is tried although it, or parts of its prompt, are quarantined.
pub(crate) fn trial_started(call: &Call, suspects: &[Suspect]) {
    log::info!(
        request = call.id.as_str(),
        fingerprint = call.fingerprint.to_string().as_str(),
        suspects = format_suspects(suspects).as_str();
        "gateway: quarantined request tried"
    );
}

/// A request is not sent, as upstreams crash under it or under parts of its prompt.
pub(crate) fn quarantined(call: &Call, suspects: &[Suspect], remaining: Duration) {
    log::info!(
        request = call.id.as_str(),
        fingerprint = call.fingerprint.to_string().as_str(),
        suspects = format_suspects(suspects).as_str(),
        remaining_ms = milliseconds(remaining);
        "gateway: request quarantined"
    );
}

/// A request or prompt part is no longer considered the cause of crashes.
pub(crate) fn suspect_cleared(suspect: Suspect, request: &str, reason: &str) {
    log::info!(
        suspect = format_suspect(suspect).as_str(),
        is_prompt_part = suspect.is_prompt_part(),
        request = request,
        reason = reason;
        "gateway: cleared of crashes"
    );
}

/// An upstream gets no requests for a while.
pub(crate) fn upstream_ejected(upstream: &str, failure: Failure, time: Duration, cause: &str) {
    log::info!(
        upstream = upstream,
        failure = failure.name(),
        left_out_ms = milliseconds(time),
        cause_request = cause;
        "gateway: upstream left out"
    );
}

/// Another availability zone became unreachable, or reachable again.
pub(crate) fn zone_changed(zone: &str, is_reachable: bool) {
    log::info!(dependency = zone, reachable = is_reachable; "gateway: zone reachability changed");
}

/// An upstream told this daemon that it leaves.
pub(crate) fn upstream_says_it_leaves(upstream: &str, request: &str) {
    log::info!(upstream = upstream, cause_request = request;
        "gateway: upstream says that it leaves");
}

/// An upstream asked this daemon for rest.
pub(crate) fn upstream_asks_for_rest(upstream: &str, rest: Duration, request: &str) {
    log::info!(upstream = upstream, rest_ms = milliseconds(rest), cause_request = request;
        "gateway: upstream asks for rest");
}

/// An upstream asked for rest by a value that is no time; it changes nothing.
pub(crate) fn rest_invalid(upstream: &Upstream, request: &str) {
    log::warn!(upstream = upstream.id.as_str(), cause_request = request;
        "gateway: upstream asks for rest with a value that is no time");
}

/// An upstream that did not answer this daemon was examined.
pub(crate) fn upstream_examined(
    upstream: &Upstream,
    own: Option<ProbeResult>,
    testimony: &Testimony,
    verdict: Verdict,
) {
    let names: Vec<&str> = testimony.failures.iter().map(|one| one.name()).collect();
    log::info!(
        upstream = upstream.id.as_str(),
        verdict = verdict.name(),
        own = own.map_or("no path", ProbeResult::name),
        answered_by = testimony.answered_by.as_deref().unwrap_or_default(),
        failures = names.join(", ").as_str(),
        unproven_refusals = testimony.unproven_refusals,
        without_path = testimony.without_path;
        "gateway: upstream examined"
    );
}

/// The retry budget allowed a retry, or did not; `daemons` share the budget, and `uptime` is the
/// time since this one started.
pub(crate) fn retry_decided(
    request: &str,
    service: &str,
    daemons: usize,
    uptime: Duration,
    is_allowed: bool,
) {
    let uptime_ms = milliseconds(uptime);
    match is_allowed {
        true => log::info!(request = request, service = service, daemons = daemons,
            uptime_ms = uptime_ms; "gateway: second send allowed by the budget"),
        false => log::info!(request = request, service = service, daemons = daemons,
            uptime_ms = uptime_ms; "gateway: second send not allowed by the budget"),
    }
}

/// A request was refused before it was placed.
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

/// A request is refused as its organisation has more than its share of contended engines.
pub(crate) fn over_share(call: &Call, over_share: &OverShare) {
    let organisation = call.organisation.as_ref();
    log::info!(
        request = call.id.as_str(),
        service = call.service.as_str(),
        organisation = organisation.map_or("none", |organisation| organisation.id.as_str()),
        short_of = over_share.resource.code(),
        in_use = over_share.in_use,
        fair_share = over_share.fair_share;
        "gateway: organisation over its share"
    );
}

/// Summary of a request that has ended.
///
/// Failures on the way have lines of their own.
#[derive(Debug)]
pub(crate) struct RequestSummary<'a> {
    pub(crate) request: &'a str,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) route: &'a str,
    pub(crate) organisation: &'a str,
    pub(crate) outcome: RequestOutcome,
    pub(crate) reason: &'a str,
    pub(crate) status: u16,
    pub(crate) upstream: &'a str,
    pub(crate) attempts: u32,
    /// Engines that prefilled the prompt.
    pub(crate) engines: usize,
    pub(crate) prompt_tokens: u64,
    /// Target for the time to the first event, or to the complete answer.
    pub(crate) target: Duration,
    /// Time for which the request waited for less loaded engines.
    pub(crate) waited: Duration,
    /// Time to the first event, as predicted at placement.
    pub(crate) expected: Duration,
    pub(crate) first_event: Option<Duration>,
    pub(crate) longest_pause: Duration,
    pub(crate) took: Duration,
    pub(crate) version: ConfigurationVersion,
    pub(crate) lease_age: Option<Duration>,
    /// The daemon that forwarded the last attempt, if one did.
    pub(crate) proxy: Option<InstanceId>,
    /// Ids of the upstreams that were selected, in order, separated by spaces.
    pub(crate) selected: String,
}

impl RequestSummary<'_> {
    /// What the caller received.
    fn disposition(&self) -> Disposition {
        let is_refused_for_load = self.reason == NoUpstream::Overrun.code()
            || self.reason == ORGANISATION_OVER_SHARE
            || self.reason == RATE_LIMITED;
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

    /// Writes the log line and updates the metrics.
    pub(crate) fn write(&self, metrics: &Metrics) {
        metrics.request_ended(self.route, self.outcome);
        metrics.request_duration(self.route, self.outcome, self.took);
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
            proxy = self.proxy.as_deref().unwrap_or_default(),
            attempts = self.attempts,
            selected = self.selected.as_str(),
            readers = self.engines,
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

/// Ids of the prompt parts among suspects, separated by spaces.
fn format_parts(suspects: &[Suspect]) -> String {
    let parts = suspects.iter().filter(|suspect| suspect.is_prompt_part());
    let ids: Vec<String> = parts
        .take(MAX_LOGGED_PARTS)
        .map(|part| format_suspect(*part))
        .collect();
    ids.join(" ")
}

/// Ids of suspects, separated by spaces.
fn format_suspects(suspects: &[Suspect]) -> String {
    let suspects = suspects.iter().take(MAX_LOGGED_PARTS);
    let ids: Vec<String> = suspects.map(|suspect| format_suspect(*suspect)).collect();
    ids.join(" ")
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
