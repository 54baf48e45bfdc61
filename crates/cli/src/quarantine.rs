//! `mangofront quarantine`: requests that are kept from all upstreams.

use std::net::SocketAddr;

use pico_args::Arguments;
use serde_json::json;

use crate::admin::Admin;
use crate::error::CliError;
use crate::{block_on, finish, output, table};

pub(crate) fn run(mut arguments: Arguments) -> Result<(), CliError> {
    let address: SocketAddr = arguments.value_from_str("--admin")?;
    let lifted: Option<String> = arguments.opt_value_from_str("--lift")?;
    let json = arguments.contains("--json");
    finish(arguments)?;
    let answer = block_on(async {
        let admin = Admin::new(address)?;
        match lifted {
            Some(fingerprint) => {
                let body = json!({ "fingerprint": fingerprint });
                admin
                    .post("lift quarantine", "/quarantine/lift", &body)
                    .await
            }
            None => admin.get("quarantine", "/quarantine").await,
        }
    })?;
    if json {
        return output::print_json(&answer);
    }
    output::print(&table::render(&answer))
}
