//! Definitions of the instruments: names, units and histogram bounds.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, UpDownCounter};

use crate::{invariants, logs};

/// Histogram bounds of the time to first token and of the request duration, in seconds:
/// from a short prompt on an idle engine up to a class that may wait ten minutes.
const LATENCY_BOUNDS_S: [f64; 16] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.52, 0.75, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 180.0, 600.0,
];

/// Histogram bounds of the event loop's lateness, in seconds: from an idle process up to
/// one that callers consider dead.
const LATENESS_BOUNDS_S: [f64; 9] = [0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 5.0];

/// Instruments of one daemon.
#[derive(Debug)]
pub(super) struct Instruments {
    pub(super) requests: Counter<u64>,
    pub(super) prompts: Counter<u64>,
    pub(super) time_to_first_token: Histogram<f64>,
    pub(super) in_flight_streams: UpDownCounter<i64>,
    pub(super) tokens_relayed: Counter<u64>,
    pub(super) refusals: Counter<u64>,
    pub(super) retries: Counter<u64>,
    pub(super) retries_refused: Counter<u64>,
    pub(super) build_info: Gauge<u64>,
    pub(super) expected_daemons: Gauge<u64>,
    pub(super) retry_share_ppm: Gauge<u64>,
    pub(super) upstream_errors: Counter<u64>,
    pub(super) upstream_crashes: Counter<u64>,
    pub(super) replacements: Counter<u64>,
    pub(super) upstream_notices: Counter<u64>,
    pub(super) prefix_placements: Counter<u64>,
    pub(super) suspects_cleared: Counter<u64>,
    pub(super) suspected_parts: Gauge<u64>,
    pub(super) evacuated_zones: Gauge<u64>,
    pub(super) quarantined_parts: Gauge<u64>,
    pub(super) quarantined: Gauge<u64>,
    pub(super) request_duration: Histogram<f64>,
    pub(super) organisation_requests: Counter<u64>,
    pub(super) upstream_attempts: Counter<u64>,
    pub(super) attempts_proxied: Counter<u64>,
    pub(super) attempts_forwarded: Counter<u64>,
    pub(super) upstream_paths: Gauge<u64>,
    pub(super) rate_limits: Gauge<u64>,
    pub(super) cold_upstreams: Gauge<u64>,
    pub(super) rate_limited_sends: Counter<u64>,
    pub(super) lease_age: Gauge<f64>,
    pub(super) event_loop_lateness: Histogram<f64>,
    pub(super) served_connections_share: Gauge<f64>,
    pub(super) connections_closed_unread: Counter<u64>,
    pub(super) departure_lateness: Gauge<f64>,
    pub(super) source_era: Gauge<u64>,
    pub(super) peers: Gauge<u64>,
    pub(super) control_sent: Counter<u64>,
    pub(super) control_received: Counter<u64>,
}

