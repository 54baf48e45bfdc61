//! Structured lines of any number of daemons, from files or from standard input.
//!
//! Lines come in any order, each perhaps behind a prefix of whatever gathered them.
//! What is no line of a daemon is counted and passed over.

use std::io::{self, Read};

use pico_args::Arguments;
use serde_json::{Map, Value};

use crate::error::CliError;
use crate::finish;

/// One structured line.
#[derive(Debug)]
pub(crate) struct Line {
    pub(crate) time_ms: i64,
    /// What stood before the object: usually the daemon's name, at times behind a
    /// time of its own.
    pub(crate) source: String,
    pub(crate) fields: Map<String, Value>,
}

impl Line {
    /// Name of the daemon: the last word before the object.
    pub(crate) fn daemon(&self) -> Option<&str> {
        self.source.split_whitespace().last()
    }

    /// Text of a field.
    pub(crate) fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Number of a field.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }
}

/// What was read, and what of it was no line of a daemon.
#[derive(Debug, Default)]
pub(crate) struct Lines {
    /// In the order of their time.
    pub(crate) lines: Vec<Line>,
    foreign: usize,
    is_torn: bool,
}

impl Lines {
    /// Reads the files that are left in `arguments`, or else standard input.
    pub(crate) fn read(mut arguments: Arguments) -> Result<Self, CliError> {
        let mut text = String::new();
        let mut has_file = false;
        while let Some(path) = arguments.opt_free_from_str::<String>()? {
            has_file = true;
            let unreadable = |cause| CliError::Unreadable {
                path: path.clone(),
                cause,
            };
            let bytes = std::fs::read(&path).map_err(unreadable)?;
            text.push_str(&String::from_utf8_lossy(&bytes));
        }
        finish(arguments)?;
        if !has_file {
            let mut bytes = Vec::new();
            let unreadable = |cause: io::Error| CliError::Unreadable {
                path: "standard input".to_owned(),
                cause,
            };
            io::stdin().read_to_end(&mut bytes).map_err(unreadable)?;
            text = String::from_utf8_lossy(&bytes).into_owned();
        }
        let mut read = read_lines(&text);
        read.lines.sort_by_key(|line| line.time_ms);
        Ok(read)
    }

    /// Tells on standard error what was passed over.
    pub(crate) fn report_passed_over(&self, command: &str) {
        if self.foreign > 0 {
            eprintln!(
                "{command}: {} lines are no structured lines of a daemon",
                self.foreign
            );
        }
        if self.is_torn {
            eprintln!("{command}: the last line is torn");
        }
    }
}

fn read_lines(text: &str) -> Lines {
    let mut read = Lines::default();
    let mut rows = text.lines().filter(|row| !row.trim().is_empty()).peekable();
    while let Some(row) = rows.next() {
        let is_last = rows.peek().is_none() && !text.ends_with('\n');
        match read_line(row) {
            Some(line) => read.lines.push(line),
            None if is_last && row.contains('{') => read.is_torn = true,
            None => read.foreign += 1,
        }
    }
    read
}

fn read_line(row: &str) -> Option<Line> {
    let start = row.find('{')?;
    let (source, object) = row.split_at(start);
    let fields: Map<String, Value> = serde_json::from_str(object.trim_end()).ok()?;
    let time: jiff::Timestamp = fields.get("time")?.as_str()?.parse().ok()?;
    fields.get("message")?;
    Some(Line {
        time_ms: time.as_millisecond(),
        source: source.trim().to_owned(),
        fields,
    })
}
