//! The parts of one daemon.

use std::time::Instant;

use mangofront_admission::{Admission, AdmissionOptions};
use mangofront_audit::{AuditEvent, AuditLog};
use mangofront_entry::{Entry, EntryLimits, EntryParts};
use mangofront_placement::{Placement, PlacementOptions};
use mangofront_platform::{Platform, PlatformChange, PlatformOptions};
use mangofront_settings::process::DaemonSettings;
use mangofront_upstream::{Connections, ConnectionsOptions};

use crate::error::DaemonError;

/// Every part of a daemon; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct Parts {
    pub(crate) settings: std::rc::Rc<DaemonSettings>,
    pub(crate) started: Instant,
    pub(crate) audit: AuditLog,
    pub(crate) platform: Platform,
    pub(crate) placement: Placement,
    pub(crate) admission: Admission,
    pub(crate) connections: Connections,
    pub(crate) entry: Entry,
}

/// Starts the parts.
///
/// # Errors
/// [`DaemonError`] when the platform's client can't be made.
pub(crate) fn assemble(settings: DaemonSettings) -> Result<Parts, DaemonError> {
    let audit = AuditLog::new(settings.audit_capacity_entries as usize);
    let platform = start_platform(&settings, &audit)?;
    let placement = Placement::new(PlacementOptions::new(
        settings.instance.clone(),
        settings.availability_zone.clone(),
    ));
    let admission = Admission::new(AdmissionOptions::new());
    let connections = Connections::new(ConnectionsOptions {
        connect_timeout: settings.limits.connect_timeout(),
        ..ConnectionsOptions::default()
    });
    let entry = Entry::new(EntryParts {
        availability_zone: settings.availability_zone.clone(),
        platform: platform.clone(),
        admission: admission.clone(),
        placement: placement.clone(),
        connections: connections.clone(),
        limits: entry_limits(&settings),
    });
    Ok(Parts {
        settings: std::rc::Rc::new(settings),
        started: Instant::now(),
        audit,
        platform,
        placement,
        admission,
        connections,
        entry,
    })
}

fn start_platform(settings: &DaemonSettings, audit: &AuditLog) -> Result<Platform, DaemonError> {
    let audit = audit.clone();
    let options = PlatformOptions::builder(settings.platform_address)
        .on_change(move |change| {
            if let Some(event) = audit_event(change) {
                audit.record(event);
            }
        })
        .build();
    Ok(Platform::start(options)?)
}

fn audit_event(change: PlatformChange) -> Option<AuditEvent> {
    log::info!("platform: {change:?}");
    None
}

fn entry_limits(settings: &DaemonSettings) -> EntryLimits {
    let limits = &settings.limits;
    EntryLimits {
        body_limit_bytes: limits.body_limit_bytes as usize,
        body_timeout: limits.body_timeout(),
        stream_buffer_frames: limits.stream_buffer_frames as usize,
        ..EntryLimits::default()
    }
}
