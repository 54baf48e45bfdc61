//! Which handler answers which path.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use mangofront_http::{Body, headers, json};
use mangofront_prompt::Endpoint;
use serde::Serialize;

use crate::context::Entry;
use crate::error::EntryError;
use crate::progress::{NO_CLASS, request_outcome};
use crate::{bodies, completion, models, service};

/// Prefix of the paths of plain services.
const SERVICES: &str = "/v1/services/";

/// Time after which a caller may come back to a daemon that is full.
const RETRY_AFTER_FULL: Duration = Duration::from_secs(1);

/// Time after which a caller may ask another daemon for a key.
const RETRY_AFTER_MINT: Duration = Duration::from_secs(1);

enum Route {
    Complete(Endpoint),
    Models,
    MintKey,
    Service,
}

/// Answers one request.
pub(crate) async fn route(
    entry: &Entry,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Response<Body> {
    let id = uuid::Uuid::new_v4().simple().to_string();
    let unanswered = Unanswered::new(&id, peer);
    let (head, body) = request.into_parts();
    let active = entry.begin(body);
    let answered = match (entry.stopping(), find(&head.method, head.uri.path())) {
        (Some(retry_after), _) => Err(EntryError::Stopping { retry_after }),
        (None, Ok(_)) if is_full(entry) => Err(too_many()),
        (None, Ok(Route::Complete(endpoint))) => {
            completion::answer(entry, &active, endpoint, &head, &id).await
        }
        (None, Ok(Route::Models)) => models::answer(entry),
        (None, Ok(Route::MintKey)) => mint(entry),
        (None, Ok(Route::Service)) => service::answer(entry, &active, head, &id).await,
        (None, Err(error)) => Err(error),
    };
    if let Some(unread) = active.take_body() {
        bodies::discard(entry, unread).await;
    }
    let mut response = answered.unwrap_or_else(|error| {
        log::debug!("entry: request {id} of {peer} failed: {error}");
        count_failure(entry, &error);
        error.into_response(&id)
    });
    if let Ok(value) = id.parse() {
        response.headers_mut().insert(headers::REQUEST_ID, value);
    }
    if entry.is_stopping() {
        // The caller then sends its next request elsewhere, and not on a
        // connection that is closed in the same moment.
        let headers = response.headers_mut();
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    unanswered.answered();
    response
}

/// A request whose answer has no head yet; one that is dropped leaves a line.
struct Unanswered {
    id: String,
    peer: SocketAddr,
    since: Option<Instant>,
}

impl Unanswered {
    fn new(id: &str, peer: SocketAddr) -> Self {
        Self {
            id: id.to_owned(),
            peer,
            since: Some(Instant::now()),
        }
    }

    fn answered(mut self) {
        self.since = None;
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        let Some(since) = self.since else {
            return;
        };
        let (id, peer, waited) = (&self.id, self.peer, since.elapsed());
        log::info!("entry: request {id} of {peer} dropped after {waited:?}, its caller is gone");
    }
}

fn find(method: &Method, path: &str) -> Result<Route, EntryError> {
    let (wanted, route) = match path {
        "/v1/completions" => (Method::POST, Route::Complete(Endpoint::Completions)),
        "/v1/chat/completions" => (Method::POST, Route::Complete(Endpoint::ChatCompletions)),
        "/v1/idempotency-keys" => (Method::POST, Route::MintKey),
        "/v1/models" => (Method::GET, Route::Models),
        _ if path.starts_with(SERVICES) => return Ok(Route::Service),
        _ => {
            return Err(EntryError::UnknownPath {
                path: path.to_owned(),
            });
        }
    };
    if *method == wanted {
        Ok(route)
    } else {
        Err(EntryError::WrongMethod { wanted })
    }
}

/// Whether more requests are in progress than this daemon has memory for.
fn is_full(entry: &Entry) -> bool {
    entry.in_progress() > entry.parts().limits.in_progress_limit_requests
}

fn too_many() -> EntryError {
    EntryError::Refused {
        code: "too_many_requests",
        reason: "too many requests are in progress at this daemon".to_owned(),
        retry_after: RETRY_AFTER_FULL,
    }
}

#[derive(Serialize)]
struct MintedKey {
    key: String,
}

fn mint(entry: &Entry) -> Result<Response<Body>, EntryError> {
    let minted = entry.parts().once.mint();
    let key = minted.map_err(|_stopping| EntryError::Stopping {
        retry_after: RETRY_AFTER_MINT,
    })?;
    Ok(json(StatusCode::CREATED, &MintedKey { key }))
}

/// Counts a failure whose request never came to be in progress.
fn count_failure(entry: &Entry, error: &EntryError) {
    let metrics = &entry.parts().metrics;
    if error.is_refusal() {
        metrics.refused(error.code());
    }
    if !error.was_in_progress() {
        metrics.request_ended(NO_CLASS, request_outcome(error.outcome()));
    }
}
