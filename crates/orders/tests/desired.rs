//! The desired state comes into force, is ordered once, and stays.

#![allow(clippy::unwrap_used, reason = "a helper that fails ends its test")]

mod support;

use std::time::Duration;

use mangofront_orders::{EngineRole, Phase};
use mangofront_settings::published::Fencing;
use serde_json::json;
use support::{TestDaemon, TestEngine, hasty, model, pause, settings, taken, view, wait_until};

/// Long enough for several more polls, so that a repeated order would show.
const SEVERAL_POLLS_MS: u64 = 100;

#[compio::test]
async fn a_version_is_ordered_once() {
    for fencing in [Fencing::Checked, Fencing::Ignored] {
        let engine = TestEngine::start(settings(fencing)).await;
        let daemon = TestDaemon::new("entry-0", 1, hasty());
        let desired = (7, model(fencing, "2"));
        let view = view(&["entry-0"], &[&engine], &["hall-a"], desired);
        let _seeing = daemon.keep_seeing(&view);
        engine.wait_for("version", json!("2")).await;
        pause(SEVERAL_POLLS_MS).await;
        assert_eq!(engine.orders().await, [taken("version", "2")]);
        assert_eq!(daemon.changes.borrow().len(), 1);
        let status = daemon.orders.status();
        assert_eq!(status.engines["engine-0"].phase, Phase::Settled);
    }
}

#[compio::test]
async fn adapters_follow_the_version_and_come_back_after_a_restart() {
    let engine = TestEngine::start(settings(Fencing::Checked)).await;
    let daemon = TestDaemon::new("entry-0", 1, hasty());
    let mut desired = model(Fencing::Checked, "2");
    desired.adapters = vec!["toner".to_owned(), "allergies".to_owned()];
    let mut view = view(&["entry-0"], &[&engine], &["hall-a"], (7, desired));
    let seeing = daemon.keep_seeing(&view);
    let adapters = json!(["toner", "allergies"]);
    engine.wait_for("adapters", adapters.clone()).await;
    let expected = [
        taken("version", "2"),
        taken("adapter", "toner"),
        taken("adapter", "allergies"),
    ];
    assert_eq!(engine.orders().await, expected);
    drop((seeing, engine));
    let mut restarted = settings(Fencing::Checked);
    restarted.incarnation = Some(2);
    let restarted = TestEngine::start(restarted).await;
    view.engines[0].address = restarted.address;
    let _seeing = daemon.keep_seeing(&view);
    restarted.wait_for("adapters", adapters).await;
    pause(SEVERAL_POLLS_MS).await;
    assert_eq!(restarted.orders().await, expected);
}

#[compio::test]
async fn model_and_role_follow_the_engine_as_it_is_listed() {
    let engine = TestEngine::start(settings(Fencing::Ignored)).await;
    let daemon = TestDaemon::new("entry-0", 1, hasty());
    let mut view = view(
        &["entry-0"],
        &[&engine],
        &["hall-a"],
        (7, model(Fencing::Ignored, "1")),
    );
    let desired = view.models["assist-llm"].clone();
    view.models.insert("fleet-ops".to_owned(), desired);
    view.engines[0].model = "fleet-ops".to_owned();
    view.engines[0].role = Some(EngineRole::Prefill);
    let _seeing = daemon.keep_seeing(&view);
    engine.wait_for("model", json!("fleet-ops")).await;
    engine.wait_for("role", json!("prefill")).await;
    let expected = [taken("role", "prefill"), taken("model", "fleet-ops")];
    assert_eq!(engine.orders().await, expected);
}

