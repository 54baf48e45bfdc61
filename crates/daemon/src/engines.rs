//! One task per engine: its load reports and its cache events.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::JoinHandle;
use mangofront_placement::{CacheEvents, CacheSnapshot, CacheSync, EngineInfo, LoadReport};
use mangofront_settings::ids::InstanceId;
use mangofront_upstream::{SendError, Target, engine};

use crate::parts::Parts;

/// Time between two reads of an engine's load, in a small region.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time between two reads of an engine's load: one that is leaving
/// gets no new work after a few seconds, also while the platform's list lags.
const LOAD_INTERVAL_CAP: Duration = Duration::from_secs(3);

/// Share of time that reads of all engines leave to each: a hundred reads a
/// second while the cap allows.
const LOAD_INTERVAL_PER_ENGINE: Duration = Duration::from_millis(10);

/// Time for an engine to answer a read of its load or cache.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that an engine may hold a read of cache events open.
const EVENTS_WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed read of the cache.
const CACHE_PAUSE: Duration = Duration::from_secs(1);

/// The tasks of all engines listed.
///
/// Invariant: exactly one entry per listed engine and address; dropping an
/// entry ends its tasks.
#[derive(Debug)]
pub(crate) struct EngineTasks {
    parts: Parts,
    running: RefCell<HashMap<InstanceId, EngineTask>>,
    /// Number of engines that are followed, for the pace of reads.
    followed: Rc<Cell<u32>>,
}

#[derive(Debug)]
struct EngineTask {
    target: Target,
    _load: JoinHandle<()>,
    _cache: JoinHandle<()>,
}

impl EngineTasks {
    /// No engine yet.
    pub(crate) fn new(parts: Parts) -> Self {
        Self {
            parts,
            running: RefCell::default(),
            followed: Rc::default(),
        }
    }

    /// Starts tasks of new engines and ends those of engines no longer listed.
    pub(crate) fn set(&self, listed: &[EngineInfo]) {
        let count = u32::try_from(listed.len()).unwrap_or(u32::MAX);
        self.followed.set(count);
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
            self.parts.clone(),
            target.clone(),
            Rc::clone(&self.followed),
        ));
        let cache = compio::runtime::spawn(follow_cache(self.parts.clone(), target.clone()));
        EngineTask {
            target,
            _load: load,
            _cache: cache,
        }
    }
}

/// Pause between two reads of one engine's load among `engines`.
fn load_interval(engines: u32) -> Duration {
    (LOAD_INTERVAL_PER_ENGINE * engines).clamp(LOAD_INTERVAL, LOAD_INTERVAL_CAP)
}

async fn follow_load(parts: Parts, target: Target, followed: Rc<Cell<u32>>) {
    loop {
        let read = read::<LoadReport>(&parts, &target, "/v1/load", REPORT_TIMEOUT).await;
        let pause = match read {
            Ok(report) => {
                if let Some(report) = report {
                    parts.placement.apply_load_report(&target.instance, report);
                }
                load_interval(followed.get())
            }
            Err(error) => {
                log::debug!("engines: load of {} not read: {error}", target.instance);
                parts.placement.record_report_failure(&target.instance);
                // Whether it is gone must be known soon, however many there are.
                LOAD_INTERVAL
            }
        };
        compio::time::sleep(pause).await;
    }
}

async fn follow_cache(parts: Parts, target: Target) {
    loop {
        if let Err(error) = follow_cache_from_snapshot(&parts, &target).await {
            log::debug!("engines: cache of {} not read: {error}", target.instance);
        }
        compio::time::sleep(CACHE_PAUSE).await;
    }
}

/// Reads a snapshot and the events after it, until a gap or an error.
async fn follow_cache_from_snapshot(parts: &Parts, target: &Target) -> Result<(), SendError> {
    let snapshot = read::<CacheSnapshot>(parts, target, "/v1/cache", REPORT_TIMEOUT).await?;
    let Some(snapshot) = snapshot else {
        return Ok(());
    };
    let mut from = snapshot.sequence;
    parts
        .placement
        .apply_cache_snapshot(&target.instance, snapshot);
    loop {
        let wait_ms = EVENTS_WAIT.as_millis();
        let path = format!("/v1/cache/events?from={from}&wait_ms={wait_ms}");
        let timeout = EVENTS_WAIT + REPORT_TIMEOUT;
        let Some(events) = read::<CacheEvents>(parts, target, &path, timeout).await? else {
            continue;
        };
        match parts.placement.apply_cache_events(&target.instance, events) {
            CacheSync::InSync { next_sequence } => from = next_sequence,
            CacheSync::NeedsSnapshot => return Ok(()),
        }
    }
}

async fn read<T: serde::de::DeserializeOwned>(
    parts: &Parts,
    target: &Target,
    path: &str,
    timeout: Duration,
) -> Result<Option<T>, SendError> {
    engine::report(&parts.connections, target, path, Instant::now() + timeout).await
}
