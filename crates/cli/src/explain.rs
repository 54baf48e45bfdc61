//! `mangofront explain`: shows which engine a prompt would be placed on.

use std::net::SocketAddr;

use pico_args::Arguments;
use serde::Serialize;
use serde_json::Value;

use crate::admin::AdminClient;
use crate::error::CliError;
use crate::{block_on, finish, output, table};

/// Body of `POST /explain`: the request to explain.
#[derive(Debug, Serialize)]
struct ExplainRequest {
    model: String,
    tokens: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    class: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    organisation: Option<String>,
}

pub(crate) fn run(mut arguments: Arguments) -> Result<(), CliError> {
    let address: SocketAddr = arguments.value_from_str("--admin")?;
    let json = arguments.contains("--json");
    let request = ExplainRequest {
        model: arguments.value_from_str("--model")?,
        tokens: arguments.value_from_str("--tokens")?,
        class: arguments.opt_value_from_str("--class")?,
        organisation: arguments.opt_value_from_str("--organisation")?,
    };
    finish(arguments)?;
    let answer = block_on(post_explain(address, &request))?;
    if json {
        return output::print_json(&answer);
    }
    output::print(&table::render(&answer))
}

async fn post_explain(address: SocketAddr, request: &ExplainRequest) -> Result<Value, CliError> {
    const STEP: &str = "explain";
    let body = serde_json::to_value(request).map_err(|cause| CliError::InvalidResponse {
        step: STEP,
        address,
        cause,
    })?;
    AdminClient::new(address)?
        .post(STEP, "/explain", &body)
        .await
}
