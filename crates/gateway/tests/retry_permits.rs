//! Permits to send retries.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use mangofront_gateway::{RetryBudget, RetryLimit, RetryPermit};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SERVICE: &str = "a";

/// Retries that a daemon may send in one window, without requests.
const ROOM: usize = 7;

/// A budget that is older than a window and has the room [`ROOM`].
fn budget() -> (RetryBudget, Instant) {
    let limit = RetryLimit::default();
    let started = Instant::now();
    let budget = RetryBudget::new(limit, 0, started);
    // 70% of a tenth of the fixed part.
    budget.set_fixed_share(0.1, started);
    (budget, started + limit.window * 2)
}

/// Takes all permits there are, and gives them back.
fn room(budget: &RetryBudget, now: Instant) -> usize {
    permits(budget, now).len()
}

/// Permits that are taken at most, so that a budget without a limit fails a test.
const MAX_PERMITS: usize = 1_000;

fn permits(budget: &RetryBudget, now: Instant) -> Vec<RetryPermit> {
    let permits = std::iter::from_fn(|| budget.permit(SERVICE, now));
    permits.take(MAX_PERMITS).collect()
}

/// Guards against retries of many requests that found room in the same instant.
#[test]
fn permits_taken_at_once_stay_within_the_room() {
    let (budget, now) = budget();
    let taken = permits(&budget, now);
    assert_eq!(taken.len(), ROOM);
    assert!(!budget.try_take(SERVICE, now));
    drop(taken);
    assert!(budget.try_take(SERVICE, now));
}

/// Guards against room that stays taken though nothing was sent, or is given back twice.
#[test]
fn an_unspent_permit_gives_its_room_back_once() {
    let (budget, now) = budget();
    let mut taken = permits(&budget, now);
    taken.pop();
    assert_eq!(room(&budget, now), 1);
    assert_eq!(room(&budget, now), 1);
    assert!(budget.try_take(SERVICE, now));
    assert_eq!(room(&budget, now), 0);
}

/// Guards against sent retries that count for less than a window.
#[test]
fn a_spent_permit_counts_for_a_window_from_its_send() {
    let (budget, taken_at) = budget();
    let window = RetryLimit::default().window;
    let permit = budget.permit(SERVICE, taken_at).unwrap();
    let sent_at = taken_at + window / 2;
    permit.spend(sent_at);
    permit.spend(sent_at);
    drop(permit);
    assert_eq!(room(&budget, sent_at), ROOM - 1);
    assert_eq!(room(&budget, sent_at + window), ROOM - 1);
    let later = sent_at + window + Duration::from_millis(1);
    assert_eq!(room(&budget, later), ROOM);
}

/// Guards against old permits that free the room of others.
#[test]
fn a_permit_given_back_after_the_window_frees_no_room_of_others() {
    let (budget, taken_at) = budget();
    let old = budget.permit(SERVICE, taken_at).unwrap();
    let later = taken_at + RetryLimit::default().window + Duration::from_millis(1);
    assert!(budget.try_take(SERVICE, later));
    drop(old);
    assert_eq!(room(&budget, later), ROOM - 1);
}

/// Guards against more retries than the share, sent with permits of an earlier window.
#[test]
fn permits_that_are_older_than_the_window_still_take_up_room() {
    let (budget, taken_at) = budget();
    let later = taken_at + RetryLimit::default().window + Duration::from_millis(1);
    let old = permits(&budget, taken_at);
    let new = permits(&budget, later);
    let sent = old.iter().chain(&new);
    let sent = sent.filter(|permit| permit.spend(later)).count();
    assert_eq!(sent, ROOM);
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Take,
    Spend(usize),
    Drop(usize),
    Wait(Duration),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let index = usize::arbitrary(g);
        match u8::arbitrary(g) % 8 {
            0..=3 => Self::Take,
            4 => Self::Spend(index),
            5 => Self::Drop(index),
            _ => Self::Wait(Duration::from_millis(
                1 + u64::from(u16::arbitrary(g)) % 4_000,
            )),
        }
    }
}

/// Guards against a count of retries that drifts from what was sent, whatever happens.
#[test]
fn spent_and_outstanding_permits_stay_within_the_share() {
    fn property(steps: Vec<Step>) -> bool {
        let (budget, mut now) = budget();
        let window = RetryLimit::default().window;
        let mut permits = Vec::new();
        let mut sent = VecDeque::new();
        for step in steps {
            match step {
                Step::Take => permits.extend(budget.permit(SERVICE, now)),
                Step::Spend(index) if !permits.is_empty() => {
                    let permit: RetryPermit = permits.remove(index % permits.len());
                    permit.spend(now);
                    sent.push_back(now);
                }
                Step::Drop(index) if !permits.is_empty() => {
                    permits.remove(index % permits.len());
                }
                Step::Spend(_) | Step::Drop(_) => {}
                Step::Wait(time) => now += time,
            }
            sent.retain(|at| now - *at <= window);
            let counted = sent.len() + permits.len();
            if counted > ROOM || room(&budget, now) != ROOM - counted {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}
