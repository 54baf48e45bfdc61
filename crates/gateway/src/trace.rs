//! Structured log lines of the gateway's decisions.
//!
//! Each line is one decision or change of belief, with what decided it as
//! typed fields. Requests get one line at their end that carries the steps
//! they went through, so that a calm request costs one line.

use std::time::Duration;

use mangofront_routes::{ConfigurationVersion, RouteTable, Upstream, UpstreamId};

/// A dependency answers no more.
pub(crate) fn dependency_lost(name: &str, reason: &str) {
    log::warn!(dependency = name, reason = reason; "gateway: dependency lost");
}

/// A dependency answers again.
pub(crate) fn dependency_regained(name: &str) {
    log::info!(dependency = name; "gateway: dependency regained");
}

/// A configuration came into force.
pub(crate) fn configuration_accepted(table: &RouteTable, before: Option<ConfigurationVersion>) {
    log::info!(
        version = table.version(),
        before_version = before.unwrap_or_default(),
        routes = table.route_count();
        "gateway: configuration in force"
    );
}

/// An upstream was registered or changed.
pub(crate) fn upstream_published(upstream: &Upstream) {
    log::info!(
        upstream = upstream.id.as_str(),
        address = upstream.address.to_string().as_str(),
        service = upstream.service.as_str(),
        leaving = upstream.leaving;
        "gateway: upstream registered"
    );
}

/// An upstream is no longer registered.
pub(crate) fn upstream_gone(id: &UpstreamId) {
    log::info!(upstream = id.as_str(); "gateway: upstream gone");
}

/// A published value can't be read; the one before it stays in force.
pub(crate) fn malformed(name: &str, reason: &str) {
    log::warn!(name = name, reason = reason; "gateway: published value refused");
}

/// An upstream failed a request, or answered that it had not run it.
pub(crate) fn attempt_failed(request: &str, upstream: &str, outcome: &str, reason: &str) {
    log::info!(request = request, upstream = upstream, outcome = outcome, reason = reason;
        "gateway: attempt failed");
}

/// How a request ended.
#[derive(Debug)]
pub(crate) struct Ended<'a> {
    pub(crate) request: &'a str,
    pub(crate) route: &'a str,
    pub(crate) organisation: &'a str,
    pub(crate) outcome: &'a str,
    pub(crate) reason: &'a str,
    pub(crate) status: u16,
    pub(crate) upstream: &'a str,
    pub(crate) attempts: u32,
    pub(crate) readers: usize,
    pub(crate) expected: Duration,
    pub(crate) first_event: Option<Duration>,
    pub(crate) longest_pause: Duration,
    pub(crate) took: Duration,
    pub(crate) version: ConfigurationVersion,
    pub(crate) lease_age: Option<Duration>,
}

impl Ended<'_> {
    pub(crate) fn write(&self) {
        log::info!(
            request = self.request,
            route = self.route,
            organisation = self.organisation,
            outcome = self.outcome,
            reason = self.reason,
            status = self.status,
            upstream = self.upstream,
            attempts = self.attempts,
            readers = self.readers,
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
