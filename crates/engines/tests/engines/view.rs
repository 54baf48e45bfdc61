//! What a daemon learns of upstreams and of the other daemons.

use std::thread;
use std::time::Duration;

use futures_util::FutureExt;
use mangofront_engines::{Failure, LoadUpdate, NoUpstream, Placement, key_of};
use mangofront_routes::Upstream;
use quickcheck::QuickCheck;

use crate::support::{Fleet, SERVICE, demand, question, review, upstream};

#[test]
fn failed_left_and_tried_upstreams_are_passed_over() {
    let fleet = Fleet::new(3);
    let keys: Vec<_> = fleet.listed.iter().map(key_of).collect();
    fleet
        .upstreams
        .record_failure(keys[0], Failure::Unreachable);
    let chosen = |tried: &[u64]| {
        let placed = fleet.upstreams.place(SERVICE, &question(), tried);
        placed.map(|placed| placed.answering().id.clone())
    };
    for _ in 0..5 {
        assert_ne!(chosen(&[]).unwrap(), "i-0");
    }
    assert_eq!(chosen(&[keys[1]]).unwrap(), "i-2");
    assert_eq!(chosen(&keys).unwrap_err(), NoUpstream::AllTried);
    // One that failed is better than none.
    assert_eq!(chosen(&[keys[1], keys[2]]).unwrap(), "i-0");
    let mut leaving = fleet.listed.clone();
    leaving.iter_mut().for_each(|one| one.leaving = true);
    fleet.list(&leaving);
    assert_eq!(chosen(&[]).unwrap_err(), NoUpstream::NoneKnown);
}

#[test]
fn a_failed_upstream_comes_back_by_itself_and_later_each_time() {
    let fleet = Fleet::new(1);
    let key = key_of(&fleet.listed[0]);
    let is_ejected = || fleet.upstreams.status()[0].is_ejected;
    fleet.upstreams.record_failure(key, Failure::Unreachable);
    assert!(is_ejected());
    thread::sleep(Duration::from_millis(520));
    assert!(!is_ejected());
    fleet.upstreams.record_failure(key, Failure::Silent);
    thread::sleep(Duration::from_millis(520));
    assert!(is_ejected());
    fleet.upstreams.record_answer(key);
    assert!(!is_ejected());
}

/// The registration of a dead upstream may outlast it, while a new one listens at
/// its address; engines refuse a request that names one address twice.
#[test]
fn an_address_used_again_belongs_to_the_latest_upstream() {
    let mut listed: Vec<_> = (0..8)
        .map(|number| upstream(number, SERVICE, "hall-a"))
        .collect();
    listed[5].address = listed[2].address;
    let fleet = Fleet::of(listed);
    let placed = fleet.place(&review(200_000)).unwrap();
    let ids: Vec<_> = placed
        .shares
        .iter()
        .map(|one| one.upstream.id.as_str())
        .collect();
    assert_eq!(ids.len(), 7, "{ids:?}");
    assert!(!ids.contains(&"i-2"), "{ids:?}");
}

#[test]
fn another_daemon_sees_what_was_placed_and_what_ended() {
    let mut one = Fleet::new(3);
    let other = Fleet::new(3);
    let mut placed = one.place(&review(100_000)).unwrap();
    let tell = |one: &mut Fleet| {
        one.told().into_iter().for_each(|news| {
            other.upstreams.apply_update(7, news);
        })
    };
    tell(&mut one);
    let memory = |fleet: &Fleet| {
        fleet
            .upstreams
            .status()
            .iter()
            .map(|s| s.memory_tokens)
            .sum::<u64>()
    };
    assert_eq!(memory(&one), memory(&other));
    assert!(
        other
            .upstreams
            .status()
            .iter()
            .any(|status| status.backlog_ms > 0.0)
    );
    placed.record_first_event();
    tell(&mut one);
    assert!(
        other
            .upstreams
            .status()
            .iter()
            .all(|status| status.backlog_ms == 0.0)
    );
    drop(placed);
    tell(&mut one);
    assert_eq!(memory(&other), 0);
}

