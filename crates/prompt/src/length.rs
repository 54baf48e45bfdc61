//! Ranges of prompt lengths for reporting the time to first token.

use serde::{Deserialize, Serialize};

/// Range of prompt lengths, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum LengthBucket {
    /// Up to 4,000.
    #[serde(rename = "up_to_4k")]
    UpTo4k,
    /// Over 4,000, up to 16,000.
    #[serde(rename = "up_to_16k")]
    UpTo16k,
    /// Over 16,000, up to 100,000.
    #[serde(rename = "up_to_100k")]
    UpTo100k,
    /// Over 100,000, up to 400,000.
    #[serde(rename = "up_to_400k")]
    UpTo400k,
    /// Over 400,000.
    #[serde(rename = "over_400k")]
    Over400k,
}

impl LengthBucket {
    /// All buckets in ascending order.
    pub const ALL: [Self; 5] = [
        Self::UpTo4k,
        Self::UpTo16k,
        Self::UpTo100k,
        Self::UpTo400k,
        Self::Over400k,
    ];

    /// The bucket of a prompt length.
    #[must_use]
    pub const fn of(length_tokens: u64) -> Self {
        match length_tokens {
            0..=4_000 => Self::UpTo4k,
            4_001..=16_000 => Self::UpTo16k,
            16_001..=100_000 => Self::UpTo100k,
            100_001..=400_000 => Self::UpTo400k,
            _ => Self::Over400k,
        }
    }

    /// Name in metrics and reports, as in the JSON form.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::UpTo4k => "up_to_4k",
            Self::UpTo16k => "up_to_16k",
            Self::UpTo100k => "up_to_100k",
            Self::UpTo400k => "up_to_400k",
            Self::Over400k => "over_400k",
        }
    }
}
