//! Value of the answers of a run.
//!
//! The value of an answer grows with its prompt, so shares are measured in prompt tokens, and each
//! kind is weighted by the total value of its requests. A late answer has a quarter of the value.

use crate::fleet::{Kind, Outcome};

/// Value of a late answer relative to one on time.
const LATE_VALUE: f64 = 0.25;

/// A kind of request, and the value of one of mean length.
pub type Value = (Kind, f64);

/// Earned value in percent of the value of all requests.
pub fn earned_value_percent(kinds: &[Value; 3], outcomes: &[Outcome]) -> f64 {
    let mut earned_value = 0.0;
    let mut possible = 0.0;
    for (outcome, (kind, value)) in outcomes.iter().zip(kinds.iter().cycle()) {
        let value_of_tokens = |tokens: u64| value * tokens as f64 / kind.prompt_tokens as f64;
        earned_value += value_of_tokens(outcome.on_time_tokens);
        earned_value += LATE_VALUE * value_of_tokens(outcome.late_tokens);
        possible += value_of_tokens(outcome.tokens);
    }
    let percent = 100.0 * earned_value / f64::max(possible, 1.0);
    println!("{percent:.1} %: {outcomes:?}");
    percent
}
