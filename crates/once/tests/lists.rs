//! Instance lists that change and differ between daemons, and graceful shutdowns.

mod fleet;

use std::time::Duration;

use compio::time::sleep;
use fleet::{Fleet, Upstream, is_answer, is_replay, is_unknown};
use futures_util::future::join_all;

async fn short_pause() {
    sleep(Duration::from_millis(60)).await;
}

#[compio::test]
async fn voters_replaced_one_by_one_keep_the_records() {
    let fleet = Fleet::started(3, 1).await;
    assert!(is_answer(&fleet.order(0, "plain", Upstream::Answers).await));
    short_pause().await;
    for step in 0..5 {
        let listed = [step + 1, step + 2, step + 3];
        fleet.start(step + 3);
        fleet.set_list(step as u64 + 2, &listed, &[step + 3]);
        assert!(fleet.wait_until_established(&listed).await);
        fleet.kill(step);
        let retry = fleet.order(step + 3, "plain", Upstream::Answers).await;
        assert!(is_replay(&retry), "{retry:?}");
    }
    assert_eq!(fleet.runs("plain"), 1);
}

#[compio::test]
async fn daemons_with_different_lists_run_once() {
    let fleet = Fleet::started(6, 2).await;
    // Two disjoint voter sets, each known to half of the daemons.
    fleet.set_list(2, &[0, 1, 2], &[0, 1, 2]);
    fleet.set_list(3, &[3, 4, 5], &[3, 4, 5]);
    for round in 0..5 {
        let key = format!("plain-{round}");
        let calls = (0..6).map(|number| fleet.order(number, &key, Upstream::Answers));
        let decisions = join_all(calls).await;
        assert!(fleet.runs(&key) <= 1, "{decisions:?}");
    }
    short_pause().await;
    assert!(is_answer(&fleet.order(0, "later", Upstream::Answers).await));
}

#[compio::test]
async fn isolated_majority_of_the_former_voters_blocks_the_new_voters() {
    let fleet = Fleet::started(6, 3).await;
    // All former voters but one are isolated and know only the old list.
    fleet.set_list(2, &[0, 1, 2], &[0, 1, 2, 3, 4, 5]);
    assert!(fleet.wait_until_established(&[0, 1, 2]).await);
    fleet.partition(&[0, 1]);
    fleet.set_list(3, &[2, 3, 4], &[2, 3, 4, 5]);
    short_pause().await;
    let calls = (0..6).map(|number| fleet.order(number, "plain", Upstream::Answers));
    let decisions = join_all(calls).await;
    assert_eq!(fleet.runs("plain"), 1, "{decisions:?}");
    assert!(is_unknown(&decisions[3]));
    fleet.heal();
    assert!(fleet.wait_until_established(&[2, 3, 4]).await);
    assert!(is_replay(&fleet.order(3, "plain", Upstream::Answers).await));
}

#[compio::test]
async fn votes_in_a_set_that_differs_in_one_voter_are_fenced() {
    // {1, 2} and {0, 3} are disjoint majorities of {0, 1, 2} and {0, 1, 3}.
    let fleet = Fleet::started(4, 4).await;
    fleet.set_list(2, &[0, 1, 2], &[0, 1, 2, 3]);
    assert!(fleet.wait_until_established(&[0, 1, 2]).await);
    fleet.partition(&[0, 3]);
    fleet.set_list(3, &[0, 1, 3], &[0, 3]);
    short_pause().await;
    let calls = (0..4).map(|number| fleet.order(number, "plain", Upstream::Answers));
    let _ = join_all(calls).await;
    assert_eq!(fleet.runs("plain"), 1);
}

#[compio::test]
async fn lost_majority_requires_the_confirmation_of_an_operator() {
    let fleet = Fleet::started(3, 5).await;
    assert!(is_answer(&fleet.order(0, "plain", Upstream::Answers).await));
    short_pause().await;
    for number in 0..2 {
        fleet.kill(number);
        fleet.start(number);
    }
    fleet.set_list(1, &[0, 1, 2], &[0, 1]);
    short_pause().await;
    assert!(is_unknown(&fleet.order(2, "new", Upstream::Answers).await));
    assert!(is_replay(&fleet.order(2, "plain", Upstream::Answers).await));
    fleet.confirm_start().await;
    assert!(is_answer(&fleet.order(2, "new", Upstream::Answers).await));
}

