//! Scripted faults: crashes, network partitions, frozen and restarted processes.

mod fleet;

use std::time::Duration;

use compio::time::sleep;
use fleet::{
    Fleet, LinkFaults, Upstream, is_answer, is_not_run, is_replay, is_unknown, uuid_v7_key,
};
use futures_util::future::join_all;
use mangofront_once::{Decision, DisabledSafeguard};

async fn short_pause() {
    sleep(Duration::from_millis(60)).await;
}

#[compio::test]
async fn retry_at_another_daemon_is_replayed() {
    let fleet = Fleet::started(6, 1).await;
    let minted = fleet.once(5).unwrap().mint().unwrap();
    for key in [minted.as_str(), "plain"] {
        assert!(is_answer(&fleet.order(0, key, Upstream::Answers).await));
        for number in 0..6 {
            assert!(is_replay(
                &fleet.order(number, key, Upstream::Answers).await
            ));
        }
        assert_eq!(fleet.runs(key), 1);
    }
}

#[compio::test]
async fn concurrent_claims_run_once() {
    let fleet = Fleet::started(6, 2).await;
    fleet.set_link_faults(LinkFaults {
        delay_ms: 2,
        duplicated_percent: 20,
        lost_percent: 0,
    });
    let minted = fleet.once(3).unwrap().mint().unwrap();
    for key in [minted.as_str(), "plain-1", "plain-2", "plain-3"] {
        let calls = (0..6).map(|number| fleet.order(number, key, Upstream::Slow(10)));
        let decisions = join_all(calls).await;
        let answers = decisions
            .iter()
            .filter(|decision| is_answer(decision))
            .count();
        let replays = decisions
            .iter()
            .filter(|decision| is_replay(decision))
            .count();
        assert_eq!((answers, replays), (1, 5), "{key}: {decisions:?}");
        assert_eq!(fleet.runs(key), 1);
    }
}

#[compio::test]
async fn runner_killed_before_its_run_blocks_the_key() {
    let fleet = Fleet::started(5, 3).await;
    let call = fleet.order(0, "plain", Upstream::StartsLate(50));
    let killing = async {
        sleep(Duration::from_millis(20)).await;
        fleet.kill(0);
        fleet.order(1, "plain", Upstream::Answers).await
    };
    let (_, retry) = futures_util::join!(call, killing);
    // The others can't know that the killed process sent nothing.
    assert!(is_unknown(&retry), "{retry:?}");
    assert_eq!(fleet.runs("plain"), 0);
}

#[compio::test]
async fn runner_killed_during_its_run_leaves_the_outcome_unknown() {
    let fleet = Fleet::started(5, 4).await;
    let minted = fleet.once(4).unwrap().mint().unwrap();
    for (runner, key) in [(0, minted.as_str()), (1, "plain")] {
        let call = fleet.order(runner, key, Upstream::Slow(300));
        let killing = async {
            sleep(Duration::from_millis(20)).await;
            fleet.kill(runner);
            fleet.order(2, key, Upstream::Answers).await
        };
        let (_, retry) = futures_util::join!(call, killing);
        assert!(is_unknown(&retry), "{retry:?}");
        assert_eq!(fleet.runs(key), 1);
    }
}

#[compio::test]
async fn answer_of_a_runner_killed_after_its_run_is_replayed() {
    let fleet = Fleet::started(5, 5).await;
    let minted = fleet.once(4).unwrap().mint().unwrap();
    for key in [minted.as_str(), "plain"] {
        assert!(is_answer(&fleet.order(0, key, Upstream::Answers).await));
    }
    short_pause().await;
    fleet.kill(0);
    for key in [minted.as_str(), "plain"] {
        assert!(is_replay(&fleet.order(2, key, Upstream::Answers).await));
        assert_eq!(fleet.runs(key), 1);
    }
}

