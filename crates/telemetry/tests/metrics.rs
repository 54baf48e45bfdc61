//! Metrics of a daemon in Prometheus text format.

use std::time::Duration;

use mangofront_telemetry::metrics::{
    BuildLabels, LengthBucket, Metrics, PeerState, RequestOutcome,
};

#[test]
fn everything_recorded_is_in_the_text() {
    let metrics = Metrics::new().expect("metrics");
    metrics.request_ended("diagnosis", RequestOutcome::Answered);
    metrics.request_ended("diagnosis", RequestOutcome::NotRun);
    metrics.first_token(
        "diagnosis",
        LengthBucket::of(900),
        Duration::from_millis(120),
    );
    metrics.first_token(
        "contract-review",
        LengthBucket::of(1_000_000),
        Duration::from_secs(40),
    );
    let ended = metrics.stream_started();
    let still_open = metrics.clone().stream_started();
    drop(ended);
    metrics.tokens_relayed(17);
    metrics.refused("class_time");
    metrics.retried();
    metrics.upstream_error("connect");
    metrics.peers(PeerState::Live, 5);
    metrics.peers(PeerState::Live, 4);
    metrics.peers(PeerState::Suspected, 1);
    metrics.control_sent(300);
    metrics.control_received(200);
    metrics.request_duration(
        "diagnosis",
        RequestOutcome::Answered,
        Duration::from_millis(700),
    );
    metrics.organisation_ended("tuul", RequestOutcome::Answered);
    metrics.attempt_ended("hall-a", "answered");
    metrics.lease_age(Duration::from_millis(250));
    metrics.event_loop_lateness(Duration::from_millis(30));
    insta::assert_snapshot!(metrics.render());
    drop(still_open);
}

#[test]
fn daemons_in_one_process_have_separate_metrics() {
    let (first, second) = (
        Metrics::new().expect("metrics"),
        Metrics::new().expect("metrics"),
    );
    first.retried();
    assert!(first.render().contains("mangofront_retries_total 1"));
    assert!(!second.render().contains("mangofront_retries_total 1"));
}

#[test]
fn organisations_beyond_the_limit_share_a_series() {
    let metrics = Metrics::new().expect("metrics");
    for number in 0..60 {
        metrics.organisation_ended(&format!("org-{number:02}"), RequestOutcome::Answered);
    }
    let text = metrics.render();
    let series = text
        .lines()
        .filter(|line| line.starts_with("mangofront_organisation_requests"));
    assert_eq!(series.count(), 49);
    assert!(
        text.contains("organisation=\"other\",outcome=\"answered\"} 12"),
        "{text}"
    );
}

#[test]
fn lengths_map_to_their_bucket() {
    let of = LengthBucket::of;
    assert_eq!([of(0), of(4_000)], [LengthBucket::UpTo4k; 2]);
    assert_eq!([of(4_001), of(16_000)], [LengthBucket::UpTo16k; 2]);
    assert_eq!([of(16_001), of(100_000)], [LengthBucket::UpTo100k; 2]);
    assert_eq!([of(100_001), of(400_000)], [LengthBucket::UpTo400k; 2]);
    assert_eq!([of(400_001), of(u64::MAX)], [LengthBucket::Over400k; 2]);
}

/// Guards against a process whose metrics don't name its build.
#[test]
fn the_build_is_one_series() {
    let metrics = Metrics::new().expect("metrics");
    metrics.build_info(BuildLabels {
        version: "0.1.0",
        commit: "0123abc",
        sources: "modified",
        target: "aarch64-unknown-linux-gnu",
    });
    let text = metrics.render();
    let line = text
        .lines()
        .find(|line| line.starts_with("mangofront_build_info"));
    insta::assert_snapshot!(line.unwrap_or_default());
}
