//! Detection of a service that serves values below the revision in force.

/// Number of current answers in a row after which a stale service counts as caught up.
/// With fewer, each stale answer would start a new episode if one replica of the service
/// is stale and another is not.
const CURRENT_ANSWERS_TO_RECOVER: u32 = 3;

/// Staleness of the service for one published value.
#[derive(Debug, Default)]
pub(crate) struct Staleness {
    /// Number of current answers required before the service counts as caught up.
    required_answers: u32,
}

impl Staleness {
    pub(crate) fn is_stale(&self) -> bool {
        self.required_answers > 0
    }

    /// Records a stale answer; returns whether it is the first of an episode.
    pub(crate) fn note_stale(&mut self) -> bool {
        let is_first = !self.is_stale();
        self.required_answers = CURRENT_ANSWERS_TO_RECOVER;
        is_first
    }

    pub(crate) fn note_current(&mut self) {
        self.required_answers = self.required_answers.saturating_sub(1);
    }
}
