//! Which upstreams are used, and which of them other daemons are told of.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use mangofront_gateway::{
    AnsweredPeriod, RegisterOutcome, RegistrationState, Registrations, Removal, RemovalOutcome,
    SourceAvailability,
};
use mangofront_routes::Upstream;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const KEPT: Duration = Duration::from_secs(2);

/// Position at which an upstream was registered, and one after it.
const REGISTERED_AT: u64 = 1;
const MISSING_AT: u64 = 2;

fn upstream(id: u8, leaving: bool) -> Upstream {
    Upstream {
        id: format!("i-{id}"),
        started_at_ms: 1,
        service: "a".to_owned(),
        address: format!("10.0.0.{id}:80").parse().expect("an address"),
        availability_zone: "z".to_owned(),
        slots: 4,
        registered_at: REGISTERED_AT,
        leaving,
    }
}

fn names<'a>(upstreams: impl Iterator<Item = &'a Upstream>) -> BTreeSet<String> {
    upstreams.map(|upstream| upstream.id.clone()).collect()
}

#[test]
fn one_that_may_have_lapsed_is_used_for_a_while_and_told_to_nobody() {
    let now = Instant::now();
    let until = now + KEPT;
    let mut registrations = Registrations::default();
    registrations.register(upstream(1, false), Duration::ZERO);
    let id = "i-1".to_owned();
    let missing = registrations.mark_missing(&id, Removal::observed_at(MISSING_AT), Some(until));
    assert_eq!(missing, RemovalOutcome::InGrace(until));
    assert_eq!(registrations.in_use().count(), 1);
    assert_eq!(registrations.published().count(), 0);
    assert!(!registrations.end_grace(&id, now), "not yet");
    assert!(registrations.end_grace(&id, until));
    assert_eq!(registrations.in_use().count(), 0);
}

#[test]
fn one_that_said_that_it_leaves_is_not_kept() {
    let mut registrations = Registrations::default();
    registrations.register(upstream(1, true), Duration::ZERO);
    let until = Instant::now() + KEPT;
    let id = "i-1".to_owned();
    let missing = registrations.mark_missing(&id, Removal::observed_at(MISSING_AT), Some(until));
    assert_eq!(missing, RemovalOutcome::Removed);
    assert_eq!(registrations.in_use().count(), 0);
}

/// Guards against a departure that is put off where only the removal after it is heard of.
#[test]
fn one_that_others_know_to_have_left_is_not_kept() {
    let until = Some(Instant::now() + KEPT);
    let id = "i-1".to_owned();
    let seen = Removal::observed_at(MISSING_AT);
    let announced = Removal {
        is_announced: true,
        ..seen
    };
    let mut registrations = Registrations::default();
    registrations.register(upstream(1, false), Duration::ZERO);
    assert_eq!(
        registrations.mark_missing(&id, announced, until),
        RemovalOutcome::Removed
    );
    assert_eq!(registrations.in_use().count(), 0);
    let mut registrations = Registrations::default();
    registrations.register(upstream(1, false), Duration::ZERO);
    let kept = registrations.mark_missing(&id, seen, until);
    assert!(matches!(kept, RemovalOutcome::InGrace(_)), "{kept:?}");
    assert_eq!(
        registrations.mark_missing(&id, announced, until),
        RemovalOutcome::Removed
    );
    assert_eq!(registrations.in_use().count(), 0);
}

/// Guards against a departure that is forgotten with the registration that told it.
#[test]
fn that_one_said_that_it_leaves_is_remembered_until_its_next_life() {
    let id = "i-1".to_owned();
    let is_announced = |registrations: &Registrations| {
        let record = registrations.record(&id);
        record.is_some_and(|record| record.state.is_announced())
    };
    let mut registrations = Registrations::default();
    registrations.register(upstream(1, true), Duration::ZERO);
    registrations.mark_missing(&id, Removal::observed_at(MISSING_AT), None);
    assert!(is_announced(&registrations));
    registrations.mark_missing(&id, Removal::observed_at(MISSING_AT), None);
    assert!(is_announced(&registrations), "heard of again");
    registrations.mark_missing(&id, Removal::observed_at(MISSING_AT + 2), None);
    assert!(!is_announced(&registrations), "there was another life");
}