#[compio::test]
async fn a_roll_back_reaches_an_engine_that_loads() {
    for fencing in [Fencing::Checked, Fencing::Ignored] {
        let mut stuck = settings(fencing);
        stuck.load_time_ms = 100_000_000;
        let engine = TestEngine::start(stuck).await;
        let daemon = TestDaemon::new("entry-0", 1, hasty());
        let view = |desired| view(&["entry-0"], &[&engine], &["hall-a"], desired);
        let forward = daemon.keep_seeing(&view((7, model(fencing, "2"))));
        wait_until("the engine loads", async || {
            engine.get("/v1/state").await["state"] == "loading"
        })
        .await;
        // A change of something else leads to no order.
        drop(forward);
        let unrelated = daemon.keep_seeing(&view((8, model(fencing, "2"))));
        pause(SEVERAL_POLLS_MS).await;
        assert_eq!(engine.orders().await, [taken("version", "2")]);
        drop(unrelated);
        let _back = daemon.keep_seeing(&view((9, model(fencing, "1"))));
        let expected = [taken("version", "2"), taken("version", "1")];
        wait_until("the roll-back is ordered", async || {
            engine.orders().await == expected
        })
        .await;
        pause(SEVERAL_POLLS_MS).await;
        assert_eq!(engine.orders().await, expected);
    }
}

#[compio::test]
async fn a_lower_revision_leads_to_no_order() {
    let engine = TestEngine::start(settings(Fencing::Ignored)).await;
    let daemon = TestDaemon::new("entry-0", 1, hasty());
    let view = |desired| view(&["entry-0"], &[&engine], &["hall-a"], desired);
    let newer = daemon.keep_seeing(&view((7, model(Fencing::Ignored, "2"))));
    engine.wait_for("version", json!("2")).await;
    drop(newer);
    let _older = daemon.keep_seeing(&view((6, model(Fencing::Ignored, "1"))));
    pause(2 * SEVERAL_POLLS_MS).await;
    assert_eq!(daemon.orders.status().revision, 7);
    assert_eq!(engine.orders().await, [taken("version", "2")]);
    // A daemon that never heard of 7 meets an engine that has seen it.
    let checked = TestEngine::start(settings(Fencing::Checked)).await;
    let token = json!({"revision": 7, "term": 1, "incarnation": 1});
    assert_eq!(checked.order("version", token, "2").await, 200);
    checked.wait_for("version", json!("2")).await;
    let fresh = TestDaemon::new("entry-0", 9, hasty());
    let desired = (6, model(Fencing::Checked, "1"));
    let _seeing = fresh.keep_seeing(&support::view(
        &["entry-0"],
        &[&checked],
        &["hall-a"],
        desired,
    ));
    wait_until("the engine is found ahead", async || {
        let status = fresh.orders.status();
        let engine = status.engines.get("engine-0");
        engine.is_some_and(|engine| engine.phase == Phase::Outdated)
    })
    .await;
    assert_eq!(checked.orders().await.len(), 1);
}

#[compio::test]
async fn a_daemon_whose_view_ran_out_orders_nothing_until_it_has_a_new_one() {
    let engine = TestEngine::start(settings(Fencing::Ignored)).await;
    let lease = Duration::from_millis(200);
    let daemon = TestDaemon::new("entry-0", 1, hasty().view_lease(lease));
    let desired = (7, model(Fencing::Ignored, "1"));
    let view = view(&["entry-0"], &[&engine], &["hall-a"], desired);
    daemon.see(&view);
    pause(250).await;
    let token = json!({"revision": 6, "term": 1, "incarnation": 1});
    assert_eq!(engine.order("version", token, "9").await, 200);
    engine.wait_for("version", json!("9")).await;
    // Past the wait of a takeover too: it is the lease that holds it back.
    pause(600).await;
    assert!(!daemon.orders.status().view_fresh);
    assert_eq!(engine.orders().await, [taken("version", "9")]);
    let orders = daemon.orders.clone();
    daemon.see(&view);
    let begun = orders.status().engines["engine-0"].phase;
    assert_eq!(begun, Phase::New, "the responsibility counts as new");
    let _seeing = daemon.keep_seeing(&view);
    engine.wait_for("version", json!("1")).await;
    assert_eq!(
        engine.orders().await,
        [taken("version", "9"), taken("version", "1")]
    );
}
