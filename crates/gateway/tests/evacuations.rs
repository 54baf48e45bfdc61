//! Merging of statements about evacuated zones.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mangofront_gateway::{
    Evacuations, Position, ReloadOutcome, ZoneChange, ZoneOutcome, ZoneState,
};
use quickcheck::{QuickCheck, TestResult};

const ZONE: &str = "hall-a";

fn change(state: ZoneState, era: u32, revision: u64) -> ZoneChange {
    ZoneChange {
        state,
        position: Position::new(era, revision),
        delay: Duration::ZERO,
    }
}

fn evacuate(known: &mut Evacuations, era: u32, revision: u64) -> ZoneOutcome {
    known.apply(
        ZONE,
        change(ZoneState::Evacuated, era, revision),
        "platform",
    )
}

fn end(known: &mut Evacuations, era: u32, revision: u64) -> ZoneOutcome {
    known.apply(ZONE, change(ZoneState::Open, era, revision), "platform")
}

fn reload(known: &mut Evacuations, era: u32, revision: u64, present: &[&str]) -> ReloadOutcome {
    let present: BTreeSet<String> = present.iter().map(|zone| (*zone).to_owned()).collect();
    known.reload(Position::new(era, revision), &present, "platform")
}

fn evacuated(known: &Evacuations) -> Vec<String> {
    known.evacuated().map(|(zone, _)| zone.clone()).collect()
}

