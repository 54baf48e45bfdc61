//! Crash histories of requests, and their quarantine.

use std::cell::Cell;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use futures_channel::mpsc::{UnboundedReceiver, unbounded};
use mangofront_engines::{ChoiceOptions, LoadUpdate, QuarantineState, Upstreams};
use quickcheck::quickcheck;

const REQUEST: u128 = 7;

/// Quarantine after the third crash.
const QUARANTINE: Duration = Duration::from_secs(60);

thread_local! {
    static VIRTUAL_TIME: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

fn clock() -> Instant {
    static START: OnceLock<Instant> = OnceLock::new();
    // Far enough from the clock's origin that ages can be subtracted.
    let start = *START.get_or_init(|| Instant::now() + Duration::from_secs(100_000));
    start + VIRTUAL_TIME.get()
}

fn advance(time: Duration) {
    VIRTUAL_TIME.set(VIRTUAL_TIME.get() + time);
}

fn daemon() -> (Upstreams, UnboundedReceiver<LoadUpdate>) {
    let (sender, updates) = unbounded();
    let options = ChoiceOptions::default();
    let upstreams = Upstreams::with_clock(options, "hall-a".to_owned(), 1, sender, clock);
    (upstreams, updates)
}

fn sent(updates: &mut UnboundedReceiver<LoadUpdate>) -> Vec<LoadUpdate> {
    std::iter::from_fn(|| updates.try_recv().ok()).collect()
}

fn open(crashes: usize) -> QuarantineState {
    QuarantineState::Open { crashes }
}

/// State of a request after each of several crashes, and as time passes.
#[test]
fn quarantine_begins_with_the_third_crash_and_doubles() {
    let (daemon, _updates) = daemon();
    let mut states = Vec::new();
    for incarnation in 1..=5 {
        daemon.record_crash(REQUEST, incarnation);
        states.push(daemon.quarantine_state(REQUEST));
        advance(Duration::from_secs(1));
    }
    advance(4 * QUARANTINE - Duration::from_secs(2));
    states.push(daemon.quarantine_state(REQUEST));
    advance(Duration::from_secs(1));
    states.push(daemon.quarantine_state(REQUEST));
    insta::assert_debug_snapshot!(states);
}

/// Guards against one crash being counted once per request that observed it, or once per path on
/// which its update arrives.
#[test]
fn an_incarnation_counts_once() {
    let (daemon, mut updates) = daemon();
    for _ in 0..4 {
        daemon.record_crash(REQUEST, 1);
    }
    for one in sent(&mut updates) {
        daemon.apply_update(2, one.clone());
        daemon.apply_update(3, one);
    }
    assert_eq!(daemon.quarantine_state(REQUEST), open(1));
}

/// Guards against a request being quarantined for crashes that it did not cause.
#[test]
fn an_answered_request_is_cleared_at_all_daemons() {
    let (one, mut updates_of_one) = daemon();
    let (other, _updates_of_other) = daemon();
    one.record_crash(REQUEST, 1);
    one.record_crash(REQUEST, 2);
    let early = sent(&mut updates_of_one);
    assert!(one.clear_crashes(REQUEST));
    assert!(!one.clear_crashes(REQUEST), "no crashes are left to clear");
    // Updates may arrive out of order.
    for update in sent(&mut updates_of_one).into_iter().chain(early) {
        other.apply_update(2, update);
    }
    assert_eq!(other.quarantine_state(REQUEST), open(0));
    other.record_crash(REQUEST, 3);
    assert_eq!(other.quarantine_state(REQUEST), open(1));
}

/// Guards against a request being trusted forever because it was cleared many times.
#[test]
fn a_request_cleared_many_times_is_still_quarantined_once_at_fault() {
    let (daemon, _updates) = daemon();
    for incarnation in 1..=100 {
        daemon.record_crash(REQUEST, incarnation);
        daemon.clear_crashes(REQUEST);
    }
    for incarnation in 101..=103 {
        assert!(matches!(
            daemon.quarantine_state(REQUEST),
            QuarantineState::Open { .. }
        ));
        daemon.record_crash(REQUEST, incarnation);
    }
    assert!(matches!(
        daemon.quarantine_state(REQUEST),
        QuarantineState::Quarantined { .. }
    ));
}

#[test]
fn only_one_trial_runs_at_a_time() {
    let (daemon, _updates) = daemon();
    (1..=3).for_each(|incarnation| {
        daemon.record_crash(REQUEST, incarnation);
    });
    advance(QUARANTINE);
    assert_eq!(
        daemon.quarantine_state(REQUEST),
        QuarantineState::TrialAllowed
    );
    daemon.begin_trial(REQUEST);
    assert!(matches!(
        daemon.quarantine_state(REQUEST),
        QuarantineState::Quarantined { .. }
    ));
    // The trial crashed another upstream.
    daemon.record_crash(REQUEST, 4);
    advance(QUARANTINE + Duration::from_secs(1));
    assert!(matches!(
        daemon.quarantine_state(REQUEST),
        QuarantineState::Quarantined { .. }
    ));
}

/// Guards against a daemon that has just started, or missed the updates, sending a request that
/// others have quarantined.
#[test]
fn crashes_are_rebroadcast_and_part_of_snapshots() {
    let (one, mut updates_of_one) = daemon();
    (1..=3).for_each(|incarnation| {
        one.record_crash(REQUEST, incarnation);
    });
    sent(&mut updates_of_one);
    advance(Duration::from_secs(10));
    let (late, _) = daemon();
    one.broadcast_running();
    for update in sent(&mut updates_of_one) {
        late.apply_update(2, update);
    }
    let (starting, _) = daemon();
    for update in one.load_snapshot() {
        starting.apply_update(2, update);
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

/// Guards against a request staying quarantined at a daemon that missed its clearing.
#[test]
fn a_daemon_that_missed_a_clearing_receives_it_again() {
    let (one, mut updates_of_one) = daemon();
    let (other, mut updates_of_other) = daemon();
    (1..=3).for_each(|incarnation| {
        other.record_crash(REQUEST, incarnation);
    });
    for update in sent(&mut updates_of_other) {
        one.apply_update(2, update);
    }
    one.clear_crashes(REQUEST);
    sent(&mut updates_of_one);
    // These updates are lost; the other daemon continues to broadcast its own record.
    other.broadcast_running();
    for update in sent(&mut updates_of_other) {
        one.apply_update(2, update);
    }
    for update in sent(&mut updates_of_one) {
        other.apply_update(2, update);
    }
    assert_eq!(other.quarantine_state(REQUEST), open(0));
}

/// Guards against a flood of requests with one crash each evicting the one that crashes every
/// upstream.
#[test]
fn eviction_keeps_the_request_with_most_crashes() {
    let (daemon, _updates) = daemon();
    (1..=3).for_each(|incarnation| {
        daemon.record_crash(REQUEST, incarnation);
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
    /// The resulting state does not depend on the order of the updates, nor on duplicates.
    fn updates_merge_in_any_order(events: Vec<(u8, bool)>, order: Vec<u16>) -> bool {
        VIRTUAL_TIME.set(Duration::ZERO);
        let (sender, mut sent_updates) = daemon();
        for (incarnation, is_cleared) in events {
            match is_cleared && incarnation % 4 == 0 {
                true => drop(sender.clear_crashes(REQUEST)),
                false => drop(sender.record_crash(REQUEST, u64::from(incarnation % 8))),
            }
        }
        let updates = sent(&mut sent_updates);
        let (in_order, _) = daemon();
        let (shuffled, _) = daemon();
        for one in &updates {
            in_order.apply_update(2, one.clone());
        }
        for index in &order {
            if let Some(one) = updates.get(usize::from(*index) % updates.len().max(1)) {
                shuffled.apply_update(2, one.clone());
            }
        }
        for one in updates.iter().rev() {
            shuffled.apply_update(2, one.clone());
        }
        let state = sender.quarantine_state(REQUEST);
        state == in_order.quarantine_state(REQUEST) && state == shuffled.quarantine_state(REQUEST)
    }
}
