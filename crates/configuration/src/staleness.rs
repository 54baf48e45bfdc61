//! Whether the service serves values below the floor.

/// Current answers in a row after which a service that was stale counts as
/// caught up; fewer would make an episode of every answer when one of its
/// replicas is stale and another is not.
const CURRENT_ANSWERS: u32 = 3;

/// Staleness of the service for one published value.
#[derive(Debug, Default)]
pub(crate) struct Staleness {
    /// Current answers that are missing until the service counts as caught up.
    missing_answers: u32,
}

impl Staleness {
    pub(crate) fn is_stale(&self) -> bool {
        self.missing_answers > 0
    }

    /// Notes a stale answer; whether it is the first of an episode.
    pub(crate) fn note_stale(&mut self) -> bool {
        let is_first = !self.is_stale();
        self.missing_answers = CURRENT_ANSWERS;
        is_first
    }

    pub(crate) fn note_current(&mut self) {
        self.missing_answers = self.missing_answers.saturating_sub(1);
    }
}
