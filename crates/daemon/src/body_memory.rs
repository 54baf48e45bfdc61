//! Memory for bodies: how much of that of the process, and what operators see of it.

use std::fs;
use std::time::{Duration, Instant};

use mangofront_bodies::BodyMemory;
use mangofront_settings::process::Limits;
use mangofront_telemetry::metrics::{BodyUsage, Metrics};

use crate::error::DaemonError;

/// Part of the memory of the process that bodies may take, as a divisor. The rest is for
/// connections and their buffers, for what the daemon knows of the fleet, and for what the
/// allocator doesn't return.
const BODIES_DIVISOR: u64 = 5;

/// Largest part of it that operators may set aside, as a divisor.
const LEAST_DIVISOR: u64 = 2;

/// Memory that the process takes to be available at most, unless operators name more.
const DEFAULT_LIMIT_BYTES: u64 = 1_024 * MEGABYTE_BYTES;

const MEGABYTE_BYTES: u64 = 1_000_000;
const KIB_BYTES: u64 = 1_024;

/// Where a control group states its limit, in bytes: of the second and of the first version.
const GROUP_LIMIT_FILES: [&str; 2] = [
    "/sys/fs/cgroup/memory.max",
    "/sys/fs/cgroup/memory/memory.limit_in_bytes",
];

/// Where the kernel states the memory of the machine, in KiB.
const MACHINE_MEMORY_FILE: &str = "/proc/meminfo";

/// Interval at which operators are told of bodies that ended for lack of room.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Sets memory for bodies aside from that of the process.
///
/// # Errors
/// [`DaemonError::Memory`] if the settings ask for more than half of it, or it has no room for the
/// largest body of a caller.
pub(crate) fn set_aside(
    limits: &Limits,
    largest_body_bytes: u64,
) -> Result<BodyMemory, DaemonError> {
    let process_bytes = match limits.memory_limit_mb {
        Some(megabytes) => megabytes * MEGABYTE_BYTES,
        None => available_bytes().min(DEFAULT_LIMIT_BYTES),
    };
    let bodies_bytes = limits
        .bodies_limit_bytes
        .unwrap_or(process_bytes / BODIES_DIVISOR);
    if bodies_bytes > process_bytes / LEAST_DIVISOR {
        return Err(DaemonError::Memory {
            cause: format!(
                "{bodies_bytes} bytes for bodies are more than half of the {process_bytes} that \
                 the process may use"
            ),
            help: "lower `bodies_limit_bytes`, or raise `memory_limit_mb`",
        });
    }
    let memory = BodyMemory::new(usize::try_from(bodies_bytes).unwrap_or(usize::MAX));
    let largest_body_bytes = usize::try_from(largest_body_bytes).unwrap_or(usize::MAX);
    if !memory.can_ever_hold(largest_body_bytes) {
        return Err(DaemonError::Memory {
            cause: format!(
                "{bodies_bytes} bytes for bodies don't suffice for one of {largest_body_bytes}"
            ),
            help: "raise `bodies_limit_bytes` or `memory_limit_mb`, or lower `body_limit_bytes`",
        });
    }
    log::info!(
        process_bytes = process_bytes,
        bodies_bytes = bodies_bytes;
        "daemon: memory set aside for bodies"
    );
    Ok(memory)
}

/// Memory that the machine has or the control group allows, whichever is less, in bytes.
fn available_bytes() -> u64 {
    let group = GROUP_LIMIT_FILES.iter().filter_map(|path| {
        let limit = fs::read_to_string(path).ok()?;
        limit.trim().parse().ok()
    });
    group.chain(machine_bytes()).min().unwrap_or(u64::MAX)
}

fn machine_bytes() -> Option<u64> {
    let file = fs::read_to_string(MACHINE_MEMORY_FILE).ok()?;
    let line = file.lines().find(|line| line.starts_with("MemTotal:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * KIB_BYTES)
}

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

/// Warns of bodies that ended for lack of room, by purpose; never returns.
pub(crate) async fn warn_of_lack(memory: BodyMemory) {
    let mut before = memory.usage();
    loop {
        compio::time::sleep_until(Instant::now() + WATCH_INTERVAL).await;
        let now = memory.usage();
        for (before, now) in before.iter().zip(&now) {
            let ended = now.ended_for_room - before.ended_for_room;
            if ended > 0 {
                log::warn!(
                    purpose = now.purpose.name(),
                    ended = ended,
                    waiting = now.waiting,
                    held_bytes = now.held_bytes,
                    all_held_bytes = memory.held_bytes(),
                    limit_bytes = memory.limit_bytes();
                    "daemon: bodies ended as there is no memory left for them"
                );
            }
        }
        before = now;
    }
}
