//! A daemon's view of the upstreams and of the other daemons.

use std::thread;
use std::time::Duration;

use futures_util::FutureExt;
use mangofront_engines::{Failure, LoadUpdate, NoUpstream, Placement, key_of};
use mangofront_routes::Upstream;
use quickcheck::QuickCheck;

use crate::support::{Fleet, SERVICE, demand, long_request, short_request, upstream};

#[test]
fn failed_leaving_and_tried_upstreams_are_skipped() {
    let fleet = Fleet::new(3);
    let keys: Vec<_> = fleet.listed.iter().map(key_of).collect();
    fleet
        .upstreams
        .record_failure(keys[0], Failure::Unreachable);
    let chosen = |tried: &[u64]| {
        let placed = fleet.upstreams.place(SERVICE, &short_request(), tried);
        placed.map(|placed| placed.answering().id.clone())
    };
    for _ in 0..5 {
        assert_ne!(chosen(&[]).unwrap(), "i-0");
    }
    assert_eq!(chosen(&[keys[1]]).unwrap(), "i-2");
    assert_eq!(chosen(&keys).unwrap_err(), NoUpstream::AllTried);
    // A failed upstream is better than none.
    assert_eq!(chosen(&[keys[1], keys[2]]).unwrap(), "i-0");
    let mut leaving = fleet.listed.clone();
    leaving.iter_mut().for_each(|one| one.leaving = true);
    fleet.publish(&leaving);
    assert_eq!(chosen(&[]).unwrap_err(), NoUpstream::NoneKnown);
}

#[test]
fn ejection_ends_by_itself_and_grows_with_each_failure() {
    let fleet = Fleet::new(1);
    let key = key_of(&fleet.listed[0]);
    let is_ejected = || fleet.upstreams.status()[0].is_ejected;
    fleet.upstreams.record_failure(key, Failure::Unreachable);
    assert!(is_ejected());
    thread::sleep(Duration::from_millis(520));
    assert!(!is_ejected());
    fleet.upstreams.record_failure(key, Failure::Unreachable);
    thread::sleep(Duration::from_millis(520));
    assert!(is_ejected());
    fleet.upstreams.record_answer(key);
    assert!(!is_ejected());
}

/// Guards against sound upstreams that are left out by all daemons at once, as all fell silent
/// for a moment.
#[test]
fn a_silent_upstream_is_not_ejected_and_avoided_only_while_another_is_heard() {
    let fleet = Fleet::new(2);
    let chosen = || {
        let placed = fleet.place(&long_request(1_000)).unwrap();
        key_of(placed.answering())
    };
    let usual = chosen();
    let keys: Vec<_> = fleet.listed.iter().map(key_of).collect();
    let other = *keys.iter().find(|key| **key != usual).unwrap();
    fleet.upstreams.record_silence(usual);
    let mut status = fleet.upstreams.status().into_iter();
    assert!(!status.any(|one| one.is_ejected));
    assert_eq!(chosen(), other, "the other is preferred");
    fleet.upstreams.record_failure(other, Failure::Unreachable);
    assert_eq!(chosen(), usual, "it is preferred to an ejected one");
    fleet.upstreams.record_answer(other);
    fleet.upstreams.record_silence(other);
    assert_eq!(chosen(), usual, "all are silent, so none is avoided");
    fleet.upstreams.record_sign_of_life(other);
    assert_eq!(chosen(), other, "it went on");
    fleet.upstreams.record_sign_of_life(usual);
    assert_eq!(chosen(), usual);
}

/// Guards against upstreams that stay in use although others answer in their place again and
/// again, and against the ejection of one that merely paused.
#[test]
fn only_an_upstream_that_is_overtaken_repeatedly_is_ejected() {
    let fleet = Fleet::new(1);
    let key = key_of(&fleet.listed[0]);
    let is_ejected = || fleet.upstreams.status()[0].is_ejected;
    let overtaken = |age| fleet.upstreams.record_overtaken(key, age);
    assert_eq!(overtaken(Duration::from_secs(1)), None);
    assert_eq!(overtaken(Duration::from_secs(1)), None, "the same silence");
    assert_eq!(overtaken(Duration::from_millis(900)), None);
    assert!(!is_ejected());
    thread::sleep(Duration::from_millis(5));
    fleet.upstreams.record_answer(key);
    assert_eq!(overtaken(Duration::ZERO), None, "it answered in between");
    thread::sleep(Duration::from_millis(5));
    fleet.upstreams.record_sign_of_life(key);
    assert_eq!(overtaken(Duration::ZERO), None, "it went on in between");
    thread::sleep(Duration::from_millis(5));
    assert!(overtaken(Duration::ZERO).is_some());
    assert!(is_ejected());
    fleet.upstreams.record_answer(key);
    assert!(!is_ejected());
}

