//! Tests of process-wide state: the log and the invariants. Each test runs this
//! binary again as a child process with one role and checks its output.

use std::io::{BufRead, BufReader, Read};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::os::unix::process::ExitStatusExt;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use mangofront_settings::process::{LogFormat, LogLevel, LogSettings};
use mangofront_telemetry::invariants::{self, Invariant};
use mangofront_telemetry::logs;
use mangofront_telemetry::metrics::Metrics;

const ROLE: &str = "MANGOFRONT_TEST_ROLE";

/// Longest time that a child waits until its output is full.
const OUTPUT_FULL_TIMEOUT: Duration = Duration::from_secs(10);

/// Line that a child writes to standard error once its output is full.
const OUTPUT_FULL: &str = "the output is full";

/// Command that runs the test `child` of this binary with `role` in its environment.
fn child_command(role: &str) -> Command {
    let binary = std::env::current_exe().expect("path of this binary");
    let mut command = Command::new(binary);
    command
        .args(["child", "--exact", "--nocapture"])
        .env(ROLE, role);
    command
}

fn run_child(role: &str) -> Output {
    child_command(role).output().expect("child runs")
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).expect("text")
}

/// Entry point of the child processes; does nothing without a role.
#[test]
fn child() {
    match std::env::var(ROLE).as_deref() {
        Ok("human") => write_lines(LogLevel::Info, LogFormat::Human),
        Ok("json") => write_lines(LogLevel::Debug, LogFormat::Json),
        Ok("flood") => write_flood(),
        Ok("stalled") => write_to_stalled_output(),
        Ok("counted") => violate_twice(),
        Ok("fatal") => {
            invariants::set_fatal(true);
            violate_twice();
        }
        _ => {}
    }
}

fn write_lines(level: LogLevel, format: LogFormat) {
    logs::init(&LogSettings { level, format }).expect("first set-up");
    assert!(
        logs::init(&LogSettings::default()).is_err(),
        "second set-up"
    );
    log::info!(target: "mangofront_peers", "peers: entry-a2 joined");
    log::debug!(target: "mangofront_peers", revision = 7; "peers: heartbeat of entry-a2");
    log::info!(target: "hyper", "a library's chatter");
    log::warn!(target: "hyper", "a library's warning");
    logs::flush();
}

/// Writes ten times as many lines of one kind as the rate limit allows in a second, then
/// one line of another kind and one error.
fn write_flood() {
    let settings = LogSettings {
        level: LogLevel::Info,
        format: LogFormat::Json,
    };
    logs::init(&settings).expect("first set-up");
    let started = Instant::now();
    for number in 0..2_500 {
        log::info!(target: "mangofront_gateway", number = number; "gateway: request ended");
    }
    log::info!(target: "mangofront_gateway", "gateway: another kind");
    log::error!(target: "mangofront_gateway", "gateway: a fault");
    let took = started.elapsed();
    assert!(
        took < Duration::from_secs(1),
        "logging must not block: {took:?}"
    );
    assert!(logs::dropped_lines() >= 2_000, "{}", logs::dropped_lines());
    std::thread::sleep(Duration::from_millis(1_500));
}

/// Writes more than an output without a reader accepts, and further lines once it is read.
fn write_to_stalled_output() {
    let settings = LogSettings {
        level: LogLevel::Info,
        format: LogFormat::Json,
    };
    logs::init(&settings).expect("first set-up");
    let filling = "x".repeat(2_000);
    for _ in 0..1_000 {
        log::error!(target: "mangofront_gateway", filling = filling.as_str(); "gateway: a fault");
    }
    let started = Instant::now();
    while logs::dropped_lines() == 0 && started.elapsed() < OUTPUT_FULL_TIMEOUT {
        std::thread::sleep(Duration::from_millis(10));
    }
    eprintln!("{OUTPUT_FULL}");
    for _ in 0..20 {
        std::thread::sleep(Duration::from_millis(100));
        log::info!(target: "mangofront_gateway", "gateway: after the stall");
    }
    logs::flush();
}

