//! Writing to standard output.
//!
//! The `print` macros panic when the reader has gone away; here that is an
//! error that ends the command.

use std::io::Write;

use serde::Serialize;

use crate::error::CliError;

/// Writes `text` as it is.
pub(crate) fn print(text: &str) -> Result<(), CliError> {
    let mut output = std::io::stdout().lock();
    output
        .write_all(text.as_bytes())
        .map_err(CliError::Output)?;
    output.flush().map_err(CliError::Output)
}

/// Writes `value` as JSON over several lines.
pub(crate) fn print_json(value: &serde_json::Value) -> Result<(), CliError> {
    print(&format!("{value:#}\n"))
}

/// Writes `value` as JSON in one line.
pub(crate) fn print_json_line(value: &impl Serialize) -> Result<(), CliError> {
    let line = serde_json::to_string(value).map_err(|error| CliError::Output(error.into()))?;
    print(&format!("{line}\n"))
}

/// `text` without characters that could steer a terminal.
pub(crate) fn plain(text: &str) -> String {
    let mut shown = String::with_capacity(text.len());
    for letter in text.chars() {
        if letter.is_control() {
            shown.extend(letter.escape_debug());
        } else {
            shown.push(letter);
        }
    }
    shown
}
