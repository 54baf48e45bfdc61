//! One attempt at a request, from its placement to its last token.
//!
//! An engine without output may just be slow, especially before the first token of a
//! long prompt, or stand still for a moment. So silence never ends an attempt. A silent
//! stream is resumed on another connection, which distinguishes a slow engine from one
//! that has lost the stream; meanwhile and if that fails, the stream is read on the
//! connection that it has.

use std::pin::pin;
use std::time::{Duration, Instant};

use futures_util::future::{Either, LocalBoxFuture, select};
use http::StatusCode;
use mangofront_placement::PlacedRequest;
use mangofront_upstream::engine::{self, EngineStream, Frame, GenerateCall};
use mangofront_upstream::reservation::GroupReservation;
use mangofront_upstream::{Connections, SendError, Target};

/// Time without a first token after which an attempt is silent.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without a further token after which an attempt is silent.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit for an engine to resume a stream.
const RESUME_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest pause between two checks of a silent attempt.
const MAX_SILENCE_PAUSE: Duration = Duration::from_secs(8);

/// An attempt that its engine has confirmed.
#[derive(Debug)]
pub(super) struct Started {
    pub(super) stream: EngineStream,
    pub(super) call: GenerateCall,
    /// Keeps the memory of the group reserved until the attempt has ended.
    pub(super) _reservation: Option<GroupReservation>,
}

/// Start of an attempt in progress.
pub(super) type Start = LocalBoxFuture<'static, Result<Started, SendError>>;

/// Resumption of a stream in progress.
type Resumption = LocalBoxFuture<'static, Result<EngineStream, SendError>>;

/// What an attempt yields next.
#[derive(Debug)]
pub(super) enum AttemptEvent {
    /// The next token of the answer.
    Token(Frame),
    /// The attempt has ended: the engine lost it or did not run it, or the request's
    /// deadline has passed.
    Failed(SendError),
    /// No token came in time, and nothing shows whether one will come.
    Silent,
}

/// Whether an engine has confirmed an attempt.
enum Stage {
    Starting(Start),
    Started(Box<Started>),
}

/// An attempt in flight.
pub(super) struct Attempt {
    pub(super) placed: PlacedRequest,
    connections: Connections,
    target: Target,
    deadline: Instant,
    stage: Stage,
    /// Whether the connection of the stream is open, as far as is known.
    is_connected: bool,
    /// Resumption of the stream on another connection.
    resumption: Option<Resumption>,
    /// Time at which the attempt is silent if no token arrives.
    silent_at: Instant,
    /// Time between the last two checks for silence; grows while there is no token.
    pause: Duration,
    /// Number of tokens received from this attempt.
    generated_tokens: u32,
}

impl std::fmt::Debug for Attempt {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Attempt")
            .field("target", &self.target)
            .field("generated_tokens", &self.generated_tokens)
            .finish_non_exhaustive()
    }
}

impl Attempt {
    /// An attempt at the engine of `placed`, which `start` sends.
    pub(super) fn new(
        connections: Connections,
        placed: PlacedRequest,
        start: Start,
        deadline: Instant,
    ) -> Self {
        let target = Target {
            instance: placed.instance.clone(),
            address: placed.address,
        };
        // The start includes the prefill on a group, which may take long.
        let pause = match placed.group {
            Some(_) => deadline.saturating_duration_since(Instant::now()),
            None => FIRST_TOKEN_TIMEOUT,
        };
        Self {
            placed,
            connections,
            target,
            deadline,
            stage: Stage::Starting(start),
            is_connected: true,
            resumption: None,
            silent_at: Instant::now() + pause,
            pause,
            generated_tokens: 0,
        }
    }

    /// Waits for the next token. No token is lost if the future is dropped.
    pub(super) async fn next(&mut self) -> AttemptEvent {
        loop {
            let event = match (&mut self.stage, &mut self.resumption) {
                (Stage::Starting(start), _) => {
                    let started = compio::time::timeout_at(self.silent_at, start).await;
                    match started {
                        Ok(started) => self.handle_started(started),
                        Err(_elapsed) => Some(self.remain_silent()),
                    }
                }
                (Stage::Started(started), None) => {
                    let deadline = self.silent_at.min(self.deadline);
                    let next = started.stream.next(deadline).await;
                    self.handle_next(next)
                }
                (Stage::Started(started), Some(resumption)) if self.is_connected => {
                    match next_or_resumed(&mut started.stream, resumption, self.deadline).await {
                        Either::Left(next) => self.handle_next(next),
                        Either::Right(resumed) => self.handle_resumed(resumed),
                    }
                }
                (Stage::Started(_), Some(resumption)) => {
                    let resumed = resumption.await;
                    self.handle_resumed(resumed)
                }
            };
            if let Some(event) = event {
                return event;
            }
        }
    }

