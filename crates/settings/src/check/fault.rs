//! Faults of a document and the reports made of them.

use std::fmt;
use std::path::PathBuf;

use jsonc_parser::common::Range;
use miette::{Diagnostic, NamedSource, SourceSpan};
use thiserror::Error;

use super::problem::Problem;

/// One fault and its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Keys down to the value at fault, joined by dots; empty at the top.
    pub path: String,
    /// Line at fault, from 1.
    pub line: usize,
    /// Column at fault in characters, from 1.
    pub column: usize,
    /// What is wrong.
    pub problem: Problem,
    span: SourceSpan,
}

impl Fault {
    pub(super) fn new(text: &str, path: String, range: Range, problem: Problem) -> Self {
        let start = floor_char_boundary(text, range.start);
        let end = floor_char_boundary(text, range.end).max(start);
        let before = &text[..start];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Self {
            path,
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            problem,
            span: SourceSpan::from(start..end),
        }
    }
}

fn floor_char_boundary(text: &str, index: usize) -> usize {
    let mut index = index.min(text.len());
    while !text.is_char_boundary(index) {
        index -= 1;
    }
    index
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "{}", self.problem)
    }
}

impl std::error::Error for Fault {}

impl Diagnostic for Fault {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        let help = self.problem.help()?;
        Some(Box::new(help))
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = miette::LabeledSpan> + '_>> {
        let label = miette::LabeledSpan::new_with_span(Some("here".to_owned()), self.span);
        Some(Box::new(std::iter::once(label)))
    }
}

/// Document with at least one fault, in the order of the text.
#[derive(Debug, Error, Diagnostic)]
#[error("{}: {}", .text.name(), count_faults(.faults.len(), *.total_faults))]
pub struct CheckError {
    #[source_code]
    text: NamedSource<String>,
    #[related]
    faults: Vec<Fault>,
    total_faults: usize,
}

fn count_faults(shown: usize, total: usize) -> String {
    match total {
        1 => "1 fault".to_owned(),
        _ if shown < total => format!("{total} faults, the first {shown} of them"),
        _ => format!("{total} faults"),
    }
}

impl CheckError {
    /// An error of the first of `total_faults` faults.
    pub(super) fn new(name: &str, text: &str, faults: Vec<Fault>, total_faults: usize) -> Self {
        Self {
            text: NamedSource::new(name, text.to_owned()),
            faults,
            total_faults,
        }
    }

    /// An error of one fault.
    pub(super) fn one(name: &str, text: &str, fault: Fault) -> Self {
        Self::new(name, text, vec![fault], 1)
    }

    /// The first faults, in the order of the text; at most [`MOST_FAULTS`].
    ///
    /// [`MOST_FAULTS`]: super::MOST_FAULTS
    #[must_use]
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }

    /// The first fault with its place and help, in one line.
    #[must_use]
    pub fn one_line(&self) -> String {
        let Some(fault) = self.faults.first() else {
            return self.to_string();
        };
        let place = format!("line {}, column {}", fault.line, fault.column);
        let help = fault.problem.help();
        let help = help.map_or_else(String::new, |help| format!(" ({help})"));
        let more = match self.total_faults - 1 {
            0 => String::new(),
            more => format!("; {more} more"),
        };
        let line = format!("{place}: {fault}{help}{more}");
        // Quotations are escaped already; a library's message might not be.
        line.replace(char::is_control, " ")
    }
}

/// Settings file that gave no settings.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// File that could not be opened or is no text.
    #[error("settings: {} can't be read: {cause}", path.display())]
    Unreadable {
        /// Path as it was given.
        path: PathBuf,
        /// What the system said.
        cause: std::io::Error,
    },
    /// Document with at least one fault.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Faulty(#[from] CheckError),
}
