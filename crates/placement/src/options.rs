//! Options of a placement.

use std::time::Duration;

use mangofront_settings::ids::{AvailabilityZone, InstanceId};

use crate::clock::Clock;

/// Default one-way latency between availability zones.
pub const DEFAULT_ZONE_PENALTY: Duration = Duration::from_micros(1_500);

/// Policy by which engines are selected.
///
/// Only [`Policy::LengthAware`] is meant for production; the others are baselines
/// for experiments and send all requests with the same priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// Places short and long prompts from opposite ends of a stable order.
    #[default]
    LengthAware,
    /// Selects the engine with the fewest outstanding requests of this daemon.
    LeastOutstanding,
    /// Selects engines in turn.
    RoundRobin,
}

/// Options of a [`Placement`](crate::Placement), set by builder methods.
#[derive(Debug, Clone)]
pub struct PlacementOptions {
    pub(crate) daemon: InstanceId,
    pub(crate) availability_zone: AvailabilityZone,
    pub(crate) policy: Policy,
    pub(crate) zone_penalty: Duration,
    pub(crate) clock: Clock,
}

impl PlacementOptions {
    /// Default options for the daemon named `daemon` in `availability_zone`.
    #[must_use]
    pub fn new(daemon: InstanceId, availability_zone: AvailabilityZone) -> Self {
        Self {
            daemon,
            availability_zone,
            policy: Policy::default(),
            zone_penalty: DEFAULT_ZONE_PENALTY,
            clock: Clock::monotonic(),
        }
    }

    /// Sets the selection policy.
    #[must_use]
    pub fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets the one-way latency between availability zones.
    #[must_use]
    pub fn zone_penalty(mut self, zone_penalty: Duration) -> Self {
        self.zone_penalty = zone_penalty;
        self
    }

    /// Sets the clock.
    #[must_use]
    pub fn clock(mut self, clock: Clock) -> Self {
        self.clock = clock;
        self
    }
}
