//! Routing of requests to their handlers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use mangofront_http::{Body, Outcome, headers, json};
use mangofront_prompt::Endpoint;
use serde::Serialize;

use crate::context::Entry;
use crate::error::EntryError;
use crate::progress::{NO_CLASS, request_outcome};
use crate::{bodies, completion, models, service};

/// Path prefix of service calls.
const SERVICES_PREFIX: &str = "/v1/services/";

/// Time after which a caller may retry at a daemon with too many requests.
const RETRY_AFTER_FULL: Duration = Duration::from_secs(1);

/// Time after which a caller may request a key from another daemon.
const RETRY_AFTER_MINT: Duration = Duration::from_secs(1);

enum Route {
    Complete(Endpoint),
    Models,
    MintKey,
    Service,
}

/// Handles one request.
pub(crate) async fn route(
    entry: &Entry,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Response<Body> {
    let id = uuid::Uuid::new_v4().simple().to_string();
    let pending_response = PendingResponse::new(&id, peer);
    let (head, body) = request.into_parts();
    let active = entry.begin(body);
    let handling = async {
        match (entry.stopping(), find_route(&head.method, head.uri.path())) {
            (Some(retry_after), _) => Err(EntryError::Stopping { retry_after }),
            (None, Ok(_)) if is_full(entry) => Err(too_many_requests()),
            (None, Ok(Route::Complete(endpoint))) => {
                completion::handle(entry, &active, endpoint, &head, &id).await
            }
            (None, Ok(Route::Models)) => models::list(entry),
            (None, Ok(Route::MintKey)) => mint_key(entry),
            (None, Ok(Route::Service)) => service::handle(entry, &active, head, &id).await,
            (None, Err(error)) => Err(error),
        }
    };
    // Requests that may have run are cut off where their outcome is known.
    let result = entry.until_cut_off(&id, Outcome::NotRun, handling).await;
    if let Some(unread_body) = active.take_body() {
        bodies::discard(entry, unread_body).await;
    }
    let mut response = result.unwrap_or_else(|error| {
        log::debug!("entry: request {id} from {peer} failed: {error}");
        count_failure(entry, &error);
        error.into_response(&id)
    });
    if let Ok(value) = id.parse() {
        response.headers_mut().insert(headers::REQUEST_ID, value);
    }
    if entry.is_stopping() {
        // Makes the caller send its next request to another daemon instead of on
        // a connection that may be closed at the same moment.
        let headers = response.headers_mut();
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    pending_response.complete();
    response
}

/// Request whose response has no head yet; logs a line if it is dropped before.
struct PendingResponse {
    id: String,
    peer: SocketAddr,
    since: Option<Instant>,
}

impl PendingResponse {
    fn new(id: &str, peer: SocketAddr) -> Self {
        Self {
            id: id.to_owned(),
            peer,
            since: Some(Instant::now()),
        }
    }

    fn complete(mut self) {
        self.since = None;
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        let Some(since) = self.since else {
            return;
        };
        let (id, peer, waited) = (&self.id, self.peer, since.elapsed());
        log::info!("entry: request {id} from {peer} dropped after {waited:?}: caller disconnected");
    }
}

fn find_route(method: &Method, path: &str) -> Result<Route, EntryError> {
    let (allowed, route) = match path {
        "/v1/completions" => (Method::POST, Route::Complete(Endpoint::Completions)),
        "/v1/chat/completions" => (Method::POST, Route::Complete(Endpoint::ChatCompletions)),
        "/v1/idempotency-keys" => (Method::POST, Route::MintKey),
        "/v1/models" => (Method::GET, Route::Models),
        _ if path.starts_with(SERVICES_PREFIX) => return Ok(Route::Service),
        _ => {
            return Err(EntryError::UnknownPath {
                path: path.to_owned(),
            });
        }
    };
    if *method == allowed {
        Ok(route)
    } else {
        Err(EntryError::WrongMethod { allowed })
    }
}

/// Whether more requests are in progress than the limit allows.
fn is_full(entry: &Entry) -> bool {
    entry.in_progress() > entry.parts().limits.in_progress_limit_requests
}

fn too_many_requests() -> EntryError {
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

fn mint_key(entry: &Entry) -> Result<Response<Body>, EntryError> {
    let minted = entry.parts().once.mint();
    let key = minted.map_err(|_stopping| EntryError::Stopping {
        retry_after: RETRY_AFTER_MINT,
    })?;
    Ok(json(StatusCode::CREATED, &MintedKey { key }))
}

/// Counts a refusal, and a failure of a request that was not yet in progress.
fn count_failure(entry: &Entry, error: &EntryError) {
    let metrics = &entry.parts().metrics;
    if error.is_refusal() {
        metrics.refused(error.code());
    }
    if !error.was_in_progress() {
        metrics.request_ended(NO_CLASS, request_outcome(error.outcome()));
    }
}
