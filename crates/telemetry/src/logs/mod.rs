//! The log of a process, by logforth.
//!
//! Structured lines, a JSON object each, go to standard output by a bounded
//! queue (`queue`); lines for a person go to standard error.
//!
//! Lines of this workspace are written from the level of the settings on.
//! Libraries are held to warnings, since their chatter at lower levels is about
//! single bytes and would drown the short sentences of the slices.

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

use json::JsonLine;
use queue::QueueAppend;
pub use queue::dropped_lines;

/// Start of the targets that are this workspace's own.
const OWN_TARGET_PREFIX: &str = "mangofront";

/// Log that could not be set up.
#[derive(Debug, ThisError)]
#[error("logs: set-up failed: {0}")]
pub struct LogsError(String);

/// Sets up the log of this process.
///
/// # Errors
/// [`LogsError`] when the process has a log already.
pub fn init(settings: &LogSettings) -> Result<(), LogsError> {
    let append: Box<dyn Append> = match settings.format {
        LogFormat::Human => Box::new(Stderr::default().with_layout(HumanLayout)),
        LogFormat::Json => Box::new(
            QueueAppend::start(Box::new(JsonLine), io::stdout())
                .map_err(|error| LogsError(error.to_string()))?,
        ),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(LibraryFilter).append(append))
        .try_apply()
        .map_err(|error| LogsError(error.to_string()))?;
    log::set_max_level(level_filter(settings.level));
    Ok(())
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

/// Holds libraries to warnings.
#[derive(Debug)]
struct LibraryFilter;

impl Filter for LibraryFilter {
    fn enabled(&self, criteria: &FilterCriteria, _: &[Box<dyn Diagnostic>]) -> FilterResult {
        let own = criteria.target().starts_with(OWN_TARGET_PREFIX);
        if own || criteria.level() >= Level::Warn {
            FilterResult::Neutral
        } else {
            FilterResult::Reject
        }
    }
}

/// Layout for a person: time, level, sentence, further values.
#[derive(Debug)]
struct HumanLayout;

impl Layout for HumanLayout {
    fn format(
        &self,
        record: &Record,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<Vec<u8>, Error> {
        let mut line = ValueWriter(String::new());
        // A clock outside the calendar's range leaves the line without a time.
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

struct ValueWriter(String);

impl Visitor for ValueWriter {
    fn visit(&mut self, key: KeyView, value: ValueView) -> Result<(), Error> {
        // Writing to a string can't fail.
        let _ = write!(self.0, " {key}={value}");
        Ok(())
    }
}

/// Gives waiting lines a moment to be written; for the end of a process.
pub fn flush() {
    log::logger().flush();
}
