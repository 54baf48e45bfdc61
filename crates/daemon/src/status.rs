//! What a daemon tells of itself to an operator.

use mangofront_admission::AdmissionStatus;
use mangofront_orders::OrdersStatus;
use mangofront_placement::PlacementStatus;
use mangofront_platform::PlatformHealth;
use serde::Serialize;

use crate::parts::Parts;

/// Answer of `GET /status`.
#[derive(Debug, Serialize)]
pub(crate) struct Status {
    daemon: DaemonStatus,
    platform: PlatformHealth,
    admission: AdmissionStatus,
    placement: PlacementStatus,
    orders: OrdersStatus,
}

#[derive(Debug, Serialize)]
struct DaemonStatus {
    instance: String,
    region: String,
    availability_zone: String,
    version: &'static str,
    uptime_s: u64,
    requests_in_progress: usize,
}

/// Status of the daemon now.
pub(crate) fn status(parts: &Parts) -> Status {
    Status {
        daemon: DaemonStatus {
            instance: parts.settings.instance.clone(),
            region: parts.settings.region.clone(),
            availability_zone: parts.settings.availability_zone.clone(),
            version: env!("CARGO_PKG_VERSION"),
            uptime_s: parts.started.elapsed().as_secs(),
            requests_in_progress: parts.entry.in_progress(),
        },
        platform: parts.platform.health(),
        admission: parts.admission.status(),
        placement: parts.placement.status(),
        orders: parts.orders.status(),
    }
}
