//! `mangofront losses`: counts how prompts of each size were served or lost.
//!
//! The requests of a route are divided into deciles by size. A request that its caller
//! sends again is recognised by its fingerprint. It counts as one request with its final
//! result, while each of its submissions is counted by how it ended.

use std::collections::{BTreeMap, HashMap};
use std::process::ExitCode;

use pico_args::Arguments;
use serde_json::{Map, Value, json};

use crate::error::CliError;
use crate::log_lines::{LogLine, LogLines};
use crate::{output, table};

/// Message of the line that is logged when a request ends.
const REQUEST_ENDED: &str = "gateway: request ended";

/// Longest time after which a caller submits a request again, in milliseconds.
const MAX_RESUBMIT_DELAY_MS: i64 = 20_000;

/// Number of groups of equal size into which the requests of a route are divided.
const GROUPS: usize = 10;

/// Ways in which a submission ends, by their names in the daemons' logs, in the order of
/// the columns.
const DISPOSITIONS: [&str; 8] = [
    "refused_at_arrival",
    "refused_after_wait",
    "refused_otherwise",
    "left",
    "broken_off",
    "unanswered",
    "served_late",
    "served_in_time",
];

/// One request of a caller, with all its submissions.
#[derive(Debug)]
struct Request {
    prompt_tokens: u64,
    target_ms: i64,
    /// Arrival of the first submission.
    arrived_ms: i64,
    ended_ms: i64,
    is_served: bool,
    is_in_time: bool,
    submissions: u64,
    /// Number of submissions that ended in each way.
    submissions_by_disposition: BTreeMap<&'static str, u64>,
}

pub(crate) fn run(arguments: Arguments) -> Result<ExitCode, CliError> {
    let read = LogLines::read(arguments)?;
    let routes = requests_by_route(&read.lines);
    read.report_skipped("losses");
    if routes.is_empty() {
        return Err(CliError::NoRequestsFound {
            lines: read.lines.len(),
        });
    }
    let tables: Map<String, Value> = routes
        .into_iter()
        .map(|(route, requests)| (route, Value::Object(rows(requests))))
        .collect();
    output::print(&table::render(&Value::Object(tables)))?;
    Ok(ExitCode::SUCCESS)
}

/// Requests of each route, with the submissions of each request combined.
fn requests_by_route(lines: &[LogLine]) -> BTreeMap<String, Vec<Request>> {
    let mut routes: BTreeMap<String, Vec<Request>> = BTreeMap::new();
    let mut last: HashMap<(&str, &str), usize> = HashMap::new();
    for line in lines
        .iter()
        .filter(|line| line.text("message") == Some(REQUEST_ENDED))
    {
        let Some(submission) = Submission::parse(line) else {
            continue;
        };
        let requests = routes.entry(submission.route.to_owned()).or_default();
        let key = (submission.route, submission.fingerprint);
        let previous = last.get(&key).copied().filter(|previous| {
            let previous: &Request = &requests[*previous];
            !previous.is_served && submission.arrived_ms - previous.ended_ms < MAX_RESUBMIT_DELAY_MS
        });
        let index = previous.unwrap_or_else(|| {
            requests.push(Request::new(&submission));
            requests.len() - 1
        });
        requests[index].add(&submission);
        last.insert(key, index);
    }
    routes
}

/// One submission of a request by its caller, read from the log line at its end.
struct Submission<'a> {
    route: &'a str,
    fingerprint: &'a str,
    disposition: &'static str,
    prompt_tokens: u64,
    target_ms: i64,
    arrived_ms: i64,
    /// Time of the first event.
    first_event_ms: i64,
    ended_ms: i64,
}

impl<'a> Submission<'a> {
    /// Reads the submission from a log line; `None` if the line is not about a prompt, or if
    /// the daemon that logged it leaves out a needed field.
    fn parse(line: &'a LogLine) -> Option<Self> {
        let number = |name: &str| {
            line.number(name)
                .and_then(|number| i64::try_from(number).ok())
        };
        let disposition = line.text("disposition")?;
        let disposition = DISPOSITIONS.into_iter().find(|name| *name == disposition)?;
        let arrived_ms = line.time_ms - number("took_ms")?;
        Some(Self {
            route: line.text("route")?,
            fingerprint: line.text("fingerprint")?,
            disposition,
            prompt_tokens: line.number("prompt_tokens").filter(|tokens| *tokens > 0)?,
            target_ms: number("target_ms")?,
            arrived_ms,
            first_event_ms: arrived_ms + number("first_event_ms")?,
            ended_ms: line.time_ms,
        })
    }

    fn is_served(&self) -> bool {
        matches!(self.disposition, "served_in_time" | "served_late")
    }
}

impl Request {
    fn new(submission: &Submission<'_>) -> Self {
        Self {
            prompt_tokens: submission.prompt_tokens,
            target_ms: submission.target_ms,
            arrived_ms: submission.arrived_ms,
            ended_ms: submission.ended_ms,
            is_served: false,
            is_in_time: false,
            submissions: 0,
            submissions_by_disposition: BTreeMap::new(),
        }
    }

    /// Adds a further submission.
    fn add(&mut self, submission: &Submission<'_>) {
        self.submissions += 1;
        self.ended_ms = self.ended_ms.max(submission.ended_ms);
        *self
            .submissions_by_disposition
            .entry(submission.disposition)
            .or_default() += 1;
        if submission.is_served() {
            self.is_served = true;
            // The target applies from the first submission on.
            self.is_in_time = submission.first_event_ms - self.arrived_ms <= self.target_ms;
        }
    }
}

/// A row for each decile by size, and one for all requests.
fn rows(mut requests: Vec<Request>) -> Map<String, Value> {
    requests.sort_by_key(|request| request.prompt_tokens);
    let count = requests.len();
    let mut rows: Map<String, Value> = (0..GROUPS)
        .map(|group| {
            (
                group,
                &requests[count * group / GROUPS..count * (group + 1) / GROUPS],
            )
        })
        .filter(|(_, group)| !group.is_empty())
        .map(|(number, group)| (format!("tenth {:02}", number + 1), row(group)))
        .collect();
    rows.insert("all".to_owned(), row(&requests));
    rows
}

fn row(requests: &[Request]) -> Value {
    let count = |is_counted: fn(&Request) -> bool| {
        requests
            .iter()
            .filter(|request| is_counted(request))
            .count()
    };
    let served = count(|request| request.is_served);
    let largest = requests.iter().map(|request| request.prompt_tokens).max();
    let mut row = json!({
        "tokens_up_to": largest,
        "asked_for": requests.len(),
        "came_back": count(|request| request.submissions > 1),
    });
    let dispositions = DISPOSITIONS.into_iter().map(|name| {
        let counts = requests
            .iter()
            .filter_map(|request| request.submissions_by_disposition.get(name));
        (name.to_owned(), json!(counts.sum::<u64>()))
    });
    let results = [
        ("served".to_owned(), json!(served)),
        (
            "in_time".to_owned(),
            json!(count(|request| request.is_in_time)),
        ),
        (
            "served_percent".to_owned(),
            json!(100 * served / requests.len().max(1)),
        ),
    ];
    if let Value::Object(row) = &mut row {
        row.extend(dispositions.chain(results));
    }
    row
}
