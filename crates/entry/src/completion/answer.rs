//! OpenAI-compatible format of answers.

use std::borrow::Cow;
use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use mangofront_bodies::Reservation;
use mangofront_http::ErrorBody;
use mangofront_prompt::Endpoint;
use mangofront_upstream::engine::{FinishReason, Frame, Usage};
use serde::Serialize;

use super::CompletionRequest;
use super::attempts::Attempts;
use crate::error::EntryError;

/// Largest text of an answer that is not streamed, in bytes.
const ANSWER_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// A complete answer, or one chunk of a streamed one.
#[derive(Debug, Serialize)]
pub(crate) struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<OpenAiUsage>,
}

#[derive(Debug, Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(flatten)]
    content: Content<'a>,
    finish_reason: Option<FinishReason>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Content<'a> {
    Text(Cow<'a, str>),
    Delta(Message<'a>),
    Message(Message<'a>),
}

#[derive(Debug, Serialize)]
struct Message<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    content: Cow<'a, str>,
}

#[derive(Debug, Serialize)]
struct OpenAiUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
    prompt_tokens_details: PromptTokensDetails,
}

#[derive(Debug, Serialize)]
struct PromptTokensDetails {
    cached_tokens: u64,
}

impl From<Usage> for OpenAiUsage {
    fn from(usage: Usage) -> Self {
        Self {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            total_tokens: usage.prompt_tokens + usage.completion_tokens,
            prompt_tokens_details: PromptTokensDetails {
                cached_tokens: usage.cached_tokens,
            },
        }
    }
}

/// Event with one token of a streamed answer.
pub(crate) fn chunk_event(request: &CompletionRequest, frame: &Frame) -> Bytes {
    let (object, content) = match request.endpoint {
        Endpoint::Completions => ("text_completion", Content::Text(Cow::Borrowed(&frame.text))),
        Endpoint::ChatCompletions => {
            let role = (frame.offset == 0).then_some("assistant");
            let delta = Message {
                role,
                content: Cow::Borrowed(&frame.text),
            };
            ("chat.completion.chunk", Content::Delta(delta))
        }
    };
    event(&completion(
        request,
        object,
        content,
        frame.finish_reason,
        frame.usage,
    ))
}

/// Last event of a complete streamed answer.
pub(crate) fn done_event() -> Bytes {
    Bytes::from_static(b"data: [DONE]\n\n")
}

/// Last event of a streamed answer that failed.
pub(crate) fn error_event(body: &ErrorBody) -> Bytes {
    event(body)
}

/// Reads an answer to its end.
///
/// # Errors
/// The attempts yielded no complete answer, or it is too large to keep.
pub(crate) async fn collect<'a>(
    request: &'a CompletionRequest,
    mut attempts: Attempts,
    first: Frame,
    memory: &mut Reservation,
) -> Result<Completion<'a>, EntryError> {
    let mut text = String::new();
    let mut frame = first;
    loop {
        text.push_str(&frame.text);
        if text.len() > ANSWER_LIMIT_BYTES || memory.grow_to(text.capacity()).is_err() {
            return Err(EntryError::AnswerTooLarge);
        }
        if attempts.is_finished() {
            break;
        }
        frame = attempts.next().await?;
    }
    let (object, content) = match request.endpoint {
        Endpoint::Completions => ("text_completion", Content::Text(Cow::Owned(text))),
        Endpoint::ChatCompletions => {
            let message = Message {
                role: Some("assistant"),
                content: Cow::Owned(text),
            };
            ("chat.completion", Content::Message(message))
        }
    };
    Ok(completion(
        request,
        object,
        content,
        frame.finish_reason,
        frame.usage,
    ))
}

fn completion<'a>(
    request: &'a CompletionRequest,
    object: &'static str,
    content: Content<'a>,
    finish_reason: Option<FinishReason>,
    usage: Option<Usage>,
) -> Completion<'a> {
    Completion {
        id: &request.id,
        object,
        created: unix_seconds(),
        model: &request.prompt.model,
        choices: [Choice {
            index: 0,
            content,
            finish_reason,
        }],
        usage: usage.map(OpenAiUsage::from),
    }
}

fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}

fn event(value: &impl Serialize) -> Bytes {
    let mut event = b"data: ".to_vec();
    // Serialisation can't fail, as the types have no maps and no fallible parts. If
    // it did, the event would be truncated and rejected as malformed JSON.
    let _ = serde_json::to_writer(&mut event, value);
    event.extend_from_slice(b"\n\n");
    Bytes::from(event)
}
