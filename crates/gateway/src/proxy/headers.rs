//! Headers with which daemons describe a proxied attempt and its outcome to each other.
//!
//! They are set and removed at both ends of the hop, so that neither callers nor upstreams
//! can send or see them.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};
use mangofront_engines::UpstreamKey;
use mangofront_settings::ids::InstanceId;

const SENDER: HeaderName = HeaderName::from_static("mangofront-proxy-sender");
const KIND: HeaderName = HeaderName::from_static("mangofront-proxy-kind");
const UPSTREAM: HeaderName = HeaderName::from_static("mangofront-proxy-upstream");
const TIME_LEFT_MS: HeaderName = HeaderName::from_static("mangofront-proxy-time-left-ms");
const OUTCOME: HeaderName = HeaderName::from_static("mangofront-proxy-outcome");
const REASON: HeaderName = HeaderName::from_static("mangofront-proxy-reason");

const ALL: [HeaderName; 6] = [SENDER, KIND, UPSTREAM, TIME_LEFT_MS, OUTCOME, REASON];

/// Reason of a refusal by a proxy whose upstream leaves or asked it for rest; it must not change.
pub(crate) const TAKES_NO_WORK: &str = "the upstream takes no new work";

/// Reason of a proxy that has no path to the service of the upstream; it must not change.
pub(crate) const SERVICE_PATHS_LOST: &str = "its paths to the service are lost";

/// What a proxy is asked to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptKind {
    /// Send the request, which may be repeated, on any connection.
    Repeatable,
    /// Send the request, which must not run twice, on a new connection.
    AtMostOnce,
    /// Send the request, which is about what the upstream holds and may be repeated, even if
    /// the upstream takes no new work.
    Order,
    /// Probe the upstream; the request itself is not sent.
    Probe,
}

impl AttemptKind {
    const ALL: [Self; 4] = [Self::Repeatable, Self::AtMostOnce, Self::Order, Self::Probe];

    const fn name(self) -> &'static str {
        match self {
            Self::Repeatable => "repeatable",
            Self::AtMostOnce => "at-most-once",
            Self::Order => "order",
            Self::Probe => "probe",
        }
    }
}

/// A daemon's order to forward an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AttemptOrder {
    /// The daemon that sends it.
    pub(crate) sender: InstanceId,
    pub(crate) kind: AttemptKind,
    /// Incarnation of the upstream to which it goes.
    pub(crate) upstream: UpstreamKey,
    /// Time in which an answer is useful.
    pub(crate) time_left: Duration,
}

impl AttemptOrder {
    /// Sets the headers of this order.
    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        remove_all(headers);
        insert(headers, SENDER, &self.sender);
        insert(headers, KIND, self.kind.name());
        insert(headers, UPSTREAM, &format!("{:016x}", self.upstream));
        insert(
            headers,
            TIME_LEFT_MS,
            &self.time_left.as_millis().to_string(),
        );
    }

    /// Takes the headers of an order out of a request; `None` if they are not complete.
    pub(crate) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let order = Self::read(headers);
        remove_all(headers);
        order
    }

    fn read(headers: &HeaderMap) -> Option<Self> {
        let kind = text(headers, &KIND)?;
        let time_left_ms: u64 = text(headers, &TIME_LEFT_MS)?.parse().ok()?;
        Some(Self {
            sender: text(headers, &SENDER)?.to_owned(),
            kind: AttemptKind::ALL
                .into_iter()
                .find(|one| one.name() == kind)?,
            upstream: UpstreamKey::from_str_radix(text(headers, &UPSTREAM)?, 16).ok()?,
            time_left: Duration::from_millis(time_left_ms),
        })
    }
}

/// What became of a proxied attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProxyOutcome {
    /// The answer is the upstream's.
    Answered,
    /// Nothing was sent: other upstreams are reached from the proxy, this one is not.
    Unreachable,
    /// Nothing was sent: the proxy has no path to upstreams either.
    NoPath,
    /// Nothing was sent: the proxy does not take the attempt.
    Refused,
    /// The attempt may have run, and no answer arrived.
    Unknown,
}

impl ProxyOutcome {
    const ALL: [Self; 5] = [
        Self::Answered,
        Self::Unreachable,
        Self::NoPath,
        Self::Refused,
        Self::Unknown,
    ];

    /// Name between daemons, in logs and metrics; it must not change.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Unreachable => "unreachable",
            Self::NoPath => "no_path",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }

    /// Sets the headers of this outcome.
    pub(crate) fn write(self, reason: &str, headers: &mut HeaderMap) {
        remove_all(headers);
        insert(headers, OUTCOME, self.name());
        insert(headers, REASON, reason);
    }

    /// Takes the headers of an outcome, with its reason, out of an answer; an answer without
    /// one says nothing of the attempt.
    pub(crate) fn take(headers: &mut HeaderMap) -> (Self, String) {
        let name = text(headers, &OUTCOME).unwrap_or_default();
        let outcome = Self::ALL.into_iter().find(|one| one.name() == name);
        let reason = text(headers, &REASON).unwrap_or_default().to_owned();
        remove_all(headers);
        (outcome.unwrap_or(Self::Unknown), reason)
    }
}

/// Removes the headers of the hop.
pub(crate) fn remove_all(headers: &mut HeaderMap) {
    for name in &ALL {
        headers.remove(name);
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Sets a header; a value that is no valid header value is left out.
fn insert(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
