//! Two daemons that both believe to be responsible for an engine.

#![allow(clippy::unwrap_used, reason = "a helper that fails ends its test")]

mod support;

use std::time::{Duration, Instant};

use compio::runtime::JoinHandle;
use mangofront_orders::{OrderOutcome, OrdersOptionsBuilder, OrdersView};
use mangofront_settings::published::Fencing;
use mangofront_standin::weights::WeightsSettings;
use serde_json::json;
use support::delay::SlowLink;
use support::{
    TestDaemon, TestEngine, TestStore, hasty, model, pause, settings, taken, view, wait_until,
};

/// Lease of a former daemon, which nobody renews.
const FORMER_LEASE: Duration = Duration::from_millis(150);

/// Wait of its successor, longer by more than a busy machine is late.
const SUCCESSOR_WAIT: Duration = Duration::from_secs(2);

/// Options of a former daemon, which has waited for its turn already.
fn former() -> OrdersOptionsBuilder {
    hasty()
        .view_lease(FORMER_LEASE)
        .takeover_wait(Duration::ZERO)
}

/// An engine, and a former daemon whose order to it is under way.
struct Late {
    engine: TestEngine,
    link: SlowLink,
    former: TestDaemon,
}

impl Late {
    /// The former daemon has ordered version 2 under revision 6; the link holds it.
    async fn start(fencing: Fencing, options: OrdersOptionsBuilder) -> Self {
        let engine = TestEngine::start(settings(fencing)).await;
        let link = SlowLink::start(engine.address).await;
        let former = TestDaemon::new("entry-0", 100, options);
        let mut seen = view_of(&engine, "entry-0", 6, fencing, "2");
        seen.engines[0].address = link.address;
        former.see(&seen);
        wait_until("the order is under way", async || link.held() == 1).await;
        Self {
            engine,
            link,
            former,
        }
    }

    /// The successor desires version 3 under revision 7.
    fn succeed(&self, fencing: Fencing) -> (TestDaemon, JoinHandle<()>) {
        let successor = TestDaemon::new("entry-1", 50, hasty().takeover_wait(SUCCESSOR_WAIT));
        let seen = view_of(&self.engine, "entry-1", 7, fencing, "3");
        let seeing = successor.keep_seeing(&seen);
        (successor, seeing)
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
async fn a_late_order_is_refused_where_tokens_are_checked() {
    let fencing = Fencing::Checked;
    // It waits for its answer for as long as the link takes.
    let patient = former().order_timeout(Duration::from_secs(10));
    let late = Late::start(fencing, patient).await;
    let (_successor, _seeing) = late.succeed(fencing);
    late.engine.wait_for("version", json!("3")).await;
    late.link.release();
    wait_until("the refusal is told", async || {
        !late.former.changes.borrow().is_empty()
    })
    .await;
    let told = late.former.changes.borrow()[0].clone();
    let OrderOutcome::Refused { reason } = told.outcome else {
        panic!("the order was not refused: {told:?}");
    };
    assert!(reason.starts_with("stale_token"), "{reason}");
    let refused = ("version".to_owned(), "2".to_owned(), false);
    assert_eq!(late.engine.orders().await, [taken("version", "3"), refused]);
}

#[compio::test]
async fn a_successor_waits_out_the_former_where_tokens_are_ignored() {
    let fencing = Fencing::Ignored;
    let late = Late::start(fencing, former()).await;
    let (successor, _seeing) = late.succeed(fencing);
    // Within the former one's time, which the successor's wait outlasts.
    pause(50).await;
    assert!(late.engine.orders().await.is_empty());
    late.link.release();
    late.engine.wait_for("version", json!("3")).await;
    pause(100).await;
    let expected = [taken("version", "2"), taken("version", "3")];
    assert_eq!(late.engine.orders().await, expected);
    assert_eq!(successor.changes.borrow().len(), 1);
}

#[compio::test]
async fn an_order_later_than_any_wait_is_ordered_over() {
    let fencing = Fencing::Ignored;
    let late = Late::start(fencing, former()).await;
    let (_successor, _seeing) = late.succeed(fencing);
    late.engine.wait_for("version", json!("3")).await;
    late.link.release();
    wait_until("the late order was taken", async || {
        late.engine.orders().await.len() == 2
    })
    .await;
    wait_until("the successor orders over it", async || {
        late.engine.orders().await.len() == 3
    })
    .await;
    late.engine.wait_for("version", json!("3")).await;
    pause(200).await;
    let expected = [
        taken("version", "3"),
        taken("version", "2"),
        taken("version", "3"),
    ];
    assert_eq!(late.engine.orders().await, expected);
}

#[compio::test]
async fn two_sides_of_a_cut_load_once() {
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
            TestDaemon::new("entry-0", 100, hasty()),
            TestDaemon::new("entry-1", 50, hasty()),
        ];
        let seeing = daemons.each_ref().map(|daemon| {
            let own = view_of(&engine, &daemon.name, 7, fencing, "2");
            daemon.keep_seeing(&own)
        });
        engine.wait_for("version", json!("2")).await;
        pause(200).await;
        let orders = engine.orders().await;
        assert!(orders.len() <= 2, "{fencing:?}: {orders:?}");
        assert_eq!(store.counter("served").await, 1);
        drop(seeing);
    }
}

#[compio::test]
async fn two_sides_of_a_cut_that_disagree_order_ever_more_rarely() {
    let fencing = Fencing::Ignored;
    let engine = TestEngine::start(settings(fencing)).await;
    let base = Duration::from_millis(100);
    let options = || hasty().backoff(base, Duration::from_secs(60));
    let daemons = [
        TestDaemon::new("entry-0", 100, options()),
        TestDaemon::new("entry-1", 50, options()),
    ];
    let started = Instant::now();
    let _seeing = [
        daemons[0].keep_seeing(&view_of(&engine, "entry-0", 6, fencing, "2")),
        daemons[1].keep_seeing(&view_of(&engine, "entry-1", 7, fencing, "3")),
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
