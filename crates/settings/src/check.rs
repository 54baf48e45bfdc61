//! Validation of a document, with the location of every fault.
//!
//! A document is parsed into a syntax tree with the source range of every value.
//! The tree is validated (`validate`) against a schema table (`shape`), which
//! finds all faults at once; they are reported in text order. Only a document without
//! faults is deserialised by serde, whose own errors locate a fault less precisely. Schema tables and
//! structs are kept consistent: the structs deny unknown fields, and the tests
//! load an example document that contains every field.

mod document;
mod fault;
mod hint;
mod problem;
pub(crate) mod shape;
mod validate;

use jsonc_parser::ast::{Object, Value};
use serde::de::DeserializeOwned;

pub use document::{DocumentKind, parse_value};
pub use fault::{CheckError, Fault, SettingsError};
pub use problem::Problem;
pub(crate) use problem::quote;

use shape::Schema;

/// Problem with its path and source range; line and column are computed later.
#[derive(Debug)]
pub(crate) struct Finding {
    pub(crate) path: String,
    pub(crate) range: jsonc_parser::common::Range,
    pub(crate) problem: Problem,
}

/// Rule across several fields; applied only if every field on its own is valid.
pub(crate) type Rule = fn(&Object<'_>, &mut Vec<Finding>);

/// Maximum number of faults that one error reports. Computing the location of a
/// fault scans all text before it, and a published document may contain very many
/// faults.
pub const MAX_REPORTED_FAULTS: usize = 20;

/// Validates `text` against `schema` and deserialises it.
pub(crate) fn read<T: DeserializeOwned>(
    name: &str,
    text: &str,
    schema: &Schema,
) -> Result<T, CheckError> {
    let root = document::parse(text).map_err(|fault| CheckError::single(name, text, *fault))?;
    let findings = findings(&root, schema);
    if findings.is_empty() {
        return document::deserialize(text).map_err(|fault| CheckError::single(name, text, *fault));
    }
    let total_faults = findings.len();
    let first = findings.into_iter().take(MAX_REPORTED_FAULTS);
    let faults = first
        .map(|finding| Fault::new(text, finding.path, finding.range, finding.problem))
        .collect();
    Err(CheckError::new(name, text, faults, total_faults))
}

fn findings(root: &Value<'_>, schema: &Schema) -> Vec<Finding> {
    let mut findings = validate::validate(root, schema);
    if let (true, Some(object)) = (findings.is_empty(), root.as_object()) {
        for rule in schema.rules {
            rule(object, &mut findings);
        }
    }
    findings.sort_by_key(|finding| finding.range.start);
    findings
}
