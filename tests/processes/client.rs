//! HTTP client of the tests, whose answers can be recorded for snapshots.

use std::cell::RefCell;
use std::error::Error;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt;
use http::Method;
use serde_json::Value;

/// Time limit for one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Headers that [`Answer::record`] includes.
const RECORDED_HEADERS: [&str; 5] = [
    "connection",
    "content-type",
    "retry-after",
    "mangofront-replayed",
    "cache-control",
];

/// End of an event of a streamed answer.
const EVENT_END: &[u8] = b"\n\n";

thread_local! {
    static RUNTIME: compio::runtime::Runtime =
        compio::runtime::Runtime::new().expect("the runtime starts");
    static CLIENT: RefCell<Option<cyper::Client>> = const { RefCell::new(None) };
}

/// An answer, as far as it was received.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status code; 0 if the exchange failed before the head of the answer.
    pub status: u16,
    /// The headers of [`RECORDED_HEADERS`] that the answer has.
    pub headers: Vec<(String, String)>,
    /// Body, as far as it was received.
    pub body: String,
    /// Whether the body was received to its end.
    pub body_complete: bool,
    /// Whether a connection was established.
    pub connected: bool,
    /// Why the answer is incomplete, unless the test itself disconnected.
    #[expect(dead_code, reason = "read in the message of a test that fails")]
    pub failure: Option<ExchangeFailure>,
    /// Time from the request until the answer was complete or the exchange failed.
    #[expect(dead_code, reason = "read in the message of a test that fails")]
    pub elapsed: Duration,
}

/// How an exchange failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExchangeFailure {
    /// The request could not be built.
    Request(String),
    /// No connection was established.
    Connect(String),
    /// The connection ended before the head of the answer.
    Head(String),
    /// The connection ended within the body of the answer.
    Body(String),
    /// The exchange took longer than [`EXCHANGE_TIMEOUT`].
    TimedOut,
}

impl Answer {
    /// Result of an exchange that failed before the head of the answer.
    fn failed(failure: ExchangeFailure) -> Self {
        Self {
            status: 0,
            headers: Vec::new(),
            body: String::new(),
            body_complete: false,
            connected: !matches!(failure, ExchangeFailure::Connect(_)),
            failure: Some(failure),
            elapsed: Duration::ZERO,
        }
    }

    /// The outcome in an error, which is the body or the last event of the answer.
    pub fn outcome(&self) -> Option<String> {
        let last = self.body.trim_end().rsplit("\n\n").next()?;
        let data = last.strip_prefix("data: ").unwrap_or(last);
        let error: Value = serde_json::from_str(data).ok()?;
        error["error"]["outcome"].as_str().map(str::to_owned)
    }

    /// Returns whether the answer was received to its end and without an error.
    pub fn is_complete(&self) -> bool {
        let streamed = self.body.starts_with("data: ");
        let ended = !streamed || self.body.ends_with("data: [DONE]\n\n");
        self.status == 200 && self.body_complete && ended
    }

    /// The body as JSON; null if it isn't JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Status, headers and body as text for a snapshot, without values that change from run to
    /// run.
    pub fn record(&self) -> String {
        use std::fmt::Write;
        let mut record = format!("{}\n", self.status);
        for (name, value) in &self.headers {
            writeln!(record, "{name}: {value}").expect("a string can be written");
        }
        let end = if self.body_complete {
            ""
        } else {
            "\n<broken off>"
        };
        format!("{record}\n{}{end}", normalise(&self.body))
    }

    /// Text of the generated tokens, of a streamed or a plain answer.
    pub fn text(&self) -> String {
        let pieces = if self.body.starts_with("data: ") {
            let events = self
                .body
                .split("\n\n")
                .filter_map(|event| event.strip_prefix("data: "));
            events
                .filter_map(|data| serde_json::from_str::<Value>(data).ok())
                .collect()
        } else {
            vec![self.json()]
        };
        pieces
            .iter()
            .filter_map(|piece| choice_text(&piece["choices"][0]))
            .collect()
    }
}

fn choice_text(choice: &Value) -> Option<&str> {
    let places = [
        &choice["text"],
        &choice["delta"]["content"],
        &choice["message"]["content"],
    ];
    places.into_iter().find_map(Value::as_str)
}

/// Replaces IDs and creation times with a fixed text.
pub fn normalise(text: &str) -> String {
    let mut normal = text.to_owned();
    for (start, end) in [
        ("\"id\":\"", "\""),
        ("\"request_id\":\"", "\""),
        ("\"created\":", ","),
    ] {
        normal = replace_between(&normal, start, end);
    }
    normal
}

fn replace_between(text: &str, start: &str, end: &str) -> String {
    let mut pieces = text.split(start);
    let mut replaced = pieces.next().unwrap_or_default().to_owned();
    for piece in pieces {
        let rest = piece.find(end).map_or("", |at| &piece[at..]);
        replaced.push_str(start);
        replaced.push('*');
        replaced.push_str(rest);
    }
    replaced
}

