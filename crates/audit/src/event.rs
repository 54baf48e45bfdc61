//! The closed set of changes that the trail tells of.

use std::fmt;

use mangofront_settings::ids::{Incarnation, InstanceId, Revision};
use serde::{Deserialize, Serialize};

/// One change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum AuditEvent {
    /// The process read its settings.
    SettingsLoaded {
        /// Where they were read.
        source: String,
    },
    /// A revision of the configuration is in force.
    ConfigurationAccepted {
        /// Revision in force from now on.
        revision: Revision,
    },
    /// A revision of the configuration was refused whole.
    ConfigurationRefused {
        /// Revision that was refused.
        revision: Revision,
        /// Why, in one line.
        reason: String,
    },
    /// A revision of the list of instances is in use.
    InstancesAccepted {
        /// Revision in use from now on.
        revision: Revision,
    },
    /// A revision of the list of instances was refused whole.
    InstancesRefused {
        /// Revision that was refused.
        revision: Revision,
        /// Why, in one line.
        reason: String,
    },
    /// Another daemon was met.
    MemberJoined {
        /// The daemon's instance.
        instance: InstanceId,
        /// Incarnation it told.
        incarnation: Incarnation,
    },
    /// Another daemon went silent.
    MemberSuspected {
        /// The daemon's instance.
        instance: InstanceId,
        /// Incarnation last heard.
        incarnation: Incarnation,
    },
    /// Another daemon is gone.
    MemberLeft {
        /// The daemon's instance.
        instance: InstanceId,
        /// Incarnation last heard.
        incarnation: Incarnation,
    },
    /// A suspected daemon was heard again.
    MemberRefuted {
        /// The daemon's instance.
        instance: InstanceId,
        /// Incarnation that it told now.
        incarnation: Incarnation,
    },
    /// An upstream takes work.
    UpstreamJoined {
        /// The upstream's instance.
        instance: InstanceId,
    },
    /// An upstream takes no new work.
    UpstreamLeaving {
        /// The upstream's instance.
        instance: InstanceId,
    },
    /// An upstream gets no work for a while, for its faults.
    UpstreamEjected {
        /// The upstream's instance.
        instance: InstanceId,
        /// What it did.
        reason: String,
    },
    /// An ejected upstream gets work again.
    UpstreamReturned {
        /// The upstream's instance.
        instance: InstanceId,
    },
    /// An engine took an order.
    OrderSent {
        /// The engine's instance.
        instance: InstanceId,
        /// What was ordered.
        order: String,
    },
    /// An engine refused an order.
    OrderRefused {
        /// The engine's instance.
        instance: InstanceId,
        /// What was ordered.
        order: String,
        /// Why it refused.
        reason: String,
    },
    /// A non-repeatable order may have run; nobody can tell.
    OrderOutcomeUnknown {
        /// Service the order went to.
        service: String,
        /// Its idempotency key.
        key: String,
        /// Step at which sight of it was lost.
        reason: String,
    },
    /// A graceful shutdown began.
    DrainStarted {
        /// Requests in progress.
        in_flight_requests: u64,
    },
    /// A graceful shutdown is done.
    DrainFinished {
        /// Requests cut off; other than 0 only past the stop's time limit.
        cut_requests: u64,
        /// How long it took, in milliseconds.
        took_ms: u64,
    },
    /// An invariant was broken.
    InvariantBroken {
        /// Name of the invariant.
        invariant: String,
        /// What was seen.
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
