//! The listener for operators.

use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use mangofront_http::{Body, ErrorBody, Outcome, empty, full, json};

use crate::parts::Parts;
use crate::{explain, status};

/// Answers one request of an operator.
pub(crate) async fn handle(parts: Parts, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => health(&parts),
        (&Method::GET, "/metrics") => metrics(&parts),
        (&Method::GET, "/status") => json(StatusCode::OK, &status::status(&parts)),
        (&Method::POST, "/explain") => explain::answer(&parts, request).await,
        (&Method::GET, "/audit") => audit(&parts, request.uri().query()),
        _ => ErrorBody::new("unknown_path", Outcome::NotRun, "admin", "no such path")
            .into_response(StatusCode::NOT_FOUND),
    }
}

fn health(parts: &Parts) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = if parts.entry.is_stopping() {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::NO_CONTENT
    };
    response
}

fn metrics(parts: &Parts) -> Response<Body> {
    let mut response = Response::new(full(parts.metrics.render()));
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

fn audit(parts: &Parts, query: Option<&str>) -> Response<Body> {
    let after = query
        .unwrap_or_default()
        .split('&')
        .find_map(|pair| pair.strip_prefix("after="))
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    json(StatusCode::OK, &parts.audit.since(after))
}
