//! Sends one request, then times and checks its answer.

use std::time::{Duration, Instant};

use bytes::Bytes;
use cyper::{Client, Response};
use futures_util::{Stream, StreamExt};
use mangofront_http::{ErrorBody, ErrorDetail, Outcome, events, headers};

use crate::sample::End;
use crate::verify::{AnswerChecker, Expected, WrongAnswer};
use crate::wire::{Chunk, ServiceAnswer};

/// Data of the event that ends a stream.
const DONE_MARKER: &str = "[DONE]";

/// Error code of a connection that failed or could not be established.
const CONNECTION_CODE: &str = "connection";

/// Error code of an answer that was not complete within the tool's time limit.
const CLIENT_TIMEOUT_CODE: &str = "client_timeout";

/// Error code of an error answer whose body is not an [`ErrorBody`].
const UNTYPED_CODE: &str = "untyped";

/// A request to send and how to check its answer.
#[derive(Debug, Clone)]
pub struct OutgoingRequest {
    /// Complete URL.
    pub url: String,
    /// Names and values of the headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
    /// Expected answer.
    pub answer: ExpectedAnswer,
    /// Time after which the tool stops waiting for the answer.
    pub time_limit: Duration,
}

/// Expected format and content of an answer.
#[derive(Debug, Clone, Copy)]
pub enum ExpectedAnswer {
    /// Server-sent events, as a daemon or an engine streams them.
    Stream(Expected),
    /// One JSON object with the complete text.
    Json(Expected),
    /// The answer of a service.
    Service,
}

/// Result of one request.
#[derive(Debug)]
pub struct ExchangeResult {
    /// Request id that the daemon assigned.
    pub request_id: Option<String>,
    /// Time from sending to the first token.
    pub first_token: Option<Duration>,
    /// Time from sending to the end of the exchange.
    pub total: Duration,
    /// Times between tokens of a stream.
    pub inter_token_times: Vec<Duration>,
    /// Tokens received.
    pub tokens: u32,
    /// Number of executions of the service call's key, as its answer reports.
    pub executions: Option<u64>,
    /// How it ended.
    pub end: End,
}

/// Sends `outgoing` and reads its complete answer within its time limit.
pub async fn exchange(client: &Client, outgoing: OutgoingRequest) -> ExchangeResult {
    let mut reader = ResponseReader::new(outgoing.answer);
    let time_limit = outgoing.time_limit;
    let result = compio::time::timeout(time_limit, reader.run(client, outgoing)).await;
    let end = match result {
        Ok(Ok(())) => End::Done,
        Ok(Err(end)) => end,
        Err(_) => End::Failed {
            code: CLIENT_TIMEOUT_CODE.to_owned(),
            outcome: Outcome::Unknown,
            message: format!("no complete answer within {time_limit:?}"),
        },
    };
    reader.finish(end)
}

/// State of one answer while it is read.
struct ResponseReader {
    sent_at: Instant,
    answer: ExpectedAnswer,
    request_id: Option<String>,
    first_token: Option<Duration>,
    last_token: Option<Instant>,
    inter_token_times: Vec<Duration>,
    tokens: u32,
    executions: Option<u64>,
}

impl ResponseReader {
    fn new(answer: ExpectedAnswer) -> Self {
        Self {
            sent_at: Instant::now(),
            answer,
            request_id: None,
            first_token: None,
            last_token: None,
            inter_token_times: Vec::new(),
            tokens: 0,
            executions: None,
        }
    }

    fn finish(self, end: End) -> ExchangeResult {
        ExchangeResult {
            request_id: self.request_id,
            first_token: self.first_token,
            total: self.sent_at.elapsed(),
            inter_token_times: self.inter_token_times,
            tokens: self.tokens,
            executions: self.executions,
            end,
        }
    }

    async fn run(&mut self, client: &Client, outgoing: OutgoingRequest) -> Result<(), End> {
        let response = send(client, outgoing).await?;
        self.request_id = header(&response, headers::REQUEST_ID);
        if !response.status().is_success() {
            return Err(error_response_end(response).await);
        }
        match self.answer {
            ExpectedAnswer::Stream(expected) => self.read_stream(response, expected).await,
            ExpectedAnswer::Json(expected) => self.read_json(response, expected).await,
            ExpectedAnswer::Service => self.read_service(response).await,
        }
    }

