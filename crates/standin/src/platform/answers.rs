//! Responses of the platform emulator.

use http::{HeaderValue, Response, StatusCode, header};
use mangofront_http::{Body, ErrorBody, Outcome};

use super::published::Visible;

/// Response `{"revision", "value"}` that contains the published bytes unchanged.
pub(super) fn document(visible: &Visible) -> Response<Body> {
    let mut content = format!("{{\"revision\": {}, \"value\": ", visible.revision).into_bytes();
    content.extend_from_slice(&visible.value);
    content.push(b'}');
    let mut response = Response::new(mangofront_http::full(content));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

pub(super) fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(mangofront_http::empty());
    *response.status_mut() = status;
    response
}

pub(super) fn down() -> Response<Body> {
    refusal(
        StatusCode::SERVICE_UNAVAILABLE,
        "down",
        "the service is down",
    )
}

pub(super) fn error(code: &str, message: &str) -> ErrorBody {
    ErrorBody::new(code, Outcome::NotRun, "platform stand-in", message)
}

pub(super) fn refusal(status: StatusCode, code: &str, message: &str) -> Response<Body> {
    error(code, message).into_response(status)
}
