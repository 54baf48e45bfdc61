//! Calls to a daemon's admin listener.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use mangofront_http::ErrorBody;
use serde_json::Value;

use crate::error::CliError;

/// Longest time for an answer; a daemon answers these from memory.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// A daemon's admin listener.
#[derive(Debug)]
pub(crate) struct Admin {
    address: SocketAddr,
    client: cyper::Client,
}

/// One call; `step` names it in errors.
struct Call<'a> {
    step: &'static str,
    method: Method,
    path: &'a str,
    body: Vec<u8>,
}

impl Admin {
    pub(crate) fn new(address: SocketAddr) -> Result<Self, CliError> {
        let client = mangofront_http::client()?;
        Ok(Self { address, client })
    }

    /// Asks for the JSON at `path`.
    pub(crate) async fn get(&self, step: &'static str, path: &str) -> Result<Value, CliError> {
        let call = Call {
            step,
            method: Method::GET,
            path,
            body: Vec::new(),
        };
        self.call(call).await
    }

    /// Sends `body` to `path`.
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
        let answered = compio::time::timeout(ANSWER_TIMEOUT, self.exchange(call)).await;
        let (status, content) = match answered {
            Ok(Ok(answer)) => answer,
            Ok(Err(cause)) => return Err(self.unreachable(step, innermost(&cause))),
            Err(_) => return Err(self.unreachable(step, "no answer in time".to_owned())),
        };
        if !status.is_success() {
            return Err(CliError::Refused {
                step,
                address: self.address,
                status: status.as_u16(),
                message: message_of(&content),
            });
        }
        serde_json::from_slice(&content).map_err(|cause| CliError::BadAnswer {
            step,
            address: self.address,
            cause,
        })
    }

    async fn exchange(&self, call: Call<'_>) -> cyper::Result<(http::StatusCode, Vec<u8>)> {
        let url = format!("http://{}{}", self.address, call.path);
        let request = self.client.request(call.method, url)?;
        let request = request.header("content-type", "application/json")?;
        let answer = request.body(call.body).send().await?;
        let status = answer.status();
        let content = answer.bytes().await?;
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

/// What the system said, below what the libraries made of it.
fn innermost(error: &dyn std::error::Error) -> String {
    let mut innermost = error;
    while let Some(source) = innermost.source() {
        innermost = source;
    }
    innermost.to_string()
}

/// The message of an error body, or else the text as it came.
fn message_of(content: &[u8]) -> String {
    match serde_json::from_slice::<ErrorBody>(content) {
        Ok(body) => body.error.message,
        Err(_) => String::from_utf8_lossy(content).trim().to_owned(),
    }
}