    fn handle_started(&mut self, started: Result<Started, SendError>) -> Option<AttemptEvent> {
        match started {
            Ok(started) => {
                self.stage = Stage::Started(Box::new(started));
                self.restart_pause();
                None
            }
            Err(error) => Some(AttemptEvent::Failed(error)),
        }
    }

    fn handle_next(&mut self, next: Result<Frame, SendError>) -> Option<AttemptEvent> {
        match next {
            Ok(frame) => {
                self.record_token(&frame);
                Some(AttemptEvent::Token(frame))
            }
            Err(SendError::Timeout { .. }) if Instant::now() < self.deadline => {
                if self.start_resumption() {
                    return None;
                }
                Some(self.remain_silent())
            }
            Err(error @ SendError::ConnectionFailed { .. }) if self.start_resumption() => {
                let peer = &self.target.instance;
                log::debug!("entry: a stream of {peer} is being resumed: {error}");
                self.is_connected = false;
                None
            }
            Err(error) => Some(AttemptEvent::Failed(error)),
        }
    }

    fn handle_resumed(&mut self, resumed: Result<EngineStream, SendError>) -> Option<AttemptEvent> {
        self.resumption = None;
        match resumed {
            Ok(stream) => {
                if let Stage::Started(started) = &mut self.stage {
                    std::mem::replace(&mut started.stream, stream).detach();
                }
                self.is_connected = true;
                self.restart_pause();
                None
            }
            Err(error) if self.is_connected && !is_stream_gone(&error) => {
                let peer = &self.target.instance;
                log::debug!("entry: a silent stream of {peer} could not be resumed: {error}");
                Some(self.remain_silent())
            }
            Err(error) => Some(AttemptEvent::Failed(error)),
        }
    }

    fn record_token(&mut self, frame: &Frame) {
        self.generated_tokens += 1;
        if self.generated_tokens == 1 {
            self.placed.record_first_token();
        } else {
            self.placed.record_generated_tokens(self.generated_tokens);
        }
        if let Stage::Started(started) = &mut self.stage {
            started.call.resume_offset = frame.offset + 1;
        }
        self.resumption = None;
        self.restart_pause();
    }

    /// Resumes the stream on another connection unless that is in progress; returns
    /// false if the stream can't be resumed.
    fn start_resumption(&mut self) -> bool {
        if self.resumption.is_some() {
            return true;
        }
        let Stage::Started(started) = &self.stage else {
            return false;
        };
        let Some(stream_id) = started.stream.stream_id().map(str::to_owned) else {
            return false;
        };
        let connections = self.connections.clone();
        let target = self.target.clone();
        let call = started.call.clone();
        let deadline = self.deadline.min(Instant::now() + RESUME_TIMEOUT);
        let resumption =
            async move { engine::resume(&connections, &target, &stream_id, call, deadline).await };
        self.resumption = Some(Box::pin(resumption));
        true
    }

    fn restart_pause(&mut self) {
        self.pause = if self.generated_tokens == 0 {
            FIRST_TOKEN_TIMEOUT
        } else {
            TOKEN_TIMEOUT
        };
        self.silent_at = Instant::now() + self.pause;
    }

    fn remain_silent(&mut self) -> AttemptEvent {
        self.pause = (self.pause * 2).min(MAX_SILENCE_PAUSE);
        self.silent_at = Instant::now() + self.pause;
        AttemptEvent::Silent
    }
}

/// Next token of the stream, or the result of its resumption if that comes first.
async fn next_or_resumed(
    stream: &mut EngineStream,
    resumption: &mut Resumption,
    deadline: Instant,
) -> Either<Result<Frame, SendError>, Result<EngineStream, SendError>> {
    match select(pin!(stream.next(deadline)), resumption).await {
        Either::Left((next, _)) => Either::Left(next),
        Either::Right((resumed, _)) => Either::Right(resumed),
    }
}

/// Whether the engine said that it does not have the stream any more.
fn is_stream_gone(error: &SendError) -> bool {
    match error {
        SendError::Refused { status, .. } => *status == StatusCode::NOT_FOUND,
        _ => false,
    }
}
