//! Applies the platform's documents to the components that use them.

use std::collections::HashSet;
use std::net::SocketAddr;

use mangofront_configuration::Revisions;
use mangofront_placement::EngineInfo;
use mangofront_settings::instances::{Instance, InstanceRole, InstanceState};
use mangofront_telemetry::invariants::{Invariant, check};

use crate::components::Components;
use crate::engines::EngineTasks;
use crate::membership;

/// Applies each accepted configuration and instance list; never returns.
pub(crate) async fn apply_changes(components: Components) {
    let engines = EngineTasks::new(components.clone());
    let mut seen = components.platform.revisions();
    let mut in_force = Revisions::default();
    loop {
        check_revisions(&mut in_force, &components);
        apply_configuration(&components);
        apply_instances(&components, &engines);
        seen = components.platform.changed(seen).await;
    }
}

/// Checks that no accepted document was replaced by an older revision.
fn check_revisions(in_force: &mut Revisions, components: &Components) {
    let now = components.platform.revisions();
    let holds = now.configuration >= in_force.configuration && now.instances >= in_force.instances;
    check(Invariant::ConfigurationFloor, holds, || {
        format!("{in_force:?} was replaced by {now:?}")
    });
    *in_force = now;
}

fn apply_configuration(components: &Components) {
    if let Some(accepted) = components.platform.configuration() {
        components
            .admission
            .set_classes(&accepted.configuration.classes);
        components
            .once
            .set_rules(&accepted.configuration.idempotency);
    }
}

fn apply_instances(components: &Components, engines: &EngineTasks) {
    let Some(accepted) = components.platform.instances() else {
        return;
    };
    let region = &components.settings.region;
    membership::apply_instances(region, &accepted, &components.peers, &components.once);
    let instances = &accepted.list.instances;
    let in_region = instances
        .iter()
        .filter(|instance| instance.region == *region);
    let listed: Vec<EngineInfo> = in_region.filter_map(engine_info).collect();
    engines.set(&listed);
    components.placement.set_engines(listed);
    let addresses: HashSet<SocketAddr> = instances.iter().filter_map(upstream_address).collect();
    components
        .connections
        .retain_idle(|address| addresses.contains(address));
}

fn engine_info(instance: &Instance) -> Option<EngineInfo> {
    let InstanceRole::Engine { address, model } = &instance.role else {
        return None;
    };
    Some(EngineInfo {
        instance: instance.instance.clone(),
        model: model.clone(),
        availability_zone: instance.availability_zone.clone(),
        address: *address,
        leaving: instance.state == InstanceState::Leaving,
    })
}

fn upstream_address(instance: &Instance) -> Option<SocketAddr> {
    match &instance.role {
        InstanceRole::Engine { address, .. } | InstanceRole::Service { address, .. } => {
            Some(*address)
        }
        InstanceRole::Entry { .. } => None,
    }
}
