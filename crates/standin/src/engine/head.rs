//! Parsing of request headers and query parameters.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use http::{HeaderMap, Request};
use hyper::body::Incoming;
use mangofront_http::headers;

use super::refusal::Refusal;
use super::state::Engine;
use super::submit::RequestHead;

/// Priority of a request without a priority header.
const DEFAULT_PRIORITY: u8 = 128;

/// Parses the headers of a completion request.
pub(crate) fn request_head(engine: &Engine, map: &HeaderMap) -> Result<RequestHead, Refusal> {
    let request = match header_text(map, headers::REQUEST_ID) {
        Some(id) => id.to_owned(),
        None => format!("unnamed-{}", engine.state.borrow_mut().next_arrival()),
    };
    let deadline_ms: Option<u64> = header_number(map, headers::DEADLINE_MS)?;
    Ok(RequestHead {
        request,
        attempt: header_number(map, headers::ATTEMPT)?.unwrap_or(1),
        priority: header_number(map, headers::PRIORITY)?.unwrap_or(DEFAULT_PRIORITY),
        deadline: deadline_ms.map(Duration::from_millis),
        resume_offset: header_number(map, headers::RESUME_OFFSET)?.unwrap_or(0),
        reservation: header_text(map, headers::RESERVATION).map(str::to_owned),
    })
}

fn header_text<'a>(map: &'a HeaderMap, name: &str) -> Option<&'a str> {
    map.get(name).and_then(|value| value.to_str().ok())
}

fn header_number<T>(map: &HeaderMap, name: &str) -> Result<Option<T>, Refusal>
where
    T: FromStr,
    T::Err: Display,
{
    let Some(text) = header_text(map, name) else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|error: T::Err| {
        let message = format!("header {name} is no such number: {error}");
        Refusal::Malformed(message)
    })
}

/// Value of a query parameter, if present and a number.
pub(crate) fn query_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let pairs = request.uri().query()?.split('&');
    let mut values = pairs.filter_map(|pair| pair.split_once('='));
    values
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}
