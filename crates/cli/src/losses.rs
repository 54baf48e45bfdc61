//! `mangofront losses`: which sizes of prompts are served, and how the others are lost.
//!
//! Requests of a route are put into tenths by their size. A caller that sends a request
//! again is told by the request's fingerprint, so that a request counts once, by what its
//! caller got in the end, while each time that it was sent counts by how that ended.

use std::collections::{BTreeMap, HashMap};
use std::process::ExitCode;

use pico_args::Arguments;
use serde_json::{Map, Value, json};

use crate::error::CliError;
use crate::lines::{Line, Lines};
use crate::{output, table};

/// Message of the line at a request's end.
const ENDED: &str = "gateway: request ended";

/// Time within which a caller sends a request again, in milliseconds.
const RETURN_WITHIN_MS: i64 = 20_000;

/// Parts that the requests of a route are put into by size.
const PARTS: usize = 10;

/// Ends of a request that was sent, in the order of the columns, by their names in the
/// daemons' lines.
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

/// One request of a caller, over all the times that it was sent.
#[derive(Debug)]
struct Request {
    prompt_tokens: u64,
    target_ms: i64,
    /// When it was first sent.
    came_ms: i64,
    ended_ms: i64,
    is_served: bool,
    is_in_time: bool,
    sent: u64,
    /// Times that it ended in each way.
    ends: BTreeMap<&'static str, u64>,
}

pub(crate) fn run(arguments: Arguments) -> Result<ExitCode, CliError> {
    let read = Lines::read(arguments)?;
    let routes = requests_by_route(&read.lines);
    read.report_passed_over("losses");
    if routes.is_empty() {
        return Err(CliError::NoRequests {
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

/// The requests for prompts, put together from all the times that they were sent.
fn requests_by_route(lines: &[Line]) -> BTreeMap<String, Vec<Request>> {
    let mut routes: BTreeMap<String, Vec<Request>> = BTreeMap::new();
    let mut last: HashMap<(&str, &str), usize> = HashMap::new();
    for line in lines
        .iter()
        .filter(|line| line.text("message") == Some(ENDED))
    {
        let Some(end) = End::read(line) else {
            continue;
        };
        let requests = routes.entry(end.route.to_owned()).or_default();
        let name = (end.route, end.fingerprint);
        let before = last.get(&name).copied().filter(|before| {
            let before: &Request = &requests[*before];
            !before.is_served && end.came_ms - before.ended_ms < RETURN_WITHIN_MS
        });
        let place = before.unwrap_or_else(|| {
            requests.push(Request::new(&end));
            requests.len() - 1
        });
        requests[place].note(&end);
        last.insert(name, place);
    }
    routes
}

/// How one sending of a request ended.
struct End<'a> {
    route: &'a str,
    fingerprint: &'a str,
    disposition: &'static str,
    prompt_tokens: u64,
    target_ms: i64,
    came_ms: i64,
    /// When the first event came.
    first_event_ms: i64,
    ended_ms: i64,
}

impl<'a> End<'a> {
    /// What a line tells; none if it is of no prompt, or of a daemon that tells too little.
    fn read(line: &'a Line) -> Option<Self> {
        let number = |name: &str| {
            line.number(name)
                .and_then(|number| i64::try_from(number).ok())
        };
        let disposition = line.text("disposition")?;
        let disposition = DISPOSITIONS.into_iter().find(|one| *one == disposition)?;
        let came_ms = line.time_ms - number("took_ms")?;
        Some(Self {
            route: line.text("route")?,
            fingerprint: line.text("fingerprint")?,
            disposition,
            prompt_tokens: line.number("prompt_tokens").filter(|tokens| *tokens > 0)?,
            target_ms: number("target_ms")?,
            came_ms,
            first_event_ms: came_ms + number("first_event_ms")?,
            ended_ms: line.time_ms,
        })
    }

    fn is_served(&self) -> bool {
        matches!(self.disposition, "served_in_time" | "served_late")
    }
}

impl Request {
    fn new(end: &End<'_>) -> Self {
        Self {
            prompt_tokens: end.prompt_tokens,
            target_ms: end.target_ms,
            came_ms: end.came_ms,
            ended_ms: end.ended_ms,
            is_served: false,
            is_in_time: false,
            sent: 0,
            ends: BTreeMap::new(),
        }
    }

    /// Takes in how it ended when it was sent once more.
    fn note(&mut self, end: &End<'_>) {
        self.sent += 1;
        self.ended_ms = self.ended_ms.max(end.ended_ms);
        *self.ends.entry(end.disposition).or_default() += 1;
        if end.is_served() {
            self.is_served = true;
            // From when the caller first asked.
            self.is_in_time = end.first_event_ms - self.came_ms <= self.target_ms;
        }
    }
}

/// A row for each tenth by size, and one for all.
fn rows(mut requests: Vec<Request>) -> Map<String, Value> {
    requests.sort_by_key(|request| request.prompt_tokens);
    let count = requests.len();
    let mut rows: Map<String, Value> = (0..PARTS)
        .map(|part| {
            (
                part,
                &requests[count * part / PARTS..count * (part + 1) / PARTS],
            )
        })
        .filter(|(_, part)| !part.is_empty())
        .map(|(number, part)| (format!("tenth {:02}", number + 1), row(part)))
        .collect();
    rows.insert("all".to_owned(), row(&requests));
    rows
}

fn row(requests: &[Request]) -> Value {
    let count =
        |is_counted: fn(&Request) -> bool| requests.iter().filter(|one| is_counted(one)).count();
    let served = count(|one| one.is_served);
    let largest = requests.iter().map(|one| one.prompt_tokens).max();
    let mut row = json!({
        "tokens_up_to": largest,
        "asked_for": requests.len(),
        "came_back": count(|one| one.sent > 1),
    });
    let ends = DISPOSITIONS.into_iter().map(|name| {
        let times = requests.iter().filter_map(|one| one.ends.get(name));
        (name.to_owned(), json!(times.sum::<u64>()))
    });
    let outcome = [
        ("served".to_owned(), json!(served)),
        ("in_time".to_owned(), json!(count(|one| one.is_in_time))),
        (
            "served_percent".to_owned(),
            json!(100 * served / requests.len().max(1)),
        ),
    ];
    if let Value::Object(row) = &mut row {
        row.extend(ends.chain(outcome));
    }
    row
}