#[test]
fn one_that_is_back_is_not_removed_by_the_end_of_its_keeping() {
    let until = Instant::now() + KEPT;
    let mut registrations = Registrations::default();
    let id = "i-1".to_owned();
    registrations.register(upstream(1, false), Duration::ZERO);
    registrations.mark_missing(&id, Removal::observed_at(MISSING_AT), Some(until));
    let back = Upstream {
        registered_at: MISSING_AT + 1,
        ..upstream(1, false)
    };
    assert_eq!(
        registrations.register(back, Duration::ZERO),
        RegisterOutcome::Unchanged
    );
    assert!(!registrations.end_grace(&id, until));
    assert_eq!(registrations.published().count(), 1);
}

/// What becomes of an upstream, and who hears of it.
#[derive(Debug, Clone, Copy)]
enum Step {
    Registers(u8),
    SaysThatItLeaves(u8),
    Gone(u8),
    /// The second daemon takes over what the first hands out.
    Copied,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let id = u8::arbitrary(g) % 5;
        match u8::arbitrary(g) % 4 {
            0 => Self::Registers(id),
            1 => Self::SaysThatItLeaves(id),
            2 => Self::Gone(id),
            _ => Self::Copied,
        }
    }
}

/// A daemon that has just lost the source keeps what is missing. Whatever it hands on is
/// what is published, so that a daemon that trusts it never uses one that has left.
#[test]
fn a_copy_holds_what_is_published_and_nothing_else() {
    fn property(steps: Vec<Step>) -> bool {
        let until = Some(Instant::now() + KEPT);
        let mut source: BTreeSet<String> = BTreeSet::new();
        let (mut first, mut second) = (Registrations::default(), Registrations::default());
        let steps = steps.into_iter().chain([Step::Copied]);
        (1..).zip(steps).all(|(position, step)| {
            match step {
                Step::Registers(id) | Step::SaysThatItLeaves(id) => {
                    let leaving = matches!(step, Step::SaysThatItLeaves(_));
                    source.insert(format!("i-{id}"));
                    let registered = Upstream {
                        registered_at: position,
                        ..upstream(id, leaving)
                    };
                    first.register(registered, Duration::ZERO);
                }
                Step::Gone(id) => {
                    let id = format!("i-{id}");
                    source.remove(&id);
                    first.mark_missing(&id, Removal::observed_at(position), until);
                }
                Step::Copied => {
                    let copied: Vec<Upstream> = first.published().cloned().collect();
                    let missing = names(second.published());
                    for id in &missing - &names(copied.iter()) {
                        second.mark_missing(&id, Removal::observed_at(position), None);
                    }
                    for one in copied {
                        second.register(one, Duration::ZERO);
                    }
                    return names(second.in_use()) == source;
                }
            }
            names(first.published()) == source
        })
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

/// Daemons that heard the same last changes differed, as one had taken an older statement
/// for a later one: it sent requests to an upstream that had left.
///
/// Each hears every change once at least, and some again, in an order of its own.
#[test]
fn changes_lead_to_the_same_in_any_order() {
    fn property(steps: Vec<Step>, order: Vec<usize>) -> bool {
        let mut source = Registrations::default();
        let mut statements = Vec::new();
        for (position, step) in (1..).zip(steps) {
            let statement = match step {
                Step::Registers(id) => (position, id, Some(false)),
                Step::SaysThatItLeaves(id) => (position, id, Some(true)),
                Step::Gone(id) => (position, id, None),
                Step::Copied => continue,
            };
            state(&mut source, statement);
            statements.push(statement);
        }
        let mut daemon = Registrations::default();
        let mixed = order.iter().filter(|_| !statements.is_empty());
        for place in mixed.map(|place| place % statements.len().max(1)) {
            state(&mut daemon, statements[place]);
        }
        statements
            .iter()
            .rev()
            .for_each(|one| state(&mut daemon, *one));
        let leaving = |registrations: &Registrations| -> BTreeSet<(String, bool)> {
            let used = registrations.in_use();
            used.map(|one| (one.id.clone(), one.leaving)).collect()
        };
        leaving(&daemon) == leaving(&source)
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(Vec<Step>, Vec<usize>) -> bool);
}

/// Takes in what is published of an upstream from a position on.
fn state(registrations: &mut Registrations, (position, id, leaving): (u64, u8, Option<bool>)) {
    match leaving {
        Some(leaving) => {
            let registered = Upstream {
                registered_at: position,
                ..upstream(id, leaving)
            };
            registrations.register(registered, Duration::ZERO);
        }
        None => {
            registrations.mark_missing(&format!("i-{id}"), Removal::observed_at(position), None);
        }
    }
}

/// Removals that were forgotten can't be told: a daemon that asks for what it lacks must not
/// be told that it has all.
#[test]
fn a_removal_that_may_be_forgotten_is_not_left_out_silently() {
    let mut registrations = Registrations::default();
    for number in 1..=5_000_u64 {
        registrations.mark_missing(&format!("i-{number}"), Removal::observed_at(number), None);
    }
    assert!(registrations.changes_after(1).is_none());
    let latest: Vec<u64> = registrations
        .changes_after(4_990)
        .expect("the latest are known")
        .filter(|(_, record)| matches!(record.state, RegistrationState::Removed { .. }))
        .map(|(_, record)| record.position)
        .collect();
    assert_eq!(latest.len(), 10);
}

/// What is missing is kept for a moment after the source is back, not after it is noticed.
#[test]
fn keeping_ends_a_moment_after_the_contact_is_regained() {
    let now = Instant::now();
    let mut contact = SourceAvailability::default();
    contact.record_answer(now, now);
    assert_eq!(contact.keep_until(now, KEPT), None, "never out of touch");
    contact.record_failure();
    assert_eq!(contact.keep_until(now, KEPT), Some(now + KEPT));
    contact.record_answer(now, now);
    let later = now + KEPT / 2;
    contact.record_answer(later, later);
    assert_eq!(contact.keep_until(later, KEPT), Some(now + KEPT));
    assert_eq!(contact.keep_until(now + KEPT, KEPT), None);
}

/// A daemon that the source had turned away kept upstreams that had left, though others were
/// answered all the while: its own failed calls stood for an outage.
#[test]
fn what_another_saw_answered_is_no_outage() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let other = |since_ms, until_ms| AnsweredPeriod {
        since: at(since_ms),
        until: at(until_ms),
    };
    let mut contact = SourceAvailability::default();
    contact.record_answer(at(0), at(1_000));
    contact.record_failure();
    assert!(
        contact.keep_until(at(1_500), KEPT).is_some(),
        "nobody told yet"
    );
    contact.merge(other(900, 1_600), at(1_600));
    assert_eq!(contact.keep_until(at(1_600), KEPT), None);
    contact.record_failure();
    contact.record_answer(at(2_000), at(2_000));
    assert!(
        contact.keep_until(at(2_000), KEPT).is_some(),
        "an outage from 1.6 s on"
    );
    contact.merge(other(900, 2_100), at(2_100));
    assert_eq!(contact.keep_until(at(2_100), KEPT), None, "it was none");
}

/// An outage that everybody saw ends for all when the first is answered again.
#[test]
fn an_outage_ends_with_the_first_answer_that_anybody_had() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut contact = SourceAvailability::default();
    contact.record_answer(at(0), at(1_000));
    contact.record_failure();
    let other = AnsweredPeriod {
        since: at(2_000),
        until: at(2_200),
    };
    contact.merge(other, at(2_200));
    assert_eq!(contact.keep_until(at(2_300), KEPT), Some(at(2_000) + KEPT));
}

/// A zone that was cut off dropped its own upstreams when it was back, as the others had
/// seen their registrations lapse.
#[test]
fn a_daemon_that_was_cut_off_gives_upstreams_time_to_come_back() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut contact = SourceAvailability::default();
    contact.record_answer(at(0), at(1_000));
    contact.record_failure();
    let other = AnsweredPeriod {
        since: at(0),
        until: at(8_900),
    };
    contact.merge(other, at(9_000));
    assert_eq!(contact.keep_until(at(9_000), KEPT), Some(at(9_000) + KEPT));
}
