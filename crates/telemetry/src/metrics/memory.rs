//! Memory of the process and of the bodies in it, read at each scrape.

use std::fs;
use std::sync::Arc;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;

/// Where the kernel states the memory of this process, in pages.
const MEMORY_FILE: &str = "/proc/self/statm";

/// Unit of [`MEMORY_FILE`], in bytes.
const PAGE_BYTES: u64 = 4096;

/// Memory of the bodies that are kept for one purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyUsage {
    /// What they are kept for; a stable name.
    pub purpose: &'static str,
    /// Memory that they take, in bytes.
    pub held_bytes: u64,
    /// Bodies that wait for room.
    pub waiting: u64,
    /// Bodies that ended for lack of room, since the start of the process.
    pub ended_for_room: u64,
}

/// Registers a gauge of the process's resident memory.
pub(super) fn register_resident(meter: &Meter) {
    // The meter keeps the callback, so the returned handle is not needed.
    let _ = meter
        .u64_observable_gauge("resident_bytes")
        .with_description("Memory of the process")
        .with_callback(|observer| {
            if let Some(bytes) = resident_bytes() {
                observer.observe(bytes, &[]);
            }
        })
        .build();
}

/// Memory of this process; `None` where the kernel does not state it.
fn resident_bytes() -> Option<u64> {
    let pages = fs::read_to_string(MEMORY_FILE).ok()?;
    let pages: u64 = pages.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}

/// Registers gauges and a counter of bodies, which `usage` states by purpose.
pub(super) fn register_bodies(
    meter: &Meter,
    usage: impl Fn() -> Vec<BodyUsage> + Send + Sync + 'static,
) {
    let usage = Arc::new(usage);
    let observe = |value: fn(&BodyUsage) -> u64| {
        let usage = Arc::clone(&usage);
        move |observer: &dyn opentelemetry::metrics::AsyncInstrument<u64>| {
            for usage in usage() {
                let label = KeyValue::new("purpose", usage.purpose);
                observer.observe(value(&usage), &[label]);
            }
        }
    };
    let _ = meter
        .u64_observable_gauge("body_bytes")
        .with_description("Memory that bodies take, by what they are kept for")
        .with_callback(observe(|usage| usage.held_bytes))
        .build();
    let _ = meter
        .u64_observable_gauge("bodies_waiting")
        .with_description("Bodies that wait for memory, by what they are kept for")
        .with_callback(observe(|usage| usage.waiting))
        .build();
    let _ = meter
        .u64_observable_counter("bodies_ended_for_room")
        .with_description("Bodies not read to their end for lack of memory, by purpose")
        .with_callback(observe(|usage| usage.ended_for_room))
        .build();
}
