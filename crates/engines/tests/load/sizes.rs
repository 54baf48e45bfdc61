//! Prompt sizes that are served in peaks longer than callers wait.
//!
//! The largest prompts are refused first, as they need the most work for their value. The largest
//! tenth of a kind, and the fifth below it, must still be served at least half as often as the
//! whole kind.

use mangofront_engines::ChoiceOptions;
use mangofront_routes::EngineProfile;

use crate::fleet::{Fleet, Kind, NOBODY, RequestOutcome};
use crate::profile::engine_profile;

const SHORT: Kind = Kind {
    name: "short",
    prompt_tokens: 4_960,
    sigma: 0.9,
    max_factor: 4.8,
    events: 23,
    target_ms: 400.0,
    gap_ms: 250.0,
    caller: NOBODY,
};

const MIDDLE: Kind = Kind {
    name: "middle",
    prompt_tokens: 45_000,
    sigma: 0.5,
    max_factor: 2.44,
    events: 14,
    target_ms: 1_500.0,
    gap_ms: 600.0,
    caller: NOBODY,
};

const LONG: Kind = Kind {
    name: "long",
    prompt_tokens: 190_000,
    sigma: 0.55,
    max_factor: 3.05,
    events: 11,
    target_ms: 3_000.0,
    gap_ms: 1_000.0,
    caller: NOBODY,
};

const DAEMONS: usize = 62;

const ENGINES: usize = 48;

/// Requests per second of each kind in a peak of long prompts that uses the engines fully.
const LONG_PEAK: [(Kind, f64); 3] = [(SHORT, 24.4), (MIDDLE, 7.0), (LONG, 7.4)];

/// Duration of a peak, in seconds: longer than the time after which a caller retries.
const PEAK_S: f64 = 20.0;

const SEEDS: u64 = 4;

/// Minimum served share of the largest prompts, relative to that of the whole kind.
const PROMISED_SHARE: f64 = 0.5;

/// Share of `requests` that were served.
fn served(requests: &[RequestOutcome]) -> f64 {
    let served = requests.iter().filter(|one| one.is_served).count();
    served as f64 / requests.len().max(1) as f64
}

/// Served shares of the largest tenth, of the fifth below it, and of all requests.
fn shares(mut requests: Vec<RequestOutcome>) -> [f64; 3] {
    requests.sort();
    let count = requests.len();
    let (tenth, fifth) = (count * 9 / 10, count * 7 / 10);
    let shares = [
        served(&requests[tenth..]),
        served(&requests[fifth..tenth]),
        served(&requests),
    ];
    println!("of the largest tenth, the fifth below it, all: {shares:.2?}");
    shares
}

/// A peak of long prompts at `load` times the capacity of the engines, longer than a refused caller
/// waits.
fn long_peak(load: f64, seed: u64) -> [f64; 3] {
    let options = ChoiceOptions {
        settling_time_ms: 0,
        ..ChoiceOptions::default()
    };
    let engine = EngineProfile {
        slots: 10,
        steps_per_pass: 68,
        ..engine_profile()
    };
    let mut fleet = Fleet::with_profile(DAEMONS, ENGINES, &options, engine);
    fleet.seed(seed);
    fleet.let_callers_leave();
    for (kind, per_s) in LONG_PEAK {
        fleet.add_requests(kind, per_s * load, 0.0, PEAK_S);
    }
    shares(fleet.run_requests(&LONG))
}

/// Guards against callers of the largest prompts being refused on every attempt, so that far fewer
/// of them are served than of all.
#[test]
fn the_largest_are_served_half_as_often_as_all_in_a_lasting_peak() {
    for seed in 0..SEEDS {
        let [tenth, fifth, all] = long_peak(1.3, seed);
        assert!(tenth >= PROMISED_SHARE * all, "seed {seed}");
        assert!(fifth >= PROMISED_SHARE * all, "seed {seed}");
    }
}
