//! Event stream of an answer.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream::unfold;
use mangofront_http::{ErrorBody, Outcome};
use serde::Serialize;

use super::output::{End, Output, Reader};
use super::state::Engine;
use crate::answer::{finish_reason, token_text};

/// Maximum number of frames per chunk; bounds the chunk for a reader that is far
/// behind.
const FRAMES_PER_CHUNK: u32 = 64;

#[derive(Serialize)]
struct Frame<'a> {
    request: &'a str,
    attempt: u32,
    offset: u32,
    text: String,
    finish_reason: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u64,
    cached_tokens: u64,
    completion_tokens: u32,
}

/// Position of a reader in its stream.
struct StreamCursor {
    engine: Rc<Engine>,
    reader: Reader,
    next_offset: u32,
    done: bool,
}

/// Returns chunks of frames from token `offset` to the end.
///
/// Owns `reader`, so the engine notices when the connection closes.
pub(crate) fn chunks(engine: Rc<Engine>, reader: Reader, offset: u32) -> impl Stream<Item = Bytes> {
    let cursor = StreamCursor {
        engine,
        reader,
        next_offset: offset,
        done: false,
    };
    unfold(cursor, |mut cursor| async move {
        if cursor.done {
            return None;
        }
        let chunk = cursor.next_chunk().await;
        Some((chunk, cursor))
    })
}

impl StreamCursor {
    async fn next_chunk(&mut self) -> Bytes {
        loop {
            let output = &self.reader.0;
            let seen = output.changed.generation();
            let produced = output.produced.get();
            if produced > self.next_offset || output.end.get().is_some() {
                break;
            }
            output.changed.changed(seen).await;
        }
        self.engine.wait_while_frozen().await;
        let output = Rc::clone(&self.reader.0);
        let until = output
            .produced
            .get()
            .min(self.next_offset.saturating_add(FRAMES_PER_CHUNK));
        let mut chunk = Vec::new();
        for offset in self.next_offset..until {
            write_frame(&mut chunk, &output, offset);
        }
        self.next_offset = self.next_offset.max(until);
        if self.next_offset >= output.produced.get() {
            self.done = write_end(&mut chunk, output.end.get());
        }
        Bytes::from(chunk)
    }
}

fn write_frame(chunk: &mut Vec<u8>, output: &Output, offset: u32) {
    let plan = &output.plan;
    let is_last = offset + 1 == plan.length_tokens;
    let frame = Frame {
        request: &output.request,
        attempt: output.attempt,
        offset,
        text: token_text(plan.digest, offset),
        finish_reason: is_last.then(|| finish_reason(plan.digest, plan.max_tokens)),
        usage: is_last.then(|| Usage {
            prompt_tokens: plan.prompt_tokens,
            cached_tokens: output.cached_tokens.get(),
            completion_tokens: plan.length_tokens,
        }),
    };
    let head = format!("id: {}:{offset}\ndata: ", output.attempt);
    chunk.extend_from_slice(head.as_bytes());
    write_json(chunk, &frame);
}

/// Writes the stream's last event. Returns false if it has not ended.
fn write_end(chunk: &mut Vec<u8>, end: Option<End>) -> bool {
    match end {
        None => return false,
        Some(End::Finished) => chunk.extend_from_slice(b"data: [DONE]\n\n"),
        Some(end) => {
            let message = format!("answer ended early: {}", end.code());
            let error = ErrorBody::new(end.code(), Outcome::Failed, "stream", message);
            chunk.extend_from_slice(b"data: ");
            write_json(chunk, &error);
        }
    }
    true
}

fn write_json(chunk: &mut Vec<u8>, value: &impl Serialize) {
    // Serialising these structs to a `Vec` cannot fail.
    let _ = serde_json::to_writer(&mut *chunk, value);
    chunk.extend_from_slice(b"\n\n");
}
