//! Instruments of a daemon and their Prometheus text.
//!
//! One [`Metrics`] belongs to one daemon; a clone shares its instruments.
//! Labels are closed sets, names of published classes, or stable codes, so
//! that the number of series stays bounded; nothing of a caller's own becomes
//! a label.

mod instruments;
mod labels;

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::MeterProvider as _;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use thiserror::Error;

use instruments::Instruments;
pub use labels::{Disposition, PeerState, RequestOutcome};
pub use mangofront_prompt::LengthBucket;

/// Start of every metric's name.
const NAMESPACE: &str = "mangofront";

/// Metrics that could not be set up.
#[derive(Debug, Error)]
#[error("metrics: set-up failed: {0}")]
pub struct MetricsError(String);

/// Instruments of one daemon.
#[derive(Debug, Clone)]
pub struct Metrics(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    registry: Registry,
    instruments: Instruments,
    organisations: KnownNames,
    // Instruments record nothing once their provider is gone.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Makes the instruments.
    ///
    /// # Errors
    /// [`MetricsError`] when the library refuses the exporter.
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
            organisations: KnownNames::default(),
            _provider: provider,
        })))
    }

    /// Everything that was recorded, as Prometheus text.
    #[must_use]
    pub fn render(&self) -> String {
        let families = self.0.registry.gather();
        match TextEncoder::new().encode_to_string(&families) {
            Ok(text) => text,
            Err(error) => {
                log::error!("metrics: text could not be written: {error}");
                String::new()
            }
        }
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
    /// Beyond the first few dozen organisations all count as `other`, so that the
    /// number of series stays bounded.
    pub fn organisation_ended(&self, organisation: &str, outcome: RequestOutcome) {
        let name = self.0.organisations.name(organisation);
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

    /// Sets how long ago what is published was known to be in force.
    pub fn lease_age(&self, age: Duration) {
        let gauge = &self.0.instruments.lease_age;
        gauge.record(age.as_secs_f64(), &[]);
    }

    /// Records by how much a timer of the event loop came late.
    pub fn event_loop_lateness(&self, late: Duration) {
        let histogram = &self.0.instruments.event_loop_lateness;
        histogram.record(late.as_secs_f64(), &[]);
    }

    /// Sets the longest time by which others knew of an upstream's departure before.
    pub fn departure_lateness(&self, late: Duration) {
        let gauge = &self.0.instruments.departure_lateness;
        gauge.record(late.as_secs_f64(), &[]);
    }

    /// Records the time from a request's arrival to its first token.
    pub fn first_token(&self, class: &str, length: LengthBucket, after: Duration) {
        let labels = [label("class", class), label("length", length.name())];
        let histogram = &self.0.instruments.time_to_first_token;
        histogram.record(after.as_secs_f64(), &labels);
    }

    /// Counts a prompt that ended, by its size.
    ///
    /// The counts of all daemons add up, so that the share of any size of a class that
    /// was served can be read off them.
    pub fn prompt_ended(&self, class: &str, prompt_tokens: u64, disposition: Disposition) {
        let labels = [
            label("class", class),
            label("tokens_up_to", size_limit_tokens(prompt_tokens).to_string()),
            label("disposition", disposition.name()),
        ];
        self.0.instruments.prompts.add(1, &labels);
    }

    /// Counts a stream as in flight until the guard is dropped.
    pub fn stream_started(&self) -> InFlightStream {
        self.0.instruments.in_flight_streams.add(1, &[]);
        InFlightStream(self.clone())
    }

    /// Counts tokens passed on to a caller.
    pub fn tokens_relayed(&self, tokens: u64) {
        self.0.instruments.tokens_relayed.add(tokens, &[]);
    }

    /// Counts a refused request; `reason` is the error body's code.
    pub fn refused(&self, reason: &'static str) {
        let labels = [label("reason", reason)];
        self.0.instruments.refusals.add(1, &labels);
    }

    /// Counts an attempt after the first one.
    pub fn retried(&self) {
        self.0.instruments.retries.add(1, &[]);
    }

    /// Counts an upstream that crashed under a request.
    pub fn upstream_crashed(&self) {
        self.0.instruments.upstream_crashes.add(1, &[]);
    }

    /// Sets how many requests are kept from all upstreams, as too many crashed under them.
    pub fn quarantined(&self, count: u64) {
        self.0.instruments.quarantined.record(count, &[]);
    }

    /// Counts a fault of an upstream at `step`.
    pub fn upstream_error(&self, step: &'static str) {
        let labels = [label("step", step)];
        self.0.instruments.upstream_errors.add(1, &labels);
    }

    /// Sets how many other daemons are in `state`.
    pub fn peers(&self, state: PeerState, count: u64) {
        let labels = [label("state", state.name())];
        self.0.instruments.peers.record(count, &labels);
    }

    /// Counts bytes sent for control: peers, platform and reports.
    pub fn control_sent(&self, bytes: u64) {
        self.0.instruments.control_sent.add(bytes, &[]);
    }

    /// Counts bytes received for control.
    pub fn control_received(&self, bytes: u64) {
        self.0.instruments.control_received.add(bytes, &[]);
    }
}

/// Least size of a prompt that is told apart, in tokens.
const LEAST_SIZE_TOKENS: u64 = 1_024;

/// Size from which on prompts are told apart no more, in tokens.
const LARGEST_SIZE_TOKENS: u64 = 2_097_152;

/// Upper limit of a prompt's size among powers of two and the middles between them, in
/// tokens.
fn size_limit_tokens(prompt_tokens: u64) -> u64 {
    let power = prompt_tokens
        .clamp(LEAST_SIZE_TOKENS, LARGEST_SIZE_TOKENS)
        .next_power_of_two();
    let middle = power / 4 * 3;
    match prompt_tokens <= middle && middle > LEAST_SIZE_TOKENS {
        true => middle,
        false => power,
    }
}

/// Organisations that have series of their own.
const ORGANISATIONS_LIMIT: usize = 48;

/// The first names seen; all later ones count as one.
#[derive(Debug, Default)]
struct KnownNames(Mutex<BTreeSet<String>>);

impl KnownNames {
    fn name(&self, name: &str) -> String {
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if !known.contains(name) {
            if known.len() >= ORGANISATIONS_LIMIT {
                return "other".to_owned();
            }
            known.insert(name.to_owned());
        }
        name.to_owned()
    }
}

/// One stream in flight.
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
