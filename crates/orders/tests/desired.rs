//! The desired state is ordered once and is restored after a restart.

#![allow(clippy::unwrap_used, reason = "a helper that fails ends its test")]

mod support;

use std::time::Duration;

use mangofront_orders::{EngineRole, Phase};
use mangofront_settings::published::Fencing;
use serde_json::json;
use support::{
    TestDaemon, TestEngine, accepted, fast_options, model, pause, settings, view, wait_until,
};

/// Time for several more polls, so that a repeated order would be noticed.
const SEVERAL_POLLS_MS: u64 = 100;

#[compio::test]
async fn version_is_ordered_once() {
    for fencing in [Fencing::Checked, Fencing::Ignored] {
        let engine = TestEngine::start(settings(fencing)).await;
        let daemon = TestDaemon::new("entry-0", 1, fast_options());
        let desired = (7, model(fencing, "2"));
        let view = view(&["entry-0"], &[&engine], &["hall-a"], desired);
        let _updates = daemon.keep_setting_view(&view);
        engine.wait_for("version", json!("2")).await;
        pause(SEVERAL_POLLS_MS).await;
        assert_eq!(engine.orders().await, [accepted("version", "2")]);
        assert_eq!(daemon.changes.borrow().len(), 1);
        let status = daemon.orders.status();
        assert_eq!(status.engines["engine-0"].phase, Phase::Settled);
    }
}

#[compio::test]
async fn adapters_follow_the_version_and_are_restored_after_a_restart() {
    let engine = TestEngine::start(settings(Fencing::Checked)).await;
    let daemon = TestDaemon::new("entry-0", 1, fast_options());
    let mut desired = model(Fencing::Checked, "2");
    desired.adapters = vec!["toner".to_owned(), "allergies".to_owned()];
    let mut view = view(&["entry-0"], &[&engine], &["hall-a"], (7, desired));
    let updates = daemon.keep_setting_view(&view);
    let adapters = json!(["toner", "allergies"]);
    engine.wait_for("adapters", adapters.clone()).await;
    let expected = [
        accepted("version", "2"),
        accepted("adapter", "toner"),
        accepted("adapter", "allergies"),
    ];
    assert_eq!(engine.orders().await, expected);
    drop((updates, engine));
    let mut restarted = settings(Fencing::Checked);
    restarted.incarnation = Some(2);
    let restarted = TestEngine::start(restarted).await;
    view.engines[0].address = restarted.address;
    let _updates = daemon.keep_setting_view(&view);
    restarted.wait_for("adapters", adapters).await;
    pause(SEVERAL_POLLS_MS).await;
    assert_eq!(restarted.orders().await, expected);
}

#[compio::test]
async fn model_and_role_follow_the_instance_list() {
    let engine = TestEngine::start(settings(Fencing::Ignored)).await;
    let daemon = TestDaemon::new("entry-0", 1, fast_options());
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
    let _updates = daemon.keep_setting_view(&view);
    engine.wait_for("model", json!("fleet-ops")).await;
    engine.wait_for("role", json!("prefill")).await;
    let expected = [accepted("role", "prefill"), accepted("model", "fleet-ops")];
    assert_eq!(engine.orders().await, expected);
}

#[compio::test]
async fn rollback_is_ordered_while_the_engine_loads() {
    for fencing in [Fencing::Checked, Fencing::Ignored] {
        let mut stuck = settings(fencing);
        stuck.load_time_ms = 100_000_000;
        let engine = TestEngine::start(stuck).await;
        let daemon = TestDaemon::new("entry-0", 1, fast_options());
        let view = |desired| view(&["entry-0"], &[&engine], &["hall-a"], desired);
        let forward = daemon.keep_setting_view(&view((7, model(fencing, "2"))));
        wait_until("the engine loads", async || {
            engine.get("/v1/state").await["state"] == "loading"
        })
        .await;
        // An unrelated change leads to no order.
        drop(forward);
        let unrelated = daemon.keep_setting_view(&view((8, model(fencing, "2"))));
        pause(SEVERAL_POLLS_MS).await;
        assert_eq!(engine.orders().await, [accepted("version", "2")]);
        drop(unrelated);
        let _rollback = daemon.keep_setting_view(&view((9, model(fencing, "1"))));
        let expected = [accepted("version", "2"), accepted("version", "1")];
        wait_until("the rollback is ordered", async || {
            engine.orders().await == expected
        })
        .await;
        pause(SEVERAL_POLLS_MS).await;
        assert_eq!(engine.orders().await, expected);
    }
}

#[compio::test]
async fn lower_revision_leads_to_no_order() {
    let engine = TestEngine::start(settings(Fencing::Ignored)).await;
    let daemon = TestDaemon::new("entry-0", 1, fast_options());
    let view = |desired| view(&["entry-0"], &[&engine], &["hall-a"], desired);
    let newer = daemon.keep_setting_view(&view((7, model(Fencing::Ignored, "2"))));
    engine.wait_for("version", json!("2")).await;
    drop(newer);
    let _older = daemon.keep_setting_view(&view((6, model(Fencing::Ignored, "1"))));
    pause(2 * SEVERAL_POLLS_MS).await;
    assert_eq!(daemon.orders.status().revision, 7);
    assert_eq!(engine.orders().await, [accepted("version", "2")]);
    // A daemon that does not know revision 7 and an engine that has seen it.
    let checked = TestEngine::start(settings(Fencing::Checked)).await;
    let token = json!({"revision": 7, "term": 1, "incarnation": 1});
    assert_eq!(checked.order("version", token, "2").await, 200);
    checked.wait_for("version", json!("2")).await;
    let fresh = TestDaemon::new("entry-0", 9, fast_options());
    let desired = (6, model(Fencing::Checked, "1"));
    let _updates = fresh.keep_setting_view(&support::view(
        &["entry-0"],
        &[&checked],
        &["hall-a"],
        desired,
    ));
    wait_until("the daemon is found outdated", async || {
        let status = fresh.orders.status();
        let engine = status.engines.get("engine-0");
        engine.is_some_and(|engine| engine.phase == Phase::Outdated)
    })
    .await;
    assert_eq!(checked.orders().await.len(), 1);
}

#[compio::test]
async fn daemon_with_an_expired_view_orders_nothing_until_it_gets_a_new_one() {
    let engine = TestEngine::start(settings(Fencing::Ignored)).await;
    let lease = Duration::from_millis(200);
    let daemon = TestDaemon::new("entry-0", 1, fast_options().view_lease(lease));
    let desired = (7, model(Fencing::Ignored, "1"));
    let view = view(&["entry-0"], &[&engine], &["hall-a"], desired);
    daemon.set_view(&view);
    pause(250).await;
    let token = json!({"revision": 6, "term": 1, "incarnation": 1});
    assert_eq!(engine.order("version", token, "9").await, 200);
    engine.wait_for("version", json!("9")).await;
    // Longer than the takeover wait: only the expired lease prevents an order.
    pause(600).await;
    assert!(!daemon.orders.status().view_fresh);
    assert_eq!(engine.orders().await, [accepted("version", "9")]);
    let orders = daemon.orders.clone();
    daemon.set_view(&view);
    let phase = orders.status().engines["engine-0"].phase;
    assert_eq!(phase, Phase::New, "the responsibility counts as new");
    let _updates = daemon.keep_setting_view(&view);
    engine.wait_for("version", json!("1")).await;
    assert_eq!(
        engine.orders().await,
        [accepted("version", "9"), accepted("version", "1")]
    );
}
