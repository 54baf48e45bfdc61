//! Completion requests.
//!
//! Until the first token the request runs in the task of the caller's connection,
//! so that it leaves the queue and its attempt is cancelled if the caller
//! disconnects. After the first token a separate task relays a streamed answer, so
//! that the time limit applies even if the caller's connection accepts no more
//! bytes.

mod answer;
mod attempt;
mod attempts;
mod checks;
mod group;
mod relay;
mod retries;

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Response, header};
use mangofront_admission::{AdmissionRequest, RefusalReason};
use mangofront_bodies::Purpose;
use mangofront_http::{Body, full};
use mangofront_placement::PlacementRequest;
use mangofront_prompt::{Endpoint, Prompt};

use crate::bodies;
use crate::caller::{self, Caller};
use crate::context::{Active, Entry};
use crate::error::EntryError;
use crate::progress::RequestProgress;
use attempts::Attempts;

/// A request that was read and validated.
#[derive(Debug)]
pub(crate) struct CompletionRequest {
    /// Id assigned by this daemon.
    pub(crate) id: String,
    /// Endpoint to which it was sent.
    pub(crate) endpoint: Endpoint,
    /// Body as received.
    pub(crate) body: Bytes,
    /// Parsed body; its blocks are moved into `demand`.
    pub(crate) prompt: Prompt,
    /// Caller and time limits.
    pub(crate) caller: Caller,
    /// Requirements for placement.
    pub(crate) demand: PlacementRequest,
}

/// Handles a completion request.
///
/// # Errors
/// Any failure before the first token, or before the end of an answer that is not
/// streamed.
pub(crate) async fn handle(
    entry: &Entry,
    active: &Rc<Active>,
    endpoint: Endpoint,
    head: &Parts,
    id: &str,
) -> Result<Response<Body>, EntryError> {
    let request = Rc::new(read_request(active, endpoint, head, id).await?);
    let progress = Rc::new(RequestProgress::begin(active, &request.caller));
    let result = respond(entry, &request, &progress).await;
    if let Err(error) = &result {
        progress.failed(error);
    }
    result
}

async fn respond(
    entry: &Entry,
    request: &Rc<CompletionRequest>,
    progress: &Rc<RequestProgress>,
) -> Result<Response<Body>, EntryError> {
    let mut attempts = admit(entry, request, progress).await?;
    let first = attempts.next().await?;
    if request.prompt.stream {
        let relay = relay::Relay {
            entry: entry.clone(),
            request: Rc::clone(request),
            attempts,
            progress: Rc::clone(progress),
        };
        return Ok(relay.start(first));
    }
    let body_memory = &entry.parts().body_memory;
    let mut text_memory = body_memory.reserve_growing(Purpose::Answer);
    let completion = answer::collect(request, attempts, first, &mut text_memory).await?;
    // The types of an answer have no maps and no fallible parts.
    let body = Bytes::from(serde_json::to_vec(&completion).unwrap_or_default());
    drop((completion, text_memory));
    let body = body_memory.keep(Purpose::Answer, body);
    let body = body.map_err(|_no_room| EntryError::AnswerTooLarge)?;
    progress.answered();
    let mut response = Response::new(full(body));
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    Ok(response)
}

async fn read_request(
    active: &Active,
    endpoint: Endpoint,
    head: &Parts,
    id: &str,
) -> Result<CompletionRequest, EntryError> {
    let arrived = Instant::now();
    let entry = active.entry();
    let caller = identify(entry, &head.headers, arrived)?;
    let body = bodies::read(active, caller.deadline).await?;
    let mut prompt = mangofront_prompt::parse(endpoint, &body)?;
    check_model(entry, &prompt.model)?;
    let demand = PlacementRequest {
        model: prompt.model.clone(),
        length_tokens: prompt.length_tokens,
        max_tokens: prompt.max_tokens,
        blocks: std::mem::take(&mut prompt.blocks),
        time_to_first_token: caller.time_to_first_token,
        deadline: caller.deadline,
    };
    Ok(CompletionRequest {
        id: id.to_owned(),
        endpoint,
        body,
        prompt,
        caller,
        demand,
    })
}

fn identify(entry: &Entry, headers: &HeaderMap, arrived: Instant) -> Result<Caller, EntryError> {
    let accepted = entry.configuration()?;
    caller::identify(&accepted.configuration, headers, arrived)
}

fn check_model(entry: &Entry, model: &str) -> Result<(), EntryError> {
    let accepted = entry.configuration()?;
    if accepted.configuration.models.contains_key(model) {
        return Ok(());
    }
    Err(EntryError::UnknownModel {
        model: model.to_owned(),
    })
}

async fn admit(
    entry: &Entry,
    request: &Rc<CompletionRequest>,
    progress: &Rc<RequestProgress>,
) -> Result<Attempts, EntryError> {
    let parts = entry.parts();
    let admission_request = AdmissionRequest {
        class: request.caller.class.clone(),
        organisation: request.caller.organisation.clone(),
        model: request.prompt.model.clone(),
        length_tokens: request.prompt.length_tokens,
        arrived: request.caller.arrived,
        deadline: request.caller.deadline,
    };
    let estimate = || parts.placement.estimate(&request.demand).ok();
    match parts.admission.admit(admission_request, estimate).await {
        Ok(permit) => Ok(Attempts::new(
            entry.clone(),
            Rc::clone(request),
            Rc::clone(progress),
            permit,
        )),
        Err(refusal) => {
            let code = refusal_code(refusal.reason);
            Err(EntryError::Refused {
                code,
                reason: refusal.to_string(),
                retry_after: refusal.retry_after,
            })
        }
    }
}

fn refusal_code(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::UnknownClass => "unknown_class",
        RefusalReason::NoEngine => "no_upstream",
        RefusalReason::TooLate => "class_time_cannot_be_met",
        RefusalReason::QueueFull => "queue_full",
        RefusalReason::Closed => "stopping",
    }
}
