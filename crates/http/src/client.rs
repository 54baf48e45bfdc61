//! The one way the workspace makes an HTTP client.
//!
//! Redirects and proxies of the environment are off: a request goes to the
//! address it names or fails.

use thiserror::Error;

/// Client that could not be made.
#[derive(Debug, Error)]
#[error("HTTP client could not be made: {0}")]
pub struct ClientError(String);

/// Makes a pooled client, bound to the calling thread's runtime.
///
/// # Errors
/// [`ClientError`] when the library refuses its settings.
pub fn client() -> Result<cyper::Client, ClientError> {
    cyper::Client::builder()
        .no_proxy()
        .redirect(cyper::redirect::Policy::none())
        .build()
        .map_err(|error| ClientError(error.to_string()))
}
