//! Loads of several engines are spread.

#![allow(clippy::unwrap_used, reason = "a helper that fails ends its test")]

mod support;

use std::collections::BTreeSet;

use mangofront_orders::TurnLimits;
use mangofront_settings::published::Fencing;
use mangofront_standin::weights::WeightsSettings;
use support::{
    TestDaemon, TestEngine, TestStore, hasty, model, pause, settings, taken, view, wait_until,
};

const ENGINES: usize = 6;

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

/// What was seen of one rollout.
struct Seen {
    /// Most engines that loaded at one moment.
    most_loading: usize,
    /// Most engines of one zone that loaded at one moment.
    most_in_zone: usize,
    /// Fetches that the weight store refused.
    refused: u64,
}

/// Brings version 2 to six engines by two daemons under `limits`.
async fn roll_out(limits: TurnLimits) -> Seen {
    // Two fetches at once and 40 a second afterwards; a load takes 100 ms.
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
    let options = || hasty().limits(limits);
    let daemons = [
        TestDaemon::new("entry-0", 100, options()),
        TestDaemon::new("entry-1", 50, options()),
    ];
    let listed: Vec<&TestEngine> = engines.iter().collect();
    let desired = (7, model(Fencing::Checked, "2"));
    let view = view(&["entry-0", "entry-1"], &listed, &ZONES, desired);
    let _seeing = daemons.each_ref().map(|daemon| daemon.keep_seeing(&view));
    let mut seen = watch(&engines).await;
    seen.refused = store.counter("refused").await;
    for engine in &engines {
        assert_eq!(engine.orders().await, [taken("version", "2")]);
    }
    let shares = daemons
        .each_ref()
        .map(|daemon| daemon.changes.borrow().len());
    assert!(shares.iter().all(|share| *share > 0), "{shares:?}");
    seen
}

/// Looks until all engines have version 2.
///
/// Each engine loads once, so one that is found loading in two passes loaded
/// during all that lies between, and those of one such pair did so together.
async fn watch(engines: &[TestEngine]) -> Seen {
    let mut seen = Seen {
        most_loading: 0,
        most_in_zone: 0,
        refused: 0,
    };
    let mut before = BTreeSet::new();
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
        let together = before.intersection(&loading);
        seen.most_loading = seen.most_loading.max(together.clone().count());
        for zone in 0..ZONES.len() {
            let in_zone = together
                .clone()
                .filter(|index| *index % ZONES.len() == zone);
            seen.most_in_zone = seen.most_in_zone.max(in_zone.count());
        }
        before = loading;
        if done == engines.len() {
            return seen;
        }
        pause(2).await;
    }
}

#[compio::test]
async fn six_engines_take_turns() {
    let seen = roll_out(TurnLimits {
        loads_per_zone: 1,
        share_percent: 34,
    })
    .await;
    assert_eq!(seen.most_loading, 2);
    assert_eq!(seen.most_in_zone, 1);
    assert_eq!(seen.refused, 0);
}

#[compio::test]
async fn without_turns_the_store_refuses() {
    let seen = roll_out(TurnLimits {
        loads_per_zone: ENGINES,
        share_percent: 100,
    })
    .await;
    assert!(seen.most_loading > 2);
    assert!(seen.refused > 0);
}

#[compio::test]
async fn an_engine_that_cannot_load_stops_the_others() {
    // Its weights never come, so it keeps its turn.
    let mut stuck = settings(Fencing::Checked);
    stuck.load_time_ms = 100_000_000;
    let mut engines = Vec::new();
    for _ in 0..4 {
        engines.push(TestEngine::start(stuck.clone()).await);
    }
    let daemon = TestDaemon::new("entry-0", 1, hasty());
    let listed: Vec<&TestEngine> = engines.iter().collect();
    let desired = (7, model(Fencing::Checked, "2"));
    let view = view(&["entry-0"], &listed, &ZONES, desired);
    let _seeing = daemon.keep_seeing(&view);
    let orders = async || {
        let mut orders = Vec::new();
        for engine in &engines {
            orders.extend(engine.orders().await);
        }
        orders
    };
    wait_until("one loads", async || !orders().await.is_empty()).await;
    pause(200).await;
    assert_eq!(orders().await, [taken("version", "2")]);
}
