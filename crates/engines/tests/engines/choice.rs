//! Which engines are chosen.

use std::time::Duration;

use mangofront_engines::{ChoiceOptions, Demand, NoUpstream, Placement};

use crate::support::{Fleet, SERVICE, after, demand, question, review, upstream};

/// Time after which a review joins any queue.
const LATE_MS: u64 = 7_600;

/// Engines that have two long reviews to read, 3.8 s of one engine's time.
fn busy_engines(count: usize) -> (Fleet, Vec<Placement>) {
    let fleet = Fleet::at_one_moment(count);
    let running = (0..2)
        .map(|_| {
            fleet
                .place(&after(&review(130_000), LATE_MS))
                .expect("late ones join any queue")
        })
        .collect();
    (fleet, running)
}

#[test]
fn readers_grow_with_the_prompt() {
    let readers = |tokens| {
        let fleet = Fleet::new(23);
        let placed = fleet.place(&review(tokens)).unwrap();
        let reserved = placed
            .shares
            .iter()
            .filter(|one| one.reserve_tokens.is_some());
        (tokens, placed.shares.len(), reserved.count())
    };
    insta::assert_debug_snapshot!([
        readers(1_000),
        readers(15_000),
        readers(45_000),
        readers(133_000),
        readers(230_000),
        readers(300_000),
        readers(600_000),
    ]);
}

#[test]
fn reservations_hold_what_the_first_engine_can_not() {
    let fleet = Fleet::new(23);
    let placed = fleet.place(&review(600_000)).unwrap();
    let reserved: u64 = placed
        .shares
        .iter()
        .filter_map(|one| one.reserve_tokens)
        .sum();
    let kept = 600_000 - reserved;
    assert!(
        kept + 1_000 <= 232_000,
        "{kept} tokens stay at the engine that answers"
    );
    assert_eq!(placed.shares[0].reserve_tokens, None);
    assert!(
        placed
            .shares
            .iter()
            .all(|one| one.reserve_tokens.is_none_or(|t| t <= 232_000))
    );
}

#[test]
fn long_prompts_leave_engines_to_short_ones() {
    let fleet = Fleet::new(12);
    let mut short = Vec::new();
    for _ in 0..20 {
        let mut placed = fleet.place(&question()).unwrap();
        placed.record_first_event();
        short.push(placed);
    }
    let engines = |placed: &[Placement]| {
        let ids = placed
            .iter()
            .flat_map(|one| one.shares.iter().map(|r| r.upstream.id.clone()));
        ids.collect::<std::collections::BTreeSet<_>>()
    };
    let long = [fleet.place(&review(133_000)).unwrap()];
    assert!(
        engines(&short).len() <= 4,
        "short ones share: {:?}",
        engines(&short)
    );
    assert!(engines(&short).is_disjoint(&engines(&long)));
}

#[test]
fn a_long_prompt_waits_while_engines_are_busy_and_is_then_put_in() {
    let (fleet, _running) = busy_engines(4);
    let waiting = review(130_000);
    assert_eq!(fleet.place(&waiting).unwrap_err(), NoUpstream::Busy);
    assert!(fleet.place(&question()).is_ok(), "short ones do not wait");
    // Half of its target, and three halves: it is late, and breaks nothing by waiting on.
    for waited_ms in [1_300, 3_800] {
        let refused = fleet.place(&after(&waiting, waited_ms)).unwrap_err();
        assert_eq!(refused, NoUpstream::Busy);
    }
    assert!(fleet.place(&after(&waiting, LATE_MS)).is_ok());
}

/// A long prompt waits rather than make the answers late that are in time.
#[test]
fn a_prompt_that_is_held_back_breaks_no_pauses() {
    let answers = |count: usize, tokens: u64| {
        let fleet = Fleet::new(6);
        let _short: Vec<Placement> = (0..count)
            .map(|_| {
                let mut placed = fleet.place(&question()).unwrap();
                placed.record_first_event();
                placed
            })
            .collect();
        let _running = [fleet.place(&review(130_000)).unwrap()];
        let long = after(&review(tokens), 1_300);
        let placed = fleet.place(&long).map(|placed| placed.shares.len());
        (count, tokens, placed)
    };
    insta::assert_debug_snapshot!([
        answers(2, 60_000),
        answers(2, 130_000),
        answers(20, 130_000),
        answers(20, 200_000),
    ]);
}