impl Instruments {
    pub(super) fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        register_violations(meter);
        register_dropped_lines(meter);
        Self {
            requests: counter("requests", "Requests that ended, by class and outcome"),
            prompts: counter(
                "prompts",
                "Prompts that ended, by class, size and what their callers got",
            ),
            time_to_first_token: meter
                .f64_histogram("time_to_first_token")
                .with_description("Time from a request's arrival to its first token")
                .with_unit("s")
                .with_boundaries(LATENCY_BOUNDS_S.to_vec())
                .build(),
            in_flight_streams: meter
                .i64_up_down_counter("in_flight_streams")
                .with_description("Streams that are being passed on")
                .build(),
            tokens_relayed: counter("tokens_relayed", "Tokens passed on to callers"),
            refusals: counter("refusals", "Refused requests, by reason"),
            retries: counter("retries", "Attempts after a request's first one"),
            build_info: meter
                .u64_gauge("build_info")
                .with_description("What the process was built from; always 1")
                .build(),
            expected_daemons: meter
                .u64_gauge("expected_daemons")
                .with_description(
                    "Daemons that share limits, as this one expects them to be running; 0 while it is not known",
                )
                .build(),
            retry_share_ppm: meter
                .u64_gauge("retry_share_ppm")
                .with_description(
                    "Share of the fixed part of the retry budget of this daemon, in millionths",
                )
                .build(),
            retries_refused: counter(
                "retries_refused",
                "Attempts after a request's first one that the retry budget did not allow",
            ),
            upstream_errors: counter("upstream_errors", "Faults of upstreams, by step"),
            upstream_crashes: counter(
                "upstream_crashes",
                "Requests of this daemon that ran on an upstream when it crashed, by evidence",
            ),
            replacements: counter(
                "replacements",
                "Replacements of silent attempts, by outcome",
            ),
            upstream_notices: counter(
                "upstream_notices",
                "Answers in which upstreams begin to leave or ask for rest, by kind",
            ),
            prefix_placements: counter(
                "prefix_placements",
                "Requests placed where the beginning of their prompt is believed to be held",
            ),
            suspects_cleared: counter(
                "suspects_cleared",
                "Requests and prompt parts that were cleared of crashes",
            ),
            suspected_parts: meter
                .u64_gauge("suspected_prompt_parts")
                .with_description("Prompt parts that ran at crashes of which they are not cleared")
                .build(),
            evacuated_zones: meter
                .u64_gauge("evacuated_zones")
                .with_description("Availability zones whose upstreams get no new work")
                .build(),
            quarantined_parts: meter
                .u64_gauge("quarantined_prompt_parts")
                .with_description("Prompt parts kept from upstreams, as these crash under them")
                .build(),
            quarantined: meter
                .u64_gauge("quarantined_requests")
                .with_description("Requests kept from all upstreams, as these crash under them")
                .build(),
            request_duration: meter
                .f64_histogram("request_duration")
                .with_description("Time from a request's arrival to its end, by class and outcome")
                .with_unit("s")
                .with_boundaries(LATENCY_BOUNDS_S.to_vec())
                .build(),
            organisation_requests: counter(
                "organisation_requests",
                "Requests that ended, by organisation and outcome",
            ),
            upstream_attempts: counter(
                "upstream_attempts",
                "Attempts at upstreams, by availability zone and outcome",
            ),
            attempts_proxied: counter(
                "attempts_proxied",
                "Attempts that other daemons were asked to forward, by outcome",
            ),
            attempts_forwarded: counter(
                "attempts_forwarded",
                "Attempts that other daemons asked this one to forward, by outcome",
            ),
            upstream_paths: meter
                .u64_gauge("upstream_paths")
                .with_description("Upstreams to which the direct path is not used, by state")
                .build(),
            rate_limits: meter
                .u64_gauge("rate_limits")
                .with_description("Upstreams with a rate limit in force")
                .build(),
            cold_upstreams: meter
                .u64_gauge("cold_upstreams")
                .with_description("Upstreams that are cold")
                .build(),
            rate_limited_sends: counter(
                "rate_limited_sends",
                "Requests for upstreams with a rate limit, by what was decided",
            ),
            lease_age: meter
                .f64_gauge("lease_age")
                .with_description("Time since what is published was known to be in force")
                .with_unit("s")
                .build(),
            event_loop_lateness: meter
                .f64_histogram("event_loop_lateness")
                .with_description("Time by which a timer of the event loop came late")
                .with_unit("s")
                .with_boundaries(LATENESS_BOUNDS_S.to_vec())
                .build(),
            served_connections_share: meter
                .f64_gauge("served_connections_share")
                .with_description("Share of new connections that the event loop has time for")
                .build(),
            connections_closed_unread: counter(
                "connections_closed_unread",
                "Connections of callers closed before a request was read, as the event loop is late",
            ),
            departure_lateness: meter
                .f64_gauge("departure_lateness_most")
                .with_description(
                    "Longest time by which others knew before that an upstream leaves or has left",
                )
                .with_unit("s")
                .build(),
            source_era: meter
                .u64_gauge("source_era")
                .with_description(
                    "Era of the platform's numbering, which rises when it is restored",
                )
                .build(),
            peers: meter
                .u64_gauge("peers")
                .with_description("Other daemons, by state")
                .build(),
            control_sent: counter("control_sent_bytes", "Bytes sent for control"),
            control_received: counter("control_received_bytes", "Bytes received for control"),
        }
    }
}

/// Registers a counter that reads the static counts of violations at each scrape. Each
/// series exists from the start, even while its count is 0.
fn register_violations(meter: &Meter) {
    // The meter keeps the callback, so the returned handle is not needed.
    let _ = meter
        .u64_observable_counter("invariant_violations")
        .with_description("Times that an invariant was broken")
        .with_callback(|observer| {
            for (invariant, count) in invariants::violations() {
                observer.observe(count, &[KeyValue::new("invariant", invariant.name())]);
            }
        })
        .build();
}

/// Registers a counter of dropped log lines. It covers the whole process, as the log does.
fn register_dropped_lines(meter: &Meter) {
    // The meter keeps the callback, so the returned handle is not needed.
    let _ = meter
        .u64_observable_counter("log_lines_dropped")
        .with_description("Lines of the log that were dropped")
        .with_callback(|observer| observer.observe(logs::dropped_lines(), &[]))
        .build();
}
