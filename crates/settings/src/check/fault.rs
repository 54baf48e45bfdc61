//! Faults of a document and the reports made of them.

use std::fmt;
use std::path::PathBuf;

use jsonc_parser::common::Range;
use miette::{Diagnostic, LabeledSpan, NamedSource, SourceSpan};
use thiserror::Error;

use super::problem::Problem;

/// Longest line that a report quotes, in bytes. A published text is often one
/// line of up to a megabyte, which would bury the fault.
const LONGEST_QUOTED_LINE_BYTES: usize = 240;

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
    /// What a report quotes, within one line; `None` when the lines around are
    /// too long to be quoted, and the place is told in words.
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

    /// What is wrong, without the place in the text.
    fn sentence(&self) -> String {
        if self.path.is_empty() {
            return self.problem.to_string();
        }
        format!("{}: {}", self.path, self.problem)
    }

    fn place(&self) -> String {
        format!("line {}, column {}", self.line, self.column)
    }
}

/// Whether a line and those before and after it are short, since a report
/// quotes all three.
fn is_quotable(text: &str, line_start: usize, line_end: usize) -> bool {
    let before = text[..line_start].lines().next_back();
    let after = text[line_end..].lines().nth(1);
    let around = before.into_iter().chain(after).map(str::len);
    let longest = around.max().unwrap_or(0).max(line_end - line_start);
    longest <= LONGEST_QUOTED_LINE_BYTES
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.span {
            Some(_) => write!(f, "{}", self.sentence()),
            None => write!(f, "{}: {}", self.place(), self.sentence()),
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

    /// The first faults, in the order of the text; at most [`MAX_REPORTED_FAULTS`].
    ///
    /// [`MAX_REPORTED_FAULTS`]: super::MAX_REPORTED_FAULTS
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
        let help = fault.problem.help();
        let help = help.map_or_else(String::new, |help| format!(" ({help})"));
        let more = match self.total_faults - 1 {
            0 => String::new(),
            more => format!("; {more} more"),
        };
        let line = format!("{}: {}{help}{more}", fault.place(), fault.sentence());
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
