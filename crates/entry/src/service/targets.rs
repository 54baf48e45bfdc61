//! Which instance of a service gets a call.
//!
//! Instances of the daemon's own availability zone come first, in turns. One
//! that could not be reached or did not answer comes last for a while, but is
//! never left out: the only instance of a service stays its only instance.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

use mangofront_settings::ids::InstanceId;
use mangofront_settings::instances::{Instance, InstanceRole, InstanceState};
use mangofront_upstream::{SendError, Target};

use crate::context::Entry;

/// Time for which an instance comes last after a failure.
const LAST_FOR: Duration = Duration::from_secs(5);

/// What this daemon remembers of the services' instances.
#[derive(Debug, Default)]
pub(crate) struct ServiceTurns {
    next: Cell<usize>,
    failed: RefCell<HashMap<InstanceId, Instant>>,
}

impl ServiceTurns {
    /// Notes a call that failed at its instance.
    pub(crate) fn failed(&self, error: &SendError) {
        let now = Instant::now();
        let mut failed = self.failed.borrow_mut();
        failed.retain(|_, since| now.duration_since(*since) < LAST_FOR);
        failed.insert(error.peer().clone(), now);
    }

    fn has_failed(&self, instance: &InstanceId) -> bool {
        let failed = self.failed.borrow();
        let since = failed.get(instance);
        since.is_some_and(|since| since.elapsed() < LAST_FOR)
    }

    fn next(&self) -> usize {
        let turn = self.next.get();
        self.next.set(turn.wrapping_add(1));
        turn
    }
}

/// Live instances of a service in the order in which to try them.
pub(crate) fn targets(entry: &Entry, service: &str) -> Vec<Target> {
    let Some(accepted) = entry.parts().platform.instances() else {
        return Vec::new();
    };
    let own_zone = &entry.parts().availability_zone;
    let turns = entry.service_turns();
    let live = accepted.list.instances.iter();
    let mut live: Vec<(&Instance, Target)> = live
        .filter_map(|instance| Some((instance, live_target(instance, service)?)))
        .collect();
    let turn = turns.next() % live.len().max(1);
    live.rotate_left(turn);
    live.sort_by_key(|(instance, target)| {
        let elsewhere = instance.availability_zone != *own_zone;
        (turns.has_failed(&target.instance), elsewhere)
    });
    live.into_iter().map(|(_, target)| target).collect()
}

fn live_target(instance: &Instance, wanted: &str) -> Option<Target> {
    let InstanceRole::Service { address, service } = &instance.role else {
        return None;
    };
    let takes_work = service == wanted && instance.state == InstanceState::Live;
    takes_work.then(|| Target {
        instance: instance.instance.clone(),
        address: *address,
    })
}
