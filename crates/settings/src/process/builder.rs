//! Builder for settings, for tests and for programs that embed a daemon.

use std::net::{Ipv4Addr, SocketAddr};

use super::{DaemonSettings, Limits, LogSettings, PeerSettings, default_audit_capacity_entries};
use crate::ids::{AvailabilityZone, InstanceId, Region};

/// Builder of [`DaemonSettings`].
#[derive(Debug, Clone)]
pub struct DaemonSettingsBuilder(DaemonSettings);

impl DaemonSettings {
    /// Returns a builder of settings for `instance` that listen on loopback ports
    /// chosen by the operating system.
    ///
    /// The platform's address has to be set before the daemon can reach it.
    #[must_use]
    pub fn builder(instance: impl Into<InstanceId>) -> DaemonSettingsBuilder {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        DaemonSettingsBuilder(Self {
            instance: instance.into(),
            region: "local".to_owned(),
            availability_zone: "local".to_owned(),
            caller_address: any_port,
            peer_address: any_port,
            admin_address: any_port,
            platform_address: any_port,
            limits: Limits::default(),
            logs: LogSettings::default(),
            peers: PeerSettings::default(),
            audit_capacity_entries: default_audit_capacity_entries(),
            stop_limit_ms: None,
            fatal_invariants: false,
            gateway: None,
        })
    }
}

impl DaemonSettingsBuilder {
    /// Sets the region and availability zone of the instance.
    #[must_use]
    pub fn place(
        mut self,
        region: impl Into<Region>,
        availability_zone: impl Into<AvailabilityZone>,
    ) -> Self {
        self.0.region = region.into();
        self.0.availability_zone = availability_zone.into();
        self
    }

    /// Sets the address on which callers are served.
    #[must_use]
    pub fn caller_address(mut self, address: SocketAddr) -> Self {
        self.0.caller_address = address;
        self
    }

    /// Sets the address for connections between daemons.
    #[must_use]
    pub fn peer_address(mut self, address: SocketAddr) -> Self {
        self.0.peer_address = address;
        self
    }

    /// Sets the address of the operators' interface.
    #[must_use]
    pub fn admin_address(mut self, address: SocketAddr) -> Self {
        self.0.admin_address = address;
        self
    }

    /// Sets the address of the platform's service.
    #[must_use]
    pub fn platform_address(mut self, address: SocketAddr) -> Self {
        self.0.platform_address = address;
        self
    }

    /// Sets the limits on callers and upstreams.
    #[must_use]
    pub fn limits(mut self, limits: Limits) -> Self {
        self.0.limits = limits;
        self
    }

    /// Sets level and format of the log.
    #[must_use]
    pub fn logs(mut self, logs: LogSettings) -> Self {
        self.0.logs = logs;
        self
    }

    /// Sets the timing of the connections between daemons.
    #[must_use]
    pub fn peers(mut self, peers: PeerSettings) -> Self {
        self.0.peers = peers;
        self
    }

    /// Sets the capacity of the audit trail, in entries.
    #[must_use]
    pub fn audit_capacity_entries(mut self, entries: u32) -> Self {
        self.0.audit_capacity_entries = entries;
        self
    }

    /// Sets the maximum duration of a graceful shutdown, in milliseconds.
    #[must_use]
    pub fn stop_limit_ms(mut self, limit_ms: u64) -> Self {
        self.0.stop_limit_ms = Some(limit_ms);
        self
    }

    /// Sets whether a violated invariant ends the process.
    #[must_use]
    pub fn fatal_invariants(mut self, fatal: bool) -> Self {
        self.0.fatal_invariants = fatal;
        self
    }

    /// Returns the settings.
    #[must_use]
    pub fn build(self) -> DaemonSettings {
        self.0
    }
}
