//! Calls to services.
//!
//! A call that has an idempotency key, or that the configuration lists as
//! non-repeatable, goes through `once` and is sent at most once ([`order`]).
//! Any other call is retried at another instance only if no byte of it was written
//! or its method is safe.

mod order;
mod targets;

use std::rc::Rc;
use std::time::Instant;

use http::request::Parts;
use http::{Method, Response};
use mangofront_http::{Body, Outcome, full, headers};
use mangofront_settings::ids::ServiceName;
use mangofront_settings::published::{CallPattern, Configuration, Service};
use mangofront_upstream::service::{Call, ServiceResponse, call};
use percent_encoding::percent_decode_str;

use crate::bodies;
use crate::caller::{self, Caller};
use crate::context::{Active, Entry};
use crate::error::EntryError;
use crate::progress::{NO_CLASS, RequestProgress};
pub(crate) use targets::{InstanceRotation, targets};

/// Time after which a caller may retry when no instance of a service is available.
pub(crate) const RETRY_AFTER_NO_SERVICE: std::time::Duration = std::time::Duration::from_secs(2);

/// Path prefix of service calls.
const SERVICES_PREFIX: &str = "/v1/services/";

/// Whether a call may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Repeatability {
    Allowed,
    Forbidden,
}

/// A call that was read and validated.
#[derive(Debug)]
pub(crate) struct ServiceCall {
    pub(crate) caller: Caller,
    pub(crate) service: ServiceName,
    pub(crate) call: Call,
}

/// Handles a call to a service.
///
/// # Errors
/// Any failure because of which there is no response of the service.
pub(crate) async fn handle(
    entry: &Entry,
    active: &Rc<Active>,
    head: Parts,
    id: &str,
) -> Result<Response<Body>, EntryError> {
    let arrived = Instant::now();
    let key = caller::text(&head.headers, headers::IDEMPOTENCY_KEY)?.map(str::to_owned);
    let (service_call, repeatability) = read_call(active, head, arrived, id).await?;
    let progress = RequestProgress::begin(active, &service_call.caller);
    let sending = async {
        match (key, repeatability) {
            (Some(key), _) => order::execute(entry, active, service_call, key).await,
            (None, Repeatability::Forbidden) => Err(EntryError::KeyRequired),
            (None, Repeatability::Allowed) => send(entry, &service_call).await,
        }
    };
    let result = entry.until_cut_off(id, Outcome::Unknown, sending).await;
    match &result {
        Ok(_) => progress.answered(),
        Err(error) => progress.failed(error),
    }
    result.map(into_response)
}

async fn read_call(
    active: &Active,
    head: Parts,
    arrived: Instant,
    id: &str,
) -> Result<(ServiceCall, Repeatability), EntryError> {
    let entry = active.entry();
    let accepted = entry.configuration()?;
    let configuration = &accepted.configuration;
    let (service, path) = split_path(&head)?;
    let service_configuration =
        configuration
            .services
            .get(&service)
            .ok_or_else(|| EntryError::UnknownService {
                service: service.clone(),
            })?;
    let repeatability = repeatability(service_configuration, &head.method, &path);
    let caller = identify(entry, configuration, &head, arrived)?;
    let body = bodies::read(active, caller.deadline).await?;
    let mut forwarded_headers = head.headers;
    if let Ok(value) = id.parse() {
        forwarded_headers.insert(headers::REQUEST_ID, value);
    }
    let call = Call {
        method: head.method,
        path_and_query: path,
        headers: forwarded_headers,
        body,
    };
    let service_call = ServiceCall {
        caller,
        service,
        call,
    };
    Ok((service_call, repeatability))
}

/// Identifies the caller of a service; its class is optional.
fn identify(
    entry: &Entry,
    configuration: &Configuration,
    head: &Parts,
    arrived: Instant,
) -> Result<Caller, EntryError> {
    match caller::identify(configuration, &head.headers, arrived) {
        Err(EntryError::MissingHeader {
            name: headers::CLASS,
        }) => {
            let organisation = caller::text(&head.headers, headers::ORGANISATION)?;
            let limit = entry.parts().limits.service_timeout;
            Ok(Caller {
                organisation: organisation.unwrap_or_default().to_owned(),
                class: NO_CLASS.to_owned(),
                time_to_first_token: limit,
                arrived,
                deadline: arrived + limit,
            })
        }
        identified => identified,
    }
}

