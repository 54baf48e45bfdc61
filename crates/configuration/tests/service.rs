//! Reads and watches of the service, and its faults, over loopback.

mod common;

use std::time::{Duration, Instant};

use common::{BACKOFF_CAP, Standin, WAIT};
use common::{
    change_log, configuration, document, options, peer, revision, start, target_ms, wait_until,
};
use mangofront_configuration::{OfferOutcome, VALUE_LIMIT_BYTES};

#[compio::test]
async fn published_value_comes_into_force_and_wakes_every_waiter() {
    let standin = Standin::start(&configuration(100)).await;
    let (platform, changes) = start(options(standin.address));
    wait_until("revision 1", || revision(&platform) == Some(1)).await;
    wait_until("instances", || platform.instances().is_some()).await;
    let seen = platform.revisions();
    let waiting = (0..3).map(|_| platform.changed(seen));
    let all = futures_util::future::join_all(waiting);
    let (seen, ()) = futures_util::future::join(all, standin.publish(configuration(200))).await;
    assert!(seen.iter().all(|seen| seen.configuration == Some(2)));
    assert_eq!(target_ms(&platform), Some(200));
    insta::assert_snapshot!(change_log(&changes, standin.address));
    drop(platform);
    standin.stop().await;
}

#[compio::test]
async fn stale_service_never_lowers_the_revision_and_is_reported_once_per_episode() {
    let standin = Standin::start(&configuration(100)).await;
    let reader = options(standin.address).plain_interval(Duration::from_millis(20));
    let (platform, changes) = start(reader);
    wait_until("revision 1", || revision(&platform) == Some(1)).await;
    standin.publish(configuration(200)).await;
    wait_until("revision 2", || revision(&platform) == Some(2)).await;
    let stale = || platform.health().configuration.stale_refused;
    standin.control(r#"{"stale": true}"#).await;
    wait_until("several stale answers", || stale() >= 4).await;
    assert_eq!(target_ms(&platform), Some(200));
    standin.control(r#"{"stale": false}"#).await;
    wait_until("the service caught up", || {
        !platform.health().configuration.service_is_behind
    })
    .await;
    let first_episode = stale();
    standin.control(r#"{"stale": true}"#).await;
    wait_until("a second episode", || stale() >= first_episode + 4).await;
    assert_eq!(revision(&platform), Some(2));
    insta::assert_snapshot!(change_log(&changes, standin.address));
    drop(platform);
    standin.stop().await;
}

#[compio::test]
async fn another_value_under_the_revision_in_force_is_refused() {
    let standin = Standin::start(&configuration(100)).await;
    let address = standin.address;
    let reader = options(address).plain_interval(Duration::from_millis(20));
    let (platform, changes) = start(reader);
    wait_until("revision 1", || revision(&platform) == Some(1)).await;
    standin.stop().await;
    let replacement = Standin::start_at(address, &configuration(999)).await;
    wait_until("several refusals", || {
        platform.health().configuration.refused >= 3
    })
    .await;
    assert_eq!(target_ms(&platform), Some(100));
    let refused: Vec<_> = change_log(&changes, address)
        .lines()
        .filter(|line| line.contains("refused"))
        .map(str::to_owned)
        .collect();
    insta::assert_snapshot!(refused.join("\n"));
    drop(platform);
    replacement.stop().await;
}

#[compio::test]
async fn invalid_values_are_refused_and_the_next_valid_one_is_accepted() {
    let standin = Standin::start(&configuration(100)).await;
    let (platform, changes) = start(options(standin.address));
    let refused = || platform.health().configuration.refused;
    wait_until("revision 1", || revision(&platform) == Some(1)).await;
    let faults = [
        r#"{"classes": {}, "organisations": {}, "weights": {"hall-a-1": 3}}"#.to_owned(),
        r#"{"classes": {}, "organisations": {"tuul": {"default_class": "none"}}}"#.to_owned(),
        configuration(0),
        "{ no JSON".to_owned(),
        "\"\u{0}".to_owned(),
        format!("\"{}\"", "x".repeat(VALUE_LIMIT_BYTES)),
        format!("\"{}\"", "x".repeat(2 * VALUE_LIMIT_BYTES)),
    ];
    for (index, fault) in (1..).zip(faults) {
        standin.publish(fault).await;
        wait_until("a refusal", || refused() == index).await;
        assert_eq!(target_ms(&platform), Some(100));
    }
    standin.publish(configuration(200)).await;
    wait_until("the valid value", || target_ms(&platform) == Some(200)).await;
    insta::assert_snapshot!(change_log(&changes, standin.address));
    drop(platform);
    standin.stop().await;
}

#[compio::test]
async fn refused_value_is_not_fetched_in_a_loop() {
    let faults = [
        configuration(0),
        "{ no JSON".to_owned(),
        format!("\"{}\"", "x".repeat(2 * VALUE_LIMIT_BYTES)),
    ];
    for fault in faults {
        let standin = Standin::start(&configuration(100)).await;
        let started = Instant::now();
        let (platform, _changes) = start(options(standin.address));
        wait_until("revision 1", || revision(&platform) == Some(1)).await;
        standin.publish(fault).await;
        let refused = || platform.health().configuration.refused;
        wait_until("a refusal", || refused() > 0).await;
        compio::time::sleep(3 * WAIT).await;
        let counters = standin.counters().await;
        // For each value: its first read and one watch per elapsed wait, in
        // addition to the watch that returned the fault.
        let waits = started.elapsed().as_millis() / WAIT.as_millis() + 1;
        assert!(
            u128::from(counters.watches) <= 2 * waits + 1,
            "{counters:?}"
        );
        assert!(counters.reads <= 2, "{counters:?}");
        assert_eq!(refused(), 1);
        drop(platform);
        standin.stop().await;
    }
}

#[compio::test]
async fn starts_from_a_peer_while_the_service_is_down() {
    let standin = Standin::start(&configuration(100)).await;
    let address = standin.address;
    standin.stop().await;
    let (platform, changes) = start(options(address));
    wait_until("the loss is reported", || !changes.borrow().is_empty()).await;
    assert_eq!(revision(&platform), None);
    let offered = platform.offer(document(7, configuration(700)), peer());
    assert_eq!(offered, OfferOutcome::Accepted);
    assert_eq!(target_ms(&platform), Some(700));
    assert!(platform.health().consecutive_failures > 0);
    let standin = Standin::start_at(address, &configuration(100)).await;
    wait_until("a stale answer", || {
        platform.health().configuration.stale_refused > 0
    })
    .await;
    assert_eq!(target_ms(&platform), Some(700));
    let change_log = change_log(&changes, address);
    let (first, rest) = change_log.split_once('\n').unwrap();
    assert!(first.starts_with("service lost: "), "{first}");
    insta::assert_snapshot!(rest);
    drop(platform);
    standin.stop().await;
}

#[compio::test]
async fn calls_to_a_service_that_is_down_follow_the_backoff() {
    let standin = Standin::start(&configuration(100)).await;
    standin.control(r#"{"down": true}"#).await;
    let started = Instant::now();
    let (platform, _changes) = start(options(standin.address));
    compio::time::sleep(8 * BACKOFF_CAP).await;
    let counters = standin.counters().await;
    // Each pause is at least half of its step, and only a few steps are below the cap.
    let pauses = started.elapsed().as_millis() / (BACKOFF_CAP / 2).as_millis();
    let calls = u128::from(counters.reads + counters.watches);
    assert!(calls <= 2 * (pauses + 5), "{counters:?}");
    assert!(calls >= 2, "{counters:?}");
    standin.control(r#"{"down": false}"#).await;
    wait_until("the service is back", || revision(&platform) == Some(1)).await;
    drop(platform);
    standin.stop().await;
}

#[compio::test]
async fn hung_watch_is_detected_and_a_plain_read_gets_the_change() {
    let standin = Standin::start(&configuration(100)).await;
    let reader = options(standin.address).watch_margin(Duration::from_millis(100));
    let (platform, _changes) = start(reader);
    wait_until("revision 1", || revision(&platform) == Some(1)).await;
    standin.control(r#"{"hang_watches": true}"#).await;
    standin.publish(configuration(200)).await;
    wait_until("revision 2", || revision(&platform) == Some(2)).await;
    standin.publish(configuration(300)).await;
    wait_until("revision 3", || revision(&platform) == Some(3)).await;
    assert!(platform.health().hung_watches > 0);
    drop(platform);
    standin.stop().await;
}

#[compio::test]
async fn plain_reads_alone_get_a_change() {
    let standin = Standin::start(&configuration(100)).await;
    let reader = options(standin.address)
        .watching(false)
        .plain_interval(Duration::from_millis(20));
    let (platform, _changes) = start(reader);
    wait_until("revision 1", || revision(&platform) == Some(1)).await;
    standin.publish(configuration(200)).await;
    wait_until("revision 2", || revision(&platform) == Some(2)).await;
    assert_eq!(standin.counters().await.watches, 0);
    platform.set_watching(true);
    wait_until("a watch", || platform.health().watches > 0).await;
    drop(platform);
    standin.stop().await;
}
