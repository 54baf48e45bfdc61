//! Calls of plain services.
//!
//! A call that carries an idempotency key, or that the configuration lists as
//! non-repeatable, goes through `once` and is sent at most once ([`order`]).
//! Any other call is sent again elsewhere only while it is certain that no
//! byte of it was written, or when its method is safe.

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

use crate::bodies::{self, HeldBody};
use crate::caller::{self, Caller};
use crate::context::{Active, Entry};
use crate::error::EntryError;
use crate::progress::{InProgress, NO_CLASS};
pub(crate) use targets::{ServiceTurns, targets};

/// Time after which a caller may come back when no instance of a service is left.
pub(crate) const RETRY_AFTER_NO_SERVICE: std::time::Duration = std::time::Duration::from_secs(2);

/// Prefix of the paths of plain services.
const SERVICES: &str = "/v1/services/";

/// Whether a call may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Repeat {
    Allowed,
    Forbidden,
}

/// A call that was read and checked.
#[derive(Debug)]
pub(crate) struct ServiceCall {
    pub(crate) caller: Caller,
    pub(crate) service: ServiceName,
    pub(crate) call: Call,
    /// Holds the memory of the call's body.
    _body: HeldBody,
}

/// Answers a call of a plain service.
///
/// # Errors
/// Anything that keeps it from the service's own answer.
pub(crate) async fn answer(
    entry: &Entry,
    active: &Rc<Active>,
    head: Parts,
    id: &str,
) -> Result<Response<Body>, EntryError> {
    let arrived = Instant::now();
    let key = caller::text(&head.headers, headers::IDEMPOTENCY_KEY)?.map(str::to_owned);
    let (service_call, repeat) = read(active, head, arrived, id).await?;
    let progress = InProgress::begin(active, &service_call.caller);
    let answered = match (key, repeat) {
        (Some(key), _) => order::execute(entry, active, service_call, key).await,
        (None, Repeat::Forbidden) => Err(EntryError::KeyRequired),
        (None, Repeat::Allowed) => send(entry, &service_call).await,
    };
    match &answered {
        Ok(_) => progress.answered(),
        Err(error) => progress.failed(error),
    }
    answered.map(respond)
}

async fn read(
    active: &Active,
    head: Parts,
    arrived: Instant,
    id: &str,
) -> Result<(ServiceCall, Repeat), EntryError> {
    let entry = active.entry();
    let accepted = entry.configuration()?;
    let configuration = &accepted.configuration;
    let (service, path) = split_path(&head)?;
    let rules = configuration
        .services
        .get(&service)
        .ok_or_else(|| EntryError::UnknownService {
            service: service.clone(),
        })?;
    let repeat = repeat(rules, &head.method, &path);
    let caller = identify(entry, configuration, &head, arrived)?;
    let body = bodies::read(active, caller.deadline).await?;
    let mut passed_on = head.headers;
    if let Ok(value) = id.parse() {
        passed_on.insert(headers::REQUEST_ID, value);
    }
    let call = Call {
        method: head.method,
        path_and_query: path,
        headers: passed_on,
        body: body.content.clone(),
    };
    let service_call = ServiceCall {
        caller,
        service,
        call,
        _body: body,
    };
    Ok((service_call, repeat))
}

/// Caller of a service; its class is optional.
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

/// Service's name, and the path and query below it.
fn split_path(head: &Parts) -> Result<(ServiceName, String), EntryError> {
    let path = head
        .uri
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str);
    let below = path.strip_prefix(SERVICES).unwrap_or_default();
    let end = below.find(['/', '?']).unwrap_or(below.len());
    let (service, rest) = below.split_at(end);
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

/// The path as a service may read it: decoded, without empty and dot segments.
///
/// A call that some service would take for a non-repeatable one has to be
/// treated as one, in whatever spelling it comes.
fn plain_path(path: &str) -> String {
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

fn repeat(service: &Service, method: &Method, path_and_query: &str) -> Repeat {
    let path = path_and_query.split('?').next().unwrap_or_default();
    let plain = plain_path(path);
    let matches = |pattern: &CallPattern| {
        let same_method = pattern.method.eq_ignore_ascii_case(method.as_str());
        let prefix = &pattern.path_prefix;
        same_method && (path.starts_with(prefix) || plain.starts_with(prefix))
    };
    if service.non_repeatable.iter().any(matches) {
        Repeat::Forbidden
    } else {
        Repeat::Allowed
    }
}

/// Sends a call that may be repeated.
async fn send(entry: &Entry, service_call: &ServiceCall) -> Result<ServiceResponse, EntryError> {
    let parts = entry.parts();
    let limit_bytes = parts.limits.service_answer_limit_bytes;
    let safe = service_call.call.method.is_safe();
    let mut failure = no_service();
    parts.platform.refreshed().await;
    for target in targets(entry, &service_call.service) {
        let sent = call(
            &parts.connections,
            &target,
            service_call.call.clone(),
            limit_bytes,
            patience(service_call, safe),
        );
        let error = match sent.await {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        parts.metrics.upstream_error(error.step_name());
        entry.service_turns().failed(&error);
        let again = safe || error.outcome() == Outcome::NotRun;
        // What an earlier try may have done is not undone by a later one that
        // did nothing.
        if failure.outcome() == Outcome::NotRun {
            failure = EntryError::Service(error);
        }
        if !again || !parts.admission.retry_budget().try_take() {
            break;
        }
    }
    Err(failure)
}

/// Until when one instance may take to answer.
///
/// A safe call leaves half of its time for another instance.
fn patience(service_call: &ServiceCall, safe: bool) -> Instant {
    let deadline = service_call.caller.deadline;
    if !safe {
        return deadline;
    }
    let now = Instant::now();
    now + deadline.saturating_duration_since(now) / 2
}

/// Error for a service without a live instance.
pub(crate) fn no_service() -> EntryError {
    EntryError::NoUpstream {
        kind: "service",
        outcome: Outcome::NotRun,
        retry_after: RETRY_AFTER_NO_SERVICE,
    }
}

fn respond(answer: ServiceResponse) -> Response<Body> {
    let mut response = Response::new(full(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}
