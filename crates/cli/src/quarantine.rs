//! `mangofront quarantine`: shows quarantined requests and prompt parts, or ends the quarantine of
//! one.

use std::net::SocketAddr;

use pico_args::Arguments;
use serde_json::json;

use crate::admin::AdminClient;
use crate::error::CliError;
use crate::{block_on, finish, output, table};

pub(crate) fn run(mut arguments: Arguments) -> Result<(), CliError> {
    let address: SocketAddr = arguments.value_from_str("--admin")?;
    let lift_fingerprint: Option<String> = arguments.opt_value_from_str("--lift")?;
    let lift_part: Option<String> = arguments.opt_value_from_str("--lift-part")?;
    let service: Option<String> = arguments.opt_value_from_str("--service")?;
    let json = arguments.contains("--json");
    finish(arguments)?;
    let answer = block_on(async {
        let admin = AdminClient::new(address)?;
        let body = match (lift_fingerprint, lift_part) {
            (None, None) => return admin.get("quarantine", "/quarantine").await,
            (Some(fingerprint), None) => json!({ "fingerprint": fingerprint }),
            (None, Some(part)) => json!({ "prompt_part": part, "service": service }),
            (Some(_), Some(_)) => {
                return Err(CliError::UnusedArguments("--lift-part".to_owned()));
            }
        };
        admin
            .post("lift quarantine", "/quarantine/lift", &body)
            .await
    })?;
    if json {
        return output::print_json(&answer);
    }
    output::print(&table::render(&answer))
}
