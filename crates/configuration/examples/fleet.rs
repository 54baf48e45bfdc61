//! Counts the calls that many readers make to one service: while nothing changes, while the
//! service is down, and after its return.
//!
//! `cargo run --release -p mangofront-configuration --example fleet -- 200 30` runs 200
//! readers in one process against the emulator, each phase for 30 s. With `relayed` as the
//! third argument, no reader watches the service.

use std::error::Error;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpListener;
use mangofront_configuration::{Platform, PlatformOptions};
use mangofront_http::Shutdown;
use mangofront_standin::platform::{self, PlatformSettings};
use serde::Deserialize;

/// Time between two reads of the counters.
const COUNTER_INTERVAL: Duration = Duration::from_secs(1);

const CONFIGURATION: &str = r#"{"classes": {}, "organisations": {}}"#;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Arguments of the run.
struct Arguments {
    readers: u64,
    phase: Duration,
    watching: bool,
}

/// Numbers of calls that the service counted.
#[derive(Debug, Default, Clone, Copy, Deserialize)]
struct Counters {
    reads: u64,
    watches: u64,
}

impl Counters {
    fn calls(self) -> u64 {
        self.reads + self.watches
    }
}

/// Client of the emulator's control interface.
struct Control {
    client: cyper::Client,
    address: SocketAddr,
}

impl Control {
    async fn send(&self, method: http::Method, path: &str, body: &'static str) -> Result<Bytes> {
        let url = format!("http://{}/control{path}", self.address);
        let request = self.client.request(method, url)?.body(body);
        Ok(request.send().await?.bytes().await?)
    }

    async fn counters(&self) -> Result<Counters> {
        let answer = self.send(http::Method::GET, "/counters", "").await?;
        Ok(serde_json::from_slice(&answer)?)
    }

    /// Waits for the length of a phase and prints its calls.
    async fn phase(&self, name: &str, arguments: &Arguments) -> Result<()> {
        let first = self.counters().await?;
        let mut last = first;
        let mut max_calls_per_second = 0;
        let started = Instant::now();
        while started.elapsed() < arguments.phase {
            compio::time::sleep(COUNTER_INTERVAL).await;
            let now = self.counters().await?;
            max_calls_per_second = max_calls_per_second.max(now.calls() - last.calls());
            last = now;
        }
        let calls = last.calls() - first.calls();
        let minutes = started.elapsed().as_secs_f64() / 60.0;
        let calls_per_minute = calls as f64 / minutes / arguments.readers as f64;
        println!(
            "{name}: {calls} calls, {calls_per_minute:.1} a minute and reader, at most {max_calls_per_second} in a second"
        );
        Ok(())
    }
}

fn arguments() -> Result<Arguments> {
    let mut arguments = std::env::args().skip(1);
    let readers = arguments.next().unwrap_or("200".to_owned()).parse()?;
    let phase_s = arguments.next().unwrap_or("30".to_owned()).parse()?;
    Ok(Arguments {
        readers,
        phase: Duration::from_secs(phase_s),
        watching: arguments.next().as_deref() != Some("relayed"),
    })
}

/// Waits until every reader has revision 2, at most for `limit`, and prints the time it
/// took.
async fn wait_until_everywhere(readers: &[Platform], limit: Duration) {
    let started = Instant::now();
    let is_updated = |reader: &Platform| {
        reader
            .configuration()
            .is_some_and(|accepted| accepted.revision >= 2)
    };
    while started.elapsed() < limit && !readers.iter().all(is_updated) {
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    let updated = readers.iter().filter(|reader| is_updated(reader)).count();
    let elapsed = started.elapsed();
    println!(
        "new revision: at {updated} of {} readers after {elapsed:.1?}",
        readers.len()
    );
}

#[compio::main]
async fn main() -> Result<()> {
    let arguments = arguments()?;
    let settings = PlatformSettings {
        configuration: Some(serde_json::from_str(CONFIGURATION)?),
        instances: Some(serde_json::json!({ "instances": [] })),
        ..PlatformSettings::default()
    };
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (_trigger, shutdown) = Shutdown::new();
    let _service = compio::runtime::spawn(platform::run(listener, settings, shutdown));
    let control = Control {
        client: mangofront_http::client()?,
        address,
    };
    let mut readers = Vec::new();
    for _ in 0..arguments.readers {
        let options = PlatformOptions::builder(address).watching(arguments.watching);
        readers.push(Platform::start(options.build())?);
    }
    control.phase("start", &arguments).await?;
    control.phase("steady", &arguments).await?;
    control
        .send(http::Method::POST, "", r#"{"down": true}"#)
        .await?;
    control.phase("down", &arguments).await?;
    control
        .send(http::Method::PUT, "/configuration", CONFIGURATION)
        .await?;
    control
        .send(http::Method::POST, "", r#"{"down": false}"#)
        .await?;
    wait_until_everywhere(&readers, 4 * arguments.phase).await;
    control.phase("back", &arguments).await
}
