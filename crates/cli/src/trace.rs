//! `mangofront trace`: prints the history of a request from the daemons' structured logs.
//!
//! The lines of any number of daemons come from standard input or from files, in any
//! order, each optionally after a prefix added by a log collector. The command prints
//! the lines that name the request, ordered by time, together with lines logged around
//! that time about the upstreams that they name and about dependencies. A request that
//! was running when its daemon was killed has no final line; in that case the next
//! start of the daemon is printed.

use std::collections::BTreeSet;
use std::process::ExitCode;

use pico_args::Arguments;
use serde_json::Value;

use crate::error::CliError;
use crate::log_lines::{LogLine, LogLines};
use crate::output;

/// Time before and after a request within which lines about its upstreams are printed,
/// in milliseconds.
const CONTEXT_MS: i64 = 3_000;

/// Longest time after which a daemon that was killed is started again, in milliseconds.
const RESTART_LIMIT_MS: i64 = 30_000;

/// Message of the first line that a daemon logs.
const DAEMON_STARTED: &str = "daemon: started";

/// Fields that are not repeated after the message: they are printed at the start of the
/// line, or are the same on each line.
const OMITTED_FIELDS: [&str; 4] = ["time", "level", "message", "request"];

pub(crate) fn run(mut arguments: Arguments) -> Result<ExitCode, CliError> {
    let request: String = arguments.free_from_str()?;
    let read = LogLines::read(arguments)?;
    let history = history(&read.lines, &request);
    for line in &history {
        output::print(&format!("{}\n", render(line)))?;
    }
    read.report_skipped("trace");
    if history.is_empty() {
        return Err(CliError::RequestNotFound {
            request,
            lines: read.lines.len(),
        });
    }
    Ok(ExitCode::SUCCESS)
}

/// Lines of a request, and lines about its upstreams and about dependencies from around
/// the same time.
fn history<'a>(lines: &'a [LogLine], request: &str) -> Vec<&'a LogLine> {
    let text = |line: &LogLine, name: &str| line.fields.get(name)?.as_str().map(str::to_owned);
    let is_own = |line: &LogLine| text(line, "request").as_deref() == Some(request);
    let own: Vec<&LogLine> = lines.iter().filter(|line| is_own(line)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let took_ms = own
        .iter()
        .filter_map(|line| line.fields.get("took_ms")?.as_i64())
        .max()
        .unwrap_or(0);
    let from = first.time_ms.min(last.time_ms - took_ms) - CONTEXT_MS;
    let until = last.time_ms + CONTEXT_MS;
    let upstreams: BTreeSet<String> = own
        .iter()
        .filter_map(|line| text(line, "upstream"))
        .collect();
    let is_context = |line: &LogLine| {
        let is_near = (from..=until).contains(&line.time_ms);
        let is_named = text(line, "upstream").is_some_and(|upstream| upstreams.contains(&upstream));
        let has_request = line.fields.contains_key("request");
        let is_dependency = line.fields.contains_key("dependency");
        is_near && !has_request && (is_named || is_dependency)
    };
    let is_complete = own
        .iter()
        .any(|line| line.fields.contains_key("took_ms") || line.fields.contains_key("status"));
    let restart = lines.iter().find(|line| {
        let is_same_daemon = own.iter().any(|own| own.daemon() == line.daemon());
        let is_later = (first.time_ms..=last.time_ms + RESTART_LIMIT_MS).contains(&line.time_ms);
        !is_complete
            && is_same_daemon
            && is_later
            && text(line, "message").as_deref() == Some(DAEMON_STARTED)
    });
    let is_restart = |line: &LogLine| restart.is_some_and(|restart| std::ptr::eq(restart, line));
    lines
        .iter()
        .filter(|line| is_own(line) || is_context(line) || is_restart(line))
        .collect()
}

/// Line as it is printed: time, source, message and the remaining fields.
fn render(line: &LogLine) -> String {
    let text = |name: &str| {
        line.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    };
    let mut rendered = format!("{} {}", text("time"), text("message"));
    if !line.source.is_empty() {
        rendered = format!("{} [{}] {}", text("time"), line.source, text("message"));
    }
    let shown = line
        .fields
        .iter()
        .filter(|(name, _)| !OMITTED_FIELDS.contains(&name.as_str()));
    for (name, value) in shown {
        let value = match value {
            Value::String(text) if text.is_empty() => continue,
            Value::String(text) => output::escape_control(text),
            other => other.to_string(),
        };
        rendered += &format!(" {name}={value}");
    }
    rendered
}