/// Sends requests with fixed headers to one address.
#[derive(Debug, Clone)]
pub struct HttpClient {
    address: String,
    headers: Vec<(&'static str, String)>,
}

impl HttpClient {
    /// Client for `address`, as the organisation `tuul`.
    pub fn new(address: String) -> Self {
        let organisation = ("mangofront-organisation", "tuul".to_owned());
        Self {
            address,
            headers: vec![organisation],
        }
    }

    /// The same client with the header `name` set to `value`.
    pub fn with_header(&self, name: &'static str, value: &str) -> Self {
        let mut client = self.clone();
        client.headers.retain(|(existing, _)| *existing != name);
        client.headers.push((name, value.to_owned()));
        client
    }

    /// The same client without the header `name`.
    pub fn without_header(&self, name: &'static str) -> Self {
        let mut client = self.clone();
        client.headers.retain(|(existing, _)| *existing != name);
        client
    }

    pub fn get(&self, path: &str) -> Answer {
        self.send(Method::GET, path, Bytes::new())
    }

    pub fn post(&self, path: &str, body: &Value) -> Answer {
        self.send(Method::POST, path, Bytes::from(body.to_string()))
    }

    pub fn put(&self, path: &str, body: &Value) -> Answer {
        self.send(Method::PUT, path, Bytes::from(body.to_string()))
    }

    /// Sends a request and reads its answer to the end.
    pub fn send(&self, method: Method, path: &str, body: Bytes) -> Answer {
        let exchange = self.exchange(method, path, body, usize::MAX);
        RUNTIME.with(|runtime| runtime.block_on(exchange))
    }

    /// Sends a request and disconnects after `events` events of its answer.
    pub fn disconnect_after(&self, events: usize, path: &str, body: &Value) -> Answer {
        let body = Bytes::from(body.to_string());
        let exchange = self.exchange(Method::POST, path, body, events);
        RUNTIME.with(|runtime| runtime.block_on(exchange))
    }

    async fn exchange(&self, method: Method, path: &str, body: Bytes, events: usize) -> Answer {
        let started = Instant::now();
        let limited = compio::time::timeout(
            EXCHANGE_TIMEOUT,
            self.try_exchange(method, path, body, events),
        );
        let answer = match limited.await {
            Ok(exchanged) => exchanged.unwrap_or_else(Answer::failed),
            Err(_elapsed) => Answer::failed(ExchangeFailure::TimedOut),
        };
        Answer {
            elapsed: started.elapsed(),
            ..answer
        }
    }

    async fn try_exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        events: usize,
    ) -> Result<Answer, ExchangeFailure> {
        // Each exchange has its own client, since a pooled connection of one exchange could hide
        // a failure of another.
        let client = mangofront_http::client().map_err(request_error)?;
        let url = format!("http://{}{path}", self.address);
        let mut request = client.request(method, url).map_err(request_error)?;
        for (name, value) in &self.headers {
            request = request
                .header(*name, value.as_str())
                .map_err(request_error)?;
        }
        let response = request.body(body).send().await.map_err(head_error)?;
        let status = response.status().as_u16();
        let headers = RECORDED_HEADERS.iter().filter_map(|name| {
            let value = response.headers().get(*name)?.to_str().ok()?;
            Some(((*name).to_owned(), value.to_owned()))
        });
        let headers = headers.collect();
        let mut chunks = response.bytes_stream();
        let mut content = Vec::new();
        let mut seen_events = 0;
        let mut body_complete = true;
        let mut failure = None;
        while let Some(chunk) = chunks.next().await {
            match chunk {
                Ok(chunk) => {
                    // Scans only the new bytes. Scanning an answer of thousands of events from
                    // its start for each chunk took half a minute.
                    let unscanned = content.len().saturating_sub(EVENT_END.len() - 1);
                    content.extend_from_slice(&chunk);
                    seen_events += count_event_ends(&content[unscanned..]);
                }
                Err(error) => {
                    body_complete = false;
                    failure = Some(ExchangeFailure::Body(error_chain(&error)));
                    break;
                }
            }
            if seen_events >= events {
                body_complete = false;
                break;
            }
        }
        let body = String::from_utf8_lossy(&content).into_owned();
        Ok(Answer {
            status,
            headers,
            body,
            body_complete,
            connected: true,
            failure,
            elapsed: Duration::ZERO,
        })
    }
}

/// Number of events that end in a part of an answer.
fn count_event_ends(part: &[u8]) -> usize {
    let pairs = part.windows(EVENT_END.len());
    pairs.filter(|pair| *pair == EVENT_END).count()
}

fn request_error(error: impl Error) -> ExchangeFailure {
    ExchangeFailure::Request(error_chain(&error))
}

fn head_error(error: cyper::Error) -> ExchangeFailure {
    match &error {
        cyper::Error::HyperClient(cause) if cause.is_connect() => {
            ExchangeFailure::Connect(error_chain(&error))
        }
        _ => ExchangeFailure::Head(error_chain(&error)),
    }
}

/// The messages of an error and all its sources.
fn error_chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}
