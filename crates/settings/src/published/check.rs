//! Parsing and validation of a published configuration.

use super::Configuration;
use super::fields::SCHEMA;
use crate::check::{self, CheckError};

/// Name of a published document in reports.
const PUBLISHED_NAME: &str = "configuration";

/// Parses and validates a published configuration.
///
/// # Errors
/// [`CheckError`], a miette diagnostic with the location of every fault.
pub fn check_published(text: &str) -> Result<Configuration, CheckError> {
    check_published_named(PUBLISHED_NAME, text)
}

/// Parses and validates a published configuration; `name` identifies the text in
/// the error.
///
/// # Errors
/// [`CheckError`] with the location of every fault.
pub fn check_published_named(name: &str, text: &str) -> Result<Configuration, CheckError> {
    check::read(name, text, &SCHEMA)
}

/// Parses and validates a published configuration; the error fits one log line.
///
/// # Errors
/// The first fault with its line and column, as one line of text.
pub fn check_published_one_line(text: &str) -> Result<Configuration, String> {
    check_published(text).map_err(|error| error.one_line())
}
