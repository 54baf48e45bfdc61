//! Order in which the instances of a service are tried.
//!
//! Instances in the daemon's own availability zone come first, in rotation. After
//! a failure an instance comes last for a while, but is never excluded, because it
//! may be the only one of its service.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

use mangofront_settings::ids::InstanceId;
use mangofront_settings::instances::{Instance, InstanceRole, InstanceState};
use mangofront_upstream::{SendError, Target};

use crate::context::Entry;

/// Time after a failure for which an instance is tried last.
const FAILURE_PENALTY: Duration = Duration::from_secs(5);

/// Rotation of the services' instances, and their recent failures.
#[derive(Debug, Default)]
pub(crate) struct InstanceRotation {
    next_offset: Cell<usize>,
    failed: RefCell<HashMap<InstanceId, Instant>>,
}

impl InstanceRotation {
    /// Records a call that failed at its instance.
    pub(crate) fn record_failure(&self, error: &SendError) {
        let now = Instant::now();
        let mut failed = self.failed.borrow_mut();
        failed.retain(|_, failed_at| now.duration_since(*failed_at) < FAILURE_PENALTY);
        failed.insert(error.peer().clone(), now);
    }

    fn failed_recently(&self, instance: &InstanceId) -> bool {
        let failed = self.failed.borrow();
        let failed_at = failed.get(instance);
        failed_at.is_some_and(|failed_at| failed_at.elapsed() < FAILURE_PENALTY)
    }

    fn next_offset(&self) -> usize {
        let offset = self.next_offset.get();
        self.next_offset.set(offset.wrapping_add(1));
        offset
    }
}

/// Live instances of a service, in the order in which to try them.
pub(crate) fn targets(entry: &Entry, service: &str) -> Vec<Target> {
    let Some(accepted) = entry.parts().platform.instances() else {
        return Vec::new();
    };
    let own_zone = &entry.parts().availability_zone;
    let rotation = entry.instance_rotation();
    let live = accepted.list.instances.iter();
    let mut live: Vec<(&Instance, Target)> = live
        .filter_map(|instance| Some((instance, live_target(instance, service)?)))
        .collect();
    let offset = rotation.next_offset() % live.len().max(1);
    live.rotate_left(offset);
    live.sort_by_key(|(instance, target)| {
        let in_other_zone = instance.availability_zone != *own_zone;
        (rotation.failed_recently(&target.instance), in_other_zone)
    });
    live.into_iter().map(|(_, target)| target).collect()
}

fn live_target(instance: &Instance, wanted_service: &str) -> Option<Target> {
    let InstanceRole::Service { address, service } = &instance.role else {
        return None;
    };
    let is_candidate = service == wanted_service && instance.state == InstanceState::Live;
    is_candidate.then(|| Target {
        instance: instance.instance.clone(),
        address: *address,
    })
}
