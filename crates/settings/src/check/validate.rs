//! Validation of a parsed document against its schema.

use std::net::SocketAddr;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::{Range, Ranged};

use super::Finding;
use super::hint;
use super::problem::{Problem, quote};
use super::shape::{Field, Presence, Schema, Shape, TextFormat};

/// Returns every problem of `root` under `schema`, in no particular order.
pub(super) fn validate(root: &Value<'_>, schema: &Schema) -> Vec<Finding> {
    let mut validator = Validator {
        path: Vec::new(),
        forbids_upstream_keys: schema.forbids_upstream_keys,
        findings: Vec::new(),
    };
    validator.check_object(root, schema.fields);
    validator.findings
}

struct Validator {
    path: Vec<String>,
    forbids_upstream_keys: bool,
    findings: Vec<Finding>,
}

impl Validator {
    fn report(&mut self, range: Range, problem: Problem) {
        self.findings.push(Finding {
            path: self.path.join("."),
            range,
            problem,
        });
    }

    fn descend(&mut self, key: &str, visit: impl FnOnce(&mut Self)) {
        self.path.push(quote(key));
        visit(self);
        self.path.pop();
    }

    fn check_value(&mut self, value: &Value<'_>, shape: &Shape) {
        match shape {
            Shape::Text(format) => self.check_text(value, shape, *format),
            Shape::Address => self.check_address(value, shape),
            Shape::Integer { min, max } => self.check_integer(value, shape, *min, *max),
            Shape::Number { min, max } => self.check_number(value, shape, *min, *max),
            Shape::Boolean => {
                if value.as_boolean_lit().is_none() {
                    self.wrong_type(value, shape);
                }
            }
            Shape::Choice(known) => self.check_choice(value, shape, known),
            Shape::Object(fields) => self.check_object(value, fields),
            Shape::Map {
                names,
                value: inner,
            } => self.check_map(value, shape, *names, inner),
            Shape::List(inner) => self.check_list(value, shape, inner),
        }
    }

    fn wrong_type(&mut self, value: &Value<'_>, shape: &Shape) {
        let problem = Problem::WrongType {
            expected: shape.describe(),
            found: type_name(value),
        };
        self.report(label_range(value), problem);
    }

    fn check_text(&mut self, value: &Value<'_>, shape: &Shape, format: TextFormat) {
        let Some(text) = value.as_string_lit() else {
            return self.wrong_type(value, shape);
        };
        if !format.matches(&text.value) {
            self.wrong_format(text.range, &text.value, format.describe());
        }
    }

    fn wrong_format(&mut self, range: Range, found: &str, expected: &'static str) {
        let problem = Problem::WrongFormat {
            found: quote(found),
            expected,
        };
        self.report(range, problem);
    }

    fn check_address(&mut self, value: &Value<'_>, shape: &Shape) {
        let Some(text) = value.as_string_lit() else {
            return self.wrong_type(value, shape);
        };
        if text.value.parse::<SocketAddr>().is_err() {
            self.wrong_format(text.range, &text.value, "an IP address with a port");
        }
    }

    fn check_integer(&mut self, value: &Value<'_>, shape: &Shape, min: u64, max: u64) {
        let Some(number) = value.as_number_lit() else {
            return self.wrong_type(value, shape);
        };
        let digits = number.value.strip_prefix('-').unwrap_or(number.value);
        if !digits.bytes().all(|digit| digit.is_ascii_digit()) {
            let problem = Problem::WrongType {
                expected: shape.describe(),
                found: "a fraction or power",
            };
            return self.report(number.range, problem);
        }
        // A number with too many digits to parse is also out of range.
        let in_range = number
            .value
            .parse()
            .is_ok_and(|parsed| (min..=max).contains(&parsed));
        if !in_range {
            let problem = Problem::OutOfRange {
                found: quote(number.value),
                min,
                max,
                unit: self.path.last().map_or("", |key| hint::unit_of(key)),
            };
            self.report(number.range, problem);
        }
    }

