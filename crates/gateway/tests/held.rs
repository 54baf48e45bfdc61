//! Order in which requests that are held for less loaded engines try again.

use std::time::{Duration, Instant};

use mangofront_engines::Precedence;
use mangofront_gateway::{HeldPlace, HeldRequests};

const PERIOD: Duration = Duration::from_millis(20);

fn precedence(is_late: bool, priority: u8, is_above_share: bool, arrived: Instant) -> Precedence {
    Precedence {
        is_late,
        priority,
        is_above_share,
        arrived,
    }
}

/// Names of those that wait, in the order of their next attempts.
fn order(waiting: &[(&'static str, HeldPlace)], now: Instant) -> Vec<&'static str> {
    let mut tries: Vec<(Duration, &str)> = waiting
        .iter()
        .map(|(name, place)| (place.next_try_in(now, PERIOD), *name))
        .collect();
    tries.sort_unstable();
    tries.into_iter().map(|(_, name)| name).collect()
}

/// Guards against a free place going to whoever happens to poll next.
#[test]
fn those_that_wait_try_in_order_of_precedence() {
    let start = Instant::now();
    let later = start + Duration::from_millis(7);
    let held = HeldRequests::new(start);
    let all = [
        ("late", precedence(true, 0, false, start)),
        ("younger", precedence(false, 1, false, later)),
        ("above its share", precedence(false, 1, true, start)),
        ("less urgent", precedence(false, 2, false, start)),
        ("older", precedence(false, 1, false, start)),
        ("urgent, above its share", precedence(false, 0, true, later)),
    ];
    let mut waiting: Vec<_> = all
        .into_iter()
        .map(|(name, precedence)| (name, held.join(precedence)))
        .collect();
    let now = start + Duration::from_millis(31);
    insta::assert_debug_snapshot!(order(&waiting, now));
    // One that can no longer be on time goes behind, and one that leaves is not waited for.
    waiting[5]
        .1
        .set_precedence(precedence(true, 0, true, later));
    let older = waiting.remove(4);
    drop(older);
    insta::assert_debug_snapshot!(order(&waiting, now));
    assert_eq!(held.count(), 5);
}

/// Guards against a request behind many others that never has its turn.
#[test]
fn everyone_has_a_turn_in_each_period() {
    let start = Instant::now();
    let held = HeldRequests::new(start);
    let places: Vec<HeldPlace> = (0..500)
        .map(|_| held.join(precedence(false, 0, false, start)))
        .collect();
    let now = start + Duration::from_millis(3);
    let next = |place: &HeldPlace| place.next_try_in(now, PERIOD);
    assert!(places.iter().all(|place| next(place) < PERIOD * 2));
    assert_eq!(next(&places[0]), Duration::from_millis(17));
    drop(places);
    assert_eq!(held.count(), 0);
}
