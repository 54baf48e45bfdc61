//! Construction of the HTTP client that the workspace uses.
//!
//! Redirects and proxies from the environment are disabled: a request is sent
//! to the address in its URL or fails.

use thiserror::Error;

/// Failure to create an HTTP client.
#[derive(Debug, Error)]
#[error("failed to create an HTTP client: {0}")]
pub struct ClientError(String);

/// Creates a client with a connection pool, bound to the calling thread's
/// runtime.
///
/// # Errors
/// [`ClientError`] when the library rejects the client's settings.
pub fn client() -> Result<cyper::Client, ClientError> {
    cyper::Client::builder()
        .no_proxy()
        .redirect(cyper::redirect::Policy::none())
        .build()
        .map_err(|error| ClientError(error.to_string()))
}
