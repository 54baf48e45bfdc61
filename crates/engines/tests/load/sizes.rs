//! Which sizes of prompts are served in peaks that outlast what callers may wait for.
//!
//! The largest prompts are the first to be refused, as they bring most work for their
//! worth. A kind's largest tenth, and the fifth below it, are to be served at least half
//! as often as the whole kind all the same.

use mangofront_engines::ChoiceOptions;
use mangofront_routes::EngineProfile;

use crate::figures::figures;
use crate::fleet::{Fleet, Kind, Sent};

const SHORT: Kind = Kind {
    name: "short",
    prompt_tokens: 4_960,
    spread: 0.9,
    largest: 4.8,
    events: 23,
    target_ms: 400.0,
    gap_ms: 250.0,
};

const MIDDLE: Kind = Kind {
    name: "middle",
    prompt_tokens: 45_000,
    spread: 0.5,
    largest: 2.44,
    events: 14,
    target_ms: 1_500.0,
    gap_ms: 600.0,
};

const LONG: Kind = Kind {
    name: "long",
    prompt_tokens: 190_000,
    spread: 0.55,
    largest: 3.05,
    events: 11,
    target_ms: 3_000.0,
    gap_ms: 1_000.0,
};

const DAEMONS: usize = 62;

const ENGINES: usize = 48;

/// Requests of each kind a second in a peak of long prompts that fills the engines.
const LONG_PEAK: [(Kind, f64); 3] = [(SHORT, 24.4), (MIDDLE, 7.0), (LONG, 7.4)];

/// Length of a peak, in seconds: over the time after which a caller comes back.
const PEAK_S: f64 = 20.0;

const SEEDS: u64 = 4;

/// Share of the whole kind's that the largest of it are promised.
const PROMISED_SHARE: f64 = 0.5;

/// Share of `requests` that were served.
fn served(requests: &[Sent]) -> f64 {
    let served = requests.iter().filter(|one| one.is_served).count();
    served as f64 / requests.len().max(1) as f64
}

/// Shares served of the largest tenth, of the fifth below it, and of all.
fn shares(mut requests: Vec<Sent>) -> [f64; 3] {
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

/// A peak of long prompts of `load` times what fills the engines, which lasts longer
/// than a caller who was refused waits.
fn lasting_peak(load: f64, seed: u64) -> [f64; 3] {
    let settled = ChoiceOptions {
        settling_time_ms: 0,
        ..ChoiceOptions::default()
    };
    let engine = EngineProfile {
        slots: 10,
        steps_per_pass: 68,
        ..figures()
    };
    let mut fleet = Fleet::with_figures(DAEMONS, ENGINES, &settled, engine);
    fleet.seed(seed);
    fleet.callers_leave();
    for (kind, per_s) in LONG_PEAK {
        fleet.send(kind, per_s * load, 0.0, PEAK_S);
    }
    shares(fleet.play_sent(&LONG))
}

/// Guards against callers of the largest prompts being refused each time that they ask,
/// so that far fewer of them are served than of all.
#[test]
fn the_largest_are_served_half_as_often_as_all_in_a_lasting_peak() {
    for seed in 0..SEEDS {
        let [tenth, fifth, all] = lasting_peak(1.3, seed);
        assert!(tenth >= PROMISED_SHARE * all, "seed {seed}");
        assert!(fifth >= PROMISED_SHARE * all, "seed {seed}");
    }
}
