//! Merging of what daemons observe of limits.

use std::time::Duration;

use mangofront_limits::{LimitObservation, LimitTable, Moment, RateLimit};
use quickcheck::{QuickCheck, TestResult};

const UPSTREAM: u64 = 3;

fn limit(per_s: f64) -> RateLimit {
    RateLimit::new(per_s).expect("a valid limit")
}

fn at(ms: u64) -> Moment {
    Duration::from_secs(100) + Duration::from_millis(ms)
}

fn told(limit: Option<RateLimit>, age_ms: u32) -> LimitObservation {
    LimitObservation {
        upstream: UPSTREAM,
        limit,
        age_ms,
    }
}

#[test]
fn only_finite_limits_that_are_not_negative_are_valid() {
    let values = [0.0, -0.0, 1.6, 1e300, -1.0, f64::NAN, f64::INFINITY];
    let valid = values.map(|value| RateLimit::new(value).map(RateLimit::per_s));
    insta::assert_debug_snapshot!(valid);
}

/// Guards against an answer that was begun before the limit was named ending it.
#[test]
fn an_answer_to_an_earlier_request_does_not_end_a_limit() {
    let mut table = LimitTable::default();
    table.observe_limit(UPSTREAM, limit(2.0), at(0), at(50));
    assert_eq!(table.observe_none(UPSTREAM, at(40)), None);
    assert_eq!(table.limit(UPSTREAM), Some(limit(2.0)));
    assert!(table.observe_none(UPSTREAM, at(60)).is_some());
    assert_eq!(table.limit(UPSTREAM), None);
}

/// Guards against answers that overtake each other raising a limit.
#[test]
fn the_lower_of_two_limits_of_uncertain_order_holds() {
    let mut table = LimitTable::default();
    table.observe_limit(UPSTREAM, limit(2.0), at(0), at(50));
    table.observe_limit(UPSTREAM, limit(8.0), at(10), at(60));
    assert_eq!(table.limit(UPSTREAM), Some(limit(2.0)));
    table.observe_limit(UPSTREAM, limit(8.0), at(70), at(90));
    assert_eq!(table.limit(UPSTREAM), Some(limit(8.0)));
    table.observe_limit(UPSTREAM, limit(1.0), at(20), at(95));
    assert_eq!(table.limit(UPSTREAM), Some(limit(1.0)));
}

/// Guards against an end that was told late outranking a limit that was named meanwhile.
#[test]
fn a_limit_named_while_its_end_was_on_the_way_holds() {
    let mut table = LimitTable::default();
    table.observe_limit(UPSTREAM, limit(2.0), at(0), at(50));
    table.merge(&told(None, 0), at(200));
    assert_eq!(table.limit(UPSTREAM), Some(limit(2.0)));
    table.merge(&told(None, 0), at(300));
    assert_eq!(table.limit(UPSTREAM), None);
    table.merge(&told(Some(limit(1.0)), 150), at(300));
    assert_eq!(table.limit(UPSTREAM), Some(limit(1.0)));
}

/// Guards against a message for each answer, and against no daemon repeating a limit.
#[test]
fn a_limit_is_told_again_once_a_second_by_whoever_observed_it() {
    let mut table = LimitTable::default();
    table.observe_limit(UPSTREAM, limit(2.0), at(0), at(0));
    assert!(table.take_repeats(at(500)).is_empty());
    assert_eq!(table.take_repeats(at(1_000)).len(), 1);
    assert!(
        table.take_repeats(at(2_500)).is_empty(),
        "not observed since"
    );
    table.observe_limit(UPSTREAM, limit(2.0), at(2_600), at(2_700));
    table.merge(&told(Some(limit(2.0)), 0), at(2_800));
    assert!(
        table.take_repeats(at(3_000)).is_empty(),
        "another daemon told it"
    );
    assert_eq!(table.take_repeats(at(3_900)).len(), 1);
}

#[test]
fn upstreams_that_are_gone_are_forgotten() {
    let mut table = LimitTable::default();
    table.observe_limit(UPSTREAM, limit(2.0), at(0), at(0));
    table.retain(|_| true, at(1_000));
    assert!(table.has_limits());
    table.retain(|_| false, at(1_000));
    assert!(!table.has_limits());
}

/// Daemons that are told the same observations, in any order and any number of times, agree
/// once the last of them is repeated.
#[test]
fn observations_merge_in_any_order() {
    fn property(values: Vec<(u8, u8)>, order: Vec<usize>) -> TestResult {
        if values.is_empty() {
            return TestResult::discard();
        }
        let observations: Vec<(u64, Option<RateLimit>)> = values
            .iter()
            .enumerate()
            .map(|(index, (value, _))| {
                let named = (value % 4 > 0).then(|| limit(f64::from(value % 4)));
                // Far enough apart that their order can be told.
                (index as u64 * 1_000, named)
            })
            .collect();
        let end = values.len() as u64 * 1_000 + 10_000;
        let apply = |table: &mut LimitTable, index: usize| {
            let (observed_ms, named) = observations[index % observations.len()];
            let age_ms = u32::try_from(end - observed_ms).expect("a short time");
            table.merge(&told(named, age_ms), at(end));
        };
        let mut in_order = LimitTable::default();
        (0..observations.len()).for_each(|index| apply(&mut in_order, index));
        let mut shuffled = LimitTable::default();
        order.iter().for_each(|index| apply(&mut shuffled, *index));
        apply(&mut shuffled, observations.len() - 1);
        TestResult::from_bool(in_order.limit(UPSTREAM) == shuffled.limit(UPSTREAM))
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(property as fn(Vec<(u8, u8)>, Vec<usize>) -> TestResult);
}