#[test]
fn a_missed_end_is_set_right_by_the_list_of_what_runs() {
    let mut one = Fleet::new(3);
    let other = Fleet::new(3);
    let ended = one.place(&review(100_000)).unwrap();
    let running = one.place(&question()).unwrap();
    one.told().into_iter().for_each(|news| {
        other.upstreams.apply_update(7, news);
    });
    drop(ended);
    one.told();
    thread::sleep(Duration::from_millis(350));
    one.upstreams.broadcast_running();
    one.told().into_iter().for_each(|news| {
        other.upstreams.apply_update(7, news);
    });
    let answering: u32 = other
        .upstreams
        .status()
        .iter()
        .map(|status| status.answering)
        .sum();
    assert_eq!(answering, 1);
    drop(running);
}

#[test]
fn a_daemon_that_starts_is_told_of_what_runs() {
    let one = Fleet::new(3);
    let other = Fleet::new(3);
    let _reading = one.place(&review(100_000)).unwrap();
    let mut writing = one.place(&question()).unwrap();
    writing.record_first_event();
    one.upstreams.load_snapshot().into_iter().for_each(|news| {
        other.upstreams.apply_update(7, news);
    });
    let view = |fleet: &Fleet| {
        let status = fleet.upstreams.status();
        status
            .iter()
            .map(|one| (one.answering, one.memory_tokens))
            .collect::<Vec<_>>()
    };
    assert_eq!(view(&one), view(&other));
    other.upstreams.remove_daemon(7);
    assert!(view(&other).iter().all(|one| *one == (0, 0)));
}

#[test]
fn a_zone_that_falls_silent_is_left_out_until_it_is_heard() {
    let listed = vec![
        upstream(0, SERVICE, "hall-a"),
        upstream(1, SERVICE, "hall-b"),
    ];
    let fleet = Fleet::of(listed);
    fleet.upstreams.mark_zone_reachable("hall-b");
    fleet.upstreams.mark_zone_reachable("hall-a");
    thread::sleep(Duration::from_millis(1_200));
    let quiet = fleet.upstreams.probe_targets(Duration::from_millis(500));
    assert_eq!(
        quiet.iter().map(|one| one.id.as_str()).collect::<Vec<_>>(),
        ["i-1"]
    );
    let placed: Vec<_> = (0..10).map(|_| fleet.place(&question()).unwrap()).collect();
    assert!(placed.iter().all(|one| one.answering().id == "i-0"));
    fleet.upstreams.received_from(key_of(&fleet.listed[1]));
    let next: Vec<_> = (0..10).map(|_| fleet.place(&question()).unwrap()).collect();
    assert!(next.iter().any(|one| one.answering().id == "i-1"));
}

/// A call was answered with an error, as its second attempt went to an upstream behind a
/// cut that was known, while a third upstream, which had only failed lately, could be reached.
#[test]
fn an_upstream_that_failed_is_tried_before_one_behind_a_known_cut() {
    let listed = vec![
        upstream(0, SERVICE, "hall-a"),
        upstream(1, SERVICE, "hall-b"),
        upstream(2, SERVICE, "hall-c"),
    ];
    let fleet = Fleet::of(listed);
    let keys: Vec<_> = fleet.listed.iter().map(key_of).collect();
    fleet.upstreams.mark_zone_reachable("hall-b");
    thread::sleep(Duration::from_millis(1_200));
    fleet.upstreams.mark_zone_reachable("hall-c");
    fleet
        .upstreams
        .record_failure(keys[2], Failure::Unreachable);
    let plain = demand(0, 0, 300);
    let chosen = |tried: &[u64]| {
        let placed = fleet.upstreams.place(SERVICE, &plain, tried);
        placed.expect("one is left").answering().id.clone()
    };
    for _ in 0..6 {
        assert_eq!(chosen(&keys[..1]), "i-2");
    }
    // One behind a cut is better than none.
    assert_eq!(chosen(&[keys[0], keys[2]]), "i-1");
}

