//! HTTP client for daemons and stand-ins.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use http::Method;
use serde_json::Value;

use crate::BoxError;

/// Limit on a request whose answer isn't streamed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends requests to one address.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: cyper::Client,
    address: String,
}

impl HttpClient {
    pub fn new(address: String) -> Result<Self, BoxError> {
        let client = mangofront_http::client()?;
        Ok(Self { client, address })
    }

    /// Returns whether the daemon has a configuration, and so lists its models.
    pub async fn is_ready(&self) -> bool {
        let response = self.send(Method::GET, "/v1/models", &[], String::new());
        response.await.is_ok()
    }

    pub async fn get_json(&self, path: &str) -> Result<Value, BoxError> {
        let body = self.send(Method::GET, path, &[], String::new()).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    pub async fn put(&self, path: &str, body: String) -> Result<(), BoxError> {
        self.send(Method::PUT, path, &[], body).await?;
        Ok(())
    }

    pub async fn post(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<(), BoxError> {
        self.send(Method::POST, path, headers, body).await?;
        Ok(())
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<Vec<u8>, BoxError> {
        let exchange = async {
            let response = self.request(method, path, headers, body).await?;
            if !response.status().is_success() {
                let status = response.status();
                return Err(format!("{path}: {status} {}", response.text().await?).into());
            }
            Ok::<_, BoxError>(response.bytes().await?.to_vec())
        };
        compio::time::timeout(REQUEST_TIMEOUT, exchange).await?
    }

    async fn request(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<cyper::Response, BoxError> {
        let url = format!("http://{}{path}", self.address);
        let mut request = self.client.request(method, url)?;
        for (name, value) in headers {
            request = request.header(*name, *value)?;
        }
        Ok(request.body(body).send().await?)
    }

    /// Sends a completion request and reads its streamed answer to the end. Adds the number of
    /// its events to `events` as they arrive.
    pub async fn stream(&self, body: String, events: &Rc<Cell<u64>>) -> Result<(), BoxError> {
        let headers = [("mangofront-organisation", "organisation-00000")];
        let response = self
            .request(Method::POST, "/v1/completions", &headers, body)
            .await?;
        if !response.status().is_success() {
            return Err(format!("stream: {}", response.text().await?).into());
        }
        let mut chunks = response.bytes_stream();
        while let Some(chunk) = chunks.next().await {
            let chunk = chunk?;
            let event_ends = chunk.windows(2).filter(|pair| pair == b"\n\n").count();
            events.set(events.get() + event_ends as u64);
        }
        Ok(())
    }
}