#[compio::test]
async fn key_claimed_on_both_sides_of_a_partition_runs_once() {
    let fleet = Fleet::started(6, 6).await;
    let minted = fleet.once(0).unwrap().mint().unwrap();
    // hall-0 is isolated from the other two zones.
    fleet.partition(&[0, 3]);
    let keys = ["plain", minted.as_str()];
    for key in keys {
        let calls = (0..6).map(|number| fleet.order(number, key, Upstream::Answers));
        let decisions = join_all(calls).await;
        assert_eq!(
            decisions
                .iter()
                .filter(|decision| is_answer(decision))
                .count(),
            1
        );
        assert!(!decisions.iter().any(is_not_run), "{decisions:?}");
        assert_eq!(fleet.runs(key), 1);
    }
    let minority = fleet.order(3, "lone", Upstream::Answers).await;
    assert!(is_unknown(&minority));
    let local = fleet.once(3).unwrap().mint().unwrap();
    assert!(is_answer(&fleet.order(3, &local, Upstream::Answers).await));
    fleet.heal();
    sleep(Duration::from_secs(1)).await;
    for key in keys {
        for number in 0..6 {
            assert!(is_replay(
                &fleet.order(number, key, Upstream::Answers).await
            ));
        }
    }
    assert!(is_answer(&fleet.order(3, "lone", Upstream::Answers).await));
}

#[compio::test]
async fn frozen_runner_resumes_after_a_retry() {
    let fleet = Fleet::started(5, 7).await;
    for (key, late_ms) in [("slow-start", 30), ("too-late", 600)] {
        let call = fleet.order(0, key, Upstream::StartsLate(late_ms));
        let freezing = async {
            sleep(Duration::from_millis(15)).await;
            fleet.freeze(0);
            let retry = fleet.order(1, key, Upstream::Answers).await;
            fleet.unfreeze(0);
            retry
        };
        let (_, retry) = futures_util::join!(call, freezing);
        assert!(is_unknown(&retry), "{retry:?}");
        assert!(fleet.runs(key) <= 1);
        short_pause().await;
        let later = fleet.order(2, key, Upstream::Answers).await;
        assert!(fleet.runs(key) == 1, "{later:?}");
    }
    assert_eq!(fleet.violations(), 0);
}

#[compio::test]
async fn voters_restarted_one_by_one_synchronise() {
    let fleet = Fleet::started(5, 8).await;
    for number in 0..5 {
        let key = format!("before-{number}");
        assert!(is_answer(
            &fleet.order(number, &key, Upstream::Answers).await
        ));
    }
    short_pause().await;
    for number in 0..5 {
        fleet.kill(number);
        fleet.start(number);
        fleet.set_list(1, &[0, 1, 2, 3, 4], &[number]);
        assert!(fleet.wait_until_established(&[number]).await);
    }
    for number in 0..5 {
        let key = format!("before-{number}");
        let retry = fleet.order((number + 1) % 5, &key, Upstream::Answers).await;
        assert!(is_replay(&retry), "{retry:?}");
        assert_eq!(fleet.runs(&key), 1);
    }
}

/// Voter `a` restarts between its vote and the vote of `b`, and in between reads the
/// records of `b` and `c`. A second claim then gets the votes of `a` and `c`.
/// Returns how often the key ran.
async fn restart_between_votes([a, b, c]: [usize; 3], disabled: DisabledSafeguard) -> u32 {
    let mut fleet = Fleet::new(9);
    fleet.disabled = disabled;
    fleet.call_timeout = Duration::from_millis(250);
    fleet.start_all(5).await;
    fleet.set_list(2, &[0, 1, 2], &[0, 1, 2, 3, 4]);
    assert!(fleet.wait_until_established(&[0, 1, 2]).await);
    fleet.delay_link(3, b, Some(100));
    fleet.delay_link(3, c, None);
    fleet.delay_link(4, b, None);
    let first = fleet.order(3, "plain", Upstream::Answers);
    let second = async {
        sleep(Duration::from_millis(10)).await;
        fleet.kill(a);
        fleet.start(a);
        fleet.set_list(2, &[0, 1, 2], &[a]);
        assert!(fleet.wait_until_established(&[a]).await);
        fleet.order(4, "plain", Upstream::Answers).await
    };
    let _ = futures_util::join!(first, second);
    fleet.runs("plain")
}

