//! Checking of a published configuration.

use super::Configuration;
use super::fields::SCHEMA;
use crate::check::{self, CheckError};

/// Name that stands for a published text in reports.
const PUBLISHED_NAME: &str = "configuration";

/// Checks a published configuration.
///
/// # Errors
/// [`CheckError`] with the place of every fault; it is a miette diagnostic.
pub fn check_published(text: &str) -> Result<Configuration, CheckError> {
    check_published_named(PUBLISHED_NAME, text)
}

/// Checks a published configuration; `name` stands for the text in the error.
///
/// # Errors
/// [`CheckError`] with the place of every fault.
pub fn check_published_named(name: &str, text: &str) -> Result<Configuration, CheckError> {
    check::read(name, text, &SCHEMA)
}

/// Checks a published configuration for a process that keeps one line of it.
///
/// # Errors
/// The first fault with its line and column, in one line.
pub fn check_published_one_line(text: &str) -> Result<Configuration, String> {
    check_published(text).map_err(|error| error.one_line())
}
