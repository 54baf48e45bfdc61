//! A zone returns and its upstream is cold: what arrives there in any one second.
//!
//! Every request wants the cold upstream. A daemon that has not heard of it may coordinate. The
//! upstream bears the rate times [`OVER`] and [`SLACK`] besides, from the first moment on.

use std::fmt::Write;
use std::ops::Range;
use std::time::Duration;

use mangofront_limits::Moment;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use crate::fleet::{BEFORE, ColdScript, Fault, Fleet, Policy, Scenario};
use crate::{PLAYED, SIZES};

const OVER: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Required part of the published rate.
pub(crate) const REQUIRED_USE: f64 = 0.8;

pub(crate) const RATES_PER_S: [f64; 3] = [2.0, 8.0, 30.0];

/// Time until the news of an upstream that is cold again has reached all daemons.
const NEWS: Duration = Duration::from_millis(500);

pub(crate) const SEEDS: Range<u64> = 1..3;

/// Seeds that are drawn unless others are asked for.
const DRAWN_SEEDS: Range<u64> = 0..6;

pub(crate) const RETURNED: ColdScript = ColdScript {
    late_share: 0.0,
    late_s: 0.0,
    cold_s: 40.0,
    again_at_s: None,
    saves_permits: true,
};

/// Largest number of arrivals in one second that begins at or after `from`.
fn worst_second(sends: &[Moment], from: Moment) -> usize {
    let mut sends = sends.to_vec();
    sends.sort_unstable();
    let starts = sends.iter().enumerate().filter(|(_, at)| **at >= from);
    let counts = starts.map(|(index, start)| {
        let end = *start + Duration::from_secs(1);
        sends[index..].partition_point(|at| *at < end)
    });
    counts.max().unwrap_or_default()
}

/// Plays a scenario; returns the worst second and the used part of the rate, and checks the bound.
fn play(scenario: Scenario) -> (usize, f64) {
    let what = format!("{scenario:?}");
    let (rate, cold) = (scenario.limit_per_s, scenario.cold.expect("a script"));
    let from = match cold.again_at_s {
        Some(at_s) => BEFORE + Duration::from_secs_f64(at_s) + NEWS,
        None => BEFORE,
    };
    let sends = Fleet::new(scenario).sends();
    let worst = worst_second(&sends, from);
    let allowed = rate * OVER + SLACK;
    assert!(
        worst as f64 <= allowed,
        "{worst} in a second, allowed {allowed}: {what}"
    );
    let used = sends.iter().filter(|at| **at >= from).count() as f64;
    let time = (BEFORE + PLAYED).saturating_sub(from);
    (worst, used / (rate * time.as_secs_f64()))
}

pub(crate) fn scenario(
    daemons: usize,
    rate: f64,
    faults: &[Fault],
    cold: ColdScript,
    seed: u64,
) -> Scenario {
    Scenario {
        policy: Policy::LentShares,
        daemons,
        zones: 3,
        limit_per_s: rate,
        faults: faults.to_vec(),
        cold: Some(cold),
        seed,
    }
}

/// Checks every size, rate and seed; returns the worst of each.
pub(crate) fn check(name: &str, faults: &[Fault], cold: ColdScript, least_use: f64) -> String {
    let mut table = String::new();
    for daemons in SIZES {
        for rate in RATES_PER_S {
            let outcomes = SEEDS.map(|seed| play(scenario(daemons, rate, faults, cold, seed)));
            let outcomes: Vec<(usize, f64)> = outcomes.collect();
            let worst = outcomes.iter().map(|one| one.0).max().unwrap_or_default();
            let used = outcomes.iter().map(|one| one.1).fold(f64::MAX, f64::min);
            let line =
                format!("{name}, {daemons} daemons, {rate}/s: {worst} in 1 s, {used:.2} used");
            assert!(used >= least_use, "{line}");
            writeln!(table, "{line}").expect("a string takes it");
        }
    }
    table
}

/// Guards against a rate that is passed, or not used, by a fleet without faults.
#[test]
fn a_cold_upstream_gets_its_rate_and_no_more() {
    let at_once = ColdScript {
        saves_permits: false,
        ..RETURNED
    };
    insta::assert_snapshot!(check("calm", &[], at_once, REQUIRED_USE));
}

