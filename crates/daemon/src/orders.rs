//! Orders to engines: their view, their times and their trail.

use std::time::Duration;

use mangofront_audit::{AuditEvent, AuditLog};
use mangofront_orders::{
    OrderChange, OrderOutcome, Orders, OrdersDaemon, OrdersEngine, OrdersOptions, OrdersView,
};
use mangofront_peers::{Member, MemberState};
use mangofront_settings::instances::{Instance, InstanceRole, InstanceState};
use mangofront_settings::process::DaemonSettings;
use mangofront_upstream::Connections;

use crate::parts::Parts;

/// Time for an engine to answer a read of its state or an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Heartbeats for which a view may be acted upon.
const LEASE_HEARTBEATS: u32 = 3;

/// Heartbeats after the time of suspicion in which a daemon without contact
/// ends to rely on its view, with one for the news to spread.
const SPREAD_HEARTBEATS: u32 = 6;

/// Views handed in for each heartbeat, so that one late view ends no lease.
const VIEWS_PER_HEARTBEAT: u32 = 2;

/// Makes the orders of a daemon.
///
/// A daemon without contact relies on its view until it had the time to judge
/// its neighbours (suspicion and five heartbeats), and acts for one lease and
/// one time-out after. The successor's wait is longer than all that, although
/// it begins only once the former one is suspected.
pub(crate) fn make(
    settings: &DaemonSettings,
    audit: &AuditLog,
    connections: &Connections,
) -> Orders {
    let heartbeat = settings.peers.heartbeat();
    let lease = heartbeat * LEASE_HEARTBEATS;
    let spread = settings.peers.suspect_after() + heartbeat * SPREAD_HEARTBEATS;
    let audit = audit.clone();
    let options = OrdersOptions::builder(connections.clone())
        .view_lease(lease)
        .order_timeout(ORDER_TIMEOUT)
        .takeover_wait(lease + ORDER_TIMEOUT + spread)
        .on_change(move |change| {
            audit.record(audit_event(change));
        })
        .build();
    Orders::new(options)
}

/// Hands in this daemon's view while it can be relied upon, for ever.
pub(crate) async fn follow(parts: Parts) {
    let pause = parts.settings.peers.heartbeat() / VIEWS_PER_HEARTBEAT;
    loop {
        if parts.peers.view_fresh()
            && let Some(view) = view(&parts)
        {
            parts.orders.set_view(view);
        }
        compio::time::sleep(pause).await;
    }
}

/// The view now; `None` until both documents are known.
fn view(parts: &Parts) -> Option<OrdersView> {
    let accepted = parts.platform.configuration()?;
    let listed = parts.platform.instances()?;
    let region = &parts.settings.region;
    let members = parts.peers.members();
    let alive = |member: &&Member| member.state == MemberState::Alive && member.region == *region;
    let daemons = members.iter().filter(alive).map(|member| OrdersDaemon {
        instance: member.instance.clone(),
        availability_zone: member.availability_zone.clone(),
    });
    let instances = listed.list.instances.iter();
    let engines = instances
        .filter(|instance| instance.region == *region)
        .filter_map(engine);
    Some(OrdersView {
        own_instance: parts.settings.instance.clone(),
        incarnation: parts.peers.incarnation(),
        daemons: daemons.collect(),
        engines: engines.collect(),
        revision: accepted.revision,
        models: accepted.configuration.models.clone(),
    })
}

fn engine(instance: &Instance) -> Option<OrdersEngine> {
    let InstanceRole::Engine { address, model } = &instance.role else {
        return None;
    };
    Some(OrdersEngine {
        instance: instance.instance.clone(),
        model: model.clone(),
        availability_zone: instance.availability_zone.clone(),
        address: *address,
        leaving: instance.state == InstanceState::Leaving,
        // Nothing that is published names a role.
        role: None,
    })
}

fn audit_event(change: OrderChange) -> AuditEvent {
    let OrderChange {
        engine: instance,
        order,
        token,
        outcome,
    } = change;
    let order = format!("{order}, token {token}");
    match outcome {
        OrderOutcome::Taken { .. } => AuditEvent::OrderSent { instance, order },
        OrderOutcome::Refused { reason } => AuditEvent::OrderRefused {
            instance,
            order,
            reason,
        },
        OrderOutcome::Unknown { reason } => AuditEvent::OrderSent {
            instance,
            order: format!("{order}, without an answer: {reason}"),
        },
    }
}
