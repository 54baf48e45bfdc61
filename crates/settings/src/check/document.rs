//! Parsing of JSON with comments.
//!
//! Comments and trailing commas are allowed, everything else is strict JSON, so
//! that every tool that reads a document interprets it in the same way.

use jsonc_parser::ast::Value;
use jsonc_parser::common::Range;
use jsonc_parser::errors::{ParseError, ParseErrorKind};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast, parse_to_serde_value};
use serde::de::DeserializeOwned;

use super::fault::{CheckError, Fault};
use super::problem::Problem;

/// Top-level keys that only a published configuration has.
const CONFIGURATION_KEYS: [&str; 4] = ["classes", "organisations", "models", "services"];

/// Kind of a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DocumentKind {
    /// Settings of a daemon.
    Settings,
    /// Published configuration.
    Configuration,
}

impl DocumentKind {
    /// Detects the kind from the top-level keys of `text`; returns
    /// [`Self::Settings`] if `text` can't be parsed or has none of them.
    #[must_use]
    pub fn guess(text: &str) -> Self {
        let Ok(Value::Object(object)) = parse(text) else {
            return Self::Settings;
        };
        let has = |key: &&str| object.get(key).is_some();
        if CONFIGURATION_KEYS.iter().any(has) {
            Self::Configuration
        } else {
            Self::Settings
        }
    }
}

/// Parses `text` without a schema; `name` identifies it in the error.
///
/// # Errors
/// [`CheckError`] with the location of the fault if `text` is not JSON with
/// comments.
pub fn parse_value(name: &str, text: &str) -> Result<serde_json::Value, CheckError> {
    // The syntax tree is parsed first because only that parser limits the nesting
    // depth.
    parse(text)
        .and_then(|_| deserialize(text))
        .map_err(|fault| CheckError::single(name, text, *fault))
}

/// Parses `text` into a syntax tree with source ranges.
pub(super) fn parse(text: &str) -> Result<Value<'_>, Box<Fault>> {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &options())
        .map_err(|error| syntax_fault(text, &error))?;
    parsed.value.ok_or_else(|| {
        let end = Range::new(text.len(), text.len());
        Box::new(Fault::new(text, String::new(), end, Problem::Empty))
    })
}

/// Deserialises `text`, for which [`parse`] has already succeeded.
pub(super) fn deserialize<T: DeserializeOwned>(text: &str) -> Result<T, Box<Fault>> {
    parse_to_serde_value(text, &options()).map_err(|error| syntax_fault(text, &error))
}

fn syntax_fault(text: &str, error: &ParseError) -> Box<Fault> {
    let problem = match error.kind() {
        ParseErrorKind::Custom(message) => Problem::InvalidValue(message.clone()),
        kind => Problem::Syntax(kind.to_string()),
    };
    Box::new(Fault::new(text, String::new(), error.range(), problem))
}

fn options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}
