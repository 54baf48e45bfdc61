//! Admin endpoints of the daemon.

use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use mangofront_http::{Body, ErrorBody, Outcome, empty, full, json};

use crate::components::Components;
use crate::{explain, status};

/// Answers one admin request.
pub(crate) async fn handle(components: Components, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => health(&components),
        (&Method::GET, "/metrics") => metrics(&components),
        (&Method::GET, "/status") => json(StatusCode::OK, &status::status(&components)),
        (&Method::POST, "/explain") => explain::handle(&components, request).await,
        (&Method::GET, "/audit") => audit_page(&components, request.uri().query()),
        _ => ErrorBody::new("unknown_path", Outcome::NotRun, "admin", "no such path")
            .into_response(StatusCode::NOT_FOUND),
    }
}

fn health(components: &Components) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = if components.entry.is_stopping() {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::NO_CONTENT
    };
    response
}

fn metrics(components: &Components) -> Response<Body> {
    let mut response = Response::new(full(components.metrics.render()));
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

fn audit_page(components: &Components, query: Option<&str>) -> Response<Body> {
    let after = query
        .unwrap_or_default()
        .split('&')
        .find_map(|pair| pair.strip_prefix("after="))
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    json(StatusCode::OK, &components.audit.since(after))
}
