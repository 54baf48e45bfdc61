//! Prompts with targets of seconds together with prompts with targets of tenths of a second.
//!
//! 62 daemons and 78 engines that prefill a prompt of 5,000 tokens in 20 ms, one of 45,000 in 0.27
//! s and one of 300,000 in 5.3 s, and whose passes take 48 ms and more. The target of the short
//! prompts is 0.3 s, that of the longest 4 s. Work grows with the square of the prompt length, so
//! in a peak of the longest prompts, at 2.8 times their mean rate, their prefill occupies 49
//! engines, and a third of that is due to the largest tenth of them.
//!
//! Each bound lies between the result of the current choice and that of an earlier one, which
//! refused the largest prompts on arrival by queue length, charged every request 600 ms for an
//! exceeded gap, and let long prompts join longer queues: 89.6, 76.5 and 77.4 percent, and two
//! final refusals at moderate load.

use std::time::Duration;

use mangofront_engines::ChoiceOptions;
use mangofront_routes::EngineProfile;

use crate::fleet::{Fleet, Kind, NOBODY, Outcome};
use crate::value::{Value, earned_value_percent};

const SHORT: Kind = Kind {
    name: "short",
    prompt_tokens: 4_960,
    sigma: 0.9,
    max_factor: 4.8,
    events: 33,
    target_ms: 300.0,
    gap_ms: 200.0,
    caller: NOBODY,
};

const MIDDLE: Kind = Kind {
    name: "middle",
    prompt_tokens: 45_000,
    sigma: 0.5,
    max_factor: 2.44,
    events: 20,
    target_ms: 1_500.0,
    gap_ms: 500.0,
    caller: NOBODY,
};

const LONG: Kind = Kind {
    name: "long",
    prompt_tokens: 300_000,
    sigma: 0.55,
    max_factor: 3.33,
    events: 16,
    target_ms: 4_000.0,
    gap_ms: 800.0,
    caller: NOBODY,
};

/// The kinds of request, and the value of one request of each.
const KINDS: [Value; 3] = [(SHORT, 1.4), (MIDDLE, 2.6), (LONG, 30.0)];

/// Requests per second of each kind on an average day.
const MEAN_LOAD: [f64; 3] = [99.8, 15.9, 2.7];

/// The same in a peak of long prompts.
const LONG_PEAK: [f64; 3] = [32.0, 20.7, 7.5];

/// The same in a peak of short prompts.
const SHORT_PEAK: [f64; 3] = [250.0, 8.0, 0.13];

/// Number of seeds averaged: there are few of the longest prompts, and one of a million tokens
/// takes as much work as fifty of the median length.
const SEEDS: u64 = 4;

/// A phase of the load: requests per second of each kind, start and end in seconds.
type LoadPhase = ([f64; 3], f64, f64);

fn engine() -> EngineProfile {
    EngineProfile {
        slots: 12,
        memory_tokens: 382_500,
        steps_per_pass: 52,
        step: Duration::from_micros(925),
        step_per_request_ms: 0.004_83,
        step_per_context_k_ms: 0.002_54,
        prefill_tokens_per_s: 256_000.0,
        prefill_per_pairs_m_ms: 0.091_7,
        prefill_chunk_tokens: 2_048,
        step_per_spread_prompt_ms: 0.1,
    }
}

/// Outcomes of a load on daemons that know the engines for which `is_available` holds: for each
/// seed, one per kind.
fn run(is_available: fn(usize) -> bool, phases: &[LoadPhase]) -> Vec<Outcome> {
    let options = ChoiceOptions {
        settling_time_ms: 0,
        ..ChoiceOptions::default()
    };
    let run = |seed: u64| {
        let mut fleet = Fleet::with_profile(62, 78, &options, engine());
        fleet.seed(seed);
        fleet.set_available(is_available);
        for (per_s, from_s, to_s) in phases {
            for ((kind, _), per_s) in KINDS.into_iter().zip(per_s) {
                fleet.add_requests(kind, *per_s, *from_s, *to_s);
            }
        }
        fleet.run_to_end(&KINDS.map(|(kind, _)| kind))
    };
    (0..SEEDS).flat_map(run).collect()
}

/// Alternating peaks at four fifths of the mean rates: the engines have time for all requests, so
/// none is finally refused.
#[test]
fn alternating_peaks_at_moderate_load() {
    let moderate = |per_s: [f64; 3]| per_s.map(|one| 0.79 * one);
    let outcomes = run(
        |_| true,
        &[
            (moderate(LONG_PEAK), 0.0, 10.0),
            (moderate(SHORT_PEAK), 10.0, 18.0),
        ],
    );
    let refused: u32 = outcomes.iter().map(|outcome| outcome.refused).sum();
    assert_eq!(refused, 0);
    assert!(earned_value_percent(&KINDS, &outcomes) > 97.0);
}

/// A peak of the longest prompts that uses the engines fully.
#[test]
fn a_peak_of_long_prompts() {
    let outcomes = run(|_| true, &[(LONG_PEAK, 0.0, 10.0), (MEAN_LOAD, 10.0, 14.0)]);
    assert!(earned_value_percent(&KINDS, &outcomes) > 95.0);
}

/// The same without a quarter of the engines, which is more than the others can prefill.
#[test]
fn a_peak_of_long_prompts_with_a_quarter_of_the_engines_gone() {
    let outcomes = run(
        |engine| engine % 4 != 0,
        &[(LONG_PEAK, 0.0, 10.0), (MEAN_LOAD, 10.0, 14.0)],
    );
    assert!(earned_value_percent(&KINDS, &outcomes) > 84.0);
}

/// Half of the engines down at mean load.
#[test]
fn half_of_the_engines_down() {
    let outcomes = run(|engine| engine % 2 == 0, &[(MEAN_LOAD, 0.0, 12.0)]);
    assert!(earned_value_percent(&KINDS, &outcomes) > 82.0);
}
