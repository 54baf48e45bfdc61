//! What is wished comes into force, and is ordered once.

#![allow(clippy::unwrap_used, reason = "a helper that fails ends its test")]

mod support;

use mangofront_settings::published::Fencing;
use support::{TestDaemon, TestEngine, hasty, model, pause, settings, view};

#[compio::test]
async fn a_version_is_ordered_once() {
    for fencing in [Fencing::Checked, Fencing::Ignored] {
        let engine = TestEngine::start(settings(fencing)).await;
        let daemon = TestDaemon::new("entry-0", hasty());
        let view = view(
            &["entry-0"],
            &[&engine],
            &["hall-a"],
            (7, model(fencing, "2")),
        );
        let _seeing = daemon.keep_seeing(&view);
        engine.wait_for_version("2").await;
        pause(100).await;
        let expected = vec![("version".to_owned(), "2".to_owned(), true)];
        assert_eq!(engine.orders().await, expected);
        assert_eq!(daemon.changes.borrow().len(), 1);
    }
}
