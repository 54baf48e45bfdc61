//! Which daemon is responsible for an engine.
//!
//! Rendezvous hashing: daemons with the same view name the same one without a
//! word, and the loss of a daemon moves only its own engines.

use mangofront_settings::ids::InstanceId;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::view::{OrdersDaemon, OrdersEngine};

/// The daemon responsible for `engine`: one of its own availability zone, or of
/// any other when that zone has none; `None` without daemons.
#[must_use]
pub fn responsible<'a>(
    daemons: &'a [OrdersDaemon],
    engine: &OrdersEngine,
) -> Option<&'a InstanceId> {
    let near = daemons
        .iter()
        .filter(|daemon| daemon.availability_zone == engine.availability_zone);
    first(near, engine).or_else(|| first(daemons.iter(), engine))
}

fn first<'a>(
    daemons: impl Iterator<Item = &'a OrdersDaemon>,
    engine: &OrdersEngine,
) -> Option<&'a InstanceId> {
    let seed = xxh3_64(engine.instance.as_bytes());
    daemons
        .map(|daemon| &daemon.instance)
        // Names break ties of the hash, so that all daemons decide alike.
        .max_by_key(|instance| (xxh3_64_with_seed(instance.as_bytes(), seed), *instance))
}
