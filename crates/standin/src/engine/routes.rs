//! The engine's HTTP routes.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use mangofront_http::{Body, collect, empty, headers, json, stream};
use mangofront_prompt::Endpoint;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::control::ControlRequest;
use super::error_response::ErrorResponse;
use super::head::{query_number, request_head};
use super::orders::{LoadState, OrderKind, OrderRequest};
use super::output::{Attempt, End, Reader};
use super::refusal::Refusal;
use super::reports;
use super::state::Engine;
use super::stream::chunks;
use super::submit::SegmentRequest;
use super::transfer::{Export, ExportRequest};

type Answer = Result<Response<Body>, ErrorResponse>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ReservationRequest {
    reservation: String,
    tokens: u64,
    lease_ms: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RenewRequest {
    lease_ms: u64,
}

#[derive(Serialize)]
struct Lease {
    lease_ms: u64,
}

#[derive(Serialize)]
struct OrderAnswer {
    state: LoadState,
}

/// Handles one request.
pub(crate) async fn answer(engine: Rc<Engine>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    // Control requests are served even while the engine is frozen.
    let is_control = path.starts_with("/control");
    if !is_control {
        engine.wait_while_frozen().await;
    }
    let answered = route(&engine, &path, request).await;
    if !is_control {
        engine.wait_while_frozen().await;
    }
    let mut response = answered.unwrap_or_else(ErrorResponse::into_response);
    response
        .headers_mut()
        .insert(headers::INCARNATION, HeaderValue::from(engine.incarnation));
    response
}

async fn route(engine: &Rc<Engine>, path: &str, request: Request<Incoming>) -> Answer {
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let method = request.method().clone();
    match (method, parts.as_slice()) {
        (Method::POST, ["v1", "completions"]) => {
            complete(engine, Endpoint::Completions, request).await
        }
        (Method::POST, ["v1", "chat", "completions"]) => {
            complete(engine, Endpoint::ChatCompletions, request).await
        }
        (Method::GET, ["v1", "streams", id]) => resume(engine, id, &request),
        (Method::DELETE, ["v1", "requests", id, "attempts", attempt]) => {
            cancel(engine, id, attempt)
        }
        (Method::GET, ["v1", "load"]) => Ok(reports::load(engine)),
        (Method::GET, ["v1", "cache"]) => Ok(reports::cache(engine)),
        (Method::GET, ["v1", "cache", "events"]) => Ok(reports::events(engine, &request).await),
        (Method::POST, ["v1", "kv", "export"]) => export(engine, request).await,
        (Method::POST, ["v1", "kv", "import"]) => import(engine, request).await,
        (Method::POST, ["v1", "reservations"]) => reserve(engine, request).await,
        (Method::PUT, ["v1", "reservations", id]) => renew(engine, id, request).await,
        (Method::DELETE, ["v1", "reservations", id]) => {
            engine.release(id);
            Ok(no_content())
        }
        (Method::POST, ["v1", "segments"]) => segment(engine, request).await,
        (Method::PUT, ["v1", "orders", kind]) => order(engine, kind, request).await,
        (Method::GET, ["v1", "state"]) => Ok(reports::state(engine)),
        (Method::GET, ["v1", "health"]) => Ok(no_content()),
        (Method::POST, ["control"]) => control(engine, request).await,
        (Method::GET, ["control", "counters"]) => {
            let report = engine.state.borrow().counters_report();
            Ok(json(StatusCode::OK, &report))
        }
        _ => Err(ErrorResponse::unknown(
            "unknown_path",
            "route",
            "no such path",
        )),
    }
}

async fn complete(engine: &Rc<Engine>, endpoint: Endpoint, request: Request<Incoming>) -> Answer {
    let head = request_head(engine, request.headers())
        .map_err(|error| ErrorResponse::refused(&error, "submit"))?;
    let body = read_body(engine, request).await?;
    let prompt = mangofront_prompt::parse(endpoint, &body)
        .map_err(|error| ErrorResponse::malformed("read_body", &error))?;
    let offset = head.resume_offset;
    let reader = engine
        .submit(head, prompt)
        .map_err(|error| ErrorResponse::refused(&error, "submit"))?;
    Ok(stream_response(engine, reader, offset))
}

fn resume(engine: &Rc<Engine>, id: &str, request: &Request<Incoming>) -> Answer {
    let output = engine.state.borrow().streams.get(id).cloned();
    let output = output
        .ok_or_else(|| ErrorResponse::unknown("unknown_stream", "resume", "stream is gone"))?;
    let offset = query_number(request, "offset").unwrap_or(0);
    let offset = u32::try_from(offset).unwrap_or(u32::MAX);
    if offset < output.plan.start_offset || offset > output.plan.length_tokens {
        let message = "offset is outside of this stream";
        return Err(ErrorResponse::malformed("resume", &message));
    }
    Ok(stream_response(engine, output.add_reader(), offset))
}

fn stream_response(engine: &Rc<Engine>, reader: Reader, offset: u32) -> Response<Body> {
    let id = HeaderValue::from_str(&reader.0.id);
    let body = stream(chunks(Rc::clone(engine), reader, offset));
    let mut response = Response::new(body);
    let event_stream = HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, event_stream);
    // A stream id consists of hex digits and a hyphen, so it is always a valid
    // header value.
    if let Ok(id) = id {
        response.headers_mut().insert(headers::STREAM_ID, id);
    }
    response
}

