//! Assignment of engines to daemons.
//!
//! Uses rendezvous hashing: daemons with the same view compute the same assignment
//! without coordination, and the loss of a daemon moves only its own engines.

use mangofront_settings::ids::InstanceId;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::view::{OrdersDaemon, OrdersEngine};

/// The daemon responsible for `engine`: one of its availability zone, or of any
/// other if that zone has none; `None` if there are no daemons.
#[must_use]
pub fn responsible_daemon<'a>(
    daemons: &'a [OrdersDaemon],
    engine: &OrdersEngine,
) -> Option<&'a InstanceId> {
    let same_zone = daemons
        .iter()
        .filter(|daemon| daemon.availability_zone == engine.availability_zone);
    highest_ranked(same_zone, engine).or_else(|| highest_ranked(daemons.iter(), engine))
}

fn highest_ranked<'a>(
    daemons: impl Iterator<Item = &'a OrdersDaemon>,
    engine: &OrdersEngine,
) -> Option<&'a InstanceId> {
    let seed = xxh3_64(engine.instance.as_bytes());
    daemons
        .map(|daemon| &daemon.instance)
        // Names break ties of the hash, so that all daemons get the same result.
        .max_by_key(|instance| (xxh3_64_with_seed(instance.as_bytes(), seed), *instance))
}
