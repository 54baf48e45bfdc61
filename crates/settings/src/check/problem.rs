//! What can be wrong in a document, in words.

use thiserror::Error;

/// Longest quotation from a document in a message, in characters.
const LONGEST_QUOTE_CHARS: usize = 64;

/// Most names that a help lists.
const MOST_NAMES: usize = 16;

/// `text` as a message quotes it: cut, and with control characters escaped,
/// since a published text may hold a value of any length and content.
pub(crate) fn quote(text: &str) -> String {
    let mut quoted: String = text.chars().take(LONGEST_QUOTE_CHARS).collect();
    if quoted.len() < text.len() {
        quoted.push('…');
    }
    quoted.escape_debug().to_string()
}

fn list<T: AsRef<str>>(names: &[T]) -> String {
    let shown: Vec<_> = names
        .iter()
        .take(MOST_NAMES)
        .map(|name| quote(name.as_ref()))
        .collect();
    let more = if names.len() > MOST_NAMES {
        ", …"
    } else {
        ""
    };
    format!("{}{more}", shown.join(", "))
}

/// What is wrong at one place of a document.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Problem {
    /// Text that is not JSON with comments.
    #[error("syntax error: {0}")]
    Syntax(String),
    /// Text without any value.
    #[error("the document is empty")]
    Empty,
    /// Value that the type behind it doesn't take.
    #[error("{0}")]
    Unfit(String),
    /// Key that the section doesn't have.
    #[error("unknown key `{key}`")]
    UnknownKey {
        /// Key as written.
        key: String,
        /// Key that was probably meant.
        nearest: Option<&'static str>,
        /// Every key of the section.
        known: Vec<&'static str>,
    },
    /// Key by which nobody may steer.
    #[error("`{key}` can't be configured")]
    Steering {
        /// Key as written.
        key: String,
    },
    /// Known key with another unit.
    #[error("wrong unit in `{key}`")]
    WrongUnit {
        /// Key as written.
        key: String,
        /// Key to use.
        right: &'static str,
        /// Unit of that key.
        unit: &'static str,
    },
    /// Key given twice in one section.
    #[error("key `{key}` is given twice")]
    DuplicateKey {
        /// Key as written.
        key: String,
    },
    /// Key that a section must have.
    #[error("missing key `{key}`")]
    MissingKey {
        /// Key that is missing.
        key: &'static str,
        /// What its value is.
        expected: String,
    },
    /// Value of another type.
    #[error("wrong type: expected {expected}, found {found}")]
    WrongType {
        /// What the key takes.
        expected: String,
        /// What was given.
        found: &'static str,
    },
    /// Number outside its range.
    #[error("{found} is out of range")]
    OutOfRange {
        /// Number as written.
        found: String,
        /// Least value.
        min: u64,
        /// Greatest value.
        max: u64,
        /// Unit of the value, empty for a plain number.
        unit: &'static str,
    },
    /// String that is none of a closed set.
    #[error("unknown value `{found}`")]
    UnknownChoice {
        /// String as written.
        found: String,
        /// Every value of the set.
        known: &'static [&'static str],
    },
    /// String of the wrong form.
    #[error("`{found}` is not {expected}")]
    WrongForm {
        /// String as written.
        found: String,
        /// Form it must have.
        expected: &'static str,
    },
    /// Reference to a class that the document doesn't have.
    #[error("class `{class}` doesn't exist")]
    UnknownClass {
        /// Class as written.
        class: String,
        /// Every class of the document, by name.
        known: Vec<String>,
    },
    /// Value that another one excludes.
    #[error("{what}")]
    Conflict {
        /// What excludes what.
        what: String,
        /// What to do.
        help: &'static str,
    },
}

impl Problem {
    /// What to do about it, when that can be told.
    pub(super) fn help(&self) -> Option<String> {
        match self {
            Self::UnknownKey {
                nearest: Some(nearest),
                ..
            } => Some(format!("did you mean `{nearest}`?")),
            Self::UnknownKey { known, .. } => Some(format!("keys here: {}", list(known))),
            Self::Steering { .. } => Some(
                "operators steer by the targets of classes only: weights, priorities, \
                 instances and addresses are the system's own matter"
                    .to_owned(),
            ),
            Self::WrongUnit { right, unit, .. } => Some(format!("use `{right}`, in {unit}")),
            Self::DuplicateKey { .. } => Some("keep one of the two".to_owned()),
            Self::MissingKey { key, expected } => Some(format!("add `{key}`: {expected}")),
            Self::OutOfRange {
                min, max, unit: "", ..
            } => Some(format!("from {min} to {max}")),
            Self::OutOfRange { min, max, unit, .. } => Some(format!("from {min} to {max} {unit}")),
            Self::UnknownChoice { known, .. } => Some(format!("one of: {}", list(known))),
            Self::UnknownClass { known, .. } if known.is_empty() => {
                Some("the document has no class".to_owned())
            }
            Self::UnknownClass { known, .. } => Some(format!("classes: {}", list(known))),
            Self::Conflict { help, .. } => Some((*help).to_owned()),
            Self::Syntax(_)
            | Self::Empty
            | Self::Unfit(_)
            | Self::WrongType { .. }
            | Self::WrongForm { .. } => None,
        }
    }
}
