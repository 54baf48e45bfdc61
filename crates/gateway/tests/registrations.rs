//! Registrations: which upstreams are in use, and which ones other daemons receive.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use mangofront_gateway::{
    AnsweredPeriod, RegisterOutcome, RegistrationState, Registrations, Removal, RemovalOutcome,
    SourceAvailability,
};
use mangofront_routes::{Position, Upstream};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const GRACE: Duration = Duration::from_secs(2);

/// Position at which an upstream was registered, and a later one.
const REGISTERED_AT: Position = Position::new(0, 1);
const MISSING_AT: Position = Position::new(0, 2);

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
        cold_left: None,
    }
}

fn names<'a>(upstreams: impl Iterator<Item = &'a Upstream>) -> BTreeSet<String> {
    upstreams.map(|upstream| upstream.id.clone()).collect()
}

#[test]
fn a_lapsed_upstream_stays_in_use_but_is_not_published() {
    let now = Instant::now();
    let until = now + GRACE;
    let mut registrations = Registrations::default();
    registrations.register(upstream(1, false), Duration::ZERO);
    let id = "i-1".to_owned();
    let outcome = registrations.mark_missing(&id, Removal::observed_at(MISSING_AT), Some(until));
    assert_eq!(outcome, RemovalOutcome::InGrace(until));
    assert_eq!(registrations.in_use().count(), 1);
    assert_eq!(registrations.published().count(), 0);
    assert!(!registrations.end_grace(&id, now), "not yet");
    assert!(registrations.end_grace(&id, until));
    assert_eq!(registrations.in_use().count(), 0);
}

#[test]
fn an_upstream_that_announced_its_shutdown_gets_no_grace_period() {
    let mut registrations = Registrations::default();
    registrations.register(upstream(1, true), Duration::ZERO);
    let until = Instant::now() + GRACE;
    let id = "i-1".to_owned();
    let outcome = registrations.mark_missing(&id, Removal::observed_at(MISSING_AT), Some(until));
    assert_eq!(outcome, RemovalOutcome::Removed);
    assert_eq!(registrations.in_use().count(), 0);
}

/// Guards against a grace period for an upstream whose announced shutdown is known only
/// from a later removal.
#[test]
fn an_announced_removal_ends_the_grace_period() {
    let until = Some(Instant::now() + GRACE);
    let id = "i-1".to_owned();
    let observed = Removal::observed_at(MISSING_AT);
    let announced = Removal {
        is_announced: true,
        ..observed
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
    let outcome = registrations.mark_missing(&id, observed, until);
    assert!(matches!(outcome, RemovalOutcome::InGrace(_)), "{outcome:?}");
    assert_eq!(
        registrations.mark_missing(&id, announced, until),
        RemovalOutcome::Removed
    );
    assert_eq!(registrations.in_use().count(), 0);
}

/// Guards against forgetting an announced shutdown together with its registration.
#[test]
fn an_announced_shutdown_is_remembered_until_the_next_incarnation() {
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
    assert!(is_announced(&registrations), "the same removal again");
    registrations.mark_missing(&id, Removal::observed_at(Position::new(0, 4)), None);
    assert!(
        !is_announced(&registrations),
        "another incarnation was removed"
    );
}

#[test]
fn the_end_of_a_grace_period_does_not_remove_an_upstream_that_is_back() {
    let until = Instant::now() + GRACE;
    let mut registrations = Registrations::default();
    let id = "i-1".to_owned();
    registrations.register(upstream(1, false), Duration::ZERO);
    registrations.mark_missing(&id, Removal::observed_at(MISSING_AT), Some(until));
    let back = Upstream {
        registered_at: Position::new(0, 3),
        ..upstream(1, false)
    };
    assert_eq!(
        registrations.register(back, Duration::ZERO),
        RegisterOutcome::Unchanged
    );
    assert!(!registrations.end_grace(&id, until));
    assert_eq!(registrations.published().count(), 1);
}

/// A change of an upstream, or a transfer between daemons.
#[derive(Debug, Clone, Copy)]
enum Step {
    Registers(u8),
    AnnouncesShutdown(u8),
    Gone(u8),
    /// The second daemon copies the published registrations of the first.
    Copied,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let id = u8::arbitrary(g) % 5;
        match u8::arbitrary(g) % 4 {
            0 => Self::Registers(id),
            1 => Self::AnnouncesShutdown(id),
            2 => Self::Gone(id),
            _ => Self::Copied,
        }
    }
}

