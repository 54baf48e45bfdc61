//! Schema of the published configuration: fields and their ranges.

use std::collections::BTreeSet;

use jsonc_parser::ast::Object;

use crate::check::shape::{Field, Schema, Shape, TextFormat};
use crate::check::{Finding, Problem, quote};

const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

/// Range of the times that an operator may set.
const TIME_MS: Shape = Shape::Integer {
    min: 1,
    max: DAY_MS,
};

/// Schema of the published configuration.
pub(super) static SCHEMA: Schema = Schema {
    fields: FIELDS,
    forbids_upstream_keys: true,
    rules: &[default_classes_exist],
};

const FIELDS: &[Field] = &[
    Field::required("classes", named(TextFormat::Name, &Shape::Object(CLASS))),
    Field::required(
        "organisations",
        named(TextFormat::Name, &Shape::Object(ORGANISATION)),
    ),
    Field::defaulted(
        "models",
        named(TextFormat::ModelName, &Shape::Object(MODEL)),
    ),
    Field::defaulted("services", named(TextFormat::Name, &Shape::Object(SERVICE))),
    Field::defaulted("idempotency", Shape::Object(IDEMPOTENCY)),
];

const CLASS: &[Field] = &[
    Field::required("time_to_first_token_ms", TIME_MS),
    Field::required("allowed_delay_ms", TIME_MS),
];

const ORGANISATION: &[Field] = &[Field::optional(
    "default_class",
    Shape::Text(TextFormat::Name),
)];

const MODEL: &[Field] = &[
    Field::defaulted("fencing", Shape::Choice(&["checked", "ignored"])),
    Field::optional("version", Shape::Text(TextFormat::ModelName)),
    Field::defaulted("adapters", Shape::List(&Shape::Text(TextFormat::ModelName))),
];

const SERVICE: &[Field] = &[Field::defaulted(
    "non_repeatable",
    Shape::List(&Shape::Object(CALL_PATTERN)),
)];

const CALL_PATTERN: &[Field] = &[
    Field::required("method", Shape::Text(TextFormat::Method)),
    Field::required("path_prefix", Shape::Text(TextFormat::PathPrefix)),
];

const IDEMPOTENCY: &[Field] = &[
    Field::defaulted("window_ms", TIME_MS),
    Field::defaulted(
        "first_start_unix_ms",
        Shape::Integer {
            min: 0,
            max: u64::MAX,
        },
    ),
];

const fn named(names: TextFormat, value: &'static Shape) -> Shape {
    Shape::Map { names, value }
}

fn default_classes_exist(root: &Object<'_>, findings: &mut Vec<Finding>) {
    let (Some(classes), Some(organisations)) =
        (root.get_object("classes"), root.get_object("organisations"))
    else {
        return;
    };
    let known: BTreeSet<&str> = classes
        .properties
        .iter()
        .map(|class| class.name.as_str())
        .collect();
    for organisation in &organisations.properties {
        let fields = organisation.value.as_object();
        let Some(class) = fields.and_then(|fields| fields.get_string("default_class")) else {
            continue;
        };
        if known.contains(&*class.value) {
            continue;
        }
        findings.push(Finding {
            path: format!("organisations.{}.default_class", organisation.name.as_str()),
            range: class.range,
            problem: Problem::UnknownClass {
                class: quote(&class.value),
                known: known.iter().map(|&class| class.to_owned()).collect(),
            },
        });
    }
}
