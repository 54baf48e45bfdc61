//! The walk along a document and its table.

use std::net::SocketAddr;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::{Range, Ranged};

use super::Finding;
use super::hint;
use super::problem::{Problem, quote};
use super::shape::{Field, Presence, Schema, Shape, TextForm};

/// Finds every fault of `root` by `schema`.
pub(super) fn walk(root: &Value<'_>, schema: &Schema) -> Vec<Finding> {
    let mut walk = Walk {
        path: Vec::new(),
        guard_steering: schema.guard_steering,
        findings: Vec::new(),
    };
    walk.section(root, schema.fields);
    walk.findings
}

struct Walk {
    path: Vec<String>,
    guard_steering: bool,
    findings: Vec<Finding>,
}

impl Walk {
    fn find(&mut self, range: Range, problem: Problem) {
        self.findings.push(Finding {
            path: self.path.join("."),
            range,
            problem,
        });
    }

    fn below(&mut self, key: &str, visit: impl FnOnce(&mut Self)) {
        self.path.push(quote(key));
        visit(self);
        self.path.pop();
    }

    fn value(&mut self, value: &Value<'_>, shape: &Shape) {
        match shape {
            Shape::Text(form) => self.text(value, shape, *form),
            Shape::Address => self.address(value, shape),
            Shape::Integer { min, max } => self.integer(value, shape, *min, *max),
            Shape::Number { min, max } => self.number(value, shape, *min, *max),
            Shape::Boolean => {
                if value.as_boolean_lit().is_none() {
                    self.wrong_type(value, shape);
                }
            }
            Shape::Choice(known) => self.choice(value, shape, known),
            Shape::Object(fields) => self.section(value, fields),
            Shape::Map {
                names,
                value: inner,
            } => self.map(value, shape, *names, inner),
            Shape::List(inner) => self.list(value, shape, inner),
        }
    }

    fn wrong_type(&mut self, value: &Value<'_>, shape: &Shape) {
        let problem = Problem::WrongType {
            expected: shape.describe(),
            found: kind_of(value),
        };
        self.find(first_of(value), problem);
    }

    fn text(&mut self, value: &Value<'_>, shape: &Shape, form: TextForm) {
        let Some(text) = value.as_string_lit() else {
            return self.wrong_type(value, shape);
        };
        if !form.admits(&text.value) {
            self.wrong_form(text.range, &text.value, form.describe());
        }
    }

    fn wrong_form(&mut self, range: Range, found: &str, expected: &'static str) {
        let problem = Problem::WrongForm {
            found: quote(found),
            expected,
        };
        self.find(range, problem);
    }

    fn address(&mut self, value: &Value<'_>, shape: &Shape) {
        let Some(text) = value.as_string_lit() else {
            return self.wrong_type(value, shape);
        };
        if text.value.parse::<SocketAddr>().is_err() {
            self.wrong_form(text.range, &text.value, "an IP address with a port");
        }
    }

    fn integer(&mut self, value: &Value<'_>, shape: &Shape, min: u64, max: u64) {
        let Some(number) = value.as_number_lit() else {
            return self.wrong_type(value, shape);
        };
        let digits = number.value.strip_prefix('-').unwrap_or(number.value);
        if !digits.bytes().all(|digit| digit.is_ascii_digit()) {
            let problem = Problem::WrongType {
                expected: shape.describe(),
                found: "a fraction or power",
            };
            return self.find(number.range, problem);
        }
        // A number too long to parse is out of range as well.
        let within = number
            .value
            .parse()
            .is_ok_and(|parsed| (min..=max).contains(&parsed));
        if !within {
            let problem = Problem::OutOfRange {
                found: quote(number.value),
                min,
                max,
                unit: self.path.last().map_or("", |key| hint::unit_of(key)),
            };
            self.find(number.range, problem);
        }
    }

    fn number(&mut self, value: &Value<'_>, shape: &Shape, min: f64, max: f64) {
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
            self.find(number.range, problem);
        }
    }

    fn choice(&mut self, value: &Value<'_>, shape: &Shape, known: &'static [&'static str]) {
        let Some(text) = value.as_string_lit() else {
            return self.wrong_type(value, shape);
        };
        if !known.contains(&&*text.value) {
            let problem = Problem::UnknownChoice {
                found: quote(&text.value),
                known,
            };
            self.find(text.range, problem);
        }
    }

    fn list(&mut self, value: &Value<'_>, shape: &Shape, inner: &Shape) {
        let Some(array) = value.as_array() else {
            return self.wrong_type(value, shape);
        };
        for (index, element) in array.elements.iter().enumerate() {
            self.below(&index.to_string(), |walk| walk.value(element, inner));
        }
    }

    fn map(&mut self, value: &Value<'_>, shape: &Shape, names: TextForm, inner: &Shape) {
        let Some(object) = value.as_object() else {
            return self.wrong_type(value, shape);
        };
        self.duplicates(object);
        for property in &object.properties {
            let name = property.name.as_str();
            if !names.admits(name) {
                self.wrong_form(property.name.range(), name, names.describe());
            }
            self.below(name, |walk| walk.value(&property.value, inner));
        }
    }

    fn section(&mut self, value: &Value<'_>, fields: &'static [Field]) {
        let Some(object) = value.as_object() else {
            return self.wrong_type(value, &Shape::Object(fields));
        };
        self.duplicates(object);
        for property in &object.properties {
            self.property(property, fields);
        }
        for field in fields {
            if field.presence == Presence::Required && object.get(field.name).is_none() {
                let problem = Problem::MissingKey {
                    key: field.name,
                    expected: field.shape.describe(),
                };
                self.find(first_of(value), problem);
            }
        }
    }

    fn property(&mut self, property: &ObjectProp<'_>, fields: &'static [Field]) {
        let key = property.name.as_str();
        let Some(field) = fields.iter().find(|field| field.name == key) else {
            let problem = hint::unknown_key(key, fields, self.guard_steering);
            return self.find(property.name.range(), problem);
        };
        let is_null = property.value.as_null_keyword().is_some();
        if is_null && field.presence == Presence::Optional {
            return;
        }
        self.below(key, |walk| walk.value(&property.value, &field.shape));
    }

    fn duplicates(&mut self, object: &Object<'_>) {
        let mut seen = std::collections::BTreeSet::new();
        for property in &object.properties {
            let key = property.name.as_str();
            if !seen.insert(key) {
                let problem = Problem::DuplicateKey { key: quote(key) };
                self.find(property.name.range(), problem);
            }
        }
    }
}

fn kind_of(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "a string",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "true or false",
        Value::Object(_) => "an object",
        Value::Array(_) => "an array",
        Value::NullKeyword(_) => "null",
    }
}

/// Range of a value; only the opening bracket of one that spans lines, so that
/// a report doesn't quote a whole section.
fn first_of(value: &Value<'_>) -> Range {
    let range = value.range();
    match value {
        Value::Object(_) | Value::Array(_) => Range::new(range.start, range.start + 1),
        _ => range,
    }
}
