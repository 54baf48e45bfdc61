//! `mangofront evacuations`: shows the availability zones whose upstreams get no new work.

use std::net::SocketAddr;

use pico_args::Arguments;

use crate::admin::AdminClient;
use crate::error::CliError;
use crate::{block_on, finish, output, table};

pub(crate) fn run(mut arguments: Arguments) -> Result<(), CliError> {
    let address: SocketAddr = arguments.value_from_str("--admin")?;
    let json = arguments.contains("--json");
    finish(arguments)?;
    let answer = block_on(async {
        let admin = AdminClient::new(address)?;
        admin.get("evacuations", "/evacuations").await
    })?;
    if json {
        return output::print_json(&answer);
    }
    output::print(&table::render(&answer))
}
