//! All daemons are killed, and those that start again list daemons that stay down.

use std::time::Duration;

use mangofront_limits::Moment;

use crate::fleet::{BEFORE, ColdScript, Fault, Fleet};
use crate::warm_up::{RATES_PER_S, REQUIRED_USE, RETURNED, SEEDS, check, scenario};
use crate::{PLAYED, SIZES};

/// Daemons that stay down, all that the others list.
const DARK: usize = 3;

/// When all daemons are killed.
const KILLED_AT_S: f64 = 1.0;

/// Time from the kill until the list names daemons that run.
const LISTED_AFTER_S: f64 = 4.0;

/// When the daemons have met and lent their shares.
const RECOVERED_AT: Duration = Duration::from_secs(13);

const AT_ONCE: ColdScript = ColdScript {
    saves_permits: false,
    ..RETURNED
};

fn restart(meet_s: f64) -> Fault {
    Fault::RestartStrangers {
        at_s: KILLED_AT_S,
        dark: DARK,
        meet_s,
    }
}

/// Guards against daemons that know nobody, of which each takes the whole rate.
#[test]
fn the_rate_holds_while_no_daemon_knows_another() {
    let faults = [restart(LISTED_AFTER_S)];
    insta::assert_snapshot!(check("strangers", &faults, RETURNED, 0.0));
}

/// Guards against a rate that daemons which have met again do not use.
#[test]
fn the_rate_is_used_after_daemons_have_met() {
    for daemons in SIZES {
        for rate in RATES_PER_S {
            for seed in SEEDS {
                let faults = [restart(LISTED_AFTER_S)];
                let sends = Fleet::new(scenario(daemons, rate, &faults, AT_ONCE, seed)).sends();
                let from = BEFORE + RECOVERED_AT;
                let used = part_used(&sends, from, rate);
                assert!(
                    used >= REQUIRED_USE,
                    "{daemons} daemons, {rate}/s, seed {seed}: {used:.2} used"
                );
            }
        }
    }
}

/// Guards against a few daemons that never meet and together take more than the rate, and against
/// daemons that take nothing for as long as what they list stays dark.
#[test]
fn a_few_daemons_that_never_meet_keep_the_rate_and_use_some_of_it() {
    let never_s = 2.0 * PLAYED.as_secs_f64();
    for rate in RATES_PER_S {
        for seed in SEEDS {
            let scenario = scenario(SIZES[0], rate, &[restart(never_s)], AT_ONCE, seed);
            let sends = Fleet::new(scenario).sends();
            let used = part_used(&sends, BEFORE + RECOVERED_AT, rate);
            assert!(
                (0.1..=1.0).contains(&used),
                "{rate}/s, seed {seed}: {used:.2} used"
            );
        }
    }
}

/// Part of the rate that was used from a moment to the end of the play.
fn part_used(sends: &[Moment], from: Moment, rate: f64) -> f64 {
    let time = (BEFORE + PLAYED).saturating_sub(from);
    let count = sends.iter().filter(|at| **at >= from).count();
    count as f64 / (rate * time.as_secs_f64())
}