fn cancel(engine: &Engine, id: &str, attempt: &str) -> Answer {
    let attempt = attempt
        .parse::<Attempt>()
        .map_err(|error| ErrorResponse::malformed("cancel", &error))?;
    engine.cancel(id, attempt);
    Ok(no_content())
}

async fn export(engine: &Engine, request: Request<Incoming>) -> Answer {
    let request: ExportRequest = read(engine, request).await?;
    let export = engine
        .export(&request)
        .await
        .map_err(|e| ErrorResponse::transfer(&e))?;
    Ok(json(StatusCode::OK, &export))
}

async fn import(engine: &Engine, request: Request<Incoming>) -> Answer {
    let export: Export = read(engine, request).await?;
    let imported = engine
        .import(&export)
        .await
        .map_err(|e| ErrorResponse::transfer(&e))?;
    Ok(json(StatusCode::OK, &imported))
}

async fn reserve(engine: &Engine, request: Request<Incoming>) -> Answer {
    let request: ReservationRequest = read(engine, request).await?;
    let lease = Duration::from_millis(request.lease_ms);
    engine
        .reserve(request.reservation, request.tokens, lease)
        .map_err(|error| ErrorResponse::refused(&error, "reserve"))?;
    let lease_ms = request.lease_ms;
    Ok(json(StatusCode::CREATED, &Lease { lease_ms }))
}

async fn renew(engine: &Engine, id: &str, request: Request<Incoming>) -> Answer {
    let RenewRequest { lease_ms } = read(engine, request).await?;
    let lease = Duration::from_millis(lease_ms);
    let now = Instant::now();
    let renewed = engine.state.borrow_mut().reservations.renew(id, lease, now);
    if !renewed {
        let refusal = Refusal::UnknownReservation(id.to_owned());
        return Err(ErrorResponse::refused(&refusal, "renew"));
    }
    Ok(json(StatusCode::OK, &Lease { lease_ms }))
}

async fn segment(engine: &Engine, request: Request<Incoming>) -> Answer {
    let request: SegmentRequest = read(engine, request).await?;
    let reader = engine
        .submit_segment(request)
        .map_err(|error| ErrorResponse::refused(&error, "segment"))?;
    let end = reader.0.wait_for_end().await;
    if end == End::Finished {
        return Ok(json(StatusCode::OK, &serde_json::json!({})));
    }
    Err(ErrorResponse::segment(end))
}

async fn order(engine: &Rc<Engine>, kind: &str, request: Request<Incoming>) -> Answer {
    let kind = match kind {
        "model" => OrderKind::Model,
        "adapter" => OrderKind::Adapter,
        "version" => OrderKind::Version,
        "role" => OrderKind::Role,
        _ => {
            return Err(ErrorResponse::unknown(
                "unknown_path",
                "order",
                "no such order",
            ));
        }
    };
    let request: OrderRequest = read(engine, request).await?;
    let state = engine
        .order(kind, &request)
        .map_err(|error| ErrorResponse::order(&error))?;
    Ok(json(StatusCode::OK, &OrderAnswer { state }))
}

async fn control(engine: &Engine, request: Request<Incoming>) -> Answer {
    let request: ControlRequest = read(engine, request).await?;
    engine.control(&request);
    Ok(no_content())
}

async fn read<T: DeserializeOwned>(
    engine: &Engine,
    request: Request<Incoming>,
) -> Result<T, ErrorResponse> {
    let body = read_body(engine, request).await?;
    serde_json::from_slice(&body).map_err(|error| ErrorResponse::malformed("read_body", &error))
}

async fn read_body(engine: &Engine, request: Request<Incoming>) -> Result<Bytes, ErrorResponse> {
    let limit_bytes = engine.settings.body_limit_bytes;
    collect(request.into_body(), limit_bytes)
        .await
        .map_err(|error| ErrorResponse::malformed("read_body", &error))
}

fn no_content() -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = StatusCode::NO_CONTENT;
    response
}
