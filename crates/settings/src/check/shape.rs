//! Tables of what a document may hold.

use super::Rule;

/// A whole kind of document.
#[derive(Debug)]
pub(crate) struct Schema {
    /// Keys at the top.
    pub(crate) fields: &'static [Field],
    /// Whether keys that steer single upstreams get their own answer.
    pub(crate) guard_steering: bool,
    /// Rules across fields, tried once the shape is right.
    pub(crate) rules: &'static [Rule],
}

/// One key of a section.
#[derive(Debug)]
pub(crate) struct Field {
    /// Key, with its unit as a suffix.
    pub(crate) name: &'static str,
    /// What its value is.
    pub(crate) shape: Shape,
    /// Whether it must, may, or may also be null.
    pub(crate) presence: Presence,
}

/// Whether a key must be there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Presence {
    /// Must be there.
    Required,
    /// Has a default.
    Defaulted,
    /// May be missing or null, which mean the same.
    Optional,
}

/// What a value is.
#[derive(Debug)]
pub(crate) enum Shape {
    /// String of a form.
    Text(TextForm),
    /// String that is an IP address with a port.
    Address,
    /// Whole number within a range, both ends included.
    Integer {
        /// Least value.
        min: u64,
        /// Greatest value.
        max: u64,
    },
    /// Number with or without a fraction, within a range, both ends included.
    Number {
        /// Least value.
        min: f64,
        /// Greatest value.
        max: f64,
    },
    /// `true` or `false`.
    Boolean,
    /// String of a closed set.
    Choice(&'static [&'static str]),
    /// Section with fixed keys.
    Object(&'static [Field]),
    /// Section with names as keys.
    Map {
        /// Form of the names.
        names: TextForm,
        /// What each value is.
        value: &'static Shape,
    },
    /// Array.
    List(&'static Shape),
}

/// Form of a string.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TextForm {
    /// Name that can stand in a header and as one part of a path.
    Name,
    /// Name of a model, an adapter or a version; may have parts.
    ModelName,
    /// HTTP method.
    Method,
    /// Start of a path.
    PathPrefix,
}

/// Longest name, in bytes.
const LONGEST_NAME_BYTES: usize = 128;

impl Field {
    pub(crate) const fn required(name: &'static str, shape: Shape) -> Self {
        Self {
            name,
            shape,
            presence: Presence::Required,
        }
    }

    pub(crate) const fn defaulted(name: &'static str, shape: Shape) -> Self {
        Self {
            name,
            shape,
            presence: Presence::Defaulted,
        }
    }

    pub(crate) const fn optional(name: &'static str, shape: Shape) -> Self {
        Self {
            name,
            shape,
            presence: Presence::Optional,
        }
    }
}

impl Shape {
    /// What a person calls such a value.
    pub(crate) fn describe(&self) -> String {
        match self {
            Self::Text(form) => format!("a string, {}", form.describe()),
            Self::Address => "a string, IP address and port".to_owned(),
            Self::Integer { .. } => "a whole number".to_owned(),
            Self::Number { .. } => "a number".to_owned(),
            Self::Boolean => "true or false".to_owned(),
            Self::Choice(known) => format!("a string, one of: {}", known.join(", ")),
            Self::Object(_) | Self::Map { .. } => "an object".to_owned(),
            Self::List(_) => "an array".to_owned(),
        }
    }
}

impl TextForm {
    /// What a person calls such a string.
    pub(crate) fn describe(self) -> &'static str {
        match self {
            Self::Name => "a name of 1 to 128 letters, digits, `-`, `_` and `.`",
            Self::ModelName => "a name of 1 to 128 letters, digits, `-`, `_`, `.`, `:` and `/`",
            Self::Method => "an HTTP method in capitals",
            Self::PathPrefix => "a path that begins with `/`",
        }
    }

    /// Whether `text` has the form.
    pub(crate) fn admits(self, text: &str) -> bool {
        match self {
            Self::Name => is_name(text, "-_."),
            Self::ModelName => is_name(text, "-_.:/"),
            Self::Method => {
                !text.is_empty() && text.chars().all(|letter| letter.is_ascii_uppercase())
            }
            Self::PathPrefix => {
                text.starts_with('/') && text.chars().all(|letter| letter.is_ascii_graphic())
            }
        }
    }
}

fn is_name(text: &str, marks: &str) -> bool {
    let known = |letter: char| letter.is_ascii_alphanumeric() || marks.contains(letter);
    let begins_well = text.starts_with(|letter: char| letter.is_ascii_alphanumeric());
    begins_well && text.len() <= LONGEST_NAME_BYTES && text.chars().all(known)
}