/// A review that may be refused, some time after it came.
fn refusable(tokens: u64, elapsed_ms: u64) -> Demand {
    Demand {
        is_refusable: true,
        ..after(&review(tokens), elapsed_ms)
    }
}

/// Callers whose reviews of a size were served, by the numbers of their requests.
fn served_before(fleet: &Fleet, tokens: u64, requests: std::ops::Range<u128>) {
    for request in requests {
        let review = Demand {
            request,
            ..after(&review(tokens), LATE_MS)
        };
        fleet
            .place(&review)
            .expect("it is placed")
            .record_complete();
    }
}

/// Guards against a size being refused more often than is promised, whatever the peak.
#[test]
fn of_the_longest_prompts_most_are_placed_at_any_peak() {
    let (fleet, mut running) = busy_engines(4);
    let mut outcomes = String::new();
    for request in 1..=16 {
        let longest = Demand {
            request,
            ..refusable(220_000, 2_400)
        };
        let late = Demand {
            request,
            ..refusable(220_000, LATE_MS)
        };
        match fleet.place(&longest) {
            Err(NoUpstream::Overrun) => outcomes.push('r'),
            Err(refused) => {
                assert_eq!(refused, NoUpstream::Busy);
                running.push(fleet.place(&late).unwrap());
                outcomes.push('p');
            }
            Ok(placed) => {
                running.push(placed);
                outcomes.push('p');
            }
        }
        // One of each size counts as served before any is known.
        let placed = outcomes.matches('p').count() + 1;
        assert!(placed * 100 >= 60 * (outcomes.len() + 1), "{outcomes}");
    }
    insta::assert_snapshot!(outcomes, @"prprpprprpprprpp");
}

/// Guards against a caller that comes back being counted as one more of its size, which
/// would let others be refused in its place.
#[test]
fn a_caller_that_is_refused_again_counts_once() {
    let (fleet, _running) = busy_engines(4);
    served_before(&fleet, 220_000, 1..2);
    let outcome = |request: u128| {
        let longest = Demand {
            request,
            ..refusable(220_000, 2_400)
        };
        fleet.place(&longest).map(|_| ()).unwrap_err()
    };
    let outcomes = [7, 7, 7, 8, 7, 9].map(outcome);
    let (refused, held) = (NoUpstream::Overrun, NoUpstream::Busy);
    assert_eq!(outcomes, [refused, refused, refused, held, refused, held]);
}

/// Guards against each daemon counting only the few of a size that it meets itself.
#[test]
fn what_other_daemons_served_of_a_size_counts() {
    let (mut other, _of_other) = busy_engines(4);
    other.told();
    served_before(&other, 220_000, 1..3);
    let (fleet, _running) = busy_engines(4);
    let longest = Demand {
        request: 7,
        ..refusable(220_000, 2_400)
    };
    assert_eq!(fleet.place(&longest).unwrap_err(), NoUpstream::Busy);
    for news in other.told() {
        fleet.upstreams.apply_update(1, news);
    }
    assert_eq!(fleet.place(&longest).unwrap_err(), NoUpstream::Overrun);
}

/// Guards against prompts of a size that was served too seldom being held until they can
/// no longer be answered.
#[test]
fn a_size_that_was_lost_too_often_is_held_no_longer() {
    let (fleet, _running) = busy_engines(4);
    let late = |request: u128| Demand {
        request,
        ..after(&review(220_000), 3_000)
    };
    served_before(&fleet, 220_000, 1..2);
    assert_eq!(fleet.place(&late(3)).unwrap_err(), NoUpstream::Busy);
    // Placed, and not answered whole.
    for request in 4..6 {
        drop(fleet.place(&after(&late(request), LATE_MS)));
    }
    assert!(fleet.place(&late(3)).is_ok());
}

