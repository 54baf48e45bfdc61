//! Keys: minted ones, UUIDv7 ones and any other text.
//!
//! A minted key names the process that issued it, so that one process alone
//! decides about it. Its text is `mf1.{instance}.{incarnation}.{counter}`; an
//! instance's name may hold dots, so the text is read from its end.

use mangofront_settings::ids::OrganisationId;
use serde::{Deserialize, Serialize};
use uuid::Uuid;
use xxhash_rust::xxh3::Xxh3;

use crate::ids::Process;

const MINTED_PREFIX: &str = "mf1.";
const UUID_VERSION_BY_TIME: usize = 7;

/// What a key is filed under.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OrderKey {
    /// Customer that sent it; empty for a minted key, which is unique by itself.
    pub organisation: OrganisationId,
    /// The key as the caller sent it.
    pub key: String,
}

/// Digest of a request, by which a reuse of its key for another one is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Fingerprint of a request's method, path and whole body.
    #[must_use]
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest128())
    }

    /// Fingerprint that also tells organisations apart.
    pub(crate) fn within(self, organisation: &str) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(&self.0.to_le_bytes());
        hasher.update(organisation.as_bytes());
        Self(hasher.digest128())
    }
}

/// A key that a daemon issued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MintedKey {
    /// The only process that decides about it.
    pub home: Process,
    /// Number within that process.
    pub counter: u64,
}

impl MintedKey {
    /// Reads the text form; `None` when `text` is no minted key.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let rest = text.strip_prefix(MINTED_PREFIX)?;
        let mut parts = rest.rsplitn(3, '.');
        let counter = parts.next()?.parse().ok()?;
        let incarnation = parts.next()?.parse().ok()?;
        let instance = parts.next()?.to_owned();
        let home = Process {
            instance,
            incarnation,
        };
        let minted = Self { home, counter };
        // Only one text may stand for a key: "+1" and "01" are refused.
        (minted.text() == text).then_some(minted)
    }

    /// Text form.
    #[must_use]
    pub fn text(&self) -> String {
        let Process {
            instance,
            incarnation,
        } = &self.home;
        format!("{MINTED_PREFIX}{instance}.{incarnation}.{}", self.counter)
    }
}

/// Time of issue of a UUIDv7, in Unix milliseconds; `None` for any other key.
pub(crate) fn mint_time_unix_ms(key: &str) -> Option<u64> {
    let uuid = Uuid::try_parse(key).ok()?;
    if uuid.get_version_num() != UUID_VERSION_BY_TIME {
        return None;
    }
    let (seconds, nanoseconds) = uuid.get_timestamp()?.to_unix();
    seconds
        .checked_mul(1000)?
        .checked_add(u64::from(nanoseconds) / 1_000_000)
}
