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
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
            Self::Cancelled => "cancelled",
        }
    }
}

/// Range of prompt lengths, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LengthBucket {
    /// Up to 4,000.
    UpTo4k,
    /// Up to 16,000.
    UpTo16k,
    /// Up to 100,000.
    UpTo100k,
    /// Up to 400,000.
    UpTo400k,
    /// Over 400,000.
    Over400k,
}

impl LengthBucket {
    /// Range that a prompt of `prompt_tokens` is in.
    #[must_use]
    pub const fn of(prompt_tokens: u64) -> Self {
        match prompt_tokens {
            0..=4_000 => Self::UpTo4k,
            4_001..=16_000 => Self::UpTo16k,
            16_001..=100_000 => Self::UpTo100k,
            100_001..=400_000 => Self::UpTo400k,
            _ => Self::Over400k,
        }
    }

    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::UpTo4k => "up_to_4k",
            Self::UpTo16k => "up_to_16k",
            Self::UpTo100k => "up_to_100k",
            Self::UpTo400k => "up_to_400k",
            Self::Over400k => "over_400k",
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
