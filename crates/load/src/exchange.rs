//! One request and its answer, timed and checked.

use std::time::{Duration, Instant};

use bytes::Bytes;
use cyper::{Client, Response};
use futures_util::{Stream, StreamExt};
use mangofront_http::{ErrorBody, ErrorDetail, Outcome, events, headers};

use crate::dialect::{Chunk, ServiceAnswer};
use crate::sample::End;
use crate::verify::{Check, Expected, WrongAnswer};

/// Data of the event that ends a stream.
const END_MARK: &str = "[DONE]";

/// Code of a connection that broke or was not made.
const CONNECTION: &str = "connection";

/// Code of an answer that was not whole within the tool's time limit.
const CLIENT_TIMEOUT: &str = "client_timeout";

/// Code of an error answer without a typed body.
const UNTYPED: &str = "untyped";

/// A request to send.
#[derive(Debug, Clone)]
pub struct Outgoing {
    /// Whole URL.
    pub url: String,
    /// Names and values of the headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
    /// What the answer is checked against.
    pub answer: Answer,
    /// Time after which the tool gives up.
    pub time_limit: Duration,
}

/// Form of the answer that is expected.
#[derive(Debug, Clone, Copy)]
pub enum Answer {
    /// Stream of events, as callers of a daemon or an engine get it.
    Stream(Expected),
    /// One JSON object with the whole text.
    Json(Expected),
    /// The answer of a service.
    Service,
}

/// What a request came to.
#[derive(Debug)]
pub struct Exchanged {
    /// Id that the daemon gave.
    pub request_id: Option<String>,
    /// Time from sending to the first token.
    pub first_token: Option<Duration>,
    /// Time from sending to the end.
    pub total: Duration,
    /// Times between tokens of a stream.
    pub gaps: Vec<Duration>,
    /// Tokens received.
    pub tokens: u32,
    /// How often the key of a service call ran, by the answer.
    pub executions: Option<u64>,
    /// How it ended.
    pub end: End,
}

/// Sends `outgoing` and reads its answer whole, within its time limit.
pub async fn exchange(client: &Client, outgoing: Outgoing) -> Exchanged {
    let mut reading = Reading::new(outgoing.answer);
    let time_limit = outgoing.time_limit;
    let ended = compio::time::timeout(time_limit, reading.run(client, outgoing)).await;
    let end = match ended {
        Ok(Ok(())) => End::Done,
        Ok(Err(end)) => end,
        Err(_) => End::Failed {
            code: CLIENT_TIMEOUT.to_owned(),
            outcome: Outcome::Unknown,
            message: format!("no whole answer within {time_limit:?}"),
        },
    };
    reading.finish(end)
}

/// An answer while it is read.
struct Reading {
    sent: Instant,
    answer: Answer,
    request_id: Option<String>,
    first_token: Option<Duration>,
    last_token: Option<Instant>,
    gaps: Vec<Duration>,
    tokens: u32,
    executions: Option<u64>,
}

impl Reading {
    fn new(answer: Answer) -> Self {
        Self {
            sent: Instant::now(),
            answer,
            request_id: None,
            first_token: None,
            last_token: None,
            gaps: Vec::new(),
            tokens: 0,
            executions: None,
        }
    }

    fn finish(self, end: End) -> Exchanged {
        Exchanged {
            request_id: self.request_id,
            first_token: self.first_token,
            total: self.sent.elapsed(),
            gaps: self.gaps,
            tokens: self.tokens,
            executions: self.executions,
            end,
        }
    }

    async fn run(&mut self, client: &Client, outgoing: Outgoing) -> Result<(), End> {
        let response = send(client, outgoing).await?;
        self.request_id = header(&response, headers::REQUEST_ID);
        if !response.status().is_success() {
            return Err(refusal(response).await);
        }
        match self.answer {
            Answer::Stream(expected) => self.read_stream(response, expected).await,
            Answer::Json(expected) => self.read_json(response, expected).await,
            Answer::Service => self.read_service(response).await,
        }
    }

