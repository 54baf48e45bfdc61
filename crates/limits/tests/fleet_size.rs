//! The number of daemons that one of them expects to be running.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::time::Duration;

use mangofront_limits::{FleetSize, FleetView, LimitOptions, Moment};

const OWN: u64 = 1;

const TIMES_S: [f64; 8] = [0.25, 1.5, 5.0, 9.75, 10.5, 60.0, 599.0, 601.0];

fn at(seconds: f64) -> Moment {
    Duration::from_secs_f64(seconds)
}

/// Daemons numbered on from this one, by the number of those in each zone.
fn view(of_zones: &[(&str, u64)], zones: &[&str], unanswered: &[u64]) -> FleetView {
    let mut ids = OWN..;
    let mut running = std::collections::BTreeMap::new();
    for (zone, count) in of_zones {
        running.extend((0..*count).filter_map(|_| Some((ids.next()?, (*zone).to_owned()))));
    }
    FleetView {
        running,
        zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
        unanswered: unanswered.iter().copied().collect::<BTreeSet<u64>>(),
    }
}

/// What a daemon expects at [`TIMES_S`] that sees the same from its start on.
fn expected(view: &FleetView) -> String {
    let mut fleet = FleetSize::new(LimitOptions::default(), OWN, at(0.0));
    let mut line = String::new();
    let mut now = 0.0;
    for time in TIMES_S {
        while now < time {
            fleet.observe(view, at(now));
            now += 0.25;
        }
        let number = fleet.expected(at(time));
        let number = number.map_or_else(|| "-".to_owned(), |number| number.to_string());
        write!(line, " {number}").expect("a string takes it");
    }
    line
}

/// Guards against a daemon that takes itself for the whole fleet although others may be running,
/// and against one that waits for good for others that are gone for good.
#[test]
fn daemons_that_may_be_running_are_expected_for_a_while() {
    let zones = ["a", "b", "c"];
    let cases = [
        ("alone, lists nobody", view(&[("a", 1)], &zones, &[])),
        (
            "alone, three dark",
            view(&[("a", 1)], &zones, &[90, 91, 92]),
        ),
        (
            "alone, one dark, one zone",
            view(&[("a", 1)], &["a"], &[90]),
        ),
        (
            "two of a zone, two dark",
            view(&[("a", 2)], &zones, &[90, 91]),
        ),
        (
            "two of two zones, three dark",
            view(&[("a", 1), ("b", 1)], &zones, &[90, 91, 92]),
        ),
        (
            "all zones, none dark",
            view(&[("a", 2), ("b", 2), ("c", 2)], &zones, &[]),
        ),
        (
            "all zones, one dark",
            view(&[("a", 2), ("b", 2), ("c", 1)], &zones, &[90]),
        ),
        (
            "a zone without daemons",
            view(&[("a", 3), ("b", 2)], &zones, &[]),
        ),
        (
            "sixty",
            view(&[("a", 20), ("b", 20), ("c", 20)], &zones, &[90]),
        ),
        ("a zone of 195", view(&[("a", 65)], &zones, &[290, 291])),
    ];
    let mut table = String::new();
    for (name, view) in cases {
        writeln!(table, "{name}:{}", expected(&view)).expect("a string takes it");
    }
    insta::assert_snapshot!(table);
}

/// Guards against a daemon that is counted twice: as one that was seen, and as one that is listed
/// and, once it was forgotten by the membership, has never answered.
#[test]
fn a_daemon_that_was_seen_is_not_expected_besides() {
    let mut fleet = FleetSize::new(LimitOptions::default(), OWN, at(0.0));
    fleet.observe(&view(&[("a", 3)], &["a"], &[]), at(0.0));
    fleet.observe(&view(&[("a", 2)], &["a"], &[3]), at(30.0));
    assert_eq!(fleet.expected(at(30.0)), Some(3));
}

/// Guards against daemons that are expected after the list has ceased to name them.
#[test]
fn daemons_that_left_the_list_are_not_expected() {
    let mut fleet = FleetSize::new(LimitOptions::default(), OWN, at(0.0));
    fleet.observe(&view(&[("a", 1)], &["a"], &[90, 91]), at(0.0));
    assert_eq!(fleet.expected(at(3.0)), None);
    fleet.observe(&view(&[("a", 1)], &["a"], &[]), at(4.0));
    assert_eq!(fleet.expected(at(4.0)), Some(1));
    fleet.observe(&view(&[("a", 1)], &["a"], &[92]), at(700.0));
    assert_eq!(fleet.expected(at(700.0)), Some(2), "one came into the list");
    fleet.observe(&view(&[("a", 1)], &["a"], &[92]), at(1_301.0));
    assert_eq!(fleet.expected(at(1_301.0)), Some(1), "and never answered");
}

/// Guards against a daemon that has just started and takes what it sees first for the fleet.
#[test]
fn a_daemon_that_still_learns_of_others_knows_no_number() {
    let mut fleet = FleetSize::new(LimitOptions::default(), OWN, at(0.0));
    for (number, second) in [(5, 1.0), (20, 1.75), (60, 2.5)] {
        fleet.observe(&view(&[("a", number)], &["a"], &[]), at(second));
        assert_eq!(
            (fleet.expected(at(second)), fleet.share(at(second))),
            (None, 0.0)
        );
    }
    assert_eq!(fleet.expected(at(3.6)), Some(60));
    fleet.observe(&view(&[("a", 61)], &["a"], &[]), at(20.0));
    assert_eq!(fleet.expected(at(20.0)), Some(61), "it has learned by then");
}
