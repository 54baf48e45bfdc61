//! Metrics of a daemon in Prometheus text format.
//!
//! Each daemon has one [`Metrics`]; a clone shares its instruments. Labels come
//! from closed sets, names of published classes, or stable codes, so that the
//! number of series stays bounded. Values chosen by callers never become labels.

mod instruments;
mod labels;
mod memory;

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::MeterProvider as _;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use thiserror::Error;

use instruments::Instruments;
pub use labels::{
    BuildLabels, Disposition, NoticeKind, PathState, PeerState, ReplacementOutcome, RequestOutcome,
};
pub use mangofront_prompt::LengthBucket;
pub use memory::BodyUsage;

/// Prefix of the names of all metrics.
const NAMESPACE: &str = "mangofront";

/// The metrics could not be set up.
#[derive(Debug, Error)]
#[error("metrics: set-up failed: {0}")]
pub struct MetricsError(String);

/// Metrics of one daemon.
#[derive(Debug, Clone)]
pub struct Metrics(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    registry: Registry,
    instruments: Instruments,
    organisations: BoundedLabels,
    // Keeps the provider alive: without it, instruments record nothing.
    provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    /// [`MetricsError`] if the exporter can't be created.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace(NAMESPACE)
            .without_target_info()
            .scope_info_enabled(false)
            .build()
            .map_err(|error| MetricsError(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let instruments = Instruments::new(&provider.meter(NAMESPACE));
        Ok(Self(Arc::new(Inner {
            registry,
            instruments,
            organisations: BoundedLabels::default(),
            provider,
        })))
    }

    /// Returns all recorded metrics in Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        let families = self.0.registry.gather();
        match TextEncoder::new().encode_to_string(&families) {
            Ok(text) => text,
            Err(error) => {
                log::error!("metrics: encoding as text failed: {error}");
                String::new()
            }
        }
    }

    /// Adds the memory of the process and of the bodies in it; `usage` is called at each scrape.
    pub fn observe_memory(&self, usage: impl Fn() -> Vec<BodyUsage> + Send + Sync + 'static) {
        let meter = self.0.provider.meter(NAMESPACE);
        memory::register_resident(&meter);
        memory::register_bodies(&meter, usage);
    }

    /// Records what the process was built from; the value is always 1.
    pub fn build_info(&self, build: BuildLabels) {
        let labels = [
            label("version", build.version),
            label("commit", build.commit),
            label("sources", build.sources),
            label("target", build.target),
        ];
        self.0.instruments.build_info.record(1, &labels);
    }

    /// Counts a request that ended.
    pub fn request_ended(&self, class: &str, outcome: RequestOutcome) {
        let labels = [label("class", class), label("outcome", outcome.name())];
        self.0.instruments.requests.add(1, &labels);
    }

    /// Records the time from a request's arrival to its end.
    pub fn request_duration(&self, class: &str, outcome: RequestOutcome, took: Duration) {
        let labels = [label("class", class), label("outcome", outcome.name())];
        let histogram = &self.0.instruments.request_duration;
        histogram.record(took.as_secs_f64(), &labels);
    }

    /// Counts a request of an organisation that ended.
    ///
    /// Only the first few dozen organisations have a label of their own; all others count
    /// as `other`, so that the number of series stays bounded.
    pub fn organisation_ended(&self, organisation: &str, outcome: RequestOutcome) {
        let name = self.0.organisations.label_of(organisation);
        let labels = [
            label("organisation", name),
            label("outcome", outcome.name()),
        ];
        self.0.instruments.organisation_requests.add(1, &labels);
    }

    /// Counts an attempt at an upstream; `outcome` is a stable code.
    pub fn attempt_ended(&self, availability_zone: &str, outcome: &'static str) {
        let labels = [
            label("availability_zone", availability_zone),
            label("outcome", outcome),
        ];
        self.0.instruments.upstream_attempts.add(1, &labels);
    }

    /// Counts an attempt that other daemons were asked to forward; `outcome` is a stable code.
    pub fn attempt_proxied(&self, outcome: &'static str) {
        let labels = [label("outcome", outcome)];
        self.0.instruments.attempts_proxied.add(1, &labels);
    }

    /// Counts an attempt that another daemon asked this one to forward; `outcome` is a stable
    /// code.
    pub fn attempt_forwarded(&self, outcome: &'static str) {
        let labels = [label("outcome", outcome)];
        self.0.instruments.attempts_forwarded.add(1, &labels);
    }

    /// Sets the number of upstreams to which the direct path is in `state`.
    pub fn upstream_paths(&self, state: PathState, count: u64) {
        let labels = [label("state", state.name())];
        self.0.instruments.upstream_paths.record(count, &labels);
    }

    /// Sets the number of upstreams with a rate limit in force.
    pub fn rate_limits(&self, count: u64) {
        self.0.instruments.rate_limits.record(count, &[]);
    }

    /// Sets the number of upstreams that are cold.
    pub fn cold_upstreams(&self, count: u64) {
        self.0.instruments.cold_upstreams.record(count, &[]);
    }

    /// Counts a request for an upstream with a rate limit; `decision` is a stable code.
    pub fn rate_limited_send(&self, decision: &'static str) {
        let labels = [label("decision", decision)];
        self.0.instruments.rate_limited_sends.add(1, &labels);
    }

    /// Sets the time since the published state was last known to be current.
    pub fn lease_age(&self, age: Duration) {
        let gauge = &self.0.instruments.lease_age;
        gauge.record(age.as_secs_f64(), &[]);
    }

    /// Records the delay of a timer of the event loop.
    pub fn event_loop_lateness(&self, late: Duration) {
        let histogram = &self.0.instruments.event_loop_lateness;
        histogram.record(late.as_secs_f64(), &[]);
    }

    /// Sets the share of new connections of callers that is served.
    pub fn served_connections_share(&self, share: f64) {
        let gauge = &self.0.instruments.served_connections_share;
        gauge.record(share, &[]);
    }

    /// Counts connections of callers that were closed unread.
    pub fn connections_closed_unread(&self, count: u64) {
        let counter = &self.0.instruments.connections_closed_unread;
        counter.add(count, &[]);
    }

    /// Sets the longest delay with which this daemon learned of an upstream's departure,
    /// compared with other daemons.
    pub fn departure_lateness(&self, late: Duration) {
        let gauge = &self.0.instruments.departure_lateness;
        gauge.record(late.as_secs_f64(), &[]);
    }

    /// Sets the era of the source's numbering.
    pub fn source_era(&self, era: u32) {
        self.0.instruments.source_era.record(u64::from(era), &[]);
    }

    /// Records the time from a request's arrival to its first token.
    pub fn first_token(&self, class: &str, length: LengthBucket, after: Duration) {
        let labels = [label("class", class), label("length", length.name())];
        let histogram = &self.0.instruments.time_to_first_token;
        histogram.record(after.as_secs_f64(), &labels);
    }

    /// Counts a prompt that ended, by its size.
    ///
    /// The counts of all daemons can be added up to give the fraction of prompts that was
    /// served, for each class and size.
    pub fn prompt_ended(&self, class: &str, prompt_tokens: u64, disposition: Disposition) {
        let labels = [
            label("class", class),
            label("tokens_up_to", size_limit_tokens(prompt_tokens).to_string()),
            label("disposition", disposition.name()),
        ];
        self.0.instruments.prompts.add(1, &labels);
    }

    /// Counts a stream as in flight until the returned guard is dropped.
    pub fn stream_started(&self) -> InFlightStream {
        self.0.instruments.in_flight_streams.add(1, &[]);
        InFlightStream(self.clone())
    }

    /// Counts tokens forwarded to a caller.
    pub fn tokens_relayed(&self, tokens: u64) {
        self.0.instruments.tokens_relayed.add(tokens, &[]);
    }

    /// Counts a refused request; `reason` is the code in the error body.
    pub fn refused(&self, reason: &'static str) {
        let labels = [label("reason", reason)];
        self.0.instruments.refusals.add(1, &labels);
    }

    /// Counts an attempt after a request's first one.
    pub fn retried(&self) {
        self.0.instruments.retries.add(1, &[]);
    }

    /// Sets this daemon's share of the fixed part of the retry budget, from 0 to 1; 0 while it is
    /// not known.
    pub fn retry_share(&self, share: f64) {
        let gauge = &self.0.instruments.retry_share_ppm;
        gauge.record((share * 1e6).round() as u64, &[]);
    }

    /// Sets the number of daemons that share limits, as this one expects them to be running;
    /// `None` while it is not known.
    pub fn expected_daemons(&self, daemons: Option<usize>) {
        let gauge = &self.0.instruments.expected_daemons;
        gauge.record(daemons.unwrap_or_default() as u64, &[]);
    }

    /// Counts an attempt that the retry budget did not allow.
    pub fn retry_refused(&self) {
        self.0.instruments.retries_refused.add(1, &[]);
    }

    /// Counts a request that ran on an upstream when it crashed; `evidence` is a stable text.
    pub fn upstream_crashed(&self, evidence: &'static str) {
        let labels = [label("evidence", evidence)];
        self.0.instruments.upstream_crashes.add(1, &labels);
    }

    /// Counts what became of the replacement of a silent attempt.
    pub fn replacement(&self, outcome: ReplacementOutcome) {
        let labels = [label("outcome", outcome.name())];
        self.0.instruments.replacements.add(1, &labels);
    }

    /// Counts a request placed where the beginning of its prompt is believed to be held.
    pub fn prefix_placement(&self) {
        self.0.instruments.prefix_placements.add(1, &[]);
    }

    /// Counts a notice of an upstream in an answer to this daemon.
    pub fn upstream_notice(&self, kind: NoticeKind) {
        let labels = [label("kind", kind.name())];
        self.0.instruments.upstream_notices.add(1, &labels);
    }

    /// Counts a request or prompt part that was cleared of crashes.
    pub fn suspect_cleared(&self) {
        self.0.instruments.suspects_cleared.add(1, &[]);
    }

    /// Sets the number of prompt parts with crashes of which they were not cleared.
    pub fn suspected_parts(&self, count: u64) {
        self.0.instruments.suspected_parts.record(count, &[]);
    }

    /// Sets the number of evacuated zones.
    pub fn evacuated_zones(&self, count: u64) {
        self.0.instruments.evacuated_zones.record(count, &[]);
    }

    /// Sets the number of quarantined prompt parts.
    pub fn quarantined_parts(&self, count: u64) {
        self.0.instruments.quarantined_parts.record(count, &[]);
    }

    /// Sets the number of quarantined requests: too many upstreams crashed while running
    /// them, so they are sent to none.
    pub fn quarantined(&self, count: u64) {
        self.0.instruments.quarantined.record(count, &[]);
    }

    /// Counts an error of an upstream at `step`.
    pub fn upstream_error(&self, step: &'static str) {
        let labels = [label("step", step)];
        self.0.instruments.upstream_errors.add(1, &labels);
    }

    /// Sets the number of other daemons in `state`.
    pub fn peers(&self, state: PeerState, count: u64) {
        let labels = [label("state", state.name())];
        self.0.instruments.peers.record(count, &labels);
    }

    /// Counts bytes of control traffic sent to other daemons and to engines.
    pub fn control_sent(&self, bytes: u64) {
        self.0.instruments.control_sent.add(bytes, &[]);
    }

    /// Counts bytes of control traffic received from other daemons and from engines.
    pub fn control_received(&self, bytes: u64) {
        self.0.instruments.control_received.add(bytes, &[]);
    }
}