/// The registration of a dead upstream may outlast it while a new one listens on its address;
/// engines refuse a request that names one address twice.
#[test]
fn a_reused_address_belongs_to_the_latest_upstream() {
    let mut listed: Vec<_> = (0..8)
        .map(|number| upstream(number, SERVICE, "hall-a"))
        .collect();
    listed[5].address = listed[2].address;
    let fleet = Fleet::of(listed);
    let placed = fleet.place(&long_request(200_000)).unwrap();
    let ids: Vec<_> = placed
        .shares
        .iter()
        .map(|one| one.upstream.id.as_str())
        .collect();
    assert_eq!(ids.len(), 7, "{ids:?}");
    assert!(!ids.contains(&"i-2"), "{ids:?}");
}

#[test]
fn another_daemon_sees_placements_and_their_ends() {
    let mut one = Fleet::new(3);
    let other = Fleet::new(3);
    let mut placed = one.place(&long_request(100_000)).unwrap();
    let deliver = |one: &mut Fleet| {
        one.sent_updates().into_iter().for_each(|update| {
            other.upstreams.apply_update(7, update);
        })
    };
    deliver(&mut one);
    let memory = |fleet: &Fleet| {
        fleet
            .upstreams
            .status()
            .iter()
            .map(|status| status.memory_tokens)
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
    deliver(&mut one);
    assert!(
        other
            .upstreams
            .status()
            .iter()
            .all(|status| status.backlog_ms == 0.0)
    );
    drop(placed);
    deliver(&mut one);
    assert_eq!(memory(&other), 0);
}

#[test]
fn a_missed_end_is_corrected_by_the_list_of_running_requests() {
    let mut one = Fleet::new(3);
    let other = Fleet::new(3);
    let ended = one.place(&long_request(100_000)).unwrap();
    let running = one.place(&short_request()).unwrap();
    one.sent_updates().into_iter().for_each(|update| {
        other.upstreams.apply_update(7, update);
    });
    drop(ended);
    one.sent_updates();
    thread::sleep(Duration::from_millis(350));
    one.upstreams.broadcast_running();
    one.sent_updates().into_iter().for_each(|update| {
        other.upstreams.apply_update(7, update);
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
fn a_starting_daemon_learns_running_requests_from_a_snapshot() {
    let one = Fleet::new(3);
    let other = Fleet::new(3);
    let _prefilling = one.place(&long_request(100_000)).unwrap();
    let mut decoding = one.place(&short_request()).unwrap();
    decoding.record_first_event();
    one.upstreams
        .load_snapshot()
        .into_iter()
        .for_each(|update| {
            other.upstreams.apply_update(7, update);
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
fn a_silent_zone_is_excluded_until_it_is_reachable() {
    let listed = vec![
        upstream(0, SERVICE, "hall-a"),
        upstream(1, SERVICE, "hall-b"),
    ];
    let fleet = Fleet::of(listed);
    fleet.upstreams.mark_zone_reachable("hall-b");
    fleet.upstreams.mark_zone_reachable("hall-a");
    thread::sleep(Duration::from_millis(1_200));
    let targets = fleet.upstreams.probe_targets(Duration::from_millis(500));
    assert_eq!(
        targets
            .iter()
            .map(|one| one.id.as_str())
            .collect::<Vec<_>>(),
        ["i-1"]
    );
    let placed: Vec<_> = (0..10)
        .map(|_| fleet.place(&short_request()).unwrap())
        .collect();
    assert!(placed.iter().all(|one| one.answering().id == "i-0"));
    fleet.upstreams.received_from(key_of(&fleet.listed[1]));
    let next: Vec<_> = (0..10)
        .map(|_| fleet.place(&short_request()).unwrap())
        .collect();
    assert!(next.iter().any(|one| one.answering().id == "i-1"));
}

/// Guards against a failed call: its second attempt was sent to an upstream in a zone known to be
/// unreachable, although a third upstream was reachable and only ejected.
#[test]
fn an_ejected_upstream_is_preferred_to_one_in_an_unreachable_zone() {
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
        placed
            .expect("one upstream is not tried")
            .answering()
            .id
            .clone()
    };
    for _ in 0..6 {
        assert_eq!(chosen(&keys[..1]), "i-2");
    }
    // An upstream in an unreachable zone is better than none.
    assert_eq!(chosen(&[keys[0], keys[2]]), "i-1");
}

/// Requests are placed and ended in any order.
#[test]
fn no_load_remains_once_all_requests_have_ended() {
    fn holds(steps: Vec<(u16, bool)>) -> bool {
        let fleet = Fleet::new(5);
        let mut running = Vec::new();
        for (tokens, ends) in steps {
            if ends && !running.is_empty() {
                drop(running.remove(usize::from(tokens) % running.len()));
            } else if let Ok(placed) = fleet.place(&long_request(u64::from(tokens) * 10)) {
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
        .quickcheck(holds as fn(Vec<(u16, bool)>) -> bool);
}

/// The published upstreams after the first one has restarted.
fn with_first_restarted(fleet: &Fleet) -> Vec<Upstream> {
    let mut listed = fleet.listed.clone();
    listed[0].started_at_ms += 5_000;
    listed
}

#[test]
fn a_restarted_upstream_starts_without_load_or_failures() {
    let mut fleet = Fleet::new(1);
    let placed: Vec<_> = (0..4)
        .map(|_| fleet.place(&short_request()).unwrap())
        .collect();
    let earlier_updates = fleet.sent_updates();
    fleet
        .upstreams
        .record_failure(key_of(&fleet.listed[0]), Failure::Unreachable);
    let listed = with_first_restarted(&fleet);
    fleet.publish(&listed);
    let load = |fleet: &Fleet| {
        let status = &fleet.upstreams.status()[0];
        (status.answering, status.memory_tokens, status.is_ejected)
    };
    assert_eq!(load(&fleet), (0, 0, false));
    // A peer that does not know the later incarnation yet still sends updates about the earlier
    // one.
    earlier_updates.into_iter().for_each(|update| {
        fleet.upstreams.apply_update(7, update);
    });
    fleet.upstreams.apply_update(
        7,
        LoadUpdate::Failed {
            upstream: key_of(&fleet.listed[0]),
            ejected_ms: 5_000,
            has_crashed: false,
        },
    );
    assert_eq!(load(&fleet), (0, 0, false));
    drop(placed);
    assert_eq!(load(&fleet), (0, 0, false));
}

#[test]
fn requests_on_an_earlier_incarnation_are_notified() {
    let fleet = Fleet::new(2);
    let mut placed: Vec<_> = (0..8)
        .map(|_| fleet.place(&short_request()).unwrap())
        .collect();
    let is_notified = |one: &mut Placement| one.restarted().now_or_never().is_some();
    assert!(!placed.iter_mut().any(is_notified));
    let listed = with_first_restarted(&fleet);
    // The registration may lapse before that of the next incarnation arrives.
    fleet.publish(&listed[1..]);
    assert!(!placed.iter_mut().any(is_notified));
    fleet.publish(&listed);
    for one in &mut placed {
        let is_first = one.answering().id == listed[0].id;
        assert_eq!(is_notified(one), is_first);
    }
}

/// Updates are lost while two daemons can't reach each other. Guards against a daemon treating the
/// engines that the other one has filled meanwhile as idle.
#[test]
fn missed_placements_trigger_a_new_snapshot() {
    let mut one = Fleet::new(3);
    let other = Fleet::new(3);
    let deliver = |updates: Vec<LoadUpdate>| {
        let answers = updates
            .into_iter()
            .map(|update| other.upstreams.apply_update(7, update));
        answers.filter(|wants_snapshot| *wants_snapshot).count()
    };
    let known = one.place(&short_request()).unwrap();
    assert_eq!(deliver(one.sent_updates()), 0);
    let mut lost: Vec<_> = (0..5)
        .map(|_| one.place(&short_request()).unwrap())
        .collect();
    lost[0].record_first_event();
    drop(one.sent_updates());
    one.upstreams.broadcast_running();
    assert_eq!(deliver(one.sent_updates()), 1, "it should send a snapshot");
    assert_eq!(deliver(one.upstreams.load_snapshot()), 0);
    let answering = |fleet: &Fleet| {
        let status = fleet.upstreams.status().into_iter();
        status.map(|one| one.answering).collect::<Vec<_>>()
    };
    assert_eq!(answering(&other), answering(&one));
    one.upstreams.broadcast_running();
    assert_eq!(
        deliver(one.sent_updates()),
        0,
        "no request is missing any more"
    );
    drop((known, lost));
}
