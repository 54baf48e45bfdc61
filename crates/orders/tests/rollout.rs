//! Limits of concurrent loads during a rollout.

#![allow(clippy::unwrap_used, reason = "a helper that fails ends its test")]

mod support;

use std::collections::BTreeSet;

use mangofront_orders::LoadLimits;
use mangofront_settings::published::Fencing;
use mangofront_standin::weights::WeightsSettings;
use support::{
    TestDaemon, TestEngine, TestStore, accepted, fast_options, model, pause, settings, view,
    wait_until,
};

const ENGINES: usize = 6;

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

/// Measurements of one rollout.
struct Measured {
    /// Most engines that loaded at the same time.
    most_loading: usize,
    /// Most engines of one availability zone that loaded at the same time.
    most_in_zone: usize,
    /// Fetches that the weight store refused.
    refused: u64,
}

/// Two daemons roll out version 2 to six engines under `limits`.
async fn roll_out(limits: LoadLimits) -> Measured {
    // A burst of two fetches, then 40 fetches per second; a load takes 100 ms.
    let store = TestStore::start(WeightsSettings {
        fetches_per_minute: 24.0,
        burst_fetches: 2.0,
        transfer_time_ms: 5_000,
        time_scale: 0.01,
    })
    .await;
    let mut engines = Vec::new();
    for _ in 0..ENGINES {
        let mut settings = settings(Fencing::Checked);
        settings.weights_address = Some(store.address);
        engines.push(TestEngine::start(settings).await);
    }
    let options = || fast_options().limits(limits);
    let daemons = [
        TestDaemon::new("entry-0", 100, options()),
        TestDaemon::new("entry-1", 50, options()),
    ];
    let listed: Vec<&TestEngine> = engines.iter().collect();
    let desired = (7, model(Fencing::Checked, "2"));
    let view = view(&["entry-0", "entry-1"], &listed, &ZONES, desired);
    let _updates = daemons
        .each_ref()
        .map(|daemon| daemon.keep_setting_view(&view));
    let mut measured = measure(&engines).await;
    measured.refused = store.counter("refused").await;
    for engine in &engines {
        assert_eq!(engine.orders().await, [accepted("version", "2")]);
    }
    let shares = daemons
        .each_ref()
        .map(|daemon| daemon.changes.borrow().len());
    assert!(shares.iter().all(|share| *share > 0), "{shares:?}");
    measured
}

/// Polls the engines until all have version 2.
///
/// Each engine loads once, so an engine that is loading in two consecutive polls was
/// loading all the time between them. All engines for which this holds in the same
/// two polls were loading at the same time.
async fn measure(engines: &[TestEngine]) -> Measured {
    let mut measured = Measured {
        most_loading: 0,
        most_in_zone: 0,
        refused: 0,
    };
    let mut previous = BTreeSet::new();
    loop {
        let mut loading = BTreeSet::new();
        let mut done = 0;
        for (index, engine) in engines.iter().enumerate() {
            let state = engine.get("/v1/state").await;
            if state["state"] == "loading" {
                loading.insert(index);
            }
            done += usize::from(state["version"] == "2");
        }
        let concurrent = previous.intersection(&loading);
        measured.most_loading = measured.most_loading.max(concurrent.clone().count());
        for zone in 0..ZONES.len() {
            let in_zone = concurrent
                .clone()
                .filter(|index| *index % ZONES.len() == zone);
            measured.most_in_zone = measured.most_in_zone.max(in_zone.count());
        }
        previous = loading;
        if done == engines.len() {
            return measured;
        }
        pause(2).await;
    }
}

#[compio::test]
async fn rollout_keeps_the_limits() {
    let measured = roll_out(LoadLimits {
        loads_per_zone: 1,
        share_percent: 34,
    })
    .await;
    assert_eq!(measured.most_loading, 2);
    assert_eq!(measured.most_in_zone, 1);
    assert_eq!(measured.refused, 0);
}

#[compio::test]
async fn store_refuses_fetches_without_limits() {
    let measured = roll_out(LoadLimits {
        loads_per_zone: ENGINES,
        share_percent: 100,
    })
    .await;
    assert!(measured.most_loading > 2);
    assert!(measured.refused > 0);
}

#[compio::test]
async fn engine_that_cannot_load_blocks_the_rollout() {
    // The load never ends, so the engine keeps its turn.
    let mut stuck = settings(Fencing::Checked);
    stuck.load_time_ms = 100_000_000;
    let mut engines = Vec::new();
    for _ in 0..4 {
        engines.push(TestEngine::start(stuck.clone()).await);
    }
    let daemon = TestDaemon::new("entry-0", 1, fast_options());
    let listed: Vec<&TestEngine> = engines.iter().collect();
    let desired = (7, model(Fencing::Checked, "2"));
    let view = view(&["entry-0"], &listed, &ZONES, desired);
    let _updates = daemon.keep_setting_view(&view);
    let orders = async || {
        let mut orders = Vec::new();
        for engine in &engines {
            orders.extend(engine.orders().await);
        }
        orders
    };
    wait_until("one loads", async || !orders().await.is_empty()).await;
    pause(200).await;
    assert_eq!(orders().await, [accepted("version", "2")]);
}
