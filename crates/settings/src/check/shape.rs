//! Types of the schema tables that describe a document.

use super::Rule;

/// Schema of one kind of document.
#[derive(Debug)]
pub(crate) struct Schema {
    /// Top-level keys.
    pub(crate) fields: &'static [Field],
    /// Whether unknown keys that would control individual upstreams are reported
    /// as [`Problem::ForbiddenKey`](super::Problem::ForbiddenKey).
    pub(crate) forbids_upstream_keys: bool,
    /// Rules across fields, applied only if every field on its own is valid.
    pub(crate) rules: &'static [Rule],
}

/// One key of an object.
#[derive(Debug)]
pub(crate) struct Field {
    /// Key, with its unit as a suffix.
    pub(crate) name: &'static str,
    /// Type and range of its value.
    pub(crate) shape: Shape,
    /// Whether it may be missing or null.
    pub(crate) presence: Presence,
}

/// Whether a key may be missing or null.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Presence {
    /// Must be present.
    Required,
    /// May be missing and has a default; may not be null.
    Defaulted,
    /// May be missing or null; both mean the same.
    Optional,
}

/// Type and range of a value.
#[derive(Debug)]
pub(crate) enum Shape {
    /// String in a given format.
    Text(TextFormat),
    /// String that is an IP address with a port.
    Address,
    /// Integer within an inclusive range.
    Integer {
        /// Least value.
        min: u64,
        /// Greatest value.
        max: u64,
    },
    /// Number, possibly with a fraction, within an inclusive range.
    Number {
        /// Least value.
        min: f64,
        /// Greatest value.
        max: f64,
    },
    /// `true` or `false`.
    Boolean,
    /// String from a set of allowed values.
    Choice(&'static [&'static str]),
    /// Object with fixed keys.
    Object(&'static [Field]),
    /// Object whose keys are names.
    Map {
        /// Format of the names.
        names: TextFormat,
        /// Type and range of each value.
        value: &'static Shape,
    },
    /// Array whose elements all have the same shape.
    List(&'static Shape),
}

/// Format of a string.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TextFormat {
    /// Name that is valid in a header and as one segment of a path.
    Name,
    /// Name of a model, an adapter or a version; may contain `:` and `/`.
    ModelName,
    /// HTTP method.
    Method,
    /// Prefix of a path.
    PathPrefix,
}

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 128;

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
    /// Describes such a value for an error message.
    pub(crate) fn describe(&self) -> String {
        match self {
            Self::Text(format) => format!("a string, {}", format.describe()),
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

impl TextFormat {
    /// Describes such a string for an error message.
    pub(crate) fn describe(self) -> &'static str {
        match self {
            Self::Name => "a name of 1 to 128 letters, digits, `-`, `_` and `.`",
            Self::ModelName => "a name of 1 to 128 letters, digits, `-`, `_`, `.`, `:` and `/`",
            Self::Method => "an HTTP method in capitals",
            Self::PathPrefix => "a path that begins with `/`",
        }
    }

    /// Whether `text` has this format.
    pub(crate) fn matches(self, text: &str) -> bool {
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

fn is_name(text: &str, punctuation: &str) -> bool {
    let is_allowed = |letter: char| letter.is_ascii_alphanumeric() || punctuation.contains(letter);
    let starts_alphanumeric = text.starts_with(|letter: char| letter.is_ascii_alphanumeric());
    starts_alphanumeric && text.len() <= MAX_NAME_BYTES && text.chars().all(is_allowed)
}
