//! Calls to a daemon's admin listener.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use mangofront_http::ErrorBody;
use serde_json::Value;

use crate::error::CliError;

/// Time limit for a response, which a daemon gives from memory.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Client of a daemon's admin listener.
#[derive(Debug)]
pub(crate) struct AdminClient {
    address: SocketAddr,
    client: cyper::Client,
}

/// One call; `step` is its name in errors.
struct Call<'a> {
    step: &'static str,
    method: Method,
    path: &'a str,
    body: Vec<u8>,
}

impl AdminClient {
    pub(crate) fn new(address: SocketAddr) -> Result<Self, CliError> {
        let client = mangofront_http::client()?;
        Ok(Self { address, client })
    }

    /// Gets the JSON at `path`.
    pub(crate) async fn get(&self, step: &'static str, path: &str) -> Result<Value, CliError> {
        let call = Call {
            step,
            method: Method::GET,
            path,
            body: Vec::new(),
        };
        self.call(call).await
    }

    /// Posts `body` to `path` and returns the JSON of the response.
    pub(crate) async fn post(
        &self,
        step: &'static str,
        path: &str,
        body: &Value,
    ) -> Result<Value, CliError> {
        let call = Call {
            step,
            method: Method::POST,
            path,
            body: body.to_string().into_bytes(),
        };
        self.call(call).await
    }

    async fn call(&self, call: Call<'_>) -> Result<Value, CliError> {
        let step = call.step;
        let response = compio::time::timeout(RESPONSE_TIMEOUT, self.exchange(call)).await;
        let (status, content) = match response {
            Ok(Ok(response)) => response,
            Ok(Err(cause)) => return Err(self.unreachable(step, root_cause(&cause))),
            Err(_) => return Err(self.unreachable(step, "no answer in time".to_owned())),
        };
        if !status.is_success() {
            return Err(CliError::Refused {
                step,
                address: self.address,
                status: status.as_u16(),
                message: error_message(&content),
            });
        }
        serde_json::from_slice(&content).map_err(|cause| CliError::InvalidResponse {
            step,
            address: self.address,
            cause,
        })
    }

    async fn exchange(&self, call: Call<'_>) -> cyper::Result<(http::StatusCode, Vec<u8>)> {
        let url = format!("http://{}{}", self.address, call.path);
        let request = self.client.request(call.method, url)?;
        let request = request.header("content-type", "application/json")?;
        let response = request.body(call.body).send().await?;
        let status = response.status();
        let content = response.bytes().await?;
        Ok((status, content.to_vec()))
    }

    fn unreachable(&self, step: &'static str, cause: String) -> CliError {
        CliError::Unreachable {
            step,
            address: self.address,
            cause,
        }
    }
}

/// Message of the innermost cause, which is usually that of the operating system.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut innermost = error;
    while let Some(source) = innermost.source() {
        innermost = source;
    }
    innermost.to_string()
}

/// Message of an error body, or the whole content if it is not one.
fn error_message(content: &[u8]) -> String {
    match serde_json::from_slice::<ErrorBody>(content) {
        Ok(body) => body.error.message,
        Err(_) => String::from_utf8_lossy(content).trim().to_owned(),
    }
}