/// Guards against a log that stops for good after one failed write.
#[test]
fn logging_resumes_after_the_output_was_full() {
    let (mut reader, output) = UnixStream::pair().expect("a pair of sockets");
    // The child shares the mode of the socket: a write fails while the socket is full.
    output
        .set_nonblocking(true)
        .expect("non-blocking mode is set");
    let mut child = child_command("stalled")
        .stdout(OwnedFd::from(output))
        .stderr(Stdio::piped())
        .spawn()
        .expect("child runs");
    let errors = BufReader::new(child.stderr.take().expect("it is piped"));
    let mut errors = errors.lines().map(|line| line.expect("text"));
    assert!(errors.any(|line| line == OUTPUT_FULL));
    let mut text = String::new();
    reader.read_to_string(&mut text).expect("text");
    assert!(child.wait().expect("child ends").success());
    let lines = text.lines().filter(|line| line.starts_with('{'));
    let (complete, incomplete): (Vec<&str>, Vec<&str>) =
        lines.partition(|line| line.ends_with('}'));
    assert!(incomplete.len() <= 1, "{incomplete:?}");
    let count = |part: &str| complete.iter().filter(|line| line.contains(part)).count();
    assert!(count("after the stall") > 0, "{} lines", complete.len());
    assert!(count("a fault") < 1_000, "the output was full");
    assert!(count("logs: lines dropped") > 0);
}

#[test]
fn lines_over_the_rate_limit_are_dropped_and_reported() {
    let output = run_child("flood");
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8(output.stdout.clone()).expect("text");
    let count = |part: &str| text.lines().filter(|line| line.contains(part)).count();
    let ended = count("request ended");
    assert!((200..=750).contains(&ended), "{ended} lines");
    assert_eq!(
        count("another kind"),
        1,
        "the limit of one kind does not affect others"
    );
    assert_eq!(count("a fault"), 1);
    assert_eq!(count("logs: lines dropped"), 1);
}

fn violate_twice() {
    assert!(invariants::check(
        Invariant::AtMostOnce,
        true,
        || unreachable!()
    ));
    for run in 1..=2 {
        assert!(!invariants::check(
            Invariant::AtMostOnce,
            false,
            || format!("run {run}")
        ));
    }
    let violated: Vec<_> = invariants::violations()
        .into_iter()
        .filter(|(_, count)| *count > 0)
        .collect();
    assert_eq!(violated, [(Invariant::AtMostOnce, 2)]);
    let text = Metrics::new().expect("metrics").render();
    let line = |name: &str, count: u64| {
        format!("mangofront_invariant_violations_total{{invariant=\"{name}\"}} {count}\n")
    };
    assert!(text.contains(&line("at_most_once", 2)), "{text}");
    assert!(text.contains(&line("configuration_floor", 0)), "{text}");
}

#[test]
fn human_lines_have_time_level_and_message() {
    let output = run_child("human");
    assert!(output.status.success(), "{output:?}");
    let text = stderr(&output);
    let lines: Vec<_> = text.lines().filter(|line| line.starts_with("20")).collect();
    let entries: Vec<_> = lines
        .iter()
        .filter_map(|line| line.split_once(' '))
        .collect();
    assert!(
        entries.iter().all(|(time, _)| time.ends_with('Z')),
        "{text}"
    );
    let messages: Vec<_> = entries.iter().map(|(_, message)| *message).collect();
    assert_eq!(
        messages,
        ["INFO  peers: entry-a2 joined", "WARN  a library's warning"]
    );
}

#[test]
fn json_lines_are_objects_with_typed_fields() {
    let output = run_child("json");
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8(output.stdout.clone()).expect("text");
    let lines: Vec<_> = text.lines().filter(|line| line.starts_with('{')).collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(
        lines[1].contains("\"revision\":7"),
        "a number must stay a number: {}",
        lines[1]
    );
    for part in [
        "\"level\":\"DEBUG\"",
        "\"message\":\"peers: heartbeat of entry-a2\"",
        "7",
    ] {
        assert!(lines[1].contains(part), "{}", lines[1]);
    }
}

#[test]
fn violations_are_counted() {
    let output = run_child("counted");
    assert!(output.status.success(), "{output:?}");
}

#[test]
fn a_violation_aborts_the_process_when_fatal() {
    const SIGABRT: i32 = 6;
    let output = run_child("fatal");
    assert_eq!(output.status.signal(), Some(SIGABRT), "{output:?}");
    let text = stderr(&output);
    assert!(
        text.contains("invariants: at_most_once is broken: run 1; the process ends"),
        "{text}"
    );
}
