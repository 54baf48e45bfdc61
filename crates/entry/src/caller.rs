//! Caller of a request: organisation, class and deadline.

use std::time::{Duration, Instant};

use http::HeaderMap;
use mangofront_http::headers;
use mangofront_settings::ids::{ClassName, OrganisationId};
use mangofront_settings::published::{Class, Configuration};

use crate::error::EntryError;

/// Caller of one request, and the request's time limits.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    /// Organisation to which the request is charged.
    pub(crate) organisation: OrganisationId,
    /// Class of the request.
    pub(crate) class: ClassName,
    /// Time within which the answer should start.
    pub(crate) time_to_first_token: Duration,
    /// Time at which the request's head arrived.
    pub(crate) arrived: Instant,
    /// Time by which the request must have finished or failed.
    pub(crate) deadline: Instant,
}

/// Reads the caller from a request's headers.
///
/// # Errors
/// The organisation is missing or unknown, or no known class applies.
pub(crate) fn identify(
    configuration: &Configuration,
    request_headers: &HeaderMap,
    arrived: Instant,
) -> Result<Caller, EntryError> {
    let name = text(request_headers, headers::ORGANISATION)?.ok_or(EntryError::MissingHeader {
        name: headers::ORGANISATION,
    })?;
    let organisation =
        configuration
            .organisations
            .get(name)
            .ok_or_else(|| EntryError::UnknownOrganisation {
                organisation: name.to_owned(),
            })?;
    let class_name = text(request_headers, headers::CLASS)?
        .or(organisation.default_class.as_deref())
        .ok_or(EntryError::MissingHeader {
            name: headers::CLASS,
        })?;
    let class = find_class(configuration, class_name)?;
    Ok(Caller {
        organisation: name.to_owned(),
        class: class_name.to_owned(),
        time_to_first_token: class.time_to_first_token(),
        arrived,
        deadline: arrived + class.time_limit(),
    })
}

fn find_class<'a>(configuration: &'a Configuration, name: &str) -> Result<&'a Class, EntryError> {
    configuration
        .classes
        .get(name)
        .ok_or_else(|| EntryError::UnknownClass {
            class: name.to_owned(),
        })
}

/// Value of a header as text.
///
/// # Errors
/// [`EntryError::BadHeader`] when it contains bytes other than visible ASCII.
pub(crate) fn text<'a>(
    request_headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, EntryError> {
    let Some(value) = request_headers.get(name) else {
        return Ok(None);
    };
    let value = value
        .to_str()
        .map_err(|_invalid| EntryError::BadHeader { name })?;
    Ok(Some(value))
}