/// Splits a request's path into the service's name, and the path and query relative
/// to the service.
fn split_path(head: &Parts) -> Result<(ServiceName, String), EntryError> {
    let path = head
        .uri
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str);
    let relative = path.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let end = relative.find(['/', '?']).unwrap_or(relative.len());
    let (service, rest) = relative.split_at(end);
    if service.is_empty() {
        return Err(EntryError::UnknownPath {
            path: path.to_owned(),
        });
    }
    let rest = if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    };
    Ok((service.to_owned(), rest))
}

/// Normalises a path as a service may do: decoded, without empty and dot segments.
///
/// A call that a service may interpret as a non-repeatable one must be treated as
/// such, however its path is spelled.
fn normalised_path(path: &str) -> String {
    let decoded = percent_decode_str(path).decode_utf8_lossy();
    let mut segments = Vec::new();
    for segment in decoded.split('/') {
        match segment {
            "" | "." => {}
            ".." => {
                segments.pop();
            }
            segment => segments.push(segment),
        }
    }
    format!("/{}", segments.join("/"))
}

fn repeatability(service: &Service, method: &Method, path_and_query: &str) -> Repeatability {
    let path = path_and_query.split('?').next().unwrap_or_default();
    let normalised = normalised_path(path);
    let matches = |pattern: &CallPattern| {
        let same_method = pattern.method.eq_ignore_ascii_case(method.as_str());
        let prefix = &pattern.path_prefix;
        same_method && (path.starts_with(prefix) || normalised.starts_with(prefix))
    };
    if service.non_repeatable.iter().any(matches) {
        Repeatability::Forbidden
    } else {
        Repeatability::Allowed
    }
}

/// Sends a call that may be repeated.
async fn send(entry: &Entry, service_call: &ServiceCall) -> Result<ServiceResponse, EntryError> {
    let parts = entry.parts();
    let limit_bytes = parts.limits.service_answer_limit_bytes;
    let is_safe = service_call.call.method.is_safe();
    let mut failure = no_service_instance();
    parts.platform.refreshed().await;
    for target in targets(entry, &service_call.service) {
        let sent = call(
            &parts.connections,
            &target,
            service_call.call.clone(),
            limit_bytes,
            attempt_deadline(service_call, is_safe),
        );
        let error = match sent.await {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        parts.metrics.upstream_error(error.step_name());
        entry.instance_rotation().record_failure(&error);
        let may_retry = is_safe || error.outcome() == Outcome::NotRun;
        // An earlier attempt may have had side effects, so a later failure must not
        // replace it: a request is reported as not run only if no attempt ran.
        if failure.outcome() == Outcome::NotRun {
            failure = EntryError::Service(error);
        }
        if !may_retry || !parts.admission.retry_budget().try_take() {
            break;
        }
    }
    Err(failure)
}

/// Time by which one instance must have answered.
///
/// Half of the remaining time of a safe call is reserved for another instance.
fn attempt_deadline(service_call: &ServiceCall, is_safe: bool) -> Instant {
    let deadline = service_call.caller.deadline;
    if !is_safe {
        return deadline;
    }
    let now = Instant::now();
    now + deadline.saturating_duration_since(now) / 2
}

/// Error for a service without an available instance.
pub(crate) fn no_service_instance() -> EntryError {
    EntryError::NoUpstream {
        kind: "service",
        outcome: Outcome::NotRun,
        retry_after: RETRY_AFTER_NO_SERVICE,
    }
}

fn into_response(service_response: ServiceResponse) -> Response<Body> {
    let mut response = Response::new(full(service_response.body));
    *response.status_mut() = service_response.status;
    *response.headers_mut() = service_response.headers;
    response
}