/// Whatever is placed and ended in any order, nothing is left once all has ended.
#[test]
fn nothing_is_left_once_all_has_ended() {
    fn property(steps: Vec<(u16, bool)>) -> bool {
        let fleet = Fleet::new(5);
        let mut running = Vec::new();
        for (tokens, ends) in steps {
            if ends && !running.is_empty() {
                drop(running.remove(usize::from(tokens) % running.len()));
            } else if let Ok(placed) = fleet.place(&review(u64::from(tokens) * 10)) {
                running.push(placed);
            }
        }
        running.clear();
        let status = fleet.upstreams.status();
        status
            .iter()
            .all(|one| one.answering == 0 && one.memory_tokens == 0 && one.backlog_ms == 0.0)
    }
    QuickCheck::new()
        .tests(200)
        .quickcheck(property as fn(Vec<(u16, bool)>) -> bool);
}

/// The listed upstreams, of which the first has started again.
fn first_started_again(fleet: &Fleet) -> Vec<Upstream> {
    let mut listed = fleet.listed.clone();
    listed[0].started_at_ms += 5_000;
    listed
}

#[test]
fn nothing_of_an_earlier_life_is_held_against_a_later_one() {
    let mut fleet = Fleet::new(1);
    let placed: Vec<_> = (0..4).map(|_| fleet.place(&question()).unwrap()).collect();
    let earlier_news = fleet.told();
    fleet
        .upstreams
        .record_failure(key_of(&fleet.listed[0]), Failure::Unreachable);
    let listed = first_started_again(&fleet);
    fleet.list(&listed);
    let load = |fleet: &Fleet| {
        let status = &fleet.upstreams.status()[0];
        (status.answering, status.memory_tokens, status.is_ejected)
    };
    assert_eq!(load(&fleet), (0, 0, false));
    // A peer that has not heard of the later life still tells of the earlier one.
    earlier_news.into_iter().for_each(|news| {
        fleet.upstreams.apply_update(7, news);
    });
    fleet.upstreams.apply_update(
        7,
        LoadUpdate::Failed {
            upstream: key_of(&fleet.listed[0]),
            ejected_ms: 5_000,
        },
    );
    assert_eq!(load(&fleet), (0, 0, false));
    drop(placed);
    assert_eq!(load(&fleet), (0, 0, false));
}

#[test]
fn whoever_waits_for_an_earlier_life_is_told() {
    let fleet = Fleet::new(2);
    let mut placed: Vec<_> = (0..8).map(|_| fleet.place(&question()).unwrap()).collect();
    let is_told = |one: &mut Placement| one.restarted().now_or_never().is_some();
    assert!(!placed.iter_mut().any(is_told));
    let listed = first_started_again(&fleet);
    // Its registration may lapse before the next one comes.
    fleet.list(&listed[1..]);
    assert!(!placed.iter_mut().any(is_told));
    fleet.list(&listed);
    for one in &mut placed {
        let is_first = one.answering().id == listed[0].id;
        assert_eq!(is_told(one), is_first);
    }
}

/// What is told while two daemons can't reach each other is lost. Once they can, the
/// one must not take engines that the other has filled for idle.
#[test]
fn requests_whose_placing_was_not_heard_are_asked_for() {
    let mut one = Fleet::new(3);
    let other = Fleet::new(3);
    let tell = |news: Vec<LoadUpdate>| {
        let asked = news
            .into_iter()
            .map(|one| other.upstreams.apply_update(7, one));
        asked.filter(|asked| *asked).count()
    };
    let known = one.place(&question()).unwrap();
    assert_eq!(tell(one.told()), 0);
    let mut lost: Vec<_> = (0..5).map(|_| one.place(&question()).unwrap()).collect();
    lost[0].record_first_event();
    drop(one.told());
    one.upstreams.broadcast_running();
    assert_eq!(tell(one.told()), 1, "it should introduce itself");
    assert_eq!(tell(one.upstreams.load_snapshot()), 0);
    let answering = |fleet: &Fleet| {
        let status = fleet.upstreams.status().into_iter();
        status.map(|one| one.answering).collect::<Vec<_>>()
    };
    assert_eq!(answering(&other), answering(&one));
    one.upstreams.broadcast_running();
    assert_eq!(tell(one.told()), 0, "nothing is missing any more");
    drop((known, lost));
}
