//! HTTP towards daemons and stand-ins.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use http::Method;
use serde_json::Value;

use crate::Failure;

/// Longest time for a short exchange.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(30);

/// A client of one address.
#[derive(Debug, Clone)]
pub struct Caller {
    client: cyper::Client,
    address: String,
}

impl Caller {
    pub fn new(address: String) -> Result<Self, Failure> {
        let client = mangofront_http::client()?;
        Ok(Self { client, address })
    }

    /// Whether the daemon knows a configuration.
    pub async fn is_ready(&self) -> bool {
        let answer = self.send(Method::GET, "/v1/models", &[], String::new());
        answer.await.is_ok()
    }

    pub async fn get_json(&self, path: &str) -> Result<Value, Failure> {
        let body = self.send(Method::GET, path, &[], String::new()).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    pub async fn put(&self, path: &str, body: String) -> Result<(), Failure> {
        self.send(Method::PUT, path, &[], body).await?;
        Ok(())
    }

    pub async fn post(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<(), Failure> {
        self.send(Method::POST, path, headers, body).await?;
        Ok(())
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<Vec<u8>, Failure> {
        let exchange = async {
            let response = self.request(method, path, headers, body).await?;
            if !response.status().is_success() {
                let status = response.status();
                return Err(format!("{path}: {status} {}", response.text().await?).into());
            }
            Ok::<_, Failure>(response.bytes().await?.to_vec())
        };
        compio::time::timeout(EXCHANGE_LIMIT, exchange).await?
    }

    async fn request(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<cyper::Response, Failure> {
        let url = format!("http://{}{path}", self.address);
        let mut request = self.client.request(method, url)?;
        for (name, value) in headers {
            request = request.header(*name, *value)?;
        }
        Ok(request.body(body).send().await?)
    }

    /// Reads a streamed answer to its end, counting its events.
    pub async fn stream(&self, body: String, events: &Rc<Cell<u64>>) -> Result<(), Failure> {
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
            let ends = chunk.windows(2).filter(|pair| pair == b"\n\n").count();
            events.set(events.get() + ends as u64);
        }
        Ok(())
    }
}