#[compio::test]
async fn restarted_voter_votes_after_the_window() {
    let fleet = Fleet::new(6);
    fleet.publish_window(1);
    fleet.start(0);
    fleet.set_list(1, &[0], &[0]);
    assert!(is_unknown(
        &fleet.order(0, "plain", Upstream::Answers).await
    ));
    // Window, clock margin and the limit for the start of a run: 521 ms.
    sleep(Duration::from_millis(600)).await;
    assert!(is_answer(&fleet.order(0, "plain", Upstream::Answers).await));
}

#[compio::test]
async fn rolling_graceful_restart_of_the_fleet() {
    let fleet = Fleet::started(6, 7).await;
    let all = [0, 1, 2, 3, 4, 5];
    let mut used = vec!["plain".to_owned()];
    let mut unused = Vec::new();
    for number in all {
        used.push(fleet.once(number).unwrap().mint().unwrap());
        unused.push(fleet.once(number).unwrap().mint().unwrap());
    }
    for (number, key) in used.iter().enumerate() {
        assert!(is_answer(
            &fleet.order(number % 6, key, Upstream::Answers).await
        ));
    }
    for number in all {
        let once = fleet.once(number).unwrap();
        let report = once.hand_over().await;
        assert_eq!(report.unfinished, 0);
        assert!(report.unreached.is_empty(), "{report:?}");
        fleet.kill(number);
        fleet.start(number);
        fleet.set_list(1, &all, &[number]);
        assert!(fleet.wait_until_established(&[number]).await);
    }
    for key in &used {
        for number in [0, 3, 5] {
            let retry = fleet.order(number, key, Upstream::Answers).await;
            assert!(is_replay(&retry), "{key}: {retry:?}");
        }
        assert_eq!(fleet.runs(key), 1);
    }
    // Their homes will never grant these keys, so the voters grant each once.
    for key in &unused {
        let calls = (0..6).map(|number| fleet.order(number, key, Upstream::Slow(5)));
        let decisions = join_all(calls).await;
        let answers = decisions.iter().filter(|decision| is_answer(decision));
        assert_eq!(answers.count(), 1, "{key}: {decisions:?}");
        assert_eq!(fleet.runs(key), 1);
    }
}

#[compio::test]
async fn hand_over_waits_for_a_run_and_includes_its_outcome() {
    let fleet = Fleet::started(3, 8).await;
    let key = fleet.once(0).unwrap().mint().unwrap();
    let run = fleet.order(0, &key, Upstream::Slow(100));
    let stop = async {
        sleep(Duration::from_millis(20)).await;
        let report = fleet.once(0).unwrap().hand_over().await;
        assert_eq!(report.unfinished, 0);
    };
    let (decision, ()) = futures_util::join!(run, stop);
    assert!(is_answer(&decision));
    fleet.kill(0);
    assert!(is_replay(&fleet.order(1, &key, Upstream::Answers).await));
    assert_eq!(fleet.runs(&key), 1);
}

#[compio::test]
async fn outcome_of_a_run_granted_to_another_daemon_survives_the_hand_over() {
    let fleet = Fleet::started(3, 9).await;
    let key = fleet.once(0).unwrap().mint().unwrap();
    let run = fleet.order(1, &key, Upstream::Slow(100));
    let stop = async {
        sleep(Duration::from_millis(20)).await;
        fleet.once(0).unwrap().hand_over().await;
        fleet.kill(0);
        fleet.order(2, &key, Upstream::Answers).await
    };
    let (decision, retry) = futures_util::join!(run, stop);
    assert!(is_answer(&decision));
    assert!(is_replay(&retry), "{retry:?}");
    assert_eq!(fleet.runs(&key), 1);
}
