//! Idempotency keys: minted keys, UUIDv7 keys and any other text.
//!
//! A minted key names the process that issued it, its *home*, which alone decides
//! about it. Its text is `mf1.{instance}.{incarnation}.{counter}`; the name of an
//! instance may contain dots, so the text is parsed from its end.

use mangofront_settings::ids::OrganisationId;
use serde::{Deserialize, Serialize};
use uuid::Uuid;
use xxhash_rust::xxh3::Xxh3;

use crate::ids::Process;

const MINTED_PREFIX: &str = "mf1.";
const UUID_VERSION_7: usize = 7;

/// Organisation and key under which an order is recorded.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OrderKey {
    /// Organisation that sent it; empty for a minted key, which is unique by itself.
    pub organisation: OrganisationId,
    /// The key as the caller sent it.
    pub key: String,
}

/// Digest of a request, which detects that its key is reused for another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Fingerprint of a request's method, path and complete body.
    #[must_use]
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest128())
    }

    /// Fingerprint that also differs between organisations.
    pub(crate) fn with_organisation(self, organisation: &str) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(&self.0.to_le_bytes());
        hasher.update(organisation.as_bytes());
        Self(hasher.digest128())
    }
}

/// A key that a daemon issued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MintedKey {
    /// Process that issued it, the only one that decides about it.
    pub home: Process,
    /// Number of the key within that process.
    pub counter: u64,
}

impl MintedKey {
    /// Parses the text form; `None` when `text` is not a minted key.
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
        // Each key has exactly one text form: "+1" and "01" are rejected.
        (minted.text() == text).then_some(minted)
    }

    /// Text form of the key.
    #[must_use]
    pub fn text(&self) -> String {
        let Process {
            instance,
            incarnation,
        } = &self.home;
        format!("{MINTED_PREFIX}{instance}.{incarnation}.{}", self.counter)
    }
}

/// Timestamp of a UUIDv7 in Unix milliseconds; `None` for any other key.
pub(crate) fn mint_time_unix_ms(key: &str) -> Option<u64> {
    let uuid = Uuid::try_parse(key).ok()?;
    if uuid.get_version_num() != UUID_VERSION_7 {
        return None;
    }
    let (seconds, nanoseconds) = uuid.get_timestamp()?.to_unix();
    seconds
        .checked_mul(1000)?
        .checked_add(u64::from(nanoseconds) / 1_000_000)
}