/// Guards against a late datagram that sends work to an evacuated zone, or keeps it from one that
/// is used again.
#[test]
fn the_order_of_statements_makes_no_difference() {
    fn holds(statements: Vec<(u8, bool, bool, u8)>, order: Vec<u8>) -> TestResult {
        let mut last = BTreeMap::new();
        let mut all = Vec::new();
        for (zone, is_evacuated, is_later_era, revision) in statements {
            let zone = format!("hall-{}", zone % 3);
            let position = Position::new(u32::from(is_later_era), u64::from(revision) + 1);
            // The source changes one value at each position, and its revisions begin above 0.
            if all
                .iter()
                .any(|(_, known): &(String, ZoneChange)| known.position == position)
            {
                continue;
            }
            let state = match is_evacuated {
                true => ZoneState::Evacuated,
                false => ZoneState::Open,
            };
            all.push((
                zone.clone(),
                ZoneChange {
                    state,
                    position,
                    delay: Duration::ZERO,
                },
            ));
            let entry = last.entry(zone).or_insert((position, state));
            *entry = (*entry).max_by_position((position, state));
        }
        let expected: Vec<String> = last
            .into_iter()
            .filter(|(_, (_, state))| *state == ZoneState::Evacuated)
            .map(|(zone, _)| zone)
            .collect();
        let mut shuffled = all.clone();
        for (index, other) in order.iter().enumerate() {
            if shuffled.len() > 1 {
                let length = shuffled.len();
                shuffled.swap(index % length, usize::from(*other) % length);
            }
        }
        // Some are repeated.
        shuffled.extend(all.into_iter().step_by(2));
        let mut known = Evacuations::default();
        for (zone, change) in &shuffled {
            known.apply(zone, *change, "hall-b-1");
        }
        TestResult::from_bool(evacuated(&known) == expected)
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(holds as fn(Vec<(u8, bool, bool, u8)>, Vec<u8>) -> TestResult);
}

trait LaterOf {
    fn max_by_position(self, other: Self) -> Self;
}

impl LaterOf for (Position, ZoneState) {
    fn max_by_position(self, other: Self) -> Self {
        match other.0 > self.0 {
            true => other,
            false => self,
        }
    }
}

/// Guards against an evacuation that never ends as its removal was missed.
#[test]
fn a_full_read_of_the_same_era_ends_what_it_does_not_hold() {
    let mut known = Evacuations::default();
    evacuate(&mut known, 1, 5);
    known.apply("hall-b", change(ZoneState::Evacuated, 1, 6), "platform");
    known.apply("hall-c", change(ZoneState::Evacuated, 1, 12), "platform");
    let outcome = reload(&mut known, 1, 10, &["hall-b"]);
    assert_eq!(outcome.ended, [ZONE]);
    assert_eq!(evacuated(&known), ["hall-b", "hall-c"], "one began later");
    assert_eq!(evacuate(&mut known, 1, 5), ZoneOutcome::Outdated);
    let mut starting = Evacuations::default();
    reload(&mut starting, 1, 10, &[]);
    assert_eq!(
        evacuate(&mut starting, 1, 5),
        ZoneOutcome::Outdated,
        "a late datagram"
    );
    assert_eq!(evacuate(&mut starting, 1, 11), ZoneOutcome::Changed);
}

/// Guards against work in an evacuated zone after the source was restored from an older copy.
#[test]
fn a_restored_source_ends_an_evacuation_only_by_telling_of_it() {
    let mut known = Evacuations::default();
    evacuate(&mut known, 1, 50);
    let first = reload(&mut known, 2, 10, &[]);
    assert_eq!(first.kept, [ZONE], "and it is said once");
    assert_eq!(reload(&mut known, 2, 20, &[]), ReloadOutcome::default());
    assert_eq!(evacuated(&known), [ZONE]);
    assert_eq!(end(&mut known, 1, 40), ZoneOutcome::Outdated);
    let mut written = Evacuations::default();
    evacuate(&mut written, 1, 50);
    reload(&mut written, 2, 10, &[]);
    assert_eq!(evacuate(&mut written, 2, 30), ZoneOutcome::Unchanged);
    assert_eq!(reload(&mut written, 2, 40, &[]).ended, [ZONE]);
    assert_eq!(end(&mut known, 2, 30), ZoneOutcome::Changed);
    assert!(evacuated(&known).is_empty());
}

/// Guards against a daemon that starts after a restore and is told nothing of what came before.
#[test]
fn others_are_told_of_what_a_restored_source_does_not_tell() {
    let mut known = Evacuations::default();
    evacuate(&mut known, 1, 50);
    known.apply("hall-b", change(ZoneState::Evacuated, 2, 3), "platform");
    reload(&mut known, 2, 10, &["hall-b"]);
    let told = |after| {
        let changes = known.changes_after(after).expect("nothing was dropped");
        changes.map(|(zone, _)| zone.clone()).collect::<Vec<_>>()
    };
    insta::assert_debug_snapshot!([
        told(Position::new(1, 40)),
        told(Position::new(1, 50)),
        told(Position::new(2, 2)),
        told(Position::new(2, 3)),
    ]);
    let mut starting = Evacuations::default();
    reload(&mut starting, 2, 10, &["hall-b"]);
    assert_eq!(evacuate(&mut starting, 1, 50), ZoneOutcome::Changed);
}

/// Guards against memory that grows with whatever is written beside the zones.
#[test]
fn names_and_their_number_are_bounded() {
    let mut known = Evacuations::default();
    let evacuation = |revision| change(ZoneState::Evacuated, 1, revision);
    let long = "z".repeat(129);
    assert_eq!(known.apply("", evacuation(1), ""), ZoneOutcome::InvalidName);
    assert_eq!(
        known.apply(&long, evacuation(1), ""),
        ZoneOutcome::InvalidName
    );
    for number in 0..1_024 {
        let outcome = known.apply(&format!("z-{number}"), evacuation(number + 1), "");
        assert_eq!(outcome, ZoneOutcome::Changed);
    }
    assert_eq!(
        known.apply("further", evacuation(2_000), ""),
        ZoneOutcome::TooMany
    );
    known.apply("z-7", change(ZoneState::Open, 1, 2_001), "");
    assert_eq!(
        known.apply("further", evacuation(2_002), ""),
        ZoneOutcome::Changed
    );
    assert_eq!(known.records().count(), 1_024);
    // Its end was forgotten, so whoever may have missed it has to fetch a copy.
    assert!(known.changes_after(Position::new(1, 2_000)).is_none());
    assert!(known.changes_after(Position::new(1, 2_001)).is_some());
    assert_eq!(known.apply("z-7", evacuation(8), ""), ZoneOutcome::Outdated);
}
