//! Explains which engine a request would be placed on, and why.

use std::time::{Duration, Instant};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use mangofront_bodies::Purpose;
use mangofront_http::{Body, ErrorBody, Outcome, json, read_body};
use mangofront_placement::PlacementRequest;
use mangofront_prompt::DEFAULT_MAX_TOKENS;
use mangofront_settings::published::Class;
use serde::Deserialize;

use crate::components::Components;

/// Largest accepted request body, in bytes.
const BODY_LIMIT_BYTES: usize = 16 * 1024;

/// Latency target and deadline of a request that names no class.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(60);

/// The request to explain, as an operator describes it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Question")]
struct ExplainRequest {
    model: String,
    tokens: u64,
    class: Option<String>,
    organisation: Option<String>,
}

/// Answers `POST /explain`.
pub(crate) async fn handle(components: &Components, request: Request<Incoming>) -> Response<Body> {
    let explain_request = match read_body(
        &components.body_memory,
        Purpose::Operator,
        request.into_body(),
        BODY_LIMIT_BYTES,
    )
    .await
    {
        Ok(body) => serde_json::from_slice(&body).map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    match explain_request.and_then(|explain_request| placement_request(components, explain_request))
    {
        Ok(request) => json(StatusCode::OK, &components.placement.explain(&request)),
        Err(reason) => ErrorBody::new("malformed_request", Outcome::NotRun, "explain", reason)
            .into_response(StatusCode::BAD_REQUEST),
    }
}

fn placement_request(
    components: &Components,
    explain_request: ExplainRequest,
) -> Result<PlacementRequest, String> {
    if let Some(organisation) = &explain_request.organisation {
        check_organisation(components, organisation)?;
    }
    let class = match &explain_request.class {
        Some(name) => Some(find_class(components, name)?),
        None => None,
    };
    let target = class.as_ref().map(Class::time_to_first_token);
    let limit = class.as_ref().map(Class::time_limit);
    Ok(PlacementRequest {
        model: explain_request.model,
        length_tokens: explain_request.tokens,
        max_tokens: DEFAULT_MAX_TOKENS,
        blocks: Vec::new(),
        time_to_first_token: target.unwrap_or(DEFAULT_TIME_LIMIT),
        deadline: Instant::now() + limit.unwrap_or(DEFAULT_TIME_LIMIT),
    })
}

fn check_organisation(components: &Components, organisation: &str) -> Result<(), String> {
    let accepted = components.platform.configuration();
    let known = accepted.is_some_and(|accepted| {
        let organisations = &accepted.configuration.organisations;
        organisations.contains_key(organisation)
    });
    if known {
        return Ok(());
    }
    Err(format!("unknown organisation {organisation}"))
}

fn find_class(components: &Components, name: &str) -> Result<Class, String> {
    let accepted = components.platform.configuration();
    let class = accepted.and_then(|accepted| accepted.configuration.classes.get(name).cloned());
    class.ok_or_else(|| format!("unknown class {name}"))
}
