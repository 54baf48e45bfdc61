//! `mangofront status`: what a daemon sees and does.

use std::net::SocketAddr;

use pico_args::Arguments;

use crate::admin::Admin;
use crate::error::CliError;
use crate::{block_on, finish, output, table};

pub(crate) fn run(mut arguments: Arguments) -> Result<(), CliError> {
    let address: SocketAddr = arguments.value_from_str("--admin")?;
    let json = arguments.contains("--json");
    finish(arguments)?;
    let status = block_on(async { Admin::new(address)?.get("status", "/status").await })?;
    if json {
        return output::print_json(&status);
    }
    output::print(&table::render(&status))
}