/// Upper limit of the smallest size class of prompts, in tokens.
const MIN_SIZE_LIMIT_TOKENS: u64 = 1_024;

/// Upper limit of the largest size class, which also holds all longer prompts, in tokens.
const MAX_SIZE_LIMIT_TOKENS: u64 = 2_097_152;

/// Upper limit of a prompt's size class, in tokens. The limits are the powers of two and
/// the midpoints between them.
fn size_limit_tokens(prompt_tokens: u64) -> u64 {
    let power = prompt_tokens
        .clamp(MIN_SIZE_LIMIT_TOKENS, MAX_SIZE_LIMIT_TOKENS)
        .next_power_of_two();
    let midpoint = power / 4 * 3;
    match prompt_tokens <= midpoint && midpoint > MIN_SIZE_LIMIT_TOKENS {
        true => midpoint,
        false => power,
    }
}

/// Number of organisations that have series of their own.
const MAX_ORGANISATIONS: usize = 48;

/// Set of the first names seen; all later ones share one label.
#[derive(Debug, Default)]
struct BoundedLabels(Mutex<BTreeSet<String>>);

impl BoundedLabels {
    /// Label of `name`: the name itself, or `other` once the set is full.
    fn label_of(&self, name: &str) -> String {
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if !known.contains(name) {
            if known.len() >= MAX_ORGANISATIONS {
                return "other".to_owned();
            }
            known.insert(name.to_owned());
        }
        name.to_owned()
    }
}

/// Guard that counts one stream as in flight.
#[derive(Debug)]
#[must_use = "the stream counts as ended once this is dropped"]
pub struct InFlightStream(Metrics);

impl Drop for InFlightStream {
    fn drop(&mut self) {
        self.0.0.instruments.in_flight_streams.add(-1, &[]);
    }
}

fn label(key: &'static str, value: impl Into<String>) -> KeyValue {
    KeyValue::new(key, value.into())
}
