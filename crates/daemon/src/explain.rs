//! Why a request would go where it would go.

use std::time::{Duration, Instant};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use mangofront_http::{Body, ErrorBody, Outcome, collect, json};
use mangofront_placement::PlacementRequest;
use mangofront_prompt::DEFAULT_MAX_TOKENS;
use mangofront_settings::published::Class;
use serde::Deserialize;

use crate::parts::Parts;

/// Largest question, in bytes.
const BODY_LIMIT_BYTES: usize = 16 * 1024;

/// Targets of a question that names no class.
const NO_CLASS_TIME: Duration = Duration::from_secs(60);

/// A request as an operator describes it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Question {
    model: String,
    tokens: u64,
    class: Option<String>,
    organisation: Option<String>,
}

/// Answers `POST /explain`.
pub(crate) async fn answer(parts: &Parts, request: Request<Incoming>) -> Response<Body> {
    let question = match collect(request.into_body(), BODY_LIMIT_BYTES).await {
        Ok(body) => serde_json::from_slice(&body).map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    match question.and_then(|question| demand(parts, question)) {
        Ok(demand) => json(StatusCode::OK, &parts.placement.explain(&demand)),
        Err(reason) => ErrorBody::new("malformed_request", Outcome::NotRun, "explain", reason)
            .into_response(StatusCode::BAD_REQUEST),
    }
}

fn demand(parts: &Parts, question: Question) -> Result<PlacementRequest, String> {
    if let Some(organisation) = &question.organisation {
        check_organisation(parts, organisation)?;
    }
    let class = match &question.class {
        Some(name) => Some(find_class(parts, name)?),
        None => None,
    };
    let target = class.as_ref().map(Class::time_to_first_token);
    let limit = class.as_ref().map(Class::time_limit);
    Ok(PlacementRequest {
        model: question.model,
        length_tokens: question.tokens,
        max_tokens: DEFAULT_MAX_TOKENS,
        blocks: Vec::new(),
        time_to_first_token: target.unwrap_or(NO_CLASS_TIME),
        deadline: Instant::now() + limit.unwrap_or(NO_CLASS_TIME),
    })
}

fn check_organisation(parts: &Parts, organisation: &str) -> Result<(), String> {
    let accepted = parts.platform.configuration();
    let known = accepted.is_some_and(|accepted| {
        let organisations = &accepted.configuration.organisations;
        organisations.contains_key(organisation)
    });
    if known {
        return Ok(());
    }
    Err(format!("unknown organisation {organisation}"))
}

fn find_class(parts: &Parts, name: &str) -> Result<Class, String> {
    let accepted = parts.platform.configuration();
    let class = accepted.and_then(|accepted| accepted.configuration.classes.get(name).cloned());
    class.ok_or_else(|| format!("unknown class {name}"))
}