    async fn read_stream(&mut self, response: Response, expected: Expected) -> Result<(), End> {
        let mut check = Check::new(expected);
        let mut events = std::pin::pin!(events(response.bytes_stream()));
        while let Some(event) = events.next().await {
            let event = event.map_err(broken)?;
            if event.data == END_MARK {
                check.end().map_err(wrong)?;
                return no_more(events).await;
            }
            let chunk: Chunk = serde_json::from_str(&event.data).map_err(malformed)?;
            if let Some(error) = chunk.error {
                no_more(events).await?;
                return Err(self.broken_off(error));
            }
            self.take(chunk, &mut check).map_err(wrong)?;
        }
        Err(wrong(WrongAnswer::NoEndMark))
    }

    fn take(&mut self, chunk: Chunk, check: &mut Check) -> Result<(), WrongAnswer> {
        let (text, finish_reason) = chunk.text_and_finish();
        if let Some(text) = text.filter(|text| !text.is_empty()) {
            if let Some(offset) = chunk.offset {
                check.offset(offset)?;
            }
            check.text(text)?;
            self.token_came();
            self.tokens = check.tokens();
        }
        match finish_reason {
            Some(reason) => check.finish_reason(reason),
            None => Ok(()),
        }
    }

    /// End of a stream whose last event is an error.
    fn broken_off(&self, error: ErrorDetail) -> End {
        match error.outcome {
            Outcome::NotRun if self.first_token.is_some() => wrong(WrongAnswer::NotRunAfterTokens),
            Outcome::NotRun | Outcome::Failed | Outcome::Unknown => error_end(error),
        }
    }

    fn token_came(&mut self) {
        let now = Instant::now();
        match self.last_token.replace(now) {
            None => self.first_token = Some(now - self.sent),
            Some(last) => self.gaps.push(now - last),
        }
    }

    async fn read_json(&mut self, response: Response, expected: Expected) -> Result<(), End> {
        let body = response.bytes().await.map_err(broken)?;
        let chunk: Chunk = serde_json::from_slice(&body).map_err(malformed)?;
        let mut check = Check::new(expected);
        self.take(chunk, &mut check).map_err(wrong)?;
        check.end().map_err(wrong)
    }

    async fn read_service(&mut self, response: Response) -> Result<(), End> {
        let body = response.bytes().await.map_err(broken)?;
        let answer: ServiceAnswer = serde_json::from_slice(&body).map_err(malformed)?;
        self.executions = Some(answer.executions);
        match answer.executions {
            1 => Ok(()),
            other => Err(End::WrongAnswer {
                problem: format!("key ran {other} times"),
            }),
        }
    }
}

async fn send(client: &Client, outgoing: Outgoing) -> Result<Response, End> {
    let mut request = client.post(&outgoing.url).map_err(broken)?;
    for (name, value) in outgoing.headers {
        request = request.header(name, value).map_err(broken)?;
    }
    request.body(outgoing.body).send().await.map_err(broken)
}

async fn no_more<E>(mut events: impl Stream<Item = E> + Unpin) -> Result<(), End> {
    match events.next().await {
        None => Ok(()),
        Some(_) => Err(wrong(WrongAnswer::Malformed(
            "an event follows the last one".to_owned(),
        ))),
    }
}

async fn refusal(response: Response) -> End {
    let body = match response.bytes().await {
        Ok(body) => body,
        Err(error) => return broken(error),
    };
    match serde_json::from_slice::<ErrorBody>(&body) {
        Ok(body) => error_end(body.error),
        Err(error) => End::Failed {
            code: UNTYPED.to_owned(),
            outcome: Outcome::Unknown,
            message: error.to_string(),
        },
    }
}

fn error_end(error: ErrorDetail) -> End {
    let code = error.code;
    match error.outcome {
        Outcome::NotRun => End::Refused { code },
        outcome @ (Outcome::Failed | Outcome::Unknown) => End::Failed {
            code,
            outcome,
            message: match error.peer {
                Some(peer) => format!("{} at {peer}: {}", error.step, error.message),
                None => format!("{}: {}", error.step, error.message),
            },
        },
    }
}

fn broken(error: impl std::fmt::Display) -> End {
    End::Failed {
        code: CONNECTION.to_owned(),
        outcome: Outcome::Unknown,
        message: error.to_string(),
    }
}

fn wrong(answer: WrongAnswer) -> End {
    End::WrongAnswer {
        problem: answer.to_string(),
    }
}

fn malformed(error: serde_json::Error) -> End {
    wrong(WrongAnswer::Malformed(error.to_string()))
}

fn header(response: &Response, name: &str) -> Option<String> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}
