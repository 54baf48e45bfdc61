//! Problems that a document can have, with their messages and help texts.

use thiserror::Error;

/// Maximum length of a quotation from a document in a message, in characters.
const MAX_QUOTE_CHARS: usize = 64;

/// Maximum number of names that a help text lists.
const MAX_LISTED_NAMES: usize = 16;

/// Prepares `text` for quotation in a message: truncated, and with control
/// characters escaped, because a published document may contain values of any
/// length and content.
pub(crate) fn quote(text: &str) -> String {
    let mut quoted: String = text.chars().take(MAX_QUOTE_CHARS).collect();
    if quoted.len() < text.len() {
        quoted.push('…');
    }
    quoted.escape_debug().to_string()
}

fn list_names<T: AsRef<str>>(names: &[T]) -> String {
    let shown: Vec<_> = names
        .iter()
        .take(MAX_LISTED_NAMES)
        .map(|name| quote(name.as_ref()))
        .collect();
    let more = if names.len() > MAX_LISTED_NAMES {
        ", …"
    } else {
        ""
    };
    format!("{}{more}", shown.join(", "))
}

/// Problem at one location of a document.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Problem {
    /// Text that is not JSON with comments.
    #[error("syntax error: {0}")]
    Syntax(String),
    /// Text that contains no value.
    #[error("the document is empty")]
    Empty,
    /// Value that serde could not deserialise into its type.
    #[error("{0}")]
    InvalidValue(String),
    /// Key that the object doesn't define.
    #[error("unknown key `{key}`")]
    UnknownKey {
        /// Key as written.
        key: String,
        /// Most similar known key, if one is similar enough.
        nearest: Option<&'static str>,
        /// Every key that the object defines.
        known: Vec<&'static str>,
    },
    /// Key that would control individual upstreams, which no document may do.
    #[error("`{key}` can't be configured")]
    ForbiddenKey {
        /// Key as written.
        key: String,
    },
    /// Known key written with another unit.
    #[error("wrong unit in `{key}`")]
    WrongUnit {
        /// Key as written.
        key: String,
        /// Key to use.
        expected_key: &'static str,
        /// Unit of that key.
        unit: &'static str,
    },
    /// Key that occurs twice in one object.
    #[error("key `{key}` is given twice")]
    DuplicateKey {
        /// Key as written.
        key: String,
    },
    /// Required key that is missing.
    #[error("missing key `{key}`")]
    MissingKey {
        /// Name of the key.
        key: &'static str,
        /// Description of its value.
        expected: String,
    },
    /// Value of another type.
    #[error("wrong type: expected {expected}, found {found}")]
    WrongType {
        /// Description of the expected value.
        expected: String,
        /// Type of the value found.
        found: &'static str,
    },
    /// Number outside its range.
    #[error("{found} is out of range")]
    OutOfRange {
        /// Number as written.
        found: String,
        /// Minimum value.
        min: u64,
        /// Maximum value.
        max: u64,
        /// Unit of the value; empty if it has none.
        unit: &'static str,
    },
    /// String that is not in the set of allowed values.
    #[error("unknown value `{found}`")]
    UnknownChoice {
        /// String as written.
        found: String,
        /// Every allowed value.
        known: &'static [&'static str],
    },
    /// String in the wrong format.
    #[error("`{found}` is not {expected}")]
    WrongFormat {
        /// String as written.
        found: String,
        /// Description of the expected format.
        expected: &'static str,
    },
    /// Reference to a class that the document doesn't define.
    #[error("class `{class}` doesn't exist")]
    UnknownClass {
        /// Class as written.
        class: String,
        /// Name of every class in the document.
        known: Vec<String>,
    },
    /// Value that contradicts another one.
    #[error("{what}")]
    Conflict {
        /// Description of the contradiction.
        what: String,
        /// How to resolve it.
        help: &'static str,
    },
}

impl Problem {
    /// Advice on how to fix the problem, if there is any.
    pub(super) fn help(&self) -> Option<String> {
        match self {
            Self::UnknownKey {
                nearest: Some(nearest),
                ..
            } => Some(format!("did you mean `{nearest}`?")),
            Self::UnknownKey { known, .. } => Some(format!("keys here: {}", list_names(known))),
            Self::ForbiddenKey { .. } => Some(
                "operators steer by the targets of classes only: weights, priorities, \
                 instances and addresses are the system's own matter"
                    .to_owned(),
            ),
            Self::WrongUnit {
                expected_key, unit, ..
            } => Some(format!("use `{expected_key}`, in {unit}")),
            Self::DuplicateKey { .. } => Some("keep one of the two".to_owned()),
            Self::MissingKey { key, expected } => Some(format!("add `{key}`: {expected}")),
            Self::OutOfRange {
                min, max, unit: "", ..
            } => Some(format!("from {min} to {max}")),
            Self::OutOfRange { min, max, unit, .. } => Some(format!("from {min} to {max} {unit}")),
            Self::UnknownChoice { known, .. } => Some(format!("one of: {}", list_names(known))),
            Self::UnknownClass { known, .. } if known.is_empty() => {
                Some("the document has no class".to_owned())
            }
            Self::UnknownClass { known, .. } => Some(format!("classes: {}", list_names(known))),
            Self::Conflict { help, .. } => Some((*help).to_owned()),
            Self::Syntax(_)
            | Self::Empty
            | Self::InvalidValue(_)
            | Self::WrongType { .. }
            | Self::WrongFormat { .. } => None,
        }
    }
}
