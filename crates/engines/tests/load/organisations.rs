//! Organisations that contend for the engines of a service, and kinds of different priority.
//!
//! Of 24 equal organisations one sends fifteen times its usual, so that all together need more
//! slots than there are. The others are measured against the same time with that one at its usual.

use mangofront_engines::{Caller, ChoiceOptions};
use mangofront_routes::EngineProfile;

use crate::fleet::{Fleet, Kind, Outcome};
use crate::profile::engine_profile;

const ORGANISATIONS: u32 = 24;

/// The organisation that sends more than its usual.
const LARGE: u32 = 1;

/// Requests per second of an organisation on an engine: 24 of them take six of ten slots.
const USUAL_PER_S: f64 = 92.0 / 18.0 / ORGANISATIONS as f64;

/// How often the others must be on time, relative to a day without the large one.
const OTHERS_SHARE: f64 = 0.9;

const SEEDS: [u64; 3] = [1, 2, 3];

const SHORT: Kind = Kind {
    name: "others",
    prompt_tokens: 5_000,
    sigma: 0.9,
    max_factor: 4.8,
    events: 32,
    target_ms: 300.0,
    gap_ms: 250.0,
    caller: Caller {
        organisation: 0,
        priority: 1,
    },
};

const LONG: Kind = Kind {
    name: "long",
    prompt_tokens: 133_000,
    sigma: 0.55,
    max_factor: 4.5,
    events: 16,
    target_ms: 2_500.0,
    gap_ms: 1_000.0,
    ..SHORT
};

fn of(organisation: u32, kind: Kind) -> Kind {
    let caller = Caller {
        organisation,
        ..kind.caller
    };
    Kind { caller, ..kind }
}

fn new_fleet(daemons: usize, engines: usize, seed: u64) -> Fleet {
    let options = ChoiceOptions {
        settling_time_ms: 0,
        organisation_share_factor: 1.0,
        ..ChoiceOptions::default()
    };
    let mut fleet = Fleet::new(daemons, engines, &options);
    fleet.seed(seed);
    fleet
}

/// Organisations that send `factor` times their usual.
#[derive(Clone, Copy)]
struct Day {
    daemons: usize,
    engines: usize,
    /// The first organisations, that send more than their usual.
    large: u32,
    factor: f64,
    length_s: f64,
}

impl Day {
    fn fleet(self, seed: u64) -> Fleet {
        let mut fleet = new_fleet(self.daemons, self.engines, seed);
        let per_s = USUAL_PER_S * self.engines as f64;
        for organisation in LARGE..=ORGANISATIONS {
            let (name, factor) = match organisation <= self.large {
                true => ("large", self.factor),
                false => ("others", 1.0),
            };
            let kind = Kind {
                name,
                ..of(organisation, SHORT)
            };
            fleet.add_requests(kind, per_s * factor, 0.0, self.length_s);
        }
        fleet
    }

    /// Share of the requests of the large and of the other organisations that are on time.
    fn on_time(self, seed: u64, prepare: impl Fn(&mut Fleet)) -> [f64; 2] {
        let mut fleet = self.fleet(seed);
        prepare(&mut fleet);
        let kinds = ["large", "others"].map(|name| Kind { name, ..SHORT });
        let outcomes = fleet.run_to_end(&kinds);
        [on_time(&outcomes[0]), on_time(&outcomes[1])]
    }
}

fn on_time(outcome: &Outcome) -> f64 {
    let all = outcome.on_time + outcome.late + outcome.refused + outcome.abandoned;
    f64::from(outcome.on_time) / f64::from(all.max(1))
}

/// Asserts that the others are on time nearly as often as without the large ones.
fn others_are_served(day: Day, prepare: impl Fn(&mut Fleet)) {
    for seed in SEEDS {
        let usual = Day { factor: 1.0, ..day };
        let [_, without] = usual.on_time(seed, &prepare);
        let [large, others] = day.on_time(seed, &prepare);
        println!(
            "{} daemons, seed {seed}: others {others:.3} ({without:.3} without), large {large:.3}",
            day.daemons
        );
        assert!(others >= OTHERS_SHARE * without, "seed {seed}");
    }
}

const ONE_LARGE: Day = Day {
    daemons: 7,
    engines: 18,
    large: 1,
    factor: 15.0,
    length_s: 12.0,
};

/// Guards against one organisation taking the slots of all others.
#[test]
fn one_of_fifteen_times_its_usual_leaves_the_others_their_room() {
    others_are_served(ONE_LARGE, |_| {});
}

/// The same at 62 daemons, each of which sees a few requests of an organisation at most.
#[test]
fn shares_are_those_of_all_daemons() {
    let day = Day {
        daemons: 62,
        engines: 30,
        length_s: 6.0,
        ..ONE_LARGE
    };
    others_are_served(day, |fleet| fleet.use_relays(24.0));
}

/// The same at 195 daemons.
#[test]
fn shares_are_those_of_a_large_fleet() {
    let day = Day {
        daemons: 195,
        engines: 30,
        length_s: 4.0,
        ..ONE_LARGE
    };
    others_are_served(day, |fleet| fleet.use_relays(24.0));
}

/// Guards against a share that holds for the largest organisation only.
#[test]
fn a_few_large_ones_leave_the_others_their_room() {
    let day = Day {
        large: 3,
        factor: 8.0,
        ..ONE_LARGE
    };
    others_are_served(day, |_| {});
}

/// Guards against shares that need every update: a fifth of them is lost.
#[test]
fn lost_updates_cost_the_others_little() {
    others_are_served(ONE_LARGE, |fleet| fleet.lose_updates(0.2));
}

/// Guards against a large kind being refused for its size while a less urgent one is served.
#[test]
fn an_urgent_kind_is_served_as_often_as_a_less_urgent_one() {
    urgent_are_served(4.0, 75.0);
}

/// The same where the urgent kind nearly fills the engines alone.
#[test]
fn an_urgent_kind_that_nearly_fills_the_engines_is_served_as_often() {
    urgent_are_served(6.0, 60.0);
}

/// Plays an urgent kind of large prompts beside a less urgent one of small prompts.
fn urgent_are_served(long_per_s: f64, short_per_s: f64) {
    let engine = EngineProfile {
        slots: 10,
        ..engine_profile()
    };
    for seed in SEEDS {
        let options = ChoiceOptions {
            settling_time_ms: 0,
            organisation_share_factor: 1.0,
            ..ChoiceOptions::default()
        };
        let mut fleet = Fleet::with_profile(7, 18, &options, engine.clone());
        fleet.seed(seed);
        fleet.let_callers_leave();
        let urgent = Caller {
            organisation: 0,
            priority: 0,
        };
        let long = Kind {
            caller: urgent,
            ..LONG
        };
        fleet.add_requests(long, long_per_s, 0.0, 15.0);
        fleet.add_requests(SHORT, short_per_s, 0.0, 15.0);
        let outcomes = fleet.run_to_end(&[long, SHORT]);
        let served = |one: &Outcome| {
            let all = one.on_time + one.late + one.refused + one.abandoned;
            f64::from(one.on_time + one.late) / f64::from(all)
        };
        let [urgent, less_urgent] = [served(&outcomes[0]), served(&outcomes[1])];
        println!("seed {seed}: urgent {urgent:.3}, less urgent {less_urgent:.3} {outcomes:?}");
        assert!(urgent >= less_urgent - 0.05, "seed {seed}");
    }
}
