//! Requests under which upstreams crashed.

use std::cell::Cell;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use futures_channel::mpsc::{UnboundedReceiver, unbounded};
use mangofront_engines::{ChoiceOptions, News, Standing, Upstreams};
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

fn daemon() -> (Upstreams, UnboundedReceiver<News>) {
    let (tell, news) = unbounded();
    let options = ChoiceOptions::default();
    let upstreams = Upstreams::with_clock(options, "hall-a".to_owned(), 1, tell, clock);
    (upstreams, news)
}

fn told(news: &mut UnboundedReceiver<News>) -> Vec<News> {
    std::iter::from_fn(|| news.try_recv().ok()).collect()
}

fn open(crashes: usize) -> Standing {
    Standing::Open { crashes }
}

/// What a request's standing is after each of some crashes, and after times that pass.
#[test]
fn quarantine_begins_with_the_third_crash_and_doubles() {
    let (daemon, _news) = daemon();
    let mut standings = Vec::new();
    for life in 1..=5 {
        daemon.crashed_under(REQUEST, life);
        standings.push(daemon.standing(REQUEST));
        pass(Duration::from_secs(1));
    }
    pass(4 * QUARANTINE - Duration::from_secs(2));
    standings.push(daemon.standing(REQUEST));
    pass(Duration::from_secs(1));
    standings.push(daemon.standing(REQUEST));
    insta::assert_debug_snapshot!(standings);
}

/// Guards against one crash being counted by each request that saw it, or by each way that
/// its news takes.
#[test]
fn a_life_counts_once() {
    let (daemon, mut news) = daemon();
    for _ in 0..4 {
        daemon.crashed_under(REQUEST, 1);
    }
    for one in told(&mut news) {
        daemon.hear(2, one.clone());
        daemon.hear(3, one);
    }
    assert_eq!(daemon.standing(REQUEST), open(1));
}

/// Guards against an innocent request being kept for crashes that it was beside.
#[test]
fn a_request_that_is_answered_is_cleared_at_all_daemons() {
    let (one, mut of_one) = daemon();
    let (other, _of_other) = daemon();
    one.crashed_under(REQUEST, 1);
    one.crashed_under(REQUEST, 2);
    let early = told(&mut of_one);
    assert!(one.clear(REQUEST));
    assert!(!one.clear(REQUEST), "there is nothing more to clear");
    // News overtake each other.
    for news in told(&mut of_one).into_iter().chain(early) {
        other.hear(2, news);
    }
    assert_eq!(other.standing(REQUEST), open(0));
    other.crashed_under(REQUEST, 3);
    assert_eq!(other.standing(REQUEST), open(1));
}

/// Guards against a request that was cleared many times being trusted for ever.
#[test]
fn a_request_that_was_beside_many_crashes_is_kept_once_it_is_at_fault() {
    let (daemon, _news) = daemon();
    for life in 1..=100 {
        daemon.crashed_under(REQUEST, life);
        daemon.clear(REQUEST);
    }
    for life in 101..=103 {
        assert!(matches!(daemon.standing(REQUEST), Standing::Open { .. }));
        daemon.crashed_under(REQUEST, life);
    }
    assert!(matches!(
        daemon.standing(REQUEST),
        Standing::Quarantined { .. }
    ));
}

#[test]
fn only_one_trial_runs_at_a_time() {
    let (daemon, _news) = daemon();
    (1..=3).for_each(|life| {
        daemon.crashed_under(REQUEST, life);
    });
    pass(QUARANTINE);
    assert_eq!(daemon.standing(REQUEST), Standing::OnTrial);
    daemon.begin_trial(REQUEST);
    assert!(matches!(
        daemon.standing(REQUEST),
        Standing::Quarantined { .. }
    ));
    // It is still at fault.
    daemon.crashed_under(REQUEST, 4);
    pass(QUARANTINE + Duration::from_secs(1));
    assert!(matches!(
        daemon.standing(REQUEST),
        Standing::Quarantined { .. }
    ));
}

/// Guards against a daemon that has just started, or missed the news, sending a request
/// on that others keep from their upstreams.
#[test]
fn crashes_are_told_again_and_to_who_starts() {
    let (one, mut of_one) = daemon();
    (1..=3).for_each(|life| {
        one.crashed_under(REQUEST, life);
    });
    told(&mut of_one);
    pass(Duration::from_secs(10));
    let (late, _) = daemon();
    one.tell_running();
    for news in told(&mut of_one) {
        late.hear(2, news);
    }
    let (starting, _) = daemon();
    for news in one.introduction() {
        starting.hear(2, news);
    }
    assert_eq!(late.standing(REQUEST), one.standing(REQUEST));
    assert_eq!(starting.standing(REQUEST), one.standing(REQUEST));
}

/// Guards against a request being kept for ever by a daemon that missed that it was cleared.
#[test]
fn whoever_missed_that_a_request_was_cleared_is_told_again() {
    let (one, mut of_one) = daemon();
    let (other, mut of_other) = daemon();
    (1..=3).for_each(|life| {
        other.crashed_under(REQUEST, life);
    });
    for news in told(&mut of_other) {
        one.hear(2, news);
    }
    one.clear(REQUEST);
    told(&mut of_one);
    // That was lost; the other goes on to tell what it knows.
    other.tell_running();
    for news in told(&mut of_other) {
        one.hear(2, news);
    }
    for news in told(&mut of_one) {
        other.hear(2, news);
    }
    assert_eq!(other.standing(REQUEST), open(0));
}

/// Guards against a flood of requests that crash upstreams once making room for one that
/// crashes them all.
#[test]
fn a_flood_of_requests_leaves_the_worst_in_quarantine() {
    let (daemon, _news) = daemon();
    (1..=3).for_each(|life| {
        daemon.crashed_under(REQUEST, life);
    });
    for request in 100..5_000 {
        daemon.crashed_under(request, 4);
    }
    assert!(matches!(
        daemon.standing(REQUEST),
        Standing::Quarantined { .. }
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
                true => drop(teller.clear(REQUEST)),
                false => drop(teller.crashed_under(REQUEST, u64::from(life % 8))),
            }
        }
        let news = told(&mut of_teller);
        let (in_order, _) = daemon();
        let (shuffled, _) = daemon();
        for one in &news {
            in_order.hear(2, one.clone());
        }
        for place in &order {
            if let Some(one) = news.get(usize::from(*place) % news.len().max(1)) {
                shuffled.hear(2, one.clone());
            }
        }
        for one in news.iter().rev() {
            shuffled.hear(2, one.clone());
        }
        let standing = teller.standing(REQUEST);
        standing == in_order.standing(REQUEST) && standing == shuffled.standing(REQUEST)
    }
}