    async fn read_stream(&mut self, response: Response, expected: Expected) -> Result<(), End> {
        let mut checker = AnswerChecker::new(expected);
        let mut events = std::pin::pin!(events(response.bytes_stream()));
        while let Some(event) = events.next().await {
            let event = event.map_err(connection_failure)?;
            if event.data == DONE_MARKER {
                checker.end().map_err(wrong_answer)?;
                return expect_end_of_stream(events).await;
            }
            let chunk: Chunk = serde_json::from_str(&event.data).map_err(malformed_answer)?;
            if let Some(error) = chunk.error {
                expect_end_of_stream(events).await?;
                return Err(self.error_event_end(error));
            }
            self.process_chunk(chunk, &mut checker)
                .map_err(wrong_answer)?;
        }
        Err(wrong_answer(WrongAnswer::MissingDoneMarker))
    }

    fn process_chunk(
        &mut self,
        chunk: Chunk,
        checker: &mut AnswerChecker,
    ) -> Result<(), WrongAnswer> {
        let (text, finish_reason) = chunk.text_and_finish();
        if let Some(text) = text.filter(|text| !text.is_empty()) {
            if let Some(offset) = chunk.offset {
                checker.offset(offset)?;
            }
            checker.text(text)?;
            self.record_token();
            self.tokens = checker.tokens();
        }
        match finish_reason {
            Some(reason) => checker.finish_reason(reason),
            None => Ok(()),
        }
    }

    /// Classifies a stream that ended with an error event.
    fn error_event_end(&self, error: ErrorDetail) -> End {
        match error.outcome {
            Outcome::NotRun if self.first_token.is_some() => {
                wrong_answer(WrongAnswer::NotRunAfterTokens)
            }
            Outcome::NotRun | Outcome::Failed | Outcome::Unknown => error_end(error),
        }
    }

    fn record_token(&mut self) {
        let now = Instant::now();
        match self.last_token.replace(now) {
            None => self.first_token = Some(now - self.sent_at),
            Some(last) => self.inter_token_times.push(now - last),
        }
    }

    async fn read_json(&mut self, response: Response, expected: Expected) -> Result<(), End> {
        let body = response.bytes().await.map_err(connection_failure)?;
        let chunk: Chunk = serde_json::from_slice(&body).map_err(malformed_answer)?;
        let mut checker = AnswerChecker::new(expected);
        self.process_chunk(chunk, &mut checker)
            .map_err(wrong_answer)?;
        checker.end().map_err(wrong_answer)
    }

    async fn read_service(&mut self, response: Response) -> Result<(), End> {
        let body = response.bytes().await.map_err(connection_failure)?;
        let answer: ServiceAnswer = serde_json::from_slice(&body).map_err(malformed_answer)?;
        self.executions = Some(answer.executions);
        match answer.executions {
            1 => Ok(()),
            other => Err(End::WrongAnswer {
                problem: format!("key ran {other} times"),
            }),
        }
    }
}

async fn send(client: &Client, outgoing: OutgoingRequest) -> Result<Response, End> {
    let mut request = client.post(&outgoing.url).map_err(connection_failure)?;
    for (name, value) in outgoing.headers {
        request = request.header(name, value).map_err(connection_failure)?;
    }
    request
        .body(outgoing.body)
        .send()
        .await
        .map_err(connection_failure)
}

async fn expect_end_of_stream<E>(mut events: impl Stream<Item = E> + Unpin) -> Result<(), End> {
    match events.next().await {
        None => Ok(()),
        Some(_) => Err(wrong_answer(WrongAnswer::Malformed(
            "event after the end of the stream".to_owned(),
        ))),
    }
}

async fn error_response_end(response: Response) -> End {
    let body = match response.bytes().await {
        Ok(body) => body,
        Err(error) => return connection_failure(error),
    };
    match serde_json::from_slice::<ErrorBody>(&body) {
        Ok(body) => error_end(body.error),
        Err(error) => End::Failed {
            code: UNTYPED_CODE.to_owned(),
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

fn connection_failure(error: impl std::fmt::Display) -> End {
    End::Failed {
        code: CONNECTION_CODE.to_owned(),
        outcome: Outcome::Unknown,
        message: error.to_string(),
    }
}

fn wrong_answer(answer: WrongAnswer) -> End {
    End::WrongAnswer {
        problem: answer.to_string(),
    }
}

fn malformed_answer(error: serde_json::Error) -> End {
    wrong_answer(WrongAnswer::Malformed(error.to_string()))
}

fn header(response: &Response, name: &str) -> Option<String> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}
