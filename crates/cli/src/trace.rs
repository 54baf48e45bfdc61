//! `mangofront trace`: a request's story, out of the daemons' structured logs.
//!
//! Lines of any number of daemons come on standard input or from files, in any
//! order, each perhaps behind a prefix of whatever gathered them. Printed are the
//! lines that name the request, in the order of their time, and between them what
//! was told at that time of the upstreams that they name. A request that its daemon
//! took along when it was killed has no last line; the daemon's next start is shown.

use std::collections::BTreeSet;
use std::process::ExitCode;

use pico_args::Arguments;
use serde_json::Value;

use crate::error::CliError;
use crate::lines::{Line, Lines};
use crate::output;

/// Time around a request in which lines about its upstreams belong to its story,
/// in milliseconds.
const AROUND_MS: i64 = 3_000;

/// Time in which a daemon that was killed is started again, in milliseconds.
const RESTART_MS: i64 = 30_000;

/// Message of a daemon's first line.
const STARTED: &str = "daemon: started";

/// Fields that stand at the start of a printed line or say nothing there.
const LEADING_FIELDS: [&str; 4] = ["time", "level", "message", "request"];

pub(crate) fn run(mut arguments: Arguments) -> Result<ExitCode, CliError> {
    let request: String = arguments.free_from_str()?;
    let read = Lines::read(arguments)?;
    let story = story(&read.lines, &request);
    for line in &story {
        output::print(&format!("{}\n", sentence(line)))?;
    }
    read.report_passed_over("trace");
    if story.is_empty() {
        return Err(CliError::NoSuchRequest {
            request,
            lines: read.lines.len(),
        });
    }
    Ok(ExitCode::SUCCESS)
}

/// The lines of a request, with those about its upstreams around it.
fn story<'a>(lines: &'a [Line], request: &str) -> Vec<&'a Line> {
    let names = |line: &Line, name: &str| line.fields.get(name)?.as_str().map(str::to_owned);
    let is_own = |line: &Line| names(line, "request").as_deref() == Some(request);
    let own: Vec<&Line> = lines.iter().filter(|line| is_own(line)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let took_ms = own
        .iter()
        .filter_map(|line| line.fields.get("took_ms")?.as_i64())
        .max()
        .unwrap_or(0);
    let from = first.time_ms.min(last.time_ms - took_ms) - AROUND_MS;
    let until = last.time_ms + AROUND_MS;
    let upstreams: BTreeSet<String> = own
        .iter()
        .filter_map(|line| names(line, "upstream"))
        .collect();
    let is_around = |line: &Line| {
        let is_near = (from..=until).contains(&line.time_ms);
        let is_named = names(line, "upstream").is_some_and(|one| upstreams.contains(&one));
        let is_of_others = line.fields.contains_key("request");
        let is_dependency = line.fields.contains_key("dependency");
        is_near && !is_of_others && (is_named || is_dependency)
    };
    let has_ended = own
        .iter()
        .any(|line| line.fields.contains_key("took_ms") || line.fields.contains_key("status"));
    let lost_with = lines.iter().find(|line| {
        let is_same_daemon = own.iter().any(|own| own.daemon() == line.daemon());
        let is_later = (first.time_ms..=last.time_ms + RESTART_MS).contains(&line.time_ms);
        !has_ended
            && is_same_daemon
            && is_later
            && names(line, "message").as_deref() == Some(STARTED)
    });
    let is_restart = |line: &Line| lost_with.is_some_and(|restart| std::ptr::eq(restart, line));
    lines
        .iter()
        .filter(|line| is_own(line) || is_around(line) || is_restart(line))
        .collect()
}

fn sentence(line: &Line) -> String {
    let text = |name: &str| {
        line.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    };
    let mut sentence = format!("{} {}", text("time"), text("message"));
    if !line.source.is_empty() {
        sentence = format!("{} [{}] {}", text("time"), line.source, text("message"));
    }
    let shown = line
        .fields
        .iter()
        .filter(|(name, _)| !LEADING_FIELDS.contains(&name.as_str()));
    for (name, value) in shown {
        let value = match value {
            Value::String(text) if text.is_empty() => continue,
            Value::String(text) => output::plain(text),
            other => other.to_string(),
        };
        sentence += &format!(" {name}={value}");
    }
    sentence
}
