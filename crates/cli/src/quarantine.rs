//! `mangofront quarantine`: shows quarantined requests, or ends the quarantine of one.

use std::net::SocketAddr;

use pico_args::Arguments;
use serde_json::json;

use crate::admin::AdminClient;
use crate::error::CliError;
use crate::{block_on, finish, output, table};

pub(crate) fn run(mut arguments: Arguments) -> Result<(), CliError> {
    let address: SocketAddr = arguments.value_from_str("--admin")?;
    let lift_fingerprint: Option<String> = arguments.opt_value_from_str("--lift")?;
    let json = arguments.contains("--json");
    finish(arguments)?;
    let answer = block_on(async {
        let admin = AdminClient::new(address)?;
        match lift_fingerprint {
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
