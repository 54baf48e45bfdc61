//! `mangofront trace`: a request's story, out of the daemons' structured logs.
//!
//! Lines of any number of daemons come on standard input or from files, in any
//! order, each perhaps behind a prefix of whatever gathered them. Printed are the
//! lines that name the request, in the order of their time, and between them what
//! was told at that time of the upstreams that they name. A request that its daemon
//! took along when it was killed has no last line; the daemon's next start is shown.

use std::collections::BTreeSet;
use std::io::{self, Read};
use std::process::ExitCode;

use pico_args::Arguments;
use serde_json::{Map, Value};

use crate::error::CliError;
use crate::{finish, output};

/// Time around a request in which lines about its upstreams belong to its story,
/// in milliseconds.
const AROUND_MS: i64 = 3_000;

/// Time in which a daemon that was killed is started again, in milliseconds.
const RESTART_MS: i64 = 30_000;

/// Message of a daemon's first line.
const STARTED: &str = "daemon: started";

/// Fields that stand at the start of a printed line or say nothing there.
const LEADING_FIELDS: [&str; 4] = ["time", "level", "message", "request"];

/// One structured line.
#[derive(Debug)]
struct Line {
    time_ms: i64,
    /// What stood before the object: usually the daemon's name, at times behind a
    /// time of its own.
    source: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Name of the daemon: the last word before the object.
    fn daemon(&self) -> Option<&str> {
        self.source.split_whitespace().last()
    }
}

/// What was read, and what of it was no line of a daemon.
#[derive(Debug, Default)]
struct Lines {
    lines: Vec<Line>,
    foreign: usize,
    is_torn: bool,
}

pub(crate) fn run(mut arguments: Arguments) -> Result<ExitCode, CliError> {
    let request: String = arguments.free_from_str()?;
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
    let story = story(&read.lines, &request);
    for line in &story {
        output::print(&format!("{}\n", sentence(line)))?;
    }
    if read.foreign > 0 {
        eprintln!(
            "trace: {} lines are no structured lines of a daemon",
            read.foreign
        );
    }
    if read.is_torn {
        eprintln!("trace: the last line is torn");
    }
    if story.is_empty() {
        return Err(CliError::NoSuchRequest {
            request,
            lines: read.lines.len(),
        });
    }
    Ok(ExitCode::SUCCESS)
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
