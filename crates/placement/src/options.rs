//! Settings of the placement.

use std::time::Duration;

use mangofront_settings::ids::{AvailabilityZone, InstanceId};

use crate::clock::Clock;

/// One-way latency between availability zones, until it is set otherwise.
pub const DEFAULT_ZONE_PENALTY: Duration = Duration::from_micros(1_500);

/// How an engine is chosen.
///
/// Only [`Policy::LengthAware`] is meant for service; the others are baselines
/// for experiments, and send all requests with one priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// Short and long prompts from opposite ends of a stable order.
    #[default]
    LengthAware,
    /// The engine with the fewest own requests outstanding.
    LeastOutstanding,
    /// One engine after the other.
    RoundRobin,
}

/// Builder of a [`Placement`](crate::Placement)'s settings.
#[derive(Debug, Clone)]
pub struct PlacementOptions {
    pub(crate) daemon: InstanceId,
    pub(crate) availability_zone: AvailabilityZone,
    pub(crate) policy: Policy,
    pub(crate) zone_penalty: Duration,
    pub(crate) clock: Clock,
}

impl PlacementOptions {
    /// Settings of the daemon `daemon` in `availability_zone`.
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

    /// Sets how an engine is chosen.
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
