//! Closed sets that stand as labels.

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The caller got the whole answer.
    Answered,
    /// Nothing of it was run.
    NotRun,
    /// It was started and ended without a whole answer.
    Failed,
    /// It may have run.
    Unknown,
    /// The caller went away.
    Cancelled,
}

impl RequestOutcome {
    /// Name in metrics and logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
            Self::Cancelled => "cancelled",
        }
    }
}

/// What is known of another daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// Heard within its time.
    Live,
    /// Silent for too long.
    Suspected,
    /// Told that it stops, or taken for gone.
    Left,
}

impl PeerState {
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Suspected => "suspected",
            Self::Left => "left",
        }
    }
}
