//! A caller that speaks HTTP and writes its session down.

use std::cell::RefCell;
use std::error::Error;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt;
use http::Method;
use serde_json::Value;

/// Longest time for one exchange.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(30);

/// Headers of an answer that are part of a session's record.
const RECORDED: [&str; 5] = [
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

/// An answer, whole.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status; 0 when the exchange broke.
    pub status: u16,
    /// Recorded headers.
    pub headers: Vec<(String, String)>,
    /// Body, as far as it came.
    pub body: String,
    /// Whether the body ended regularly.
    pub whole: bool,
    /// Whether a connection was made at all.
    pub connected: bool,
    /// What kept the answer from being whole, if anything did.
    #[expect(dead_code, reason = "read in the message of a test that fails")]
    pub failure: Option<ExchangeFailure>,
    /// Time from the request until the answer was whole or the exchange failed.
    #[expect(dead_code, reason = "read in the message of a test that fails")]
    pub took: Duration,
}

/// How an exchange failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExchangeFailure {
    /// The request could not be made.
    Request(String),
    /// No connection was made.
    Connect(String),
    /// The connection ended before the answer's head.
    Head(String),
    /// The connection ended within the answer's body.
    Body(String),
    /// Nothing had ended after [`EXCHANGE_LIMIT`].
    Unanswered,
}

impl Answer {
    /// An exchange that came to no head of an answer.
    fn failed(failure: ExchangeFailure) -> Self {
        Self {
            status: 0,
            headers: Vec::new(),
            body: String::new(),
            whole: false,
            connected: !matches!(failure, ExchangeFailure::Connect(_)),
            failure: Some(failure),
            took: Duration::ZERO,
        }
    }

    /// Outcome that an error tells, in the body or as the last event.
    pub fn outcome(&self) -> Option<String> {
        let last = self.body.trim_end().rsplit("\n\n").next()?;
        let data = last.strip_prefix("data: ").unwrap_or(last);
        let error: Value = serde_json::from_str(data).ok()?;
        error["error"]["outcome"].as_str().map(str::to_owned)
    }

    /// Whether the answer is whole and without an error.
    pub fn is_complete(&self) -> bool {
        let streamed = self.body.starts_with("data: ");
        let ended = !streamed || self.body.ends_with("data: [DONE]\n\n");
        self.status == 200 && self.whole && ended
    }

    /// Body as JSON, null when it is none.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// The record of this answer, without what changes from run to run.
    pub fn record(&self) -> String {
        use std::fmt::Write;
        let mut record = format!("{}\n", self.status);
        for (name, value) in &self.headers {
            writeln!(record, "{name}: {value}").expect("a string can be written");
        }
        let end = if self.whole { "" } else { "\n<broken off>" };
        format!("{record}\n{}{end}", normalise(&self.body))
    }

    /// Text of the answer's tokens, of a streamed or a plain answer.
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

/// Puts a fixed text in the place of ids, times and addresses.
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

/// One caller of one address.
#[derive(Debug, Clone)]
pub struct Caller {
    address: String,
    headers: Vec<(&'static str, String)>,
}

impl Caller {
    /// Caller of `address` as organisation tuul.
    pub fn new(address: String) -> Self {
        let organisation = ("mangofront-organisation", "tuul".to_owned());
        Self {
            address,
            headers: vec![organisation],
        }
    }

    /// The same caller with another header.
    pub fn with(&self, name: &'static str, value: &str) -> Self {
        let mut caller = self.clone();
        caller.headers.retain(|(known, _)| *known != name);
        caller.headers.push((name, value.to_owned()));
        caller
    }

    /// The same caller without a header.
    pub fn without(&self, name: &'static str) -> Self {
        let mut caller = self.clone();
        caller.headers.retain(|(known, _)| *known != name);
        caller
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

    /// Sends a request and reads its answer whole.
    pub fn send(&self, method: Method, path: &str, body: Bytes) -> Answer {
        let exchange = self.exchange(method, path, body, usize::MAX);
        RUNTIME.with(|runtime| runtime.block_on(exchange))
    }

    /// Sends a request, reads `events` events of its answer and goes away.
    pub fn leave_after(&self, events: usize, path: &str, body: &Value) -> Answer {
        let body = Bytes::from(body.to_string());
        let exchange = self.exchange(Method::POST, path, body, events);
        RUNTIME.with(|runtime| runtime.block_on(exchange))
    }

    async fn exchange(&self, method: Method, path: &str, body: Bytes, events: usize) -> Answer {
        let started = Instant::now();
        let limited = compio::time::timeout(
            EXCHANGE_LIMIT,
            self.try_exchange(method, path, body, events),
        );
        let answer = match limited.await {
            Ok(exchanged) => exchanged.unwrap_or_else(Answer::failed),
            Err(_elapsed) => Answer::failed(ExchangeFailure::Unanswered),
        };
        Answer {
            took: started.elapsed(),
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
        // A client of its own for each exchange: no pooled connection of one
        // exchange may hide what happens to another.
        let client = mangofront_http::client().map_err(unsendable)?;
        let url = format!("http://{}{path}", self.address);
        let mut request = client.request(method, url).map_err(unsendable)?;
        for (name, value) in &self.headers {
            request = request.header(*name, value.as_str()).map_err(unsendable)?;
        }
        let response = request.body(body).send().await.map_err(no_head)?;
        let status = response.status().as_u16();
        let headers = RECORDED.iter().filter_map(|name| {
            let value = response.headers().get(*name)?.to_str().ok()?;
            Some(((*name).to_owned(), value.to_owned()))
        });
        let headers = headers.collect();
        let mut chunks = response.bytes_stream();
        let mut content = Vec::new();
        let mut seen_events = 0;
        let mut whole = true;
        let mut failure = None;
        while let Some(chunk) = chunks.next().await {
            match chunk {
                Ok(chunk) => {
                    // Only what is new: an answer of thousands of events is read in a
                    // moment, but looked through from its start each time in half a minute.
                    let unseen = content.len().saturating_sub(EVENT_END.len() - 1);
                    content.extend_from_slice(&chunk);
                    seen_events += event_ends(&content[unseen..]);
                }
                Err(error) => {
                    whole = false;
                    failure = Some(ExchangeFailure::Body(chain(&error)));
                    break;
                }
            }
            if seen_events >= events {
                whole = false;
                break;
            }
        }
        let body = String::from_utf8_lossy(&content).into_owned();
        Ok(Answer {
            status,
            headers,
            body,
            whole,
            connected: true,
            failure,
            took: Duration::ZERO,
        })
    }
}

/// Ends of events in a part of an answer.
fn event_ends(part: &[u8]) -> usize {
    let pairs = part.windows(EVENT_END.len());
    pairs.filter(|pair| *pair == EVENT_END).count()
}

fn unsendable(error: impl Error) -> ExchangeFailure {
    ExchangeFailure::Request(chain(&error))
}

fn no_head(error: cyper::Error) -> ExchangeFailure {
    match &error {
        cyper::Error::HyperClient(cause) if cause.is_connect() => {
            ExchangeFailure::Connect(chain(&error))
        }
        _ => ExchangeFailure::Head(chain(&error)),
    }
}

/// An error and all its causes.
fn chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}
