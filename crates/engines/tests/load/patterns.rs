//! Patterns of load, and the share of their worth that must be in time.
//!
//! What an answer is worth grows with its prompt, so shares are of prompt tokens,
//! each kind weighed by what all of its requests together are worth against the
//! others' (1.3, 3.9 and 15 each). Rates are those of a fleet of seven daemons before
//! eighteen engines: on the mean day the long prompts keep a quarter of the engines
//! reading, in a peak of long ones more than half, and in a peak of short ones their
//! answers take six of ten slots.
//!
//! Each bound lies between what the choice reaches and what it reached while any
//! request counted all pauses of its engine as broken, a predicted pass was safe up to
//! 0.4 of a pause, and long prompts joined twice as long a queue.

use mangofront_engines::ChoiceOptions;

use crate::fleet::{Fleet, Kind, Outcome};

const SHORT: Kind = Kind {
    name: "short",
    prompt_tokens: 5_000,
    spread: 0.9,
    largest: 4.8,
    events: 32,
    target_ms: 300.0,
    gap_ms: 250.0,
};

const MIDDLE: Kind = Kind {
    name: "middle",
    prompt_tokens: 45_000,
    spread: 0.5,
    largest: 2.4,
    events: 19,
    target_ms: 1_500.0,
    gap_ms: 600.0,
};

const LONG: Kind = Kind {
    name: "long",
    prompt_tokens: 133_000,
    spread: 0.55,
    largest: 4.5,
    events: 16,
    target_ms: 2_500.0,
    gap_ms: 1_000.0,
};

const KINDS: [Kind; 3] = [SHORT, MIDDLE, LONG];

/// What a request of each kind is worth.
const WORTH: [f64; 3] = [1.3, 3.9, 15.0];

/// Requests of each kind a second on the mean day.
const MEAN_DAY: [f64; 3] = [38.0, 2.1, 1.76];

/// The same while long prompts peak.
const LONG_PEAK: [f64; 3] = [13.0, 2.7, 4.9];

/// The same while short ones do.
const SHORT_PEAK: [f64; 3] = [92.0, 1.0, 0.1];

/// Daemons that have run for a while.
fn fleet(daemons: usize, engines: usize) -> Fleet {
    let settled = ChoiceOptions {
        settling_time_ms: 0,
        ..ChoiceOptions::default()
    };
    Fleet::new(daemons, engines, &settled)
}

impl Fleet {
    fn send_all(&mut self, per_s: [f64; 3], from_s: f64, to_s: f64) {
        for (kind, per_s) in KINDS.into_iter().zip(per_s) {
            self.send(kind, per_s, from_s, to_s);
        }
    }
}

/// Share of the worth of all requests that was in time, in percent.
fn in_time_percent(outcomes: &[(&'static str, Outcome)]) -> f64 {
    let mut in_time = 0.0;
    let mut owed = 0.0;
    for ((_, outcome), (kind, worth)) in outcomes.iter().zip(KINDS.iter().zip(WORTH)) {
        let of_tokens = |tokens: u64| worth * tokens as f64 / kind.prompt_tokens as f64;
        in_time += of_tokens(outcome.in_time_tokens);
        owed += of_tokens(outcome.tokens);
    }
    let percent = 100.0 * in_time / f64::max(owed, 1.0);
    println!("{percent:.1} % in time: {outcomes:?}");
    percent
}

/// Short and long prompts together, as on most of a day.
#[test]
fn mean_day() {
    let mut fleet = fleet(7, 18);
    fleet.send_all(MEAN_DAY, 0.0, 40.0);
    assert!(in_time_percent(&fleet.play(&KINDS)) > 95.5);
}

/// The same with a third of the engines dark, so that each other one has half as much
/// again to do.
#[test]
fn a_third_of_the_engines_dark() {
    let mut fleet = fleet(7, 18);
    fleet.list(|engine| engine % 3 != 0);
    fleet.send_all(MEAN_DAY, 0.0, 40.0);
    assert!(in_time_percent(&fleet.play(&KINDS)) > 72.0);
}

/// Peaks of long and of short prompts by turns, each of which finds the other's work.
#[test]
fn peaks_by_turns() {
    let mut fleet = fleet(7, 18);
    for turn in 0..3 {
        let from_s = 20.0 * f64::from(turn);
        fleet.send_all(LONG_PEAK, from_s, from_s + 10.0);
        fleet.send_all(SHORT_PEAK, from_s + 10.0, from_s + 20.0);
    }
    assert!(in_time_percent(&fleet.play(&KINDS)) > 88.0);
}

/// The longest prompts with few short ones beside them.
#[test]
fn longest_only() {
    let mut fleet = fleet(7, 18);
    fleet.send_all([5.0, 0.0, 4.9], 0.0, 30.0);
    assert!(in_time_percent(&fleet.play(&KINDS)) > 78.0);
}

/// A zone that is cut off: two daemons and six engines with their third of the load.
#[test]
fn one_zone_alone() {
    let mut fleet = fleet(2, 18);
    fleet.list(|engine| engine % 3 == 0);
    fleet.send_all(MEAN_DAY.map(|per_s| per_s / 3.0), 0.0, 40.0);
    assert!(in_time_percent(&fleet.play(&KINDS)) > 80.0);
}

/// All callers come back within 0.2 s, as after a loss of power: 120 short prompts,
/// of which 18 engines read seven each in 0.2 s.
#[test]
fn everybody_back_at_once() {
    let mut fleet = fleet(7, 18);
    fleet.send_all([600.0, 0.0, 20.0], 0.0, 0.2);
    fleet.send_all(MEAN_DAY, 0.2, 6.0);
    assert!(in_time_percent(&fleet.play(&KINDS)) > 94.0);
}

/// A hundred daemons that hear of each other 24 ms late, by relays, before as many
/// engines: the loads of eighteen engines in peaks of long and of short prompts, times
/// 100 / 18.
///
/// All daemons choose by the same costs, so those of the short peak, ten within the
/// delay, would meet at the same few engines: 70 of 100 were in time while each took
/// one of the cheapest and a place in the order cost 1.5 ms, 73 with the bounded order
/// alone, 82 with the spreading alone, 88 with both.
#[test]
fn peaks_before_a_hundred_engines_with_late_news() {
    let mut fleet = fleet(100, 100);
    fleet.relay_news(24.0);
    let share = 100.0 / 18.0;
    fleet.send_all(LONG_PEAK.map(|per_s| per_s * share), 0.0, 2.0);
    fleet.send_all(SHORT_PEAK.map(|per_s| per_s * share), 2.0, 4.0);
    assert!(in_time_percent(&fleet.play(&KINDS)) > 85.0);
}