    fn check_number(&mut self, value: &Value<'_>, shape: &Shape, min: f64, max: f64) {
        let Some(number) = value.as_number_lit() else {
            return self.wrong_type(value, shape);
        };
        let parsed = number.value.parse::<f64>();
        if !parsed.is_ok_and(|parsed| (min..=max).contains(&parsed)) {
            let problem = Problem::OutOfRange {
                found: quote(number.value),
                min: min as u64,
                max: max as u64,
                unit: self.path.last().map_or("", |key| hint::unit_of(key)),
            };
            self.report(number.range, problem);
        }
    }

    fn check_choice(&mut self, value: &Value<'_>, shape: &Shape, known: &'static [&'static str]) {
        let Some(text) = value.as_string_lit() else {
            return self.wrong_type(value, shape);
        };
        if !known.contains(&&*text.value) {
            let problem = Problem::UnknownChoice {
                found: quote(&text.value),
                known,
            };
            self.report(text.range, problem);
        }
    }

    fn check_list(&mut self, value: &Value<'_>, shape: &Shape, inner: &Shape) {
        let Some(array) = value.as_array() else {
            return self.wrong_type(value, shape);
        };
        for (index, element) in array.elements.iter().enumerate() {
            self.descend(&index.to_string(), |validator| {
                validator.check_value(element, inner)
            });
        }
    }

    fn check_map(&mut self, value: &Value<'_>, shape: &Shape, names: TextFormat, inner: &Shape) {
        let Some(object) = value.as_object() else {
            return self.wrong_type(value, shape);
        };
        self.check_duplicates(object);
        for property in &object.properties {
            let name = property.name.as_str();
            if !names.matches(name) {
                self.wrong_format(property.name.range(), name, names.describe());
            }
            self.descend(name, |validator| {
                validator.check_value(&property.value, inner)
            });
        }
    }

    fn check_object(&mut self, value: &Value<'_>, fields: &'static [Field]) {
        let Some(object) = value.as_object() else {
            return self.wrong_type(value, &Shape::Object(fields));
        };
        self.check_duplicates(object);
        for property in &object.properties {
            self.check_property(property, fields);
        }
        for field in fields {
            if field.presence == Presence::Required && object.get(field.name).is_none() {
                let problem = Problem::MissingKey {
                    key: field.name,
                    expected: field.shape.describe(),
                };
                self.report(label_range(value), problem);
            }
        }
    }

    fn check_property(&mut self, property: &ObjectProp<'_>, fields: &'static [Field]) {
        let key = property.name.as_str();
        let Some(field) = fields.iter().find(|field| field.name == key) else {
            let problem = hint::unknown_key(key, fields, self.forbids_upstream_keys);
            return self.report(property.name.range(), problem);
        };
        let is_null = property.value.as_null_keyword().is_some();
        if is_null && field.presence == Presence::Optional {
            return;
        }
        self.descend(key, |validator| {
            validator.check_value(&property.value, &field.shape)
        });
    }

    fn check_duplicates(&mut self, object: &Object<'_>) {
        let mut seen = std::collections::BTreeSet::new();
        for property in &object.properties {
            let key = property.name.as_str();
            if !seen.insert(key) {
                let problem = Problem::DuplicateKey { key: quote(key) };
                self.report(property.name.range(), problem);
            }
        }
    }
}

fn type_name(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "a string",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "true or false",
        Value::Object(_) => "an object",
        Value::Array(_) => "an array",
        Value::NullKeyword(_) => "null",
    }
}

/// Range of `value` that a report marks. Of an object or an array it is only the
/// opening bracket, so that the report doesn't quote all of its lines.
fn label_range(value: &Value<'_>) -> Range {
    let range = value.range();
    match value {
        Value::Object(_) | Value::Array(_) => Range::new(range.start, range.start + 1),
        _ => range,
    }
}
