//! Fingerprints of requests, which stay the same when their caller sends them again.
//!
//! A request has a new id each time it is sent. What it asks for (the organisation, the
//! method, the path and the body) stays the same, so a digest of these relates its attempts
//! at different daemons. The digest is cryptographic, so that nobody can construct a
//! request with the fingerprint of another organisation's request.

use std::fmt;
use std::str::FromStr;

use http::Method;
use mangofront_engines::RequestFingerprint;
use thiserror::Error;

/// Length of a fingerprint, in bytes: long enough that two requests never share one by
/// chance.
const LENGTH_BYTES: usize = 16;

/// Identifies all requests that ask for the same.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint([u8; LENGTH_BYTES]);

impl Fingerprint {
    /// Fingerprint of a request. `organisation` is `None` if the request needs no key;
    /// `path` includes the query.
    #[must_use]
    pub fn of(organisation: Option<&str>, method: &Method, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        // Distinguishes a request without an organisation from one whose name is empty.
        hasher.update(&[u8::from(organisation.is_some())]);
        let parts = [
            organisation.unwrap_or_default().as_bytes(),
            method.as_str().as_bytes(),
            path.as_bytes(),
        ];
        for part in parts {
            // The length comes first, so that the parts can't be confused with each other.
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
    /// The fingerprint as a number.
    #[must_use]
    pub fn as_number(self) -> RequestFingerprint {
        RequestFingerprint::from_be_bytes(self.0)
    }
}

impl From<RequestFingerprint> for Fingerprint {
    fn from(number: RequestFingerprint) -> Self {
        Self(number.to_be_bytes())
    }
}

/// Error of a text that is not a fingerprint.
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
        let number =
            RequestFingerprint::from_str_radix(text, 16).map_err(|_error| InvalidFingerprint)?;
        Ok(number.into())
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
