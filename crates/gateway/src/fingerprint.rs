//! Names of requests that stay the same when their caller sends them again.
//!
//! Each time that a request is sent it has another id. What it asks for (the
//! organisation, the method, the path and the body) is the same, so a digest of that
//! ties its attempts at different daemons to each other. The digest is cryptographic:
//! nobody can make a request that has the name of another organisation's.

use std::fmt;
use std::str::FromStr;

use http::Method;
use mangofront_engines::RequestFingerprint;
use thiserror::Error;

/// Bytes of a fingerprint: too many for two requests to share one by chance.
const LENGTH_BYTES: usize = 16;

/// Name of all requests that ask for the same.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint([u8; LENGTH_BYTES]);

impl Fingerprint {
    /// Fingerprint of a request of `organisation`, none if it needs no key; `path` is
    /// that with its query.
    #[must_use]
    pub fn of(organisation: Option<&str>, method: &Method, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        // A request without an organisation differs from one whose name is empty.
        hasher.update(&[u8::from(organisation.is_some())]);
        let parts = [
            organisation.unwrap_or_default().as_bytes(),
            method.as_str().as_bytes(),
            path.as_bytes(),
        ];
        for part in parts {
            // The length goes first, so that no part can run into the next one.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        let mut bytes = [0; LENGTH_BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }
}

impl Fingerprint {
    /// The same as a number.
    #[must_use]
    pub fn name(self) -> RequestFingerprint {
        RequestFingerprint::from_be_bytes(self.0)
    }
}

impl From<RequestFingerprint> for Fingerprint {
    fn from(name: RequestFingerprint) -> Self {
        Self(name.to_be_bytes())
    }
}

/// Text that is no fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a fingerprint has 32 hexadecimal digits")]
pub struct InvalidFingerprint;

impl FromStr for Fingerprint {
    type Err = InvalidFingerprint;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hexadecimal = text.bytes().all(|digit| digit.is_ascii_hexdigit());
        if text.len() != 2 * LENGTH_BYTES || !is_hexadecimal {
            return Err(InvalidFingerprint);
        }
        let name =
            RequestFingerprint::from_str_radix(text, 16).map_err(|_error| InvalidFingerprint)?;
        Ok(name.into())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Fingerprint({self})")
    }
}
