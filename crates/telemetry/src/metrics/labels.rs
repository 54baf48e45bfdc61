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

/// What a caller got of a prompt of one size.
///
/// Tells apart why one was not served, which [`RequestOutcome`] does not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disposition {
    /// The first event came within the target.
    ServedInTime,
    /// It was served, and the first event came after the target.
    ServedLate,
    /// Refused for load as it came.
    RefusedAtArrival,
    /// Refused for load after it was held back.
    RefusedAfterWait,
    /// Refused for another reason: no memory, no slot, all upstreams tried.
    RefusedOtherwise,
    /// The caller went away.
    Left,
    /// The answer broke off.
    BrokenOff,
    /// It may have run and no answer came.
    Unanswered,
}

impl Disposition {
    /// Name in metrics and logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::ServedInTime => "served_in_time",
            Self::ServedLate => "served_late",
            Self::RefusedAtArrival => "refused_at_arrival",
            Self::RefusedAfterWait => "refused_after_wait",
            Self::RefusedOtherwise => "refused_otherwise",
            Self::Left => "left",
            Self::BrokenOff => "broken_off",
            Self::Unanswered => "unanswered",
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
