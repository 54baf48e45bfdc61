//! Runs an emulator on loopback and calls it.

use std::net::SocketAddr;

use compio::net::TcpListener;
use compio::runtime::JoinHandle;
use http::Method;
use mangofront_http::{Shutdown, ShutdownTrigger};

/// Running emulator with a client.
pub struct Session {
    address: SocketAddr,
    client: cyper::Client,
    trigger: ShutdownTrigger,
    running: JoinHandle<()>,
}

impl Session {
    pub async fn start<R>(run: impl FnOnce(TcpListener, Shutdown) -> R) -> Self
    where
        R: Future<Output = ()> + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let (trigger, shutdown) = Shutdown::new();
        Self {
            address,
            client: mangofront_http::client().expect("client"),
            trigger,
            running: compio::runtime::spawn(run(listener, shutdown)),
        }
    }

    /// Returns status and body of a response, or an error if the connection broke.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&'static str, &str)],
        body: &str,
    ) -> cyper::Result<String> {
        let url = format!("http://{}{path}", self.address);
        let method = Method::from_bytes(method.as_bytes()).expect("method");
        let mut request = self.client.request(method, url).expect("URL");
        for (name, value) in headers {
            request = request.header(*name, *value).expect("header");
        }
        let response = request.body(body.to_owned()).send().await?;
        let status = response.status().as_u16();
        let answer = response.text().await.expect("body");
        Ok(format!("{status} {answer}"))
    }

    pub async fn stop(self) {
        self.trigger.trigger();
        drop(self.client);
        self.running.await.expect("emulator task panicked");
    }
}
