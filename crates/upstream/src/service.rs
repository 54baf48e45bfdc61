//! Calls of services.

use std::time::Instant;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, Request, StatusCode, header};
use http_body_util::Full;

use crate::Target;
use crate::connection::{Connections, FreshConnection, UpstreamResponse};
use crate::error::SendError;

/// Headers that belong to one connection and are not passed on.
const HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::HOST,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
];

/// One call of a service.
#[derive(Debug, Clone)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query below the service, with its leading slash.
    pub path_and_query: String,
    /// Headers of the caller; those of the connection are left out.
    pub headers: HeaderMap,
    /// Body of the caller.
    pub body: Bytes,
}

/// A service's whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceResponse {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer, without those of the connection.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: Bytes,
}

/// Calls a service and reads its answer whole, up to `limit_bytes`.
///
/// # Errors
/// [`SendError`]; its outcome tells whether the call may have run.
pub async fn call(
    connections: &Connections,
    target: &Target,
    call: Call,
    limit_bytes: usize,
    deadline: Instant,
) -> Result<ServiceResponse, SendError> {
    let request = request(target, call)?;
    let answer = connections.send(target, request, deadline).await?;
    read(answer, limit_bytes, deadline).await
}

/// Sends a call that must not run twice, and reads its answer whole.
///
/// The connection was opened before, so that the caller can decide at the last
/// moment whether the call is written at all.
///
/// # Errors
/// [`SendError`]; its outcome tells whether the call may have run.
pub async fn call_once(
    opened: FreshConnection,
    call: Call,
    limit_bytes: usize,
    deadline: Instant,
) -> Result<ServiceResponse, SendError> {
    let request = request(opened.target(), call)?;
    let answer = opened.send(request, deadline).await?;
    read(answer, limit_bytes, deadline).await
}

async fn read(
    answer: UpstreamResponse,
    limit_bytes: usize,
    deadline: Instant,
) -> Result<ServiceResponse, SendError> {
    let status = answer.status;
    let headers = without_hop_headers(&answer.headers);
    let body = answer.bytes(limit_bytes, deadline).await?;
    Ok(ServiceResponse {
        status,
        headers,
        body,
    })
}

fn request(target: &Target, call: Call) -> Result<Request<Full<Bytes>>, SendError> {
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path_and_query)
        .body(Full::new(call.body))
        .map_err(|error| SendError::ConnectionFailed {
            step: crate::Step::Send,
            peer: target.instance.clone(),
            cause: error.to_string(),
        })?;
    *request.headers_mut() = without_hop_headers(&call.headers);
    let host = http::HeaderValue::try_from(target.address.to_string());
    if let Ok(host) = host {
        request.headers_mut().insert(header::HOST, host);
    }
    Ok(request)
}

fn without_hop_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in &HOP_HEADERS {
        kept.remove(name);
    }
    kept
}
