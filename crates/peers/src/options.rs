//! Settings of one daemon's membership.
//!
//! Every time-out is counted in heartbeat periods unless set, so that a test
//! that beats ten times as fast ages everything ten times as fast.

use std::net::SocketAddr;
use std::time::Duration;

use mangofront_settings::ids::{AvailabilityZone, InstanceId, Region};

/// Period between two heartbeats to one neighbour, unless set.
const DEFAULT_HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);

/// Periods without an answer before a neighbour is suspected.
const SUSPECT_AFTER_PERIODS: u32 = 4;

/// Periods of suspicion before a member is dead.
const DEAD_AFTER_PERIODS: u32 = 5;

/// Periods without a zone's heartbeat before its members are suspected.
const ZONE_SILENT_AFTER_PERIODS: u32 = 12;

/// Periods for which a tombstone is kept.
const TOMBSTONE_AFTER_PERIODS: u32 = 600;

/// Periods by which the own timer may be late before the process counts as paused.
const PAUSE_THRESHOLD_PERIODS: u32 = 3;

/// Shortest lateness taken for a pause: a busy machine alone delays timers this much.
const PAUSE_THRESHOLD_FLOOR: Duration = Duration::from_millis(1500);

/// Members up to which everyone links to everyone.
const DEFAULT_FULL_MESH_LIMIT: usize = 8;

/// Bytes of news a daemon may send a second, averaged.
const DEFAULT_GOSSIP_BYTES_PER_S: u32 = 1_500;

/// Settings of [`crate::Peers::start`].
#[derive(Debug, Clone)]
pub struct PeersOptions {
    pub(crate) instance: InstanceId,
    pub(crate) region: Region,
    pub(crate) availability_zone: AvailabilityZone,
    pub(crate) listen: SocketAddr,
    pub(crate) heartbeat_period: Duration,
    pub(crate) suspect_after: Duration,
    pub(crate) dead_after: Duration,
    pub(crate) zone_silent_after: Duration,
    pub(crate) tombstone_after: Duration,
    pub(crate) pause_threshold: Duration,
    pub(crate) full_mesh_limit: usize,
    pub(crate) zone_successors: usize,
    pub(crate) cross_zone_links: usize,
    pub(crate) cross_region_links: usize,
    pub(crate) gossip_bytes_per_s: u32,
    pub(crate) capacity_percent: u32,
}

impl PeersOptions {
    /// Starts from the daemon's own place; port 0 of `listen` takes a free one.
    #[must_use]
    pub fn builder(
        instance: impl Into<InstanceId>,
        region: impl Into<Region>,
        availability_zone: impl Into<AvailabilityZone>,
        listen: SocketAddr,
    ) -> PeersOptionsBuilder {
        PeersOptionsBuilder {
            instance: instance.into(),
            region: region.into(),
            availability_zone: availability_zone.into(),
            listen,
            heartbeat_period: DEFAULT_HEARTBEAT_PERIOD,
            suspect_after: None,
            dead_after: None,
            zone_silent_after: None,
            tombstone_after: None,
            pause_threshold: None,
            full_mesh_limit: DEFAULT_FULL_MESH_LIMIT,
            zone_successors: 2,
            cross_zone_links: 1,
            cross_region_links: 1,
            gossip_bytes_per_s: DEFAULT_GOSSIP_BYTES_PER_S,
            capacity_percent: 100,
        }
    }
}

/// Builder of [`PeersOptions`].
#[derive(Debug, Clone)]
pub struct PeersOptionsBuilder {
    instance: InstanceId,
    region: Region,
    availability_zone: AvailabilityZone,
    listen: SocketAddr,
    heartbeat_period: Duration,
    suspect_after: Option<Duration>,
    dead_after: Option<Duration>,
    zone_silent_after: Option<Duration>,
    tombstone_after: Option<Duration>,
    pause_threshold: Option<Duration>,
    full_mesh_limit: usize,
    zone_successors: usize,
    cross_zone_links: usize,
    cross_region_links: usize,
    gossip_bytes_per_s: u32,
    capacity_percent: u32,
}

