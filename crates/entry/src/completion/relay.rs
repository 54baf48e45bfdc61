//! Relaying of streamed answers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::SinkExt;
use http::{HeaderValue, Response, header};
use mangofront_bodies::Purpose;
use mangofront_http::{Body, stream};
use mangofront_upstream::engine::Frame;

use super::attempts::Attempts;
use super::{CompletionRequest, answer};
use crate::context::Entry;
use crate::progress::RequestProgress;

/// Time for the caller's buffer to accept an event after the request's deadline.
const LAST_EVENT_GRACE: Duration = Duration::from_millis(50);

/// Relays an answer from its attempts to the caller.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) entry: Entry,
    pub(crate) request: Rc<CompletionRequest>,
    pub(crate) attempts: Attempts,
    pub(crate) progress: Rc<RequestProgress>,
}

/// Why a relay stopped before the end of the answer.
enum StopReason {
    /// The caller disconnected.
    CallerGone,
    /// No memory is left for tokens that the caller has not read.
    NoRoom,
    /// The caller accepted no token within the stall timeout or the deadline.
    CallerStalled,
}

impl Relay {
    /// Starts the relay's task and returns the response whose body it fills.
    pub(crate) fn start(self, first: Frame) -> Response<Body> {
        let (sender, receiver) = mpsc::channel(self.entry.parts().limits.stream_buffer_frames);
        compio::runtime::spawn(self.run(first, sender)).detach();
        let mut response = Response::new(stream(receiver));
        let content_type = HeaderValue::from_static("text/event-stream");
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
        response
            .headers_mut()
            .insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
        response
    }

    async fn run(mut self, first: Frame, mut sender: mpsc::Sender<Bytes>) {
        let _in_flight = self.entry.parts().metrics.stream_started();
        let request = Rc::clone(&self.request);
        if let Err(stopped) = self.relay(first, &mut sender).await {
            let reason = match stopped {
                StopReason::CallerGone => "caller_gone",
                StopReason::NoRoom => "no_memory",
                StopReason::CallerStalled => "caller_stalled",
            };
            log::debug!("entry: stream of {} stopped: {reason}", request.id);
        }
    }

    async fn relay(
        &mut self,
        first: Frame,
        sender: &mut mpsc::Sender<Bytes>,
    ) -> Result<(), StopReason> {
        let mut frame = first;
        loop {
            self.send(sender, answer::chunk_event(&self.request, &frame))
                .await?;
            if self.attempts.is_finished() {
                self.progress.answered();
                return self.send(sender, answer::done_event()).await;
            }
            frame = match self.attempts.next().await {
                Ok(frame) => frame,
                Err(error) => {
                    self.progress.failed(&error);
                    let last = answer::error_event(&error.body(&self.request.id));
                    return self.send(sender, last).await;
                }
            };
        }
    }

    async fn send(&self, sender: &mut mpsc::Sender<Bytes>, chunk: Bytes) -> Result<(), StopReason> {
        let stalled = Instant::now() + self.entry.parts().limits.stall_timeout;
        // The grace lets tokens that arrive at the last moment and the error about
        // the deadline still reach the caller: a stream that ended without them
        // would look complete.
        let grace = Instant::now() + LAST_EVENT_GRACE;
        let deadline = stalled.min(self.request.caller.deadline.max(grace));
        // Counts for as long as its caller does not read it.
        let memory = &self.entry.parts().body_memory;
        let chunk = memory.keep(Purpose::Stream, chunk);
        let chunk = chunk.map_err(|_no_room| StopReason::NoRoom)?;
        match compio::time::timeout_at(deadline, sender.send(chunk)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_closed)) => Err(StopReason::CallerGone),
            Err(_elapsed) => Err(StopReason::CallerStalled),
        }
    }
}
