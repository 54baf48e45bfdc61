//! News carried from the platform to the parts that act on it.

use std::collections::HashSet;
use std::net::SocketAddr;

use mangofront_configuration::Revisions;
use mangofront_placement::EngineInfo;
use mangofront_settings::instances::{Instance, InstanceRole, InstanceState};
use mangofront_telemetry::invariants::{Invariant, check};

use crate::engines::EngineTasks;
use crate::membership;
use crate::parts::Parts;

/// Passes on each accepted configuration and instance list, for ever.
pub(crate) async fn follow_platform(parts: Parts) {
    let engines = EngineTasks::new(parts.clone());
    let mut seen = parts.platform.revisions();
    let mut in_force = Revisions::default();
    loop {
        check_floor(&mut in_force, &parts);
        pass_on_configuration(&parts);
        pass_on_instances(&parts, &engines);
        seen = parts.platform.changed(seen).await;
    }
}

/// Checks that nothing in force was replaced by an older revision.
fn check_floor(in_force: &mut Revisions, parts: &Parts) {
    let now = parts.platform.revisions();
    let holds = now.configuration >= in_force.configuration && now.instances >= in_force.instances;
    check(Invariant::ConfigurationFloor, holds, || {
        format!("{in_force:?} was replaced by {now:?}")
    });
    *in_force = now;
}

fn pass_on_configuration(parts: &Parts) {
    if let Some(accepted) = parts.platform.configuration() {
        parts.admission.set_classes(&accepted.configuration.classes);
        parts.once.set_rules(&accepted.configuration.idempotency);
    }
}

fn pass_on_instances(parts: &Parts, engines: &EngineTasks) {
    let Some(accepted) = parts.platform.instances() else {
        return;
    };
    let region = &parts.settings.region;
    membership::pass_on_list(region, &accepted, &parts.peers, &parts.once);
    let instances = &accepted.list.instances;
    let near = instances
        .iter()
        .filter(|instance| instance.region == *region);
    let listed: Vec<EngineInfo> = near.filter_map(engine_info).collect();
    engines.set(&listed);
    parts.placement.set_engines(listed);
    let addresses: HashSet<SocketAddr> = instances.iter().filter_map(upstream_address).collect();
    parts
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
