//! Checks of a document, with the place of every fault.
//!
//! A document is parsed once with the range of every value. A table of its
//! fields (`shape`) is walked along with it (`walk`), which finds every
//! fault at once and in the order of the text. Only a document without a fault
//! is handed to serde, so serde's own errors, which know less of the place,
//! are a last resort. The tables and the structs can't drift apart unseen:
//! the structs deny unknown fields, and the tests load an example with every
//! field.

mod document;
mod fault;
mod hint;
mod problem;
pub(crate) mod shape;
mod walk;

use jsonc_parser::ast::{Object, Value};
use serde::de::DeserializeOwned;

pub use document::{DocumentKind, parse_value};
pub use fault::{CheckError, Fault, SettingsError};
pub use problem::Problem;
pub(crate) use problem::quote;

use shape::Schema;

/// What a rule across several fields found.
#[derive(Debug)]
pub(crate) struct Finding {
    pub(crate) path: String,
    pub(crate) range: jsonc_parser::common::Range,
    pub(crate) problem: Problem,
}

/// Rule across several fields of a document whose shape is right.
pub(crate) type Rule = fn(&Object<'_>, &mut Vec<Finding>);

/// Most faults that one error tells. The place of each is found by a look at
/// the whole text before it, and a published text may hold very many.
pub const MAX_REPORTED_FAULTS: usize = 20;

/// Reads `text` by `schema` into its type.
pub(crate) fn read<T: DeserializeOwned>(
    name: &str,
    text: &str,
    schema: &Schema,
) -> Result<T, CheckError> {
    let root = document::parse(text).map_err(|fault| CheckError::one(name, text, *fault))?;
    let findings = findings(&root, schema);
    if findings.is_empty() {
        return document::deserialize(text).map_err(|fault| CheckError::one(name, text, *fault));
    }
    let total_faults = findings.len();
    let first = findings.into_iter().take(MAX_REPORTED_FAULTS);
    let faults = first
        .map(|finding| Fault::new(text, finding.path, finding.range, finding.problem))
        .collect();
    Err(CheckError::new(name, text, faults, total_faults))
}

fn findings(root: &Value<'_>, schema: &Schema) -> Vec<Finding> {
    let mut findings = walk::walk(root, schema);
    if let (true, Some(object)) = (findings.is_empty(), root.as_object()) {
        for rule in schema.rules {
            rule(object, &mut findings);
        }
    }
    findings.sort_by_key(|finding| finding.range.start);
    findings
}
