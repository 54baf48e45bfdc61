//! Which handler answers which path.

use std::net::SocketAddr;

use http::{Method, Request, Response};
use hyper::body::Incoming;
use mangofront_http::{Body, headers};
use mangofront_prompt::Endpoint;

use crate::context::Entry;
use crate::error::EntryError;
use crate::{completion, models, observe, service};

/// Prefix of the paths of plain services.
const SERVICES: &str = "/v1/services/";

enum Route {
    Complete(Endpoint),
    Models,
    Service,
}

/// Answers one request.
pub(crate) async fn route(
    entry: &Entry,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Response<Body> {
    let id = uuid::Uuid::new_v4().simple().to_string();
    let path = request.uri().path();
    let answered = match find(request.method(), path) {
        Ok(Route::Complete(endpoint)) => completion::answer(entry, endpoint, request, &id).await,
        Ok(Route::Models) => models::answer(entry),
        Ok(Route::Service) => service::answer(entry, request, &id).await,
        Err(error) => Err(error),
    };
    let mut response = answered.unwrap_or_else(|error| {
        log::debug!("entry: request {id} of {peer} failed: {error}");
        observe::request_failed(error.code(), error.outcome());
        error.into_response(&id)
    });
    if let Ok(value) = id.parse() {
        response.headers_mut().insert(headers::REQUEST_ID, value);
    }
    response
}

fn find(method: &Method, path: &str) -> Result<Route, EntryError> {
    let (wanted, route) = match path {
        "/v1/completions" => (Method::POST, Route::Complete(Endpoint::Completions)),
        "/v1/chat/completions" => (Method::POST, Route::Complete(Endpoint::ChatCompletions)),
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
