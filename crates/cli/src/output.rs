//! Writes to standard output.
//!
//! The `print` macros panic when the reader has closed the pipe; these functions
//! return an error, which ends the command.

use std::io::Write;

use serde::Serialize;

use crate::error::CliError;

/// Writes `text` unchanged.
pub(crate) fn print(text: &str) -> Result<(), CliError> {
    let mut output = std::io::stdout().lock();
    output
        .write_all(text.as_bytes())
        .map_err(CliError::Output)?;
    output.flush().map_err(CliError::Output)
}

/// Writes `value` as indented JSON.
pub(crate) fn print_json(value: &serde_json::Value) -> Result<(), CliError> {
    print(&format!("{value:#}\n"))
}

/// Writes `value` as JSON on one line.
pub(crate) fn print_json_line(value: &impl Serialize) -> Result<(), CliError> {
    let line = serde_json::to_string(value).map_err(|error| CliError::Output(error.into()))?;
    print(&format!("{line}\n"))
}

/// Escapes control characters in `text`, which could otherwise control the terminal.
pub(crate) fn escape_control(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        if character.is_control() {
            escaped.extend(character.escape_debug());
        } else {
            escaped.push(character);
        }
    }
    escaped
}
