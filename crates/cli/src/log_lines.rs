//! Reads structured log lines of any number of daemons from files or standard input.
//!
//! Lines may come in any order, each optionally after a prefix added by a log collector.
//! Input that is not a structured line of a daemon is counted and skipped.

use std::io::{self, Read};

use pico_args::Arguments;
use serde_json::{Map, Value};

use crate::error::CliError;
use crate::finish;

/// One structured log line.
#[derive(Debug)]
pub(crate) struct LogLine {
    /// Time of the line, in milliseconds since the Unix epoch.
    pub(crate) time_ms: i64,
    /// Text before the JSON object: usually the name of the daemon, sometimes after a
    /// timestamp of the log collector.
    pub(crate) source: String,
    pub(crate) fields: Map<String, Value>,
}

impl LogLine {
    /// Name of the daemon: the last word before the JSON object.
    pub(crate) fn daemon(&self) -> Option<&str> {
        self.source.split_whitespace().last()
    }

    /// Value of a field that is a string.
    pub(crate) fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Value of a field that is an unsigned integer.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }
}

/// Log lines that were read, and the extent of the input that was skipped.
#[derive(Debug, Default)]
pub(crate) struct LogLines {
    /// Lines ordered by time.
    pub(crate) lines: Vec<LogLine>,
    skipped: usize,
    is_last_line_incomplete: bool,
}

impl LogLines {
    /// Reads the files named by the remaining `arguments`, or standard input if no file is
    /// named.
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
        let mut read = parse_lines(&text);
        read.lines.sort_by_key(|line| line.time_ms);
        Ok(read)
    }

    /// Reports skipped input on standard error.
    pub(crate) fn report_skipped(&self, command: &str) {
        if self.skipped > 0 {
            eprintln!(
                "{command}: {} lines are no structured lines of a daemon",
                self.skipped
            );
        }
        if self.is_last_line_incomplete {
            eprintln!("{command}: the last line is torn");
        }
    }
}

fn parse_lines(text: &str) -> LogLines {
    let mut read = LogLines::default();
    let mut rows = text.lines().filter(|row| !row.trim().is_empty()).peekable();
    while let Some(row) = rows.next() {
        let is_last = rows.peek().is_none() && !text.ends_with('\n');
        match parse_line(row) {
            Some(line) => read.lines.push(line),
            None if is_last && row.contains('{') => read.is_last_line_incomplete = true,
            None => read.skipped += 1,
        }
    }
    read
}

fn parse_line(row: &str) -> Option<LogLine> {
    let start = row.find('{')?;
    let (source, object) = row.split_at(start);
    let fields: Map<String, Value> = serde_json::from_str(object.trim_end()).ok()?;
    let time: jiff::Timestamp = fields.get("time")?.as_str()?.parse().ok()?;
    fields.get("message")?;
    Some(LogLine {
        time_ms: time.as_millisecond(),
        source: source.trim().to_owned(),
        fields,
    })
}
