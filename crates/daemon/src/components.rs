//! Components of one daemon and how they are wired together.

use std::rc::Rc;
use std::time::Instant;

use mangofront_admission::{Admission, AdmissionOptions};
use mangofront_audit::{AuditEvent, AuditLog};
use mangofront_bodies::BodyMemory;
use mangofront_configuration::{Kind, Platform, PlatformChange, PlatformOptions};
use mangofront_entry::{Entry, EntryLimits, EntryParts};
use mangofront_once::{Once, OnceOptions};
use mangofront_orders::Orders;
use mangofront_peers::Peers;
use mangofront_placement::{Placement, PlacementOptions, Policy};
use mangofront_settings::ids::Revision;
use mangofront_settings::process::DaemonSettings;
use mangofront_settings::published::check_published_one_line;
use mangofront_telemetry::metrics::Metrics;
use mangofront_upstream::{Connections, ConnectionsOptions};

use crate::address_wait::AddressWait;
use crate::error::DaemonError;
use crate::membership::{self, PeerTransport};
use crate::orders;
use crate::{body_memory, build};

/// All components of a daemon; a clone shares them.
#[derive(Debug, Clone)]
pub(crate) struct Components {
    pub(crate) settings: Rc<DaemonSettings>,
    pub(crate) started: Instant,
    pub(crate) audit: AuditLog,
    pub(crate) platform: Platform,
    pub(crate) placement: Placement,
    pub(crate) admission: Admission,
    pub(crate) peers: Peers,
    pub(crate) once: Once,
    pub(crate) orders: Orders,
    pub(crate) metrics: Metrics,
    pub(crate) connections: Connections,
    pub(crate) entry: Entry,
    pub(crate) body_memory: BodyMemory,
}

/// Creates and starts the components.
///
/// # Errors
/// [`DaemonError`] if a component rejects its settings or can't bind its address.
pub(crate) async fn assemble(
    settings: DaemonSettings,
    policy: Policy,
    wait: AddressWait,
) -> Result<Components, DaemonError> {
    let audit = AuditLog::new(settings.audit_capacity_entries as usize);
    let platform = start_platform(&settings, &audit)?;
    let (instance, zone) = (&settings.instance, &settings.availability_zone);
    let options = PlacementOptions::new(instance.clone(), zone.clone()).policy(policy);
    let placement = Placement::new(options);
    let admission = Admission::new(AdmissionOptions::new());
    let largest_body_bytes = u64::from(settings.limits.body_limit_bytes);
    let body_memory = body_memory::set_aside(&settings.limits, largest_body_bytes)?;
    let connections = Connections::new(ConnectionsOptions {
        connect_timeout: settings.limits.connect_timeout(),
        body_memory: body_memory.clone(),
        ..ConnectionsOptions::default()
    });
    let metrics = Metrics::new()?;
    build::observe(&metrics);
    body_memory::observe(&body_memory, &metrics);
    let responders = Rc::default();
    let start_peers = async || membership::start(&settings, &audit, &platform, &responders);
    let peers = wait.listen(start_peers).await?;
    let options = OnceOptions::new(settings.instance.clone(), peers.incarnation());
    let once = Once::new(options, Rc::new(PeerTransport(peers.clone())));
    responders.set_once(once.clone());
    let orders = orders::create(&settings, &audit, &connections);
    let entry = Entry::new(EntryParts {
        availability_zone: settings.availability_zone.clone(),
        platform: platform.clone(),
        admission: admission.clone(),
        placement: placement.clone(),
        once: once.clone(),
        connections: connections.clone(),
        metrics: metrics.clone(),
        body_memory: body_memory.clone(),
        limits: entry_limits(&settings),
    });
    Ok(Components {
        settings: Rc::new(settings),
        started: Instant::now(),
        audit,
        platform,
        placement,
        admission,
        peers,
        once,
        orders,
        metrics,
        connections,
        entry,
        body_memory,
    })
}

fn start_platform(settings: &DaemonSettings, audit: &AuditLog) -> Result<Platform, DaemonError> {
    let audit = audit.clone();
    let options = PlatformOptions::builder(settings.platform_address)
        .checker(check_published_one_line)
        .on_change(move |change| {
            if let Some(event) = audit_event(change) {
                audit.record(event);
            }
        })
        .build();
    Ok(Platform::start(options)?)
}

fn audit_event(change: PlatformChange) -> Option<AuditEvent> {
    match change {
        PlatformChange::Accepted {
            kind: Kind::Configuration,
            revision,
            ..
        } => Some(AuditEvent::ConfigurationAccepted { revision }),
        PlatformChange::Accepted {
            kind: Kind::Instances,
            revision,
            ..
        } => Some(AuditEvent::InstancesAccepted { revision }),
        PlatformChange::Refused {
            kind,
            revision,
            reason,
            ..
        } => Some(refused_event(kind, revision, reason.to_string())),
        PlatformChange::Diverged { kind, revision, .. } => {
            let reason = "a peer holds another value under this revision".to_owned();
            Some(refused_event(kind, revision, reason))
        }
        other => {
            log::info!("platform: {other}");
            None
        }
    }
}

fn refused_event(kind: Kind, revision: Revision, reason: String) -> AuditEvent {
    match kind {
        Kind::Configuration => AuditEvent::ConfigurationRefused { revision, reason },
        Kind::Instances => AuditEvent::InstancesRefused { revision, reason },
    }
}

fn entry_limits(settings: &DaemonSettings) -> EntryLimits {
    let limits = &settings.limits;
    EntryLimits {
        in_progress_limit_requests: limits.in_progress_limit_requests as usize,
        body_limit_bytes: limits.body_limit_bytes as usize,
        body_timeout: limits.body_timeout(),
        stall_timeout: limits.stream_stall_timeout(),
        stream_buffer_frames: limits.stream_buffer_frames as usize,
        ..EntryLimits::default()
    }
}