/// Held while it can be in time, refused once it can't, or at once if it is hopeless.
#[test]
fn a_long_prompt_is_held_until_it_can_not_be_in_time() {
    let (fleet, _running) = busy_engines(8);
    let outcome = |demand: &Demand| fleet.place(demand).map(|placed| placed.shares.len());
    let unknown_size = refusable(220_000, 2_000);
    served_before(&fleet, 300_000, 9..12);
    served_before(&fleet, 170_000, 1..9);
    insta::assert_debug_snapshot!([
        (
            "keeps all busy for over a second",
            outcome(&refusable(300_000, 0))
        ),
        ("came just now", outcome(&refusable(170_000, 0))),
        ("came 0.4 s ago", outcome(&refusable(170_000, 400))),
        ("came 2 s ago", outcome(&refusable(170_000, 2_000))),
        ("nothing known of its size", outcome(&unknown_size)),
        (
            "within one engine's target",
            outcome(&refusable(130_000, 2_000))
        ),
        ("was sent before", outcome(&after(&review(170_000), 2_000))),
        ("read in 0.3 s", outcome(&refusable(40_000, 0))),
    ]);
}

/// A caller that comes back late is not held until its time is over.
#[test]
fn a_late_prompt_is_sent_while_it_can_be_read() {
    let (fleet, _running) = busy_engines(8);
    let outcome = |time_left_ms: u64| {
        let late = Demand {
            time_left: Duration::from_millis(time_left_ms),
            ..after(&review(170_000), 2_000)
        };
        fleet.place(&late).map(|placed| placed.shares.len())
    };
    assert_eq!(outcome(10_000), Err(NoUpstream::Busy));
    assert!(outcome(3_000).is_ok());
}

#[test]
fn a_request_is_refused_once_every_slot_is_taken() {
    let fleet = Fleet::new(2);
    let mut placed = Vec::new();
    let refused = loop {
        match fleet.place(&question()) {
            Ok(one) => placed.push(one),
            Err(refused) => break refused,
        }
    };
    assert_eq!((refused, placed.len()), (NoUpstream::Full, 34));
    placed.pop();
    assert!(fleet.place(&question()).is_ok());
}

#[test]
fn a_prompt_larger_than_all_memory_is_refused_after_waiting() {
    let fleet = Fleet::new(2);
    let mut huge = review(600_000);
    assert_eq!(fleet.place(&huge).unwrap_err(), NoUpstream::Busy);
    huge.waited = Duration::from_secs(2);
    assert_eq!(fleet.place(&huge).unwrap_err(), NoUpstream::TooLarge);
}

#[test]
fn plain_services_take_the_least_loaded() {
    let listed: Vec<_> = (0..3)
        .map(|number| upstream(number, "fleet-ops", "hall-a"))
        .collect();
    let fleet = Fleet::of(listed);
    let plain = demand(0, 0, 300);
    let placed: Vec<_> = (0..9)
        .map(|_| fleet.upstreams.place("fleet-ops", &plain, &[]).unwrap())
        .collect();
    for status in fleet.upstreams.status() {
        assert_eq!(status.answering, 3);
    }
    drop(placed);
    assert!(
        fleet
            .upstreams
            .status()
            .iter()
            .all(|status| status.answering == 0)
    );
}

#[test]
fn a_daemon_that_has_just_started_spreads_short_prompts() {
    let engines = |settling_time_ms: u64| {
        let options = ChoiceOptions {
            settling_time_ms,
            ..ChoiceOptions::default()
        };
        let listed = (0..12).map(|number| upstream(number, SERVICE, "hall-a"));
        let fleet = Fleet::with_options(listed.collect(), options);
        let placed: Vec<Placement> = (0..12).map(|_| fleet.place(&question()).unwrap()).collect();
        let ids = placed.iter().map(|one| one.answering().id.clone());
        ids.collect::<std::collections::BTreeSet<_>>().len()
    };
    insta::assert_debug_snapshot!([engines(60_000), engines(0)]);
}
