//! Log of a process, implemented with logforth.
//!
//! Structured lines, each a JSON object, go to standard output through a bounded
//! queue (`queue`); human-readable lines go to standard error.
//!
//! The crates of this workspace log at the level of the settings. Libraries are
//! limited to warnings, as their output at lower levels is about single bytes
//! and would hide the messages of the workspace.

mod json;
mod queue;

use std::fmt::Write as _;
use std::io;

use log::LevelFilter;
use logforth::append::Stderr;
use logforth::filter::FilterResult;
use logforth::kv::{KeyView, ValueView, Visitor};
use logforth::layout::text::jiff::Timestamp;
use logforth::record::{FilterCriteria, Level, Record};
use logforth::{Append, Diagnostic, Error, Filter, Layout};
use mangofront_settings::process::{LogFormat, LogLevel, LogSettings};
use thiserror::Error as ThisError;

use json::JsonLayout;
use queue::QueueAppend;
pub use queue::dropped_lines;

/// Prefix of the log targets of this workspace.
const OWN_TARGET_PREFIX: &str = "mangofront";

/// The log could not be set up.
#[derive(Debug, ThisError)]
#[error("logs: set-up failed: {0}")]
pub struct LogsError(String);

/// Sets up the log of this process.
///
/// # Errors
/// [`LogsError`] if the process already has a logger, or if the thread that writes the
/// lines can't be started.
pub fn init(settings: &LogSettings) -> Result<(), LogsError> {
    let append: Box<dyn Append> = match settings.format {
        LogFormat::Human => Box::new(Stderr::default().with_layout(HumanLayout)),
        LogFormat::Json => Box::new(
            QueueAppend::start(Box::new(JsonLayout), io::stdout())
                .map_err(|error| LogsError(error.to_string()))?,
        ),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(LibraryFilter).append(append))
        .try_apply()
        .map_err(|error| LogsError(error.to_string()))?;
    set_level(settings.level);
    Ok(())
}

/// Sets the least severe level that is logged.
pub fn set_level(level: LogLevel) {
    log::set_max_level(level_filter(level));
}

fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}

/// Rejects lines of libraries below the level of warnings.
#[derive(Debug)]
struct LibraryFilter;

impl Filter for LibraryFilter {
    fn enabled(&self, criteria: &FilterCriteria, _: &[Box<dyn Diagnostic>]) -> FilterResult {
        let is_own = criteria.target().starts_with(OWN_TARGET_PREFIX);
        if is_own || criteria.level() >= Level::Warn {
            FilterResult::Neutral
        } else {
            FilterResult::Reject
        }
    }
}

/// Human-readable layout: time, level, message, fields.
#[derive(Debug)]
struct HumanLayout;

impl Layout for HumanLayout {
    fn format(
        &self,
        record: &Record,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<Vec<u8>, Error> {
        let mut line = FieldWriter(String::new());
        // The time is left out if the clock is outside the range of the calendar.
        if let Ok(time) = Timestamp::try_from(record.time()) {
            let _ = write!(line.0, "{time:.3} ");
        }
        let level = record.level().name();
        let _ = write!(line.0, "{level:<5} {}", record.payload());
        record.key_values().visit(&mut line)?;
        for diagnostic in diagnostics {
            diagnostic.visit(&mut line)?;
        }
        Ok(line.0.into_bytes())
    }
}

struct FieldWriter(String);

impl Visitor for FieldWriter {
    fn visit(&mut self, key: KeyView, value: ValueView) -> Result<(), Error> {
        // Writing to a string can't fail.
        let _ = write!(self.0, " {key}={value}");
        Ok(())
    }
}

/// Waits for a limited time until queued lines are written; called when the process ends.
pub fn flush() {
    log::logger().flush();
}