/// Most runs of a key in all permutations of the voters; in some of them, the voter
/// that the claim contacts first is `a`.
async fn restarts_between_votes(disabled: DisabledSafeguard) -> u32 {
    let orders = [
        [0, 1, 2],
        [0, 2, 1],
        [1, 0, 2],
        [1, 2, 0],
        [2, 0, 1],
        [2, 1, 0],
    ];
    let results = orders.map(|order| restart_between_votes(order, disabled));
    join_all(results).await.into_iter().max().unwrap_or(0)
}

#[compio::test]
async fn restart_between_two_votes_does_not_release_the_key() {
    assert_eq!(restarts_between_votes(DisabledSafeguard::None).await, 1);
}

#[compio::test]
async fn without_the_fence_a_vote_of_a_former_incarnation_leads_to_a_second_run() {
    assert_eq!(
        restarts_between_votes(DisabledSafeguard::IncarnationFence).await,
        2
    );
}

#[compio::test]
async fn restart_of_the_whole_fleet_leads_to_no_second_run() {
    let fleet = Fleet::started(3, 10).await;
    let old_uuid_v7_key = uuid_v7_key();
    for key in ["plain", &old_uuid_v7_key] {
        assert!(is_answer(&fleet.order(0, key, Upstream::Answers).await));
    }
    for number in 0..3 {
        fleet.kill(number);
    }
    for number in 0..3 {
        fleet.start(number);
    }
    fleet.set_list(1, &[0, 1, 2], &[0, 1, 2]);
    short_pause().await;
    for key in ["plain", &old_uuid_v7_key] {
        assert!(is_unknown(&fleet.order(0, key, Upstream::Answers).await));
        assert_eq!(fleet.runs(key), 1);
    }
    // A key whose timestamp is later than the restart runs once.
    let new_uuid_v7_key = uuid_v7_key();
    assert!(is_answer(
        &fleet.order(0, &new_uuid_v7_key, Upstream::Answers).await
    ));
    assert!(is_replay(
        &fleet.order(2, &new_uuid_v7_key, Upstream::Answers).await
    ));
    // A timestamp in the future is ignored.
    let future = "0fffffff-ffff-7000-8000-000000000000";
    assert!(is_unknown(&fleet.order(0, future, Upstream::Answers).await));
}

#[compio::test]
async fn outcome_of_a_key_with_a_killed_home_is_unknown() {
    let fleet = Fleet::started(3, 11).await;
    let key = fleet.once(0).unwrap().mint().unwrap();
    fleet.kill(0);
    assert!(is_unknown(&fleet.order(1, &key, Upstream::Answers).await));
    fleet.start(0);
    fleet.set_list(1, &[0, 1, 2], &[0]);
    assert!(is_unknown(&fleet.order(0, &key, Upstream::Answers).await));
    assert_eq!(fleet.runs(&key), 0);
}

#[compio::test]
async fn conflict_is_detected_by_any_daemon() {
    let fleet = Fleet::started(5, 12).await;
    let minted = fleet.once(4).unwrap().mint().unwrap();
    for key in [minted.as_str(), "plain"] {
        assert!(is_answer(&fleet.order(0, key, Upstream::Answers).await));
        let other = fleet
            .order_as(3, key, "another body", Upstream::Answers)
            .await;
        assert!(matches!(other, Some(Decision::Failed(_))), "{other:?}");
        assert_eq!(fleet.runs(key), 1);
    }
}

#[compio::test]
async fn cancelled_call_releases_or_settles_its_claim() {
    let fleet = Fleet::started(3, 13).await;
    let early = fleet.order(0, "early", Upstream::StartsLate(200));
    let _ = compio::time::timeout(Duration::from_millis(30), early).await;
    short_pause().await;
    assert!(is_answer(&fleet.order(1, "early", Upstream::Answers).await));
    let begun = fleet.order(0, "begun", Upstream::Slow(200));
    let _ = compio::time::timeout(Duration::from_millis(30), begun).await;
    short_pause().await;
    assert!(is_unknown(
        &fleet.order(1, "begun", Upstream::Answers).await
    ));
    assert_eq!((fleet.runs("early"), fleet.runs("begun")), (1, 1));
}
