//! A single daemon without peers.

mod fleet;

use fleet::{Fleet, Upstream, is_answer, is_not_run, is_replay, is_unknown};
use mangofront_once::{Decision, NotRunReason, OrderError, StoredBody};
use quickcheck::{Gen, QuickCheck};

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
async fn broken_connection_leaves_the_outcome_unknown() {
    let fleet = Fleet::started(1, 1).await;
    assert!(is_unknown(
        &fleet.order(0, "plain", Upstream::BreaksConnection).await
    ));
    assert!(is_unknown(
        &fleet.order(0, "plain", Upstream::Answers).await
    ));
    assert_eq!(fleet.runs("plain"), 1);
}

#[compio::test]
async fn run_that_starts_too_late_does_not_begin() {
    let fleet = Fleet::started(1, 1).await;
    // Later than the deadline and the limit for the start of a run.
    assert!(is_not_run(
        &fleet.order(0, "plain", Upstream::StartsLate(600)).await
    ));
    assert_eq!(fleet.runs("plain"), 0);
}

#[compio::test]
async fn different_request_with_the_same_key_conflicts() {
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
async fn voter_without_confirmed_start_does_not_vote() {
    let fleet = Fleet::new(1);
    fleet.start(0);
    fleet.set_list(1, &[0], &[0]);
    assert!(is_unknown(
        &fleet.order(0, "plain", Upstream::Answers).await
    ));
    let key = fleet.once(0).unwrap().mint().unwrap();
    assert!(is_answer(&fleet.order(0, &key, Upstream::Answers).await));
}

#[compio::test]
async fn process_that_handed_over_issues_no_key() {
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

#[compio::test]
async fn only_the_digest_of_a_large_answer_is_kept() {
    let fleet = Fleet::started(1, 1).await;
    assert!(is_answer(
        &fleet.order(0, "plain", Upstream::AnswersLarge).await
    ));
    let again = fleet.order(0, "plain", Upstream::Answers).await;
    let Some(Decision::Replay {
        status: 200, body, ..
    }) = again
    else {
        panic!("{again:?}");
    };
    assert!(matches!(
        body,
        StoredBody::Digest {
            length_bytes: 65,
            ..
        }
    ));
}

#[compio::test]
async fn full_tables_refuse_new_keys_and_evict_nothing() {
    let mut fleet = Fleet::new(1);
    fleet.max_records = 2;
    fleet.start_all(1).await;
    let once = fleet.once(0).unwrap();
    let keys: Vec<String> = (0..3).map(|_| once.mint().unwrap()).collect();
    for key in &keys[..2] {
        assert!(is_answer(&fleet.order(0, key, Upstream::Answers).await));
    }
    let third = fleet.order(0, &keys[2], Upstream::Answers).await;
    let reason = NotRunReason::Full;
    assert!(matches!(third, Some(Decision::NotRun { reason: why, .. }) if why == reason));
    assert!(is_replay(
        &fleet.order(0, &keys[0], Upstream::Answers).await
    ));
    for key in ["plain-1", "plain-2"] {
        assert!(is_answer(&fleet.order(0, key, Upstream::Answers).await));
    }
    assert!(is_unknown(
        &fleet.order(0, "plain-3", Upstream::Answers).await
    ));
    assert!(is_replay(
        &fleet.order(0, "plain-1", Upstream::Answers).await
    ));
}

#[test]
fn arbitrary_bytes_from_a_peer_get_a_reply() {
    fn all_get_a_reply(requests: Vec<Vec<u8>>) -> bool {
        let runtime = compio::runtime::Runtime::new().expect("a runtime");
        runtime.block_on(async {
            let fleet = Fleet::started(1, 1).await;
            let once = fleet.once(0).unwrap();
            let from = "entry-9".to_owned();
            requests
                .into_iter()
                .enumerate()
                .all(|(number, mut request)| {
                    // Most start with the tag of one of the six kinds of requests.
                    request.insert(0, (number % 7) as u8);
                    !once.handle(&from, &request.into()).is_empty()
                })
        })
    }
    let generator = Gen::from_size_and_seed(300, 1);
    let mut check = QuickCheck::new().rng(generator).tests(40);
    check.quickcheck(all_get_a_reply as fn(Vec<Vec<u8>>) -> bool);
}

#[compio::test]
async fn maximal_window_is_accepted() {
    let fleet = Fleet::new(1);
    fleet.publish_window(u64::MAX);
    fleet.start_all(1).await;
    let minted = fleet.once(0).unwrap().mint().unwrap();
    for key in [minted.as_str(), "plain"] {
        assert!(is_answer(&fleet.order(0, key, Upstream::Answers).await));
    }
    fleet.once(0).unwrap().hand_over().await;
}
