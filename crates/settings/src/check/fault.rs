//! Faults of a document and the error that reports them.

use std::fmt;
use std::path::PathBuf;

use jsonc_parser::common::Range;
use miette::{Diagnostic, LabeledSpan, NamedSource, SourceSpan};
use thiserror::Error;

use super::problem::Problem;

/// Maximum length of a line that a report quotes, in bytes. A published document
/// is often a single line of up to a megabyte, in which the fault would be lost.
const MAX_QUOTED_LINE_BYTES: usize = 240;

/// One fault of a document and its location.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Keys from the top level down to the faulty value, joined by dots; empty at
    /// the top level.
    pub path: String,
    /// Line of the fault, counted from 1.
    pub line: usize,
    /// Column of the fault in characters, counted from 1.
    pub column: usize,
    /// Problem at this location.
    pub problem: Problem,
    /// Source range that a report quotes, within one line; `None` if the
    /// surrounding lines are too long to quote, in which case the message states
    /// line and column instead.
    span: Option<SourceSpan>,
}

impl Fault {
    pub(super) fn new(text: &str, path: String, range: Range, problem: Problem) -> Self {
        let start = text.floor_char_boundary(range.start);
        let end = text.floor_char_boundary(range.end).max(start);
        let before = &text[..start];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let line_end = text[start..]
            .find('\n')
            .map_or(text.len(), |length| start + length);
        let span = SourceSpan::from(start..end.min(line_end));
        Self {
            path,
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            problem,
            span: is_quotable(text, line_start, line_end).then_some(span),
        }
    }

    /// Path and problem, without line and column.
    fn message(&self) -> String {
        if self.path.is_empty() {
            return self.problem.to_string();
        }
        format!("{}: {}", self.path, self.problem)
    }

    fn location(&self) -> String {
        format!("line {}, column {}", self.line, self.column)
    }
}

/// Whether a line and the lines before and after it are short enough to quote; a
/// report quotes all three.
fn is_quotable(text: &str, line_start: usize, line_end: usize) -> bool {
    let before = text[..line_start].lines().next_back();
    let after = text[line_end..].lines().nth(1);
    let neighbours = before.into_iter().chain(after).map(str::len);
    let longest = neighbours.max().unwrap_or(0).max(line_end - line_start);
    longest <= MAX_QUOTED_LINE_BYTES
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.span {
            Some(_) => write!(f, "{}", self.message()),
            None => write!(f, "{}: {}", self.location(), self.message()),
        }
    }
}

impl std::error::Error for Fault {}

impl Diagnostic for Fault {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        let help = self.problem.help()?;
        Some(Box::new(help))
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = LabeledSpan::new_with_span(Some("here".to_owned()), self.span?);
        Some(Box::new(std::iter::once(label)))
    }
}

/// Error for a document with at least one fault; faults are in text order.
#[derive(Debug, Error, Diagnostic)]
#[error("{}: {}", .text.name(), describe_count(.faults.len(), *.total_faults))]
pub struct CheckError {
    #[source_code]
    text: NamedSource<String>,
    #[related]
    faults: Vec<Fault>,
    total_faults: usize,
}

fn describe_count(shown: usize, total: usize) -> String {
    match total {
        1 => "1 fault".to_owned(),
        _ if shown < total => format!("{total} faults, the first {shown} of them"),
        _ => format!("{total} faults"),
    }
}

impl CheckError {
    /// Creates an error that lists `faults`, the first of `total_faults`.
    pub(super) fn new(name: &str, text: &str, faults: Vec<Fault>, total_faults: usize) -> Self {
        Self {
            text: NamedSource::new(name, text.to_owned()),
            faults,
            total_faults,
        }
    }

    /// Creates an error with a single fault.
    pub(super) fn single(name: &str, text: &str, fault: Fault) -> Self {
        Self::new(name, text, vec![fault], 1)
    }

    /// The first faults in text order, at most [`MAX_REPORTED_FAULTS`].
    ///
    /// [`MAX_REPORTED_FAULTS`]: super::MAX_REPORTED_FAULTS
    #[must_use]
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }

    /// Formats the first fault, its location and help text in one line.
    #[must_use]
    pub fn one_line(&self) -> String {
        let Some(fault) = self.faults.first() else {
            return self.to_string();
        };
        let help = fault.problem.help();
        let help = help.map_or_else(String::new, |help| format!(" ({help})"));
        let more = match self.total_faults - 1 {
            0 => String::new(),
            more => format!("; {more} more"),
        };
        let line = format!("{}: {}{help}{more}", fault.location(), fault.message());
        // Quotations are already escaped; a message from a library might not be.
        line.replace(char::is_control, " ")
    }
}

/// Reason why a settings file could not be loaded.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The file can't be opened or is not UTF-8.
    #[error("settings: {} can't be read: {cause}", path.display())]
    Unreadable {
        /// Path as given by the caller.
        path: PathBuf,
        /// Error from the operating system.
        cause: std::io::Error,
    },
    /// The document has at least one fault.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Faulty(#[from] CheckError),
}