/// A daemon that has lost the source keeps missing upstreams in use for a while. The
/// registrations that it hands to others contain only published ones, so that the other
/// daemon never uses an upstream that has left.
#[test]
fn a_copy_holds_exactly_the_published_upstreams() {
    fn property(steps: Vec<Step>) -> bool {
        let until = Some(Instant::now() + GRACE);
        let mut source: BTreeSet<String> = BTreeSet::new();
        let (mut first, mut second) = (Registrations::default(), Registrations::default());
        let steps = steps.into_iter().chain([Step::Copied]);
        (1..).zip(steps).all(|(position, step)| {
            match step {
                Step::Registers(id) | Step::AnnouncesShutdown(id) => {
                    let leaving = matches!(step, Step::AnnouncesShutdown(_));
                    source.insert(format!("i-{id}"));
                    let registered = Upstream {
                        registered_at: Position::new(0, position),
                        ..upstream(id, leaving)
                    };
                    first.register(registered, Duration::ZERO);
                }
                Step::Gone(id) => {
                    let id = format!("i-{id}");
                    source.remove(&id);
                    first.mark_missing(
                        &id,
                        Removal::observed_at(Position::new(0, position)),
                        until,
                    );
                }
                Step::Copied => {
                    let copied: Vec<Upstream> = first.published().cloned().collect();
                    let missing = names(second.published());
                    for id in &missing - &names(copied.iter()) {
                        second.mark_missing(
                            &id,
                            Removal::observed_at(Position::new(0, position)),
                            None,
                        );
                    }
                    for upstream in copied {
                        second.register(upstream, Duration::ZERO);
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

/// Guards against daemons that know the same last changes and differ all the same: one
/// applied an older statement over a later one, and sent requests to an upstream that had
/// left.
///
/// The daemon receives every change at least once, and some again, in any order.
#[test]
fn changes_in_any_order_lead_to_the_same_state() {
    fn property(steps: Vec<Step>, order: Vec<usize>) -> bool {
        let mut source = Registrations::default();
        let mut statements = Vec::new();
        for (revision, step) in (1..).zip(steps) {
            let position = Position::new(0, revision);
            let statement = match step {
                Step::Registers(id) => (position, id, Some(false)),
                Step::AnnouncesShutdown(id) => (position, id, Some(true)),
                Step::Gone(id) => (position, id, None),
                Step::Copied => continue,
            };
            apply_statement(&mut source, statement);
            statements.push(statement);
        }
        let mut daemon = Registrations::default();
        let indices = order.iter().filter(|_| !statements.is_empty());
        for index in indices.map(|index| index % statements.len().max(1)) {
            apply_statement(&mut daemon, statements[index]);
        }
        statements
            .iter()
            .rev()
            .for_each(|statement| apply_statement(&mut daemon, *statement));
        let view = |registrations: &Registrations| -> BTreeSet<(String, bool)> {
            let in_use = registrations.in_use();
            in_use
                .map(|upstream| (upstream.id.clone(), upstream.leaving))
                .collect()
        };
        view(&daemon) == view(&source)
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(Vec<Step>, Vec<usize>) -> bool);
}

/// Applies a registration, or a removal if `leaving` is `None`.
fn apply_statement(
    registrations: &mut Registrations,
    (position, id, leaving): (Position, u8, Option<bool>),
) {
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

/// Guards against forgotten removals: a daemon that requests the changes it lacks must not
/// be told that the list is complete.
#[test]
fn forgotten_removals_make_the_list_of_changes_unavailable() {
    let mut registrations = Registrations::default();
    for number in 1..=5_000_u64 {
        let removal = Removal::observed_at(Position::new(0, number));
        registrations.mark_missing(&format!("i-{number}"), removal, None);
    }
    assert!(registrations.changes_after(Position::new(0, 1)).is_none());
    let latest: Vec<Position> = registrations
        .changes_after(Position::new(0, 4_990))
        .expect("the latest are known")
        .filter(|(_, record)| matches!(record.state, RegistrationState::Removed { .. }))
        .map(|(_, record)| record.position)
        .collect();
    assert_eq!(latest.len(), 10);
}

/// The grace period counts from the source's recovery, not from the moment at which the
/// missing registration is noticed.
#[test]
fn the_grace_period_counts_from_the_recovery_of_the_source() {
    let now = Instant::now();
    let mut availability = SourceAvailability::default();
    availability.record_answer(now, now);
    assert_eq!(
        availability.grace_until(now, GRACE),
        None,
        "the source was always available"
    );
    availability.record_failure();
    assert_eq!(availability.grace_until(now, GRACE), Some(now + GRACE));
    availability.record_answer(now, now);
    let later = now + GRACE / 2;
    availability.record_answer(later, later);
    assert_eq!(availability.grace_until(later, GRACE), Some(now + GRACE));
    assert_eq!(availability.grace_until(now + GRACE, GRACE), None);
}

/// Guards against an outage that was none: the source rejected one daemon, which kept using
/// upstreams that had left although other daemons got answers all the time.
#[test]
fn answers_to_another_daemon_disprove_an_outage() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let other = |since_ms, until_ms| AnsweredPeriod {
        since: at(since_ms),
        until: at(until_ms),
    };
    let mut availability = SourceAvailability::default();
    availability.record_answer(at(0), at(1_000));
    availability.record_failure();
    assert!(
        availability.grace_until(at(1_500), GRACE).is_some(),
        "no other report yet"
    );
    availability.merge(other(900, 1_600), at(1_600));
    assert_eq!(availability.grace_until(at(1_600), GRACE), None);
    availability.record_failure();
    availability.record_answer(at(2_000), at(2_000));
    assert!(
        availability.grace_until(at(2_000), GRACE).is_some(),
        "an outage from 1.6 s on"
    );
    availability.merge(other(900, 2_100), at(2_100));
    assert_eq!(
        availability.grace_until(at(2_100), GRACE),
        None,
        "there was no outage"
    );
}

/// An outage that all daemons saw ends for all of them with the first answer.
#[test]
fn an_outage_ends_with_the_first_answer_to_any_daemon() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut availability = SourceAvailability::default();
    availability.record_answer(at(0), at(1_000));
    availability.record_failure();
    let other = AnsweredPeriod {
        since: at(2_000),
        until: at(2_200),
    };
    availability.merge(other, at(2_200));
    assert_eq!(
        availability.grace_until(at(2_300), GRACE),
        Some(at(2_000) + GRACE)
    );
}

/// Guards against a zone that drops its own upstreams after a network partition, because
/// the other zones saw their registrations lapse.
#[test]
fn a_daemon_that_was_cut_off_starts_a_grace_period() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut availability = SourceAvailability::default();
    availability.record_answer(at(0), at(1_000));
    availability.record_failure();
    let other = AnsweredPeriod {
        since: at(0),
        until: at(8_900),
    };
    availability.merge(other, at(9_000));
    assert_eq!(
        availability.grace_until(at(9_000), GRACE),
        Some(at(9_000) + GRACE)
    );
}

/// A registration in a later era than all those before.
fn restored(id: u8, leaving: bool, revision: u64) -> Upstream {
    Upstream {
        registered_at: Position::new(1, revision),
        ..upstream(id, leaving)
    }
}

/// Guards against a restored source bringing back an upstream that has announced its shutdown.
#[test]
fn an_announced_shutdown_stands_after_a_restore() {
    let id = "i-1".to_owned();
    let is_leaving = |registrations: &Registrations| {
        registrations
            .in_use()
            .map(|upstream| upstream.leaving)
            .collect::<Vec<_>>()
    };
    let mut registrations = Registrations::default();
    registrations.register(upstream(1, true), Duration::ZERO);
    registrations.register(restored(1, false, 1), Duration::ZERO);
    assert_eq!(is_leaving(&registrations), [true]);
    let mut registrations = Registrations::default();
    registrations.register(upstream(1, true), Duration::ZERO);
    registrations.mark_missing(&id, Removal::observed_at(MISSING_AT), None);
    registrations.register(restored(1, false, 1), Duration::ZERO);
    assert_eq!(is_leaving(&registrations), [true], "removed since");
    let next_incarnation = Upstream {
        started_at_ms: 2,
        ..restored(1, false, 2)
    };
    registrations.register(next_incarnation, Duration::ZERO);
    assert_eq!(is_leaving(&registrations), [false], "another incarnation");
}

/// Guards against an upstream that is gone being as good as others as an older copy still has it.
#[test]
fn an_upstream_that_only_a_restored_source_has_is_unconfirmed() {
    let id = "i-1".to_owned();
    let mut registrations = Registrations::default();
    registrations.register(upstream(1, false), Duration::ZERO);
    registrations.mark_missing(&id, Removal::observed_at(MISSING_AT), None);
    registrations.register(restored(1, false, 1), Duration::ZERO);
    assert!(registrations.is_unconfirmed(&id));
    registrations.register(restored(1, false, 9), Duration::ZERO);
    assert!(!registrations.is_unconfirmed(&id), "written again");
}

/// Guards against revisions of different eras being compared: a lower one of a later era is later.
#[test]
fn a_change_of_a_later_era_is_later() {
    let mut registrations = Registrations::default();
    let before = Upstream {
        registered_at: Position::new(0, 500),
        ..upstream(1, false)
    };
    registrations.register(before.clone(), Duration::ZERO);
    registrations.register(restored(1, true, 20), Duration::ZERO);
    assert_eq!(
        registrations.register(before, Duration::ZERO),
        RegisterOutcome::Outdated
    );
    assert!(registrations.published().all(|upstream| upstream.leaving));
}

/// Guards against upstreams being dropped as a restored source lacks them, though no call failed.
#[test]
fn the_grace_period_counts_from_a_restore() {
    let now = Instant::now();
    let mut availability = SourceAvailability::default();
    availability.record_answer(now, now);
    availability.record_restore(now);
    assert_eq!(availability.grace_until(now, GRACE), Some(now + GRACE));
    assert_eq!(availability.grace_until(now + GRACE, GRACE), None);
}

/// Guards against daemons that differ although they heard the same of two eras: one had an older
/// statement of the earlier era win over the restored source's.
#[test]
fn changes_of_two_eras_in_any_order_end_in_what_the_source_holds() {
    fn property(before: Vec<Step>, after: Vec<Step>, order: Vec<usize>) -> bool {
        let mut statements = Vec::new();
        for (era, steps) in [(1, before), (2, after)] {
            for (revision, step) in (1..).zip(steps) {
                let position = Position::new(era, revision);
                match step {
                    Step::Registers(id) => statements.push((position, id, Some(false))),
                    Step::AnnouncesShutdown(id) => statements.push((position, id, Some(true))),
                    Step::Gone(id) => statements.push((position, id, None)),
                    Step::Copied => {}
                }
            }
        }
        // Without announcements of shutdown before the restore, as these bind after it.
        statements.retain(|(position, _, leaving)| position.era > 1 || *leaving != Some(true));
        let mut daemon = Registrations::default();
        let indices = order.iter().filter(|_| !statements.is_empty());
        for index in indices.map(|index| index % statements.len().max(1)) {
            apply_statement(&mut daemon, statements[index]);
        }
        let mut source = Registrations::default();
        for statement in &statements {
            apply_statement(&mut source, *statement);
        }
        for statement in statements.iter().rev() {
            apply_statement(&mut daemon, *statement);
        }
        let view = |registrations: &Registrations| -> BTreeSet<(String, bool)> {
            let in_use = registrations.in_use();
            in_use
                .map(|upstream| (upstream.id.clone(), upstream.leaving))
                .collect()
        };
        view(&daemon) == view(&source)
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(Vec<Step>, Vec<Step>, Vec<usize>) -> bool);
}

/// Guards against a daemon that started after a restore using an upstream that others know to have
/// announced its shutdown: the source does not say so any more.
#[test]
fn an_announcement_that_a_restore_lost_is_told_to_others() {
    let mut registrations = Registrations::default();
    registrations.register(upstream(1, true), Duration::ZERO);
    registrations.register(restored(1, false, 1), Duration::ZERO);
    let mut copied = Registrations::default();
    copied.register(upstream(1, true), Duration::ZERO);
    copied.register(restored(1, true, 1), Duration::ZERO);
    let known = Position::new(1, 5);
    let told = copied.changes_after(known).expect("nothing was dropped");
    assert_eq!(told.count(), 1, "also by a daemon that got a copy of it");
    registrations.reloaded_at(known);
    let told: Vec<&RegistrationState> = registrations
        .changes_after(known)
        .expect("nothing was dropped")
        .map(|(_, record)| &record.state)
        .collect();
    let [RegistrationState::Registered(told)] = &told[..] else {
        panic!("told {told:?}");
    };
    let mut other = Registrations::default();
    other.register(restored(1, false, 1), Duration::ZERO);
    assert_eq!(
        other.register(told.clone(), Duration::ZERO),
        RegisterOutcome::Changed
    );
    assert!(other.published().all(|upstream| upstream.leaving));
    let mut first = Registrations::default();
    first.register(restored(1, false, 1), Duration::ZERO);
    assert_eq!(
        first.register(upstream(1, true), Duration::ZERO),
        RegisterOutcome::Changed,
        "told by a daemon that still is in the earlier era"
    );
    assert!(first.published().all(|upstream| upstream.leaving));
    registrations.register(restored(1, true, 6), Duration::ZERO);
    let later = registrations.changes_after(Position::new(1, 6));
    assert_eq!(later.expect("nothing was dropped").count(), 0, "told again");
}