impl PeersOptionsBuilder {
    /// Time between two heartbeats to one neighbour; 1 s by default.
    #[must_use]
    pub fn heartbeat_period(mut self, period: Duration) -> Self {
        self.heartbeat_period = period;
        self
    }

    /// Processor time that this daemon may use, in percent of a core; 100 by default.
    #[must_use]
    pub fn capacity_percent(mut self, percent: u32) -> Self {
        self.capacity_percent = percent;
        self
    }

    /// Time without an answer before a neighbour is suspected; 4 periods by default.
    #[must_use]
    pub fn suspect_after(mut self, time: Duration) -> Self {
        self.suspect_after = Some(time);
        self
    }

    /// Time of suspicion before a member is dead; 5 periods by default.
    #[must_use]
    pub fn dead_after(mut self, time: Duration) -> Self {
        self.dead_after = Some(time);
        self
    }

    /// Time without a zone's heartbeat before its members are suspected; 12 periods by default.
    #[must_use]
    pub fn zone_silent_after(mut self, time: Duration) -> Self {
        self.zone_silent_after = Some(time);
        self
    }

    /// Time for which a dead member is remembered; 600 periods by default.
    #[must_use]
    pub fn tombstone_after(mut self, time: Duration) -> Self {
        self.tombstone_after = Some(time);
        self
    }

    /// Lateness of the own timer that counts as a pause; 3 periods by default, 1.5 s at least.
    #[must_use]
    pub fn pause_threshold(mut self, time: Duration) -> Self {
        self.pause_threshold = Some(time);
        self
    }

    /// Members up to which everyone links to everyone; 8 by default.
    #[must_use]
    pub fn full_mesh_limit(mut self, members: usize) -> Self {
        self.full_mesh_limit = members;
        self
    }

    /// Links to successors in the own zone's ring; 2 by default.
    #[must_use]
    pub fn zone_successors(mut self, links: usize) -> Self {
        self.zone_successors = links;
        self
    }

    /// Links to other zones of the region; 1 by default.
    #[must_use]
    pub fn cross_zone_links(mut self, links: usize) -> Self {
        self.cross_zone_links = links;
        self
    }

    /// Links to other regions; 1 by default.
    #[must_use]
    pub fn cross_region_links(mut self, links: usize) -> Self {
        self.cross_region_links = links;
        self
    }

    /// News sent a second on average, in bytes; 1,500 by default.
    #[must_use]
    pub fn gossip_bytes_per_s(mut self, bytes: u32) -> Self {
        self.gossip_bytes_per_s = bytes;
        self
    }

    /// Fixes the settings.
    #[must_use]
    pub fn build(self) -> PeersOptions {
        let period = self.heartbeat_period;
        let pause = (period * PAUSE_THRESHOLD_PERIODS).max(PAUSE_THRESHOLD_FLOOR);
        PeersOptions {
            suspect_after: self.suspect_after.unwrap_or(period * SUSPECT_AFTER_PERIODS),
            dead_after: self.dead_after.unwrap_or(period * DEAD_AFTER_PERIODS),
            zone_silent_after: self
                .zone_silent_after
                .unwrap_or(period * ZONE_SILENT_AFTER_PERIODS),
            tombstone_after: self
                .tombstone_after
                .unwrap_or(period * TOMBSTONE_AFTER_PERIODS),
            pause_threshold: self.pause_threshold.unwrap_or(pause),
            instance: self.instance,
            region: self.region,
            availability_zone: self.availability_zone,
            listen: self.listen,
            heartbeat_period: period,
            full_mesh_limit: self.full_mesh_limit,
            zone_successors: self.zone_successors,
            cross_zone_links: self.cross_zone_links,
            cross_region_links: self.cross_region_links,
            gossip_bytes_per_s: self.gossip_bytes_per_s,
            capacity_percent: self.capacity_percent,
        }
    }
}
