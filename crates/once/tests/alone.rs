//! One daemon without peers.

mod fleet;

use fleet::{Fleet, Upstream, is_answer, is_not_run, is_replay, is_unknown};
use mangofront_once::{Decision, NotRunReason, OrderError, StoredBody};

#[compio::test]
async fn minted_key_runs_once_and_is_replayed() {
    let fleet = Fleet::started(1, 1).await;
    let key = fleet.once(0).unwrap().mint().unwrap();
    assert!(is_answer(&fleet.order(0, &key, Upstream::Answers).await));
    let again = fleet.order(0, &key, Upstream::Answers).await;
    let body = StoredBody::Whole(b"ordered".to_vec());
    assert!(
        matches!(again, Some(Decision::Replay { status: 200, body: kept, .. }) if kept == body)
    );
    assert_eq!(fleet.runs(&key), 1);
}

#[compio::test]
async fn plain_key_runs_once_and_is_replayed() {
    let fleet = Fleet::started(1, 1).await;
    assert!(is_answer(
        &fleet.order(0, "toner-7", Upstream::Answers).await
    ));
    assert!(is_replay(
        &fleet.order(0, "toner-7", Upstream::Answers).await
    ));
    assert_eq!(fleet.runs("toner-7"), 1);
}

#[compio::test]
async fn refused_connection_leaves_the_key_unused() {
    let fleet = Fleet::started(1, 1).await;
    let minted = fleet.once(0).unwrap().mint().unwrap();
    for key in [minted.as_str(), "plain"] {
        assert!(is_not_run(&fleet.order(0, key, Upstream::Refuses).await));
        assert!(is_answer(&fleet.order(0, key, Upstream::Answers).await));
        assert_eq!(fleet.runs(key), 1);
    }
    assert_eq!(fleet.violations(), 0);
}

#[compio::test]
async fn broken_link_is_unknown_for_good() {
    let fleet = Fleet::started(1, 1).await;
    assert!(is_unknown(&fleet.order(0, "plain", Upstream::Breaks).await));
    assert!(is_unknown(
        &fleet.order(0, "plain", Upstream::Answers).await
    ));
    assert_eq!(fleet.runs("plain"), 1);
}

#[compio::test]
async fn late_start_does_not_begin() {
    let fleet = Fleet::started(1, 1).await;
    // Later than both the limit for the start and the deadline.
    assert!(is_not_run(
        &fleet.order(0, "plain", Upstream::Late(600)).await
    ));
    assert_eq!(fleet.runs("plain"), 0);
}

#[compio::test]
async fn another_request_under_the_same_key_conflicts() {
    let fleet = Fleet::started(1, 1).await;
    let minted = fleet.once(0).unwrap().mint().unwrap();
    for key in [minted.as_str(), "plain"] {
        assert!(is_answer(&fleet.order(0, key, Upstream::Answers).await));
        let other = fleet
            .order_as(0, key, "another body", Upstream::Answers)
            .await;
        assert_eq!(other, Some(Decision::Failed(OrderError::Conflict)));
        assert_eq!(fleet.runs(key), 1);
    }
}

#[compio::test]
async fn key_that_was_never_issued_is_refused() {
    let fleet = Fleet::started(1, 1).await;
    let decision = fleet.order(0, "mf1.entry-0.1.7", Upstream::Answers).await;
    assert_eq!(decision, Some(Decision::Failed(OrderError::NeverMinted)));
}

#[compio::test]
async fn unvouched_voter_does_not_vote() {
    let fleet = Fleet::new(1);
    fleet.start(0);
    fleet.list(1, &[0], &[0]);
    assert!(is_unknown(
        &fleet.order(0, "plain", Upstream::Answers).await
    ));
    let key = fleet.once(0).unwrap().mint().unwrap();
    assert!(is_answer(&fleet.order(0, &key, Upstream::Answers).await));
}

#[compio::test]
async fn stopped_process_issues_no_key() {
    let fleet = Fleet::started(1, 1).await;
    let once = fleet.once(0).unwrap();
    let key = once.mint().unwrap();
    let report = once.hand_over().await;
    assert_eq!(report.unfinished, 0);
    assert!(once.mint().is_err());
    let decision = fleet.order(0, &key, Upstream::Answers).await;
    assert!(!matches!(
        decision,
        Some(Decision::NotRun {
            reason: NotRunReason::Full,
            ..
        })
    ));
    assert_eq!(fleet.runs(&key), 0);
}
