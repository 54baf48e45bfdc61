//! Emulated rate-limited weight store, and its client.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use http::{Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use mangofront_http::{Body, ErrorBody, Outcome, ServeLimits, Shutdown, full};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::clock::scale;

/// Delay before a retry if the store is unreachable or sends no `Retry-After`.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Upper bound of the random extension of a retry delay, as a fraction of it.
const RETRY_JITTER: f64 = 0.25;

/// Upper bound on the retry delay that a store can request.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(600);

/// Settings of the emulated weight store.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightsSettings {
    /// Sustained rate limit, in fetches per minute. The limit of the real store
    /// is not known, only that it has one.
    pub fetches_per_minute: f64,
    /// Number of fetches allowed in a burst after an idle period.
    pub burst_fetches: f64,
    /// Time of one transfer, in milliseconds. The default assumes a model of
    /// 70 GB, which takes 5.6 seconds at 100 Gbit/s.
    pub transfer_time_ms: u64,
    /// Factor on the transfer time and on the intervals of the rate limit.
    pub time_scale: f64,
}

impl Default for WeightsSettings {
    fn default() -> Self {
        Self {
            fetches_per_minute: 12.0,
            burst_fetches: 2.0,
            transfer_time_ms: 5_600,
            time_scale: 1.0,
        }
    }
}

/// Response to `GET /control/counters`.
#[derive(Debug, Default, Clone, Copy, Serialize)]
struct Counters {
    served: u64,
    refused: u64,
}

/// Token bucket and counters.
///
/// Invariant: `0 <= fetches <= burst_fetches`.
#[derive(Debug)]
struct Store {
    settings: WeightsSettings,
    fetches: f64,
    filled_at: Instant,
    counters: Counters,
}

impl Store {
    fn new(settings: WeightsSettings) -> Self {
        Self {
            fetches: settings.burst_fetches.max(1.0),
            filled_at: Instant::now(),
            counters: Counters::default(),
            settings,
        }
    }

    /// Takes one fetch from the bucket, or returns the time until one is available.
    fn try_take(&mut self, now: Instant) -> Result<(), Duration> {
        let per_second = self.per_second();
        let age = now.saturating_duration_since(self.filled_at);
        let filled = self.fetches + age.as_secs_f64() * per_second;
        self.fetches = filled.min(self.settings.burst_fetches.max(1.0));
        self.filled_at = now;
        if self.fetches >= 1.0 {
            self.fetches -= 1.0;
            self.counters.served += 1;
            return Ok(());
        }
        self.counters.refused += 1;
        let wait_s = (1.0 - self.fetches) / per_second;
        Err(Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX))
    }

    fn per_second(&self) -> f64 {
        let scale = self.settings.time_scale.max(f64::MIN_POSITIVE);
        self.settings.fetches_per_minute / 60.0 / scale
    }

    fn transfer_time(&self) -> Duration {
        scale(self.settings.transfer_time_ms, self.settings.time_scale)
    }
}

/// Serves an emulated weight store on `listener` until `shutdown`.
pub async fn run(listener: TcpListener, settings: WeightsSettings, shutdown: Shutdown) {
    let store = Rc::new(RefCell::new(Store::new(settings)));
    let handler = move |request, _| answer(Rc::clone(&store), request);
    mangofront_http::serve(listener, ServeLimits::default(), handler, shutdown).await;
}

async fn answer(store: Rc<RefCell<Store>>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match (request.method(), parts.as_slice()) {
        (&Method::GET, ["v1", "weights", model, version]) => {
            let permit = store.borrow_mut().try_take(Instant::now());
            if let Err(wait) = permit {
                return rate_limited(wait);
            }
            let transfer_time = store.borrow().transfer_time();
            compio::time::sleep(transfer_time).await;
            Response::new(full(format!("weights of {model} {version}")))
        }
        (&Method::GET, ["control", "counters"]) => {
            let counters = store.borrow().counters;
            mangofront_http::json(StatusCode::OK, &counters)
        }
        _ => ErrorBody::new("unknown_path", Outcome::NotRun, "route", "no such path")
            .into_response(StatusCode::NOT_FOUND),
    }
}

fn rate_limited(wait: Duration) -> Response<Body> {
    ErrorBody::new("busy", Outcome::NotRun, "fetch", "rate limit is reached")
        .retry_after(wait)
        .into_response(StatusCode::TOO_MANY_REQUESTS)
}

/// Reason for which a fetch attempt failed.
#[derive(Debug, Error)]
enum FetchError {
    #[error("weight store {peer} is unreachable: {message}")]
    Unreachable { peer: SocketAddr, message: String },
    #[error("weight store {peer} returned status {status}")]
    Refused {
        peer: SocketAddr,
        status: StatusCode,
        retry_after: Duration,
    },
}

/// Fetches weights from the store at `address`, retrying until it succeeds.
pub(crate) async fn fetch(address: SocketAddr, model: &str, version: &str) {
    let url = format!("http://{address}/v1/weights/{model}/{version}");
    while let Err(error) = try_fetch(address, &url).await {
        log::info!("standin engine: {error}");
        let retry_delay = match error {
            FetchError::Unreachable { .. } => DEFAULT_RETRY_DELAY,
            FetchError::Refused { retry_after, .. } => retry_after,
        };
        // Jitter spreads the retries of engines that were refused at the same time.
        let jitter = rand::random_range(0.0..RETRY_JITTER);
        compio::time::sleep(retry_delay.mul_f64(1.0 + jitter)).await;
    }
}

async fn try_fetch(peer: SocketAddr, url: &str) -> Result<(), FetchError> {
    let unreachable = |message: String| FetchError::Unreachable { peer, message };
    let client = mangofront_http::client().map_err(|e| unreachable(e.to_string()))?;
    let request = client.get(url).map_err(|e| unreachable(e.to_string()))?;
    let response = request
        .send()
        .await
        .map_err(|e| unreachable(e.to_string()))?;
    let status = response.status();
    if !status.is_success() {
        let retry_after = retry_after(response.headers());
        return Err(FetchError::Refused {
            peer,
            status,
            retry_after,
        });
    }
    response
        .bytes()
        .await
        .map_err(|e| unreachable(e.to_string()))?;
    Ok(())
}

fn retry_after(headers: &http::HeaderMap) -> Duration {
    let value = headers.get(header::RETRY_AFTER);
    let seconds = value.and_then(|value| value.to_str().ok()?.parse().ok());
    seconds.map_or(DEFAULT_RETRY_DELAY, |seconds| {
        Duration::from_secs(seconds).min(MAX_RETRY_DELAY)
    })
}
