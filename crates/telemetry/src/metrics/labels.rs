//! Closed sets of label values.

/// What a process was built from, as labels of one series.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BuildLabels {
    /// Version of the workspace.
    pub version: &'static str,
    /// Commit in hexadecimal; empty if it is unknown.
    pub commit: &'static str,
    /// How the sources relate to the commit; a stable name.
    pub sources: &'static str,
    /// Target triple of the compiler.
    pub target: &'static str,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The caller got the complete answer.
    Answered,
    /// No upstream ran it.
    NotRun,
    /// It was started and ended without a complete answer.
    Failed,
    /// It may or may not have run.
    Unknown,
    /// The caller disconnected.
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

/// What an upstream says of itself in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeKind {
    /// It leaves.
    Leaving,
    /// It wants no request of this daemon for a while.
    Rest,
}

impl NoticeKind {
    /// Name in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Rest => "rest",
        }
    }
}

/// What became of the replacement of a silent attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplacementOutcome {
    /// It was started.
    Started,
    /// It was forwarded.
    Won,
    /// The attempt that it was to replace went on first.
    Overtaken,
    /// The retry budget had no room for it.
    RefusedByBudget,
    /// No upstream could be selected for it, or none was reached.
    NotPlaced,
    /// Its upstream did not run it.
    RefusedByUpstream,
    /// One of the attempts failed beside the other.
    Failed,
    /// It was not started, as most upstreams were silent.
    CommonSilence,
}

impl ReplacementOutcome {
    /// Name in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Won => "won",
            Self::Overtaken => "overtaken",
            Self::RefusedByBudget => "refused_by_budget",
            Self::NotPlaced => "not_placed",
            Self::RefusedByUpstream => "refused_by_upstream",
            Self::Failed => "failed",
            Self::CommonSilence => "common_silence",
        }
    }
}

/// State of a direct path to an upstream that is not in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathState {
    /// Another daemon reaches the upstream and this one does not.
    Lost,
    /// It fails, and no other daemon told whether the upstream works.
    Suspected,
    /// Many others fail, and nothing has shown since that it works.
    Avoided,
}

impl PathState {
    /// Name in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Lost => "lost",
            Self::Suspected => "suspected",
            Self::Avoided => "avoided",
        }
    }
}

/// How a prompt was served, or why it was not.
///
/// Unlike [`RequestOutcome`], distinguishes the reasons for which a prompt is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disposition {
    /// Served; the first event arrived within the latency target.
    ServedInTime,
    /// Served; the first event arrived after the latency target.
    ServedLate,
    /// Refused on arrival because of the load.
    RefusedAtArrival,
    /// Refused because of the load after it had waited.
    RefusedAfterWait,
    /// Refused for another reason, such as no free memory, no free slot, or no upstream
    /// left to try.
    RefusedOtherwise,
    /// The caller disconnected.
    Left,
    /// The answer ended before it was complete.
    BrokenOff,
    /// No answer arrived, although an upstream may have run it.
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

/// State of another daemon as a label.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// Heartbeats arrive in time.
    Live,
    /// No heartbeat arrived for too long.
    Suspected,
    /// It announced its shutdown, or is considered dead.
    Left,
}

impl PeerState {
    /// Name in metrics.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Suspected => "suspected",
            Self::Left => "left",
        }
    }
}
