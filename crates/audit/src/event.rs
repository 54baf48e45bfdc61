//! Events of the audit trail.

use std::fmt;

use mangofront_settings::ids::{Incarnation, InstanceId, Revision};
use serde::{Deserialize, Serialize};

/// A recorded change of state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum AuditEvent {
    /// The process read its settings.
    SettingsLoaded {
        /// Source of the settings, such as the name of a file.
        source: String,
    },
    /// A revision of the configuration was accepted.
    ConfigurationAccepted {
        /// Accepted revision.
        revision: Revision,
    },
    /// A revision of the configuration was refused; no part of it is applied.
    ConfigurationRefused {
        /// Refused revision.
        revision: Revision,
        /// Reason, in one line.
        reason: String,
    },
    /// A revision of the instance list was accepted.
    InstancesAccepted {
        /// Accepted revision.
        revision: Revision,
    },
    /// A revision of the instance list was refused; no part of it is applied.
    InstancesRefused {
        /// Refused revision.
        revision: Revision,
        /// Reason, in one line.
        reason: String,
    },
    /// Another daemon joined the membership.
    MemberJoined {
        /// The daemon's instance.
        instance: InstanceId,
        /// Incarnation that it announced.
        incarnation: Incarnation,
    },
    /// Another daemon is suspected to have failed.
    MemberSuspected {
        /// The daemon's instance.
        instance: InstanceId,
        /// Last known incarnation.
        incarnation: Incarnation,
    },
    /// Another daemon left the membership or is considered dead.
    MemberLeft {
        /// The daemon's instance.
        instance: InstanceId,
        /// Last known incarnation.
        incarnation: Incarnation,
    },
    /// A daemon refuted the suspicion that it has failed.
    MemberRefuted {
        /// The daemon's instance.
        instance: InstanceId,
        /// Incarnation that it announced with the refutation.
        incarnation: Incarnation,
    },
    /// An upstream accepts requests.
    UpstreamJoined {
        /// The upstream's instance.
        instance: InstanceId,
    },
    /// An upstream has announced its shutdown and accepts no new requests.
    UpstreamLeaving {
        /// The upstream's instance.
        instance: InstanceId,
    },
    /// An upstream is excluded from selection for a while after failures.
    UpstreamEjected {
        /// The upstream's instance.
        instance: InstanceId,
        /// Failures that caused the ejection.
        reason: String,
    },
    /// An ejected upstream is selected again.
    UpstreamReturned {
        /// The upstream's instance.
        instance: InstanceId,
    },
    /// An order was sent to an engine, which did not refuse it.
    OrderSent {
        /// The engine's instance.
        instance: InstanceId,
        /// Description of the order.
        order: String,
    },
    /// An engine refused an order.
    OrderRefused {
        /// The engine's instance.
        instance: InstanceId,
        /// Description of the order.
        order: String,
        /// Reason that the engine gave.
        reason: String,
    },
    /// It is unknown whether a non-repeatable order ran.
    OrderOutcomeUnknown {
        /// Service to which the order was sent.
        service: String,
        /// Idempotency key of the order.
        key: String,
        /// Reason why the outcome could not be determined.
        reason: String,
    },
    /// A graceful shutdown began.
    DrainStarted {
        /// Number of requests in progress.
        in_flight_requests: u64,
    },
    /// A graceful shutdown finished.
    DrainFinished {
        /// Number of requests cut off; 0 unless the time limit of the shutdown passed.
        cut_requests: u64,
        /// Duration of the shutdown, in milliseconds.
        took_ms: u64,
    },
    /// An invariant was violated.
    InvariantBroken {
        /// Name of the invariant.
        invariant: String,
        /// Details of the violation.
        detail: String,
    },
}

impl fmt::Display for AuditEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SettingsLoaded { source } => write!(f, "settings of {source} loaded"),
            Self::ConfigurationAccepted { revision } => {
                write!(f, "configuration {revision} accepted")
            }
            Self::ConfigurationRefused { revision, reason } => {
                write!(f, "configuration {revision} refused: {reason}")
            }
            Self::InstancesAccepted { revision } => write!(f, "instance list {revision} accepted"),
            Self::InstancesRefused { revision, reason } => {
                write!(f, "instance list {revision} refused: {reason}")
            }
            Self::MemberJoined {
                instance,
                incarnation,
            } => write!(f, "member {instance} joined, incarnation {incarnation}"),
            Self::MemberSuspected {
                instance,
                incarnation,
            } => write!(f, "member {instance} suspected, incarnation {incarnation}"),
            Self::MemberLeft {
                instance,
                incarnation,
            } => write!(f, "member {instance} left, incarnation {incarnation}"),
            Self::MemberRefuted {
                instance,
                incarnation,
            } => write!(f, "member {instance} refuted, incarnation {incarnation}"),
            Self::UpstreamJoined { instance } => write!(f, "upstream {instance} joined"),
            Self::UpstreamLeaving { instance } => write!(f, "upstream {instance} is leaving"),
            Self::UpstreamEjected { instance, reason } => {
                write!(f, "upstream {instance} ejected: {reason}")
            }
            Self::UpstreamReturned { instance } => write!(f, "upstream {instance} returned"),
            Self::OrderSent { instance, order } => {
                write!(f, "order to engine {instance} sent: {order}")
            }
            Self::OrderRefused {
                instance,
                order,
                reason,
            } => write!(f, "order to engine {instance} refused: {order}: {reason}"),
            Self::OrderOutcomeUnknown {
                service,
                key,
                reason,
            } => write!(f, "outcome of order {key} to {service} unknown: {reason}"),
            Self::DrainStarted { in_flight_requests } => {
                write!(f, "drain started with {in_flight_requests} requests")
            }
            Self::DrainFinished {
                cut_requests,
                took_ms,
            } => write!(
                f,
                "drain finished after {took_ms} ms, {cut_requests} requests cut off"
            ),
            Self::InvariantBroken { invariant, detail } => {
                write!(f, "invariant {invariant} broken: {detail}")
            }
        }
    }
}
