//! The retries of all daemons of a fleet together, as its engines see them, in virtual time.
//!
//! `MANGOFRONT_RETRY_BUDGET_SEEDS` sets the drawn fleets, as a range: `1..40`.

mod daemon;
mod engines;
mod fleet;

use fleet::{Disruption, Fleet, Plan};

/// Share of the limit that all daemons together may use in any window.
const LARGEST_USE: f64 = 0.9;

/// Share of the limit that callers can use while engines fail and no daemon does.
const SMALLEST_USE: f64 = 0.6;

const SEEDS_VARIABLE: &str = "MANGOFRONT_RETRY_BUDGET_SEEDS";
const DEFAULT_SEEDS: std::ops::Range<u64> = 1..5;
const FLEETS: [Fleet; 3] = [Fleet::SMALL, Fleet::MEDIUM, Fleet::LARGE];

fn seeds() -> std::ops::Range<u64> {
    let set = std::env::var(SEEDS_VARIABLE).ok();
    let parse = |text: &str| -> Option<std::ops::Range<u64>> {
        let (from, to) = text.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    };
    match set {
        Some(text) => {
            parse(&text).unwrap_or_else(|| panic!("{SEEDS_VARIABLE}: not FROM..TO: {text}"))
        }
        None => DEFAULT_SEEDS,
    }
}

fn assert_within_limit(fleet: Fleet, plan: &Plan, seed: u64) {
    let seen = fleet::run(fleet, plan, seed);
    let worst = seen.worst_window();
    assert!(
        worst.use_of_limit() <= LARGEST_USE,
        "{} daemons, seed {seed}: from {:.1} s {} repeats for {} requests, {:.3} of the limit; {plan:?}",
        fleet.daemons,
        worst.from_s,
        worst.repeats,
        worst.requests,
        worst.use_of_limit()
    );
}

/// Guards against daemons that forget, when they restart, the retries of their predecessors.
#[test]
fn daemons_killed_in_series_stay_within_their_common_retry_limit() {
    for fleet in FLEETS {
        for kills in [1_u32, 3, 6] {
            let kill = |number| (14.0 + 1.5 * f64::from(number), Disruption::KillAll);
            let plan = Plan::failing((0..kills).map(kill));
            assert_within_limit(fleet, &plan, u64::from(kills));
        }
    }
}

/// Guards against daemons that restart behind a partition and take the whole limit, as they know
/// of nobody on its other side.
#[test]
fn daemons_restarted_behind_a_partition_stay_within_their_common_retry_limit() {
    for fleet in FLEETS {
        let plan = Plan::failing([
            (13.0, Disruption::CutZones { for_s: 14.0 }),
            (14.0, Disruption::KillAll),
            (15.0, Disruption::KillAll),
        ]);
        assert_within_limit(fleet, &plan, 1);
    }
}

/// Guards against retries beyond the limit in any order of kills, partitions and suspensions.
#[test]
fn drawn_disruptions_stay_within_the_retry_limit() {
    for seed in seeds() {
        for fleet in FLEETS {
            assert_within_limit(fleet, &Plan::draw(seed), seed);
        }
    }
}

/// Guards against a limit that is kept by allowing hardly any retry.
#[test]
fn callers_can_use_most_of_the_retry_limit() {
    for fleet in FLEETS {
        let seen = fleet::run(fleet, &Plan::failing([]), 1);
        let least = seen.least_window(25.0, 35.0);
        assert!(
            least.use_of_limit() >= SMALLEST_USE,
            "{} daemons: {least:?}, {:.3} of the limit",
            fleet.daemons,
            least.use_of_limit()
        );
    }
}
