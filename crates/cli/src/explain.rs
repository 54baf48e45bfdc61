//! `mangofront explain`: where a prompt would go.

use std::net::SocketAddr;

use pico_args::Arguments;
use serde::Serialize;
use serde_json::Value;

use crate::admin::Admin;
use crate::error::CliError;
use crate::{block_on, finish, output, table};

/// The request to be explained.
#[derive(Debug, Serialize)]
struct Question {
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
    let question = Question {
        model: arguments.value_from_str("--model")?,
        tokens: arguments.value_from_str("--tokens")?,
        class: arguments.opt_value_from_str("--class")?,
        organisation: arguments.opt_value_from_str("--organisation")?,
    };
    finish(arguments)?;
    let answer = block_on(ask(address, &question))?;
    if json {
        return output::print_json(&answer);
    }
    output::print(&table::render(&answer))
}

async fn ask(address: SocketAddr, question: &Question) -> Result<Value, CliError> {
    const STEP: &str = "explain";
    let body = serde_json::to_value(question).map_err(|cause| CliError::BadAnswer {
        step: STEP,
        address,
        cause,
    })?;
    Admin::new(address)?.post(STEP, "/explain", &body).await
}
