//! What the entry side tells of its requests.

use std::time::Duration;

use mangofront_http::Outcome;

/// A request ended without its whole answer.
pub(crate) fn request_failed(code: &'static str, outcome: Outcome) {
    log::trace!("entry: request failed: {code}, {outcome:?}");
}

/// A request was answered whole.
pub(crate) fn request_finished(class: &str) {
    log::trace!("entry: request of class {class} finished");
}

/// An answer started.
pub(crate) fn first_token(class: &str, length_tokens: u64, time: Duration) {
    log::trace!("entry: first token of class {class}, {length_tokens} tokens, after {time:?}");
}

/// One token went to a caller.
pub(crate) fn token_relayed() {}

/// Another attempt is made.
pub(crate) fn retried(way: &'static str) {
    log::trace!("entry: retry on {way}");
}

/// A call of an upstream failed.
pub(crate) fn upstream_failed(step: &'static str) {
    log::trace!("entry: upstream failed at {step}");
}
