//! Connects the orders to engines with membership, settings and the audit trail.

use std::time::Duration;

use mangofront_audit::{AuditEvent, AuditLog};
use mangofront_orders::{
    OrderChange, OrderOutcome, Orders, OrdersDaemon, OrdersEngine, OrdersOptions, OrdersView,
};
use mangofront_peers::{Member, MemberState};
use mangofront_settings::instances::{Instance, InstanceRole, InstanceState};
use mangofront_settings::process::DaemonSettings;
use mangofront_upstream::Connections;

use crate::components::Components;

/// Time limit for an engine to answer a read of its state or an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of heartbeats for which a view is valid.
const LEASE_HEARTBEATS: u32 = 3;

/// Number of heartbeats, after the suspicion timeout, within which an isolated daemon
/// stops relying on its view; includes one for the suspicion to spread.
const SPREAD_HEARTBEATS: u32 = 6;

/// Number of view updates in each heartbeat; with two, a single late update does not
/// let the lease expire.
const VIEW_UPDATES_PER_HEARTBEAT: u32 = 2;

/// Creates the component that sends orders to engines.
///
/// An isolated daemon relies on its view until it has had the time to suspect its
/// neighbours (the suspicion timeout and five heartbeats), and may still act for one
/// lease and one order timeout after that. Its successor waits longer than this sum,
/// counted from the moment at which the isolated daemon is suspected.
pub(crate) fn create(
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

/// Updates the view of the orders while the membership is current; never returns.
pub(crate) async fn update_view(components: Components) {
    let pause = components.settings.peers.heartbeat() / VIEW_UPDATES_PER_HEARTBEAT;
    loop {
        if components.peers.view_fresh()
            && let Some(view) = current_view(&components)
        {
            components.orders.set_view(view);
        }
        compio::time::sleep(pause).await;
    }
}

/// Current view; `None` until a configuration and an instance list are accepted.
fn current_view(components: &Components) -> Option<OrdersView> {
    let accepted = components.platform.configuration()?;
    let listed = components.platform.instances()?;
    let region = &components.settings.region;
    let members = components.peers.members();
    let alive = |member: &&Member| member.state == MemberState::Alive && member.region == *region;
    let daemons = members.iter().filter(alive).map(|member| OrdersDaemon {
        instance: member.instance.clone(),
        availability_zone: member.availability_zone.clone(),
    });
    let instances = listed.list.instances.iter();
    let engines = instances
        .filter(|instance| instance.region == *region)
        .filter_map(orders_engine);
    Some(OrdersView {
        own_instance: components.settings.instance.clone(),
        incarnation: components.peers.incarnation(),
        daemons: daemons.collect(),
        engines: engines.collect(),
        revision: accepted.revision,
        models: accepted.configuration.models.clone(),
    })
}

fn orders_engine(instance: &Instance) -> Option<OrdersEngine> {
    let InstanceRole::Engine { address, model } = &instance.role else {
        return None;
    };
    Some(OrdersEngine {
        instance: instance.instance.clone(),
        model: model.clone(),
        availability_zone: instance.availability_zone.clone(),
        address: *address,
        leaving: instance.state == InstanceState::Leaving,
        // The published documents assign no roles.
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
