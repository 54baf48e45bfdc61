//! Shows operators the memory of bodies.

use mangofront_bodies::BodyMemory;
use mangofront_telemetry::metrics::{BodyUsage, Metrics};

/// Adds the memory of the process, and that of bodies by purpose, to the metrics.
pub(crate) fn observe(memory: &BodyMemory, metrics: &Metrics) {
    let memory = memory.clone();
    metrics.observe_memory(move || {
        let usage = memory.usage().into_iter();
        usage
            .map(|usage| BodyUsage {
                purpose: usage.purpose.name(),
                held_bytes: usage.held_bytes as u64,
                waiting: usage.waiting as u64,
                ended_for_room: usage.ended_for_room,
            })
            .collect()
    });
}
