//! Two daemons that both consider themselves responsible for an engine.

#![allow(clippy::unwrap_used, reason = "a helper that fails ends its test")]

mod support;

use std::time::{Duration, Instant};

use compio::runtime::JoinHandle;
use mangofront_orders::{OrderOutcome, OrdersOptionsBuilder, OrdersView};
use mangofront_settings::published::Fencing;
use mangofront_standin::weights::WeightsSettings;
use serde_json::json;
use support::delay::DelayingLink;
use support::{
    TestDaemon, TestEngine, TestStore, accepted, fast_options, model, pause, settings, view,
    wait_until,
};

/// Lease of the former daemon, which is not renewed.
const FORMER_LEASE: Duration = Duration::from_millis(150);

/// Takeover wait of its successor, long enough for a busy machine.
const SUCCESSOR_WAIT: Duration = Duration::from_secs(2);

/// Options of the former daemon, whose takeover wait has already passed.
fn former_options() -> OrdersOptionsBuilder {
    fast_options()
        .view_lease(FORMER_LEASE)
        .takeover_wait(Duration::ZERO)
}

/// An engine, and a former daemon whose order to it is delayed on the link.
struct DelayedOrder {
    engine: TestEngine,
    link: DelayingLink,
    former: TestDaemon,
}

impl DelayedOrder {
    /// The former daemon has ordered version 2 under revision 6; the link delays the
    /// order.
    async fn start(fencing: Fencing, options: OrdersOptionsBuilder) -> Self {
        let engine = TestEngine::start(settings(fencing)).await;
        let link = DelayingLink::start(engine.address).await;
        let former = TestDaemon::new("entry-0", 100, options);
        let mut view = view_of(&engine, "entry-0", 6, fencing, "2");
        view.engines[0].address = link.address;
        former.set_view(&view);
        wait_until("the order is delayed", async || link.held() == 1).await;
        Self {
            engine,
            link,
            former,
        }
    }

    /// Starts the successor, which orders version 3 under revision 7.
    fn start_successor(&self, fencing: Fencing) -> (TestDaemon, JoinHandle<()>) {
        let successor =
            TestDaemon::new("entry-1", 50, fast_options().takeover_wait(SUCCESSOR_WAIT));
        let view = view_of(&self.engine, "entry-1", 7, fencing, "3");
        let updates = successor.keep_setting_view(&view);
        (successor, updates)
    }
}

fn view_of(
    engine: &TestEngine,
    daemon: &str,
    revision: u64,
    fencing: Fencing,
    version: &str,
) -> OrdersView {
    let desired = (revision, model(fencing, version));
    view(&[daemon], &[engine], &["hall-a"], desired)
}

#[compio::test]
async fn late_order_is_refused_if_tokens_are_checked() {
    let fencing = Fencing::Checked;
    // Longer than the link delays the order.
    let long_timeout = former_options().order_timeout(Duration::from_secs(10));
    let late = DelayedOrder::start(fencing, long_timeout).await;
    let (_successor, _updates) = late.start_successor(fencing);
    late.engine.wait_for("version", json!("3")).await;
    late.link.release();
    wait_until("the refusal is reported", async || {
        !late.former.changes.borrow().is_empty()
    })
    .await;
    let change = late.former.changes.borrow()[0].clone();
    let OrderOutcome::Refused { reason } = change.outcome else {
        panic!("the order was not refused: {change:?}");
    };
    assert!(reason.starts_with("stale_token"), "{reason}");
    let refused = ("version".to_owned(), "2".to_owned(), false);
    assert_eq!(
        late.engine.orders().await,
        [accepted("version", "3"), refused]
    );
}

#[compio::test]
async fn successor_waits_for_the_former_daemon_if_tokens_are_ignored() {
    let fencing = Fencing::Ignored;
    let late = DelayedOrder::start(fencing, former_options()).await;
    let (successor, _updates) = late.start_successor(fencing);
    // Shorter than the former daemon's lease and the successor's takeover wait.
    pause(50).await;
    assert!(late.engine.orders().await.is_empty());
    late.link.release();
    late.engine.wait_for("version", json!("3")).await;
    pause(100).await;
    let expected = [accepted("version", "2"), accepted("version", "3")];
    assert_eq!(late.engine.orders().await, expected);
    assert_eq!(successor.changes.borrow().len(), 1);
}

#[compio::test]
async fn order_delayed_beyond_the_takeover_wait_is_superseded() {
    let fencing = Fencing::Ignored;
    let late = DelayedOrder::start(fencing, former_options()).await;
    let (_successor, _updates) = late.start_successor(fencing);
    late.engine.wait_for("version", json!("3")).await;
    late.link.release();
    wait_until("the late order is accepted", async || {
        late.engine.orders().await.len() == 2
    })
    .await;
    wait_until("the successor supersedes it", async || {
        late.engine.orders().await.len() == 3
    })
    .await;
    late.engine.wait_for("version", json!("3")).await;
    pause(200).await;
    let expected = [
        accepted("version", "3"),
        accepted("version", "2"),
        accepted("version", "3"),
    ];
    assert_eq!(late.engine.orders().await, expected);
}

#[compio::test]
async fn both_sides_of_a_partition_cause_one_load() {
    for fencing in [Fencing::Checked, Fencing::Ignored] {
        let store = TestStore::start(WeightsSettings {
            time_scale: 0.01,
            ..WeightsSettings::default()
        })
        .await;
        let mut with_store = settings(fencing);
        with_store.weights_address = Some(store.address);
        let engine = TestEngine::start(with_store).await;
        let daemons = [
            TestDaemon::new("entry-0", 100, fast_options()),
            TestDaemon::new("entry-1", 50, fast_options()),
        ];
        let updates = daemons.each_ref().map(|daemon| {
            let view = view_of(&engine, &daemon.name, 7, fencing, "2");
            daemon.keep_setting_view(&view)
        });
        engine.wait_for("version", json!("2")).await;
        pause(200).await;
        let orders = engine.orders().await;
        assert!(orders.len() <= 2, "{fencing:?}: {orders:?}");
        assert_eq!(store.counter("served").await, 1);
        drop(updates);
    }
}

#[compio::test]
async fn conflicting_sides_of_a_partition_back_off() {
    let fencing = Fencing::Ignored;
    let engine = TestEngine::start(settings(fencing)).await;
    let base = Duration::from_millis(100);
    let options = || fast_options().backoff(base, Duration::from_secs(60));
    let daemons = [
        TestDaemon::new("entry-0", 100, options()),
        TestDaemon::new("entry-1", 50, options()),
    ];
    let started = Instant::now();
    let _updates = [
        daemons[0].keep_setting_view(&view_of(&engine, "entry-0", 6, fencing, "2")),
        daemons[1].keep_setting_view(&view_of(&engine, "entry-1", 7, fencing, "3")),
    ];
    pause(1_500).await;
    for daemon in &daemons {
        let orders = daemon.changes.borrow().len() as u32;
        // The pauses between n orders are 1, 2, 4 … times the base.
        let least = base * (2_u32.pow(orders.saturating_sub(1)) - 1);
        assert!(orders >= 1);
        assert!(least <= started.elapsed(), "{orders} orders");
    }
}
