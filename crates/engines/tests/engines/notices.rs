//! Upstreams that say that they leave, or that they want rest.

use std::collections::HashMap;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::StreamExt;
use mangofront_engines::{Failure, LoadUpdate, NoUpstream, key_of};
use mangofront_routes::AllowedRegions;
use quickcheck::QuickCheck;

use crate::support::{Fleet, SERVICE, short_request};

const LONG: Duration = Duration::from_secs(30);

fn chosen(fleet: &Fleet, tried: &[u64]) -> Result<String, NoUpstream> {
    let placed = fleet.upstreams.place(SERVICE, &short_request(), tried);
    placed.map(|placed| placed.answering().id.clone())
}

#[test]
fn an_upstream_that_rests_is_not_chosen_whatever_else_is_left() {
    let fleet = Fleet::new(2);
    let keys: Vec<u64> = fleet.listed.iter().map(key_of).collect();
    fleet.upstreams.record_rest(keys[0], LONG);
    fleet
        .upstreams
        .record_rest(keys[0], Duration::from_millis(1));
    fleet.upstreams.record_answer(keys[0]);
    fleet.upstreams.forgive(keys[0]);
    assert_eq!(chosen(&fleet, &[]).unwrap(), "i-1");
    assert_eq!(chosen(&fleet, &[keys[1]]).unwrap_err(), NoUpstream::Resting);
    assert_eq!(chosen(&fleet, &keys).unwrap_err(), NoUpstream::AllTried);
    assert!(!fleet.upstreams.accepts_work(keys[0]));
    assert_eq!(
        fleet.upstreams.calmest(SERVICE, &AllowedRegions::Any, &[]),
        Some(keys[1])
    );
    assert_eq!(
        fleet
            .upstreams
            .open_of_service(SERVICE, &AllowedRegions::Any),
        [keys[1]]
    );
    let rest = fleet
        .upstreams
        .soonest_rest_end(SERVICE, &AllowedRegions::Any, &[])
        .unwrap();
    assert!(
        rest > LONG - Duration::from_secs(5) && rest <= LONG,
        "{rest:?}"
    );
    // An ejected upstream is better than one that rests.
    fleet
        .upstreams
        .record_failure(keys[1], Failure::Unreachable);
    assert_eq!(chosen(&fleet, &[]).unwrap(), "i-1");
}

#[test]
fn notices_outlast_a_registration_and_end_with_an_incarnation() {
    let fleet = Fleet::new(2);
    let key = key_of(&fleet.listed[0]);
    fleet.upstreams.record_rest(key, LONG);
    assert!(fleet.upstreams.record_leaving(key));
    assert!(!fleet.upstreams.record_leaving(key), "it is known");
    fleet.publish(&fleet.listed[1..]);
    fleet.publish(&fleet.listed);
    assert!(fleet.upstreams.is_leaving(key));
    assert!(fleet.upstreams.rest(key).is_some());
    let mut next = fleet.listed.clone();
    next[0].started_at_ms += 1;
    fleet.publish(&next);
    assert!(fleet.upstreams.accepts_work(key_of(&next[0])));
    fleet.upstreams.record_leaving(key);
    assert!(
        fleet.upstreams.accepts_work(key_of(&next[0])),
        "a late answer is about the earlier incarnation"
    );
}

#[test]
fn upstreams_that_others_say_leave_are_used_if_no_other_is_left() {
    let mut fleet = Fleet::new(2);
    let keys: Vec<u64> = fleet.listed.iter().map(key_of).collect();
    let told = LoadUpdate::Leaving { upstream: keys[0] };
    fleet.upstreams.apply_update(7, told);
    assert_eq!(chosen(&fleet, &[]).unwrap(), "i-1");
    assert_eq!(chosen(&fleet, &[keys[1]]).unwrap(), "i-0");
    fleet.upstreams.record_leaving(keys[1]);
    assert_eq!(chosen(&fleet, &[]).unwrap(), "i-0");
    fleet.upstreams.record_leaving(keys[0]);
    assert_eq!(chosen(&fleet, &[]).unwrap_err(), NoUpstream::NoneKnown);
    let mut told = Vec::new();
    while let Some(Some(update)) = fleet.updates.next().now_or_never() {
        if let LoadUpdate::Leaving { upstream } = update {
            told.push(upstream);
        }
    }
    assert_eq!(told, [keys[1], keys[0]], "only what this daemon was told");
}

/// Statements of three upstreams, in the order in which they arrive, doubled or not, leave the
/// longest rest of each and whether it leaves.
#[test]
fn the_order_of_notices_makes_no_difference() {
    fn property(statements: Vec<(u8, bool, u8)>, shift: usize) -> bool {
        let mut rotated = statements.clone();
        rotated.rotate_left(shift % statements.len().max(1));
        let seen = [&statements, &rotated].map(|order| {
            let fleet = Fleet::new(3);
            let keys: Vec<u64> = fleet.listed.iter().map(key_of).collect();
            for (upstream, leaves, rest_s) in order.iter().chain(order.iter()) {
                let key = keys[usize::from(*upstream) % 3];
                match leaves {
                    true => drop(fleet.upstreams.record_leaving(key)),
                    false => {
                        let rest = Duration::from_secs(60 * u64::from(*rest_s));
                        fleet.upstreams.record_rest(key, rest);
                    }
                }
            }
            let state = |key: &u64| {
                let rest_min = fleet
                    .upstreams
                    .rest(*key)
                    .map(|rest| rest.as_secs().div_ceil(60));
                (fleet.upstreams.is_leaving(*key), rest_min)
            };
            keys.iter().map(state).collect::<Vec<_>>()
        });
        let mut expected: HashMap<usize, (bool, Option<u64>)> = HashMap::new();
        for (upstream, leaves, rest_s) in &statements {
            let entry = expected.entry(usize::from(*upstream) % 3).or_default();
            match leaves {
                true => entry.0 = true,
                false if *rest_s > 0 => entry.1 = entry.1.max(Some(u64::from(*rest_s))),
                false => {}
            }
        }
        let expected: Vec<(bool, Option<u64>)> = (0..3)
            .map(|upstream| expected.get(&upstream).copied().unwrap_or_default())
            .collect();
        seen[0] == seen[1] && seen[0] == expected
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(property as fn(Vec<(u8, bool, u8)>, usize) -> bool);
}
