//! Calls to services.

use std::time::Instant;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, Request, StatusCode, header};
use http_body_util::Full;
use mangofront_bodies::Purpose;

use crate::Target;
use crate::connection::{Connections, FreshConnection, UpstreamResponse};
use crate::error::SendError;

/// Headers that apply to one connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::HOST,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
];

/// One call to a service.
#[derive(Debug, Clone)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query relative to the service, with a leading slash.
    pub path_and_query: String,
    /// Headers from the caller; hop-by-hop headers are not forwarded.
    pub headers: HeaderMap,
    /// Body from the caller.
    pub body: Bytes,
}

/// Complete response of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceResponse {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response, without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Body of the response.
    pub body: Bytes,
}

/// Calls a service and reads its complete response, up to `limit_bytes`.
///
/// # Errors
/// [`SendError`]; its outcome says whether the call may have run.
pub async fn call(
    connections: &Connections,
    target: &Target,
    call: Call,
    limit_bytes: usize,
    deadline: Instant,
) -> Result<ServiceResponse, SendError> {
    let request = build_request(target, call)?;
    let response = connections.send(target, request, deadline).await?;
    read_response(response, limit_bytes, deadline).await
}

/// Sends a call that must not run twice, and reads its complete response.
///
/// The connection is opened beforehand, so that it can be decided at the last
/// moment whether the call is written at all.
///
/// # Errors
/// [`SendError`]; its outcome says whether the call may have run.
pub async fn call_once(
    connection: FreshConnection,
    call: Call,
    limit_bytes: usize,
    deadline: Instant,
) -> Result<ServiceResponse, SendError> {
    let request = build_request(connection.target(), call)?;
    let response = connection.send(request, deadline).await?;
    read_response(response, limit_bytes, deadline).await
}

async fn read_response(
    response: UpstreamResponse,
    limit_bytes: usize,
    deadline: Instant,
) -> Result<ServiceResponse, SendError> {
    let status = response.status;
    let headers = without_hop_by_hop_headers(&response.headers);
    let body = response
        .complete_bytes(Purpose::Answer, limit_bytes, deadline)
        .await?;
    Ok(ServiceResponse {
        status,
        headers,
        body,
    })
}

fn build_request(target: &Target, call: Call) -> Result<Request<Full<Bytes>>, SendError> {
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path_and_query)
        .body(Full::new(call.body))
        .map_err(|error| SendError::ConnectionFailed {
            step: crate::Step::Send,
            fault: crate::ConnectionFault::Other,
            peer: target.instance.clone(),
            cause: error.to_string(),
        })?;
    *request.headers_mut() = without_hop_by_hop_headers(&call.headers);
    let host = http::HeaderValue::try_from(target.address.to_string());
    if let Ok(host) = host {
        request.headers_mut().insert(header::HOST, host);
    }
    Ok(request)
}

fn without_hop_by_hop_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in &HOP_BY_HOP_HEADERS {
        forwarded.remove(name);
    }
    forwarded
}
