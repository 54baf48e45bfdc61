//! Reads load reports and cache events, with two tasks for each engine.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::JoinHandle;
use mangofront_placement::{CacheEvents, CacheSnapshot, CacheSync, EngineInfo, LoadReport};
use mangofront_settings::ids::InstanceId;
use mangofront_upstream::{SendError, Target, engine};

use crate::components::Components;

/// Interval between two reads of an engine's load in a small region.
const MIN_LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// Longest interval between two reads of an engine's load. An engine that is leaving
/// must get no new requests after a few seconds, even if the platform's instance list
/// is outdated.
const MAX_LOAD_INTERVAL: Duration = Duration::from_secs(3);

/// Part of the interval for each engine. It limits the reads of all engines together
/// to 100 a second, unless [`MAX_LOAD_INTERVAL`] requires more.
const LOAD_INTERVAL_PER_ENGINE: Duration = Duration::from_millis(10);

/// Time limit for a read of an engine's load or cache.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which an engine may hold a request for cache events open (long polling).
const EVENTS_WAIT: Duration = Duration::from_secs(10);

/// Pause before the cache is read again from a snapshot.
const CACHE_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Tasks of all listed engines.
///
/// Invariant: exactly one entry for each listed engine and address. Dropping an entry
/// ends its tasks.
#[derive(Debug)]
pub(crate) struct EngineTasks {
    components: Components,
    running: RefCell<HashMap<InstanceId, EngineTask>>,
    /// Number of listed engines, which determines the interval between reads.
    engine_count: Rc<Cell<u32>>,
}

#[derive(Debug)]
struct EngineTask {
    target: Target,
    _load: JoinHandle<()>,
    _cache: JoinHandle<()>,
}

impl EngineTasks {
    /// Creates a set without tasks.
    pub(crate) fn new(components: Components) -> Self {
        Self {
            components,
            running: RefCell::default(),
            engine_count: Rc::default(),
        }
    }

    /// Starts tasks of new engines and ends those of engines no longer listed.
    pub(crate) fn set(&self, listed: &[EngineInfo]) {
        let count = u32::try_from(listed.len()).unwrap_or(u32::MAX);
        self.engine_count.set(count);
        let mut running = self.running.borrow_mut();
        let addresses: HashMap<&InstanceId, SocketAddr> = listed
            .iter()
            .map(|engine| (&engine.instance, engine.address))
            .collect();
        running.retain(|instance, task| addresses.get(instance) == Some(&task.target.address));
        for engine in listed {
            if !running.contains_key(&engine.instance) {
                running.insert(engine.instance.clone(), self.start(engine));
            }
        }
    }

    fn start(&self, engine: &EngineInfo) -> EngineTask {
        let target = Target {
            instance: engine.instance.clone(),
            address: engine.address,
        };
        let load = compio::runtime::spawn(follow_load(
            self.components.clone(),
            target.clone(),
            Rc::clone(&self.engine_count),
        ));
        let cache = compio::runtime::spawn(follow_cache(self.components.clone(), target.clone()));
        EngineTask {
            target,
            _load: load,
            _cache: cache,
        }
    }
}

/// Interval between two reads of the load of one of `engines` engines.
fn load_interval(engines: u32) -> Duration {
    (LOAD_INTERVAL_PER_ENGINE * engines).clamp(MIN_LOAD_INTERVAL, MAX_LOAD_INTERVAL)
}

async fn follow_load(components: Components, target: Target, engine_count: Rc<Cell<u32>>) {
    loop {
        let read = read::<LoadReport>(&components, &target, "/v1/load", READ_TIMEOUT).await;
        let pause = match read {
            Ok(report) => {
                if let Some(report) = report {
                    components
                        .placement
                        .apply_load_report(&target.instance, report);
                }
                load_interval(engine_count.get())
            }
            Err(error) => {
                log::debug!(
                    "engines: load report of {} could not be read: {error}",
                    target.instance
                );
                components.placement.record_report_failure(&target.instance);
                // A failed engine must be detected soon, however many engines there are.
                MIN_LOAD_INTERVAL
            }
        };
        compio::time::sleep(pause).await;
    }
}

async fn follow_cache(components: Components, target: Target) {
    loop {
        if let Err(error) = follow_cache_from_snapshot(&components, &target).await {
            log::debug!(
                "engines: cache of {} could not be read: {error}",
                target.instance
            );
        }
        compio::time::sleep(CACHE_RETRY_PAUSE).await;
    }
}

/// Reads a snapshot and then the events that follow it, until a gap or an error.
async fn follow_cache_from_snapshot(
    components: &Components,
    target: &Target,
) -> Result<(), SendError> {
    let snapshot = read::<CacheSnapshot>(components, target, "/v1/cache", READ_TIMEOUT).await?;
    let Some(snapshot) = snapshot else {
        return Ok(());
    };
    let mut from = snapshot.sequence;
    components
        .placement
        .apply_cache_snapshot(&target.instance, snapshot);
    loop {
        let wait_ms = EVENTS_WAIT.as_millis();
        let path = format!("/v1/cache/events?from={from}&wait_ms={wait_ms}");
        let timeout = EVENTS_WAIT + READ_TIMEOUT;
        let Some(events) = read::<CacheEvents>(components, target, &path, timeout).await? else {
            continue;
        };
        match components
            .placement
            .apply_cache_events(&target.instance, events)
        {
            CacheSync::InSync { next_sequence } => from = next_sequence,
            CacheSync::NeedsSnapshot => return Ok(()),
        }
    }
}

async fn read<T: serde::de::DeserializeOwned>(
    components: &Components,
    target: &Target,
    path: &str,
    timeout: Duration,
) -> Result<Option<T>, SendError> {
    engine::report(
        &components.connections,
        target,
        path,
        Instant::now() + timeout,
    )
    .await
}
