//! Requests under which upstreams crashed.

use std::cell::Cell;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use futures_channel::mpsc::{UnboundedReceiver, unbounded};
use mangofront_engines::{ChoiceOptions, LoadUpdate, QuarantineState, Upstreams};
use quickcheck::quickcheck;

const REQUEST: u128 = 7;

/// Time for which a request is kept after the third crash.
const QUARANTINE: Duration = Duration::from_secs(60);

thread_local! {
    static VIRTUAL: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

fn clock() -> Instant {
    static BASE: OnceLock<Instant> = OnceLock::new();
    // Far enough from the start of time that ages can be subtracted.
    let base = *BASE.get_or_init(|| Instant::now() + Duration::from_secs(100_000));
    base + VIRTUAL.get()
}

fn pass(time: Duration) {
    VIRTUAL.set(VIRTUAL.get() + time);
}

fn daemon() -> (Upstreams, UnboundedReceiver<LoadUpdate>) {
    let (tell, news) = unbounded();
    let options = ChoiceOptions::default();
    let upstreams = Upstreams::with_clock(options, "hall-a".to_owned(), 1, tell, clock);
    (upstreams, news)
}

fn told(news: &mut UnboundedReceiver<LoadUpdate>) -> Vec<LoadUpdate> {
    std::iter::from_fn(|| news.try_recv().ok()).collect()
}

fn open(crashes: usize) -> QuarantineState {
    QuarantineState::Open { crashes }
}

/// What a request's standing is after each of some crashes, and after times that pass.
#[test]
fn quarantine_begins_with_the_third_crash_and_doubles() {
    let (daemon, _news) = daemon();
    let mut standings = Vec::new();
    for life in 1..=5 {
        daemon.record_crash(REQUEST, life);
        standings.push(daemon.quarantine_state(REQUEST));
        pass(Duration::from_secs(1));
    }
    pass(4 * QUARANTINE - Duration::from_secs(2));
    standings.push(daemon.quarantine_state(REQUEST));
    pass(Duration::from_secs(1));
    standings.push(daemon.quarantine_state(REQUEST));
    insta::assert_debug_snapshot!(standings);
}

/// Guards against one crash being counted by each request that saw it, or by each way that
/// its news takes.
#[test]
fn a_life_counts_once() {
    let (daemon, mut news) = daemon();
    for _ in 0..4 {
        daemon.record_crash(REQUEST, 1);
    }
    for one in told(&mut news) {
        daemon.apply_update(2, one.clone());
        daemon.apply_update(3, one);
    }
    assert_eq!(daemon.quarantine_state(REQUEST), open(1));
}

/// Guards against an innocent request being kept for crashes that it was beside.
#[test]
fn a_request_that_is_answered_is_cleared_at_all_daemons() {
    let (one, mut of_one) = daemon();
    let (other, _of_other) = daemon();
    one.record_crash(REQUEST, 1);
    one.record_crash(REQUEST, 2);
    let early = told(&mut of_one);
    assert!(one.clear_crashes(REQUEST));
    assert!(
        !one.clear_crashes(REQUEST),
        "there is nothing more to clear"
    );
    // LoadUpdate overtake each other.
    for news in told(&mut of_one).into_iter().chain(early) {
        other.apply_update(2, news);
    }
    assert_eq!(other.quarantine_state(REQUEST), open(0));
    other.record_crash(REQUEST, 3);
    assert_eq!(other.quarantine_state(REQUEST), open(1));
}

/// Guards against a request that was cleared many times being trusted for ever.
#[test]
fn a_request_that_was_beside_many_crashes_is_kept_once_it_is_at_fault() {
    let (daemon, _news) = daemon();
    for life in 1..=100 {
        daemon.record_crash(REQUEST, life);
        daemon.clear_crashes(REQUEST);
    }
    for life in 101..=103 {
        assert!(matches!(
            daemon.quarantine_state(REQUEST),
            QuarantineState::Open { .. }
        ));
        daemon.record_crash(REQUEST, life);
    }
    assert!(matches!(
        daemon.quarantine_state(REQUEST),
        QuarantineState::Quarantined { .. }
    ));
}

#[test]
fn only_one_trial_runs_at_a_time() {
    let (daemon, _news) = daemon();
    (1..=3).for_each(|life| {
        daemon.record_crash(REQUEST, life);
    });
    pass(QUARANTINE);
    assert_eq!(
        daemon.quarantine_state(REQUEST),
        QuarantineState::TrialAllowed
    );
    daemon.begin_trial(REQUEST);
    assert!(matches!(
        daemon.quarantine_state(REQUEST),
        QuarantineState::Quarantined { .. }
    ));
    // It is still at fault.
    daemon.record_crash(REQUEST, 4);
    pass(QUARANTINE + Duration::from_secs(1));
    assert!(matches!(
        daemon.quarantine_state(REQUEST),
        QuarantineState::Quarantined { .. }
    ));
}

/// Guards against a daemon that has just started, or missed the news, sending a request
/// on that others keep from their upstreams.
#[test]
fn crashes_are_told_again_and_to_who_starts() {
    let (one, mut of_one) = daemon();
    (1..=3).for_each(|life| {
        one.record_crash(REQUEST, life);
    });
    told(&mut of_one);
    pass(Duration::from_secs(10));
    let (late, _) = daemon();
    one.broadcast_running();
    for news in told(&mut of_one) {
        late.apply_update(2, news);
    }
    let (starting, _) = daemon();
    for news in one.load_snapshot() {
        starting.apply_update(2, news);
    }
    assert_eq!(
        late.quarantine_state(REQUEST),
        one.quarantine_state(REQUEST)
    );
    assert_eq!(
        starting.quarantine_state(REQUEST),
        one.quarantine_state(REQUEST)
    );
}

/// Guards against a request being kept for ever by a daemon that missed that it was cleared.
#[test]
fn whoever_missed_that_a_request_was_cleared_is_told_again() {
    let (one, mut of_one) = daemon();
    let (other, mut of_other) = daemon();
    (1..=3).for_each(|life| {
        other.record_crash(REQUEST, life);
    });
    for news in told(&mut of_other) {
        one.apply_update(2, news);
    }
    one.clear_crashes(REQUEST);
    told(&mut of_one);
    // That was lost; the other goes on to tell what it knows.
    other.broadcast_running();
    for news in told(&mut of_other) {
        one.apply_update(2, news);
    }
    for news in told(&mut of_one) {
        other.apply_update(2, news);
    }
    assert_eq!(other.quarantine_state(REQUEST), open(0));
}

/// Guards against a flood of requests that crash upstreams once making room for one that
/// crashes them all.
#[test]
fn a_flood_of_requests_leaves_the_worst_in_quarantine() {
    let (daemon, _news) = daemon();
    (1..=3).for_each(|life| {
        daemon.record_crash(REQUEST, life);
    });
    for request in 100..5_000 {
        daemon.record_crash(request, 4);
    }
    assert!(matches!(
        daemon.quarantine_state(REQUEST),
        QuarantineState::Quarantined { .. }
    ));
    assert_eq!(daemon.quarantined().len(), 1);
}

quickcheck! {
    /// What daemons know in the end does not depend on the order of the news, nor on how
    /// often each comes.
    fn news_merge_in_any_order(events: Vec<(u8, bool)>, order: Vec<u16>) -> bool {
        VIRTUAL.set(Duration::ZERO);
        let (teller, mut of_teller) = daemon();
        for (life, is_cleared) in events {
            match is_cleared && life % 4 == 0 {
                true => drop(teller.clear_crashes(REQUEST)),
                false => drop(teller.record_crash(REQUEST, u64::from(life % 8))),
            }
        }
        let news = told(&mut of_teller);
        let (in_order, _) = daemon();
        let (shuffled, _) = daemon();
        for one in &news {
            in_order.apply_update(2, one.clone());
        }
        for place in &order {
            if let Some(one) = news.get(usize::from(*place) % news.len().max(1)) {
                shuffled.apply_update(2, one.clone());
            }
        }
        for one in news.iter().rev() {
            shuffled.apply_update(2, one.clone());
        }
        let standing = teller.quarantine_state(REQUEST);
        standing == in_order.quarantine_state(REQUEST) && standing == shuffled.quarantine_state(REQUEST)
    }
}
