//! Parts of the gateway that need no process.

use std::time::{Duration, Instant};

use mangofront_gateway::{EventFramer, PublishedOptions, RetryBudget, RetryLimit};
use mangofront_settings::process::MIN_CHANGE_BOUND;
use quickcheck::QuickCheck;

/// Events `1..=count` as an upstream sends them.
fn events(count: u64) -> String {
    (1..=count)
        .map(|id| format!("id: {id}\ndata: text {id}\n\n"))
        .collect()
}

#[test]
fn only_whole_events_pass() {
    let mut framer = EventFramer::default();
    let first = framer.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    assert_eq!(
        (&first.bytes[..], first.count),
        (&b"id: 1\ndata: a\n\n"[..], 1)
    );
    assert!(framer.is_mid_event());
    assert_eq!(framer.last_id(), Some(1));
    let second = framer.push(b"ta: b\r\n\r\n").unwrap();
    assert_eq!(second.count, 1);
    assert!(!framer.is_mid_event());
    assert_eq!(framer.last_id(), Some(2));
}

#[test]
fn events_that_were_passed_on_are_left_out() {
    let mut framer = EventFramer::after(Some(3));
    let framed = framer.push(events(5).as_bytes()).unwrap();
    assert_eq!(framed.count, 2);
    assert!(framed.bytes.starts_with(b"id: 4\n"));
}

#[test]
fn an_event_without_a_number_passes() {
    let mut framer = EventFramer::after(Some(3));
    assert_eq!(framer.push(b": comment\n\n").unwrap().count, 1);
    assert_eq!(framer.last_id(), Some(3));
}

#[test]
fn an_endless_event_is_refused() {
    let mut framer = EventFramer::default();
    let chunk = vec![b'x'; 600 * 1024];
    assert!(framer.push(&chunk).is_some());
    assert!(framer.push(&chunk).is_none());
}

/// However a stream is cut into chunks, and wherever it breaks off and another
/// one goes on, each event passes once and in order.
#[test]
fn cuts_and_resumptions_lose_and_double_nothing() {
    fn property(cuts: Vec<usize>, break_at: usize) -> bool {
        let text = events(9);
        let mut passed = Vec::new();
        let mut framer = EventFramer::default();
        let broken = &text.as_bytes()[..break_at % text.len()];
        let mut rest = broken;
        for cut in &cuts {
            let (chunk, left) = rest.split_at((cut % 40).min(rest.len()));
            passed.extend_from_slice(&framer.push(chunk).unwrap().bytes);
            rest = left;
        }
        passed.extend_from_slice(&framer.push(rest).unwrap().bytes);
        let mut resumed = EventFramer::after(framer.last_id());
        passed.extend_from_slice(&resumed.push(text.as_bytes()).unwrap().bytes);
        passed == text.as_bytes()
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(Vec<usize>, usize) -> bool);
}

#[test]
fn second_sends_are_bounded_by_requests_and_daemons() {
    let limit = RetryLimit {
        ratio: 0.2,
        slack: 100.0,
        window: Duration::from_secs(10),
    };
    let budget = RetryBudget::new(limit);
    let now = Instant::now();
    let taken = |daemons, at| {
        (0..1_000)
            .filter(|_| budget.try_take("a", daemons, at))
            .count()
    };
    // Seven tenths of a tenth of the slack.
    assert_eq!(taken(10, now), 7);
    (0..100).for_each(|_| budget.record_request("a", now));
    // And of a fifth of the requests.
    assert_eq!(taken(10, now), 14);
    assert!(budget.try_take("b", 10, now), "each service has its own");
    assert_eq!(
        taken(10, now + Duration::from_secs(11)),
        7,
        "the window slides"
    );
}

#[test]
fn all_daemons_together_keep_to_the_limit() {
    fn property(requests: Vec<u8>, daemons: u8) -> bool {
        let limit = RetryLimit::default();
        let now = Instant::now();
        let daemons = usize::from(daemons).max(1);
        let mut sent = 0;
        let mut total = 0.0;
        for place in 0..daemons {
            let budget = RetryBudget::new(limit);
            let own = requests.get(place).copied().unwrap_or(0);
            (0..own).for_each(|_| budget.record_request("a", now));
            total += f64::from(own);
            sent += (0..1_000)
                .filter(|_| budget.try_take("a", daemons, now))
                .count();
        }
        sent as f64 <= limit.ratio * total + limit.slack
    }
    QuickCheck::new()
        .tests(200)
        .quickcheck(property as fn(Vec<u8>, u8) -> bool);
}

/// A neighbour that is out of touch is believed for at most a wait and the answer to it,
/// so that a change is in force here within two seconds at a lease of five: by then the
/// neighbour was too old, and the source was asked a period later.
#[test]
fn a_neighbour_out_of_touch_is_not_believed_for_long() {
    let options = PublishedOptions::for_bounds(Duration::from_secs(5), Duration::from_secs(2));
    let asked_after = options.confirmation_age_limit + options.query_period;
    assert!(options.confirmation_age_limit > options.watch_wait);
    assert!(asked_after < Duration::from_secs(2), "{asked_after:?}");
}

/// The parts of the time in which a change is acted on follow each other. Whatever an
/// operator sets, they add up to less than the bound, and a watcher that is in touch is
/// believed between two answers of the source.
#[test]
fn a_change_is_acted_on_within_its_bound_whatever_is_set() {
    fn property(lease_ms: u16, bound_ms: u16) -> bool {
        let lease = Duration::from_millis(100 + u64::from(lease_ms));
        let bound = MIN_CHANGE_BOUND + Duration::from_millis(u64::from(bound_ms));
        let options = PublishedOptions::for_bounds(lease, bound);
        let is_believed = options.confirmation_age_limit > options.watch_wait;
        is_believed && options.reaction_bound() <= bound && options.lapse_grace < bound
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(u16, u16) -> bool);
}
