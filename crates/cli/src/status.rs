//! `mangofront status`: prints the status of a daemon.

use std::net::SocketAddr;

use pico_args::Arguments;

use crate::admin::AdminClient;
use crate::error::CliError;
use crate::{block_on, finish, output, table};

pub(crate) fn run(mut arguments: Arguments) -> Result<(), CliError> {
    let address: SocketAddr = arguments.value_from_str("--admin")?;
    let json = arguments.contains("--json");
    finish(arguments)?;
    let status = block_on(async { AdminClient::new(address)?.get("status", "/status").await })?;
    if json {
        return output::print_json(&status);
    }
    output::print(&table::render(&status))
}
