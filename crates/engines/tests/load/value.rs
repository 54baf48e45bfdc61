//! What the answers of a play are worth.
//!
//! What an answer is worth grows with its prompt, so shares are of prompt tokens, each
//! kind weighed by what all of its requests together are worth against the others'. A
//! late answer is worth a quarter.

use crate::fleet::{Kind, Outcome};

/// What a late answer is worth of one in time.
const LATE_WORTH: f64 = 0.25;

/// A kind of request, and what one of mean length is worth.
pub type Worth = (Kind, f64);

/// Share of the worth of all requests that was earned, in percent.
pub fn earned_percent(kinds: &[Worth; 3], outcomes: &[Outcome]) -> f64 {
    let mut earned = 0.0;
    let mut owed = 0.0;
    for (outcome, (kind, worth)) in outcomes.iter().zip(kinds.iter().cycle()) {
        let of_tokens = |tokens: u64| worth * tokens as f64 / kind.prompt_tokens as f64;
        earned += of_tokens(outcome.in_time_tokens);
        earned += LATE_WORTH * of_tokens(outcome.late_tokens);
        owed += of_tokens(outcome.tokens);
    }
    let percent = 100.0 * earned / f64::max(owed, 1.0);
    println!("{percent:.1} %: {outcomes:?}");
    percent
}