/// Guards against permits that are granted early and used late, or saved up, meeting in one second.
#[test]
fn permits_that_are_saved_up_stay_under_the_bound() {
    insta::assert_snapshot!(check("saved", &[], RETURNED, 0.0));
}

/// Guards against each side of a partition between zones taking the whole rate.
#[test]
fn the_rate_holds_on_all_sides_of_a_partition() {
    let cut = Fault::CutZones {
        at_s: 3.0,
        for_s: 9.0,
    };
    insta::assert_snapshot!(check("cut", &[cut], RETURNED, 0.0));
}

/// Guards against a new coordinator that grants what the one before granted.
#[test]
fn the_rate_holds_when_the_coordinator_is_killed() {
    let kill = Fault::KillCoordinator { at_s: 5.0 };
    insta::assert_snapshot!(check("killed", &[kill], RETURNED, 0.5));
}

/// Guards against a daemon that wakes using old permits or shares.
#[test]
fn the_rate_holds_when_daemons_wake() {
    let freeze = Fault::Freeze {
        at_s: 4.0,
        for_s: 3.1,
        share: 0.4,
    };
    insta::assert_snapshot!(check("frozen", &[freeze], RETURNED, 0.0));
}

/// Guards against daemons that start and lend a share twice, or assume that all is warm.
#[test]
fn the_rate_holds_when_many_daemons_restart() {
    let restart = Fault::Restart {
        at_s: 6.0,
        share: 0.6,
    };
    insta::assert_snapshot!(check("restarted", &[restart], RETURNED, 0.0));
}

/// Guards against a coordinator that has not heard of the upstream and grants without counting.
#[test]
fn the_rate_holds_while_the_store_is_silent_to_most_daemons() {
    let late = ColdScript {
        late_share: 0.7,
        late_s: 12.0,
        ..RETURNED
    };
    insta::assert_snapshot!(check("store silent", &[], late, 0.0));
}

/// Guards against full load on an upstream that is cold again after its warm-up.
#[test]
fn the_rate_holds_when_an_upstream_is_cold_again() {
    let again = ColdScript {
        cold_s: 12.0,
        again_at_s: Some(13.5),
        ..RETURNED
    };
    insta::assert_snapshot!(check("cold again", &[], again, 0.0));
}

fn draw(seed: u64) -> Scenario {
    let mut random = StdRng::seed_from_u64(seed);
    let random = &mut random;
    let at_s = |random: &mut StdRng| random.random_range(0.0..14.0);
    let mut faults = Vec::new();
    for _ in 0..random.random_range(0..5) {
        let (at_s, for_s) = (at_s(random), random.random_range(0.3..6.0));
        let share = random.random_range(0.1..0.7);
        faults.push(match random.random_range(0..5) {
            0 => Fault::CutZones { at_s, for_s },
            1 => Fault::Freeze { at_s, for_s, share },
            2 => Fault::Restart { at_s, share },
            3 => Fault::Lossy { at_s, for_s },
            _ => Fault::KillCoordinator { at_s },
        });
    }
    let cold = ColdScript {
        late_share: *[0.0, 0.5, 0.9].choose(random).expect("a share"),
        late_s: random.random_range(1.0..15.0),
        saves_permits: random.random(),
        ..RETURNED
    };
    let daemons = *SIZES.choose(random).expect("a size");
    let rate = *RATES_PER_S.choose(random).expect("a rate");
    scenario(daemons, rate, &faults, cold, seed)
}

/// Guards against what no other test names: faults that overlap, drawn from each seed.
#[test]
fn warm_up_seeds() {
    let asked = std::env::var("MANGOFRONT_WARM_UP_SEEDS").ok();
    let range = asked.as_deref().and_then(|range| {
        let (from, to) = range.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    assert_eq!(asked.is_some(), range.is_some(), "FROM..TO");
    for seed in range.unwrap_or(DRAWN_SEEDS) {
        let scenario = draw(seed);
        let what = format!(
            "{} daemons, {}/s, {} faults",
            scenario.daemons,
            scenario.limit_per_s,
            scenario.faults.len()
        );
        let (worst, used) = play(scenario);
        println!("seed {seed}, {what}: {worst} in 1 s, {used:.2} used");
    }
}
