//! What touches a whole process: its log and its invariants. Each test runs
//! this binary again as a child with one role, and looks at what it left.

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

/// How long a child waits until its output takes no more.
const PATIENCE: Duration = Duration::from_secs(10);

/// What a child says once its output takes no more.
const FULL: &str = "the output is full";

/// The test `child` of this binary with `role` in its environment.
fn command(role: &str) -> Command {
    let binary = std::env::current_exe().expect("path of this binary");
    let mut command = Command::new(binary);
    command
        .args(["child", "--exact", "--nocapture"])
        .env(ROLE, role);
    command
}

fn run(role: &str) -> Output {
    command(role).output().expect("child runs")
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).expect("text")
}

/// The roles; without one there is nothing to do.
#[test]
fn child() {
    match std::env::var(ROLE).as_deref() {
        Ok("human") => write_lines(LogLevel::Info, LogFormat::Human),
        Ok("json") => write_lines(LogLevel::Debug, LogFormat::Json),
        Ok("flood") => write_too_much(),
        Ok("stalled") => write_past_a_stall(),
        Ok("counted") => break_twice(),
        Ok("fatal") => {
            invariants::set_fatal(true);
            break_twice();
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

/// Ten times the lines that a busy daemon writes in a second, and faults.
fn write_too_much() {
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
        "writing waits for nobody: {took:?}"
    );
    assert!(logs::dropped_lines() >= 2_000, "{}", logs::dropped_lines());
    std::thread::sleep(Duration::from_millis(1_500));
}

/// More than an output takes that nobody reads, and a line once somebody does.
fn write_past_a_stall() {
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
    while logs::dropped_lines() == 0 && started.elapsed() < PATIENCE {
        std::thread::sleep(Duration::from_millis(10));
    }
    eprintln!("{FULL}");
    for _ in 0..20 {
        std::thread::sleep(Duration::from_millis(100));
        log::info!(target: "mangofront_gateway", "gateway: after the stall");
    }
    logs::flush();
}

/// Guards against a log that is silent for good after one write that failed.
#[test]
fn lines_are_written_again_once_the_output_takes_them() {
    let (mut reader, output) = UnixStream::pair().expect("a pair of sockets");
    // The child shares it: a write that finds it full fails.
    output.set_nonblocking(true).expect("a flag is set");
    let mut child = command("stalled")
        .stdout(OwnedFd::from(output))
        .stderr(Stdio::piped())
        .spawn()
        .expect("child runs");
    let told = BufReader::new(child.stderr.take().expect("it is piped"));
    let mut told = told.lines().map(|line| line.expect("text"));
    assert!(told.any(|line| line == FULL));
    let mut text = String::new();
    reader.read_to_string(&mut text).expect("text");
    assert!(child.wait().expect("child ends").success());
    let whole = text.lines().filter(|line| line.starts_with('{'));
    let (whole, torn): (Vec<&str>, Vec<&str>) = whole.partition(|line| line.ends_with('}'));
    assert!(torn.len() <= 1, "{torn:?}");
    let count = |part: &str| whole.iter().filter(|line| line.contains(part)).count();
    assert!(count("after the stall") > 0, "{} lines", whole.len());
    assert!(count("a fault") < 1_000, "the output was full");
    assert!(count("logs: lines dropped") > 0);
}

#[test]
fn lines_past_their_kinds_budget_are_dropped_and_told() {
    let output = run("flood");
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8(output.stdout.clone()).expect("text");
    let count = |part: &str| text.lines().filter(|line| line.contains(part)).count();
    let ended = count("request ended");
    assert!((200..=750).contains(&ended), "{ended} lines");
    assert_eq!(
        count("another kind"),
        1,
        "one kind does not drown the others"
    );
    assert_eq!(count("a fault"), 1);
    assert_eq!(count("logs: lines dropped"), 1);
}

fn break_twice() {
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
    let broken: Vec<_> = invariants::violations()
        .into_iter()
        .filter(|(_, count)| *count > 0)
        .collect();
    assert_eq!(broken, [(Invariant::AtMostOnce, 2)]);
    let text = Metrics::new().expect("metrics").render();
    let line = |name: &str, count: u64| {
        format!("mangofront_invariant_violations_total{{invariant=\"{name}\"}} {count}\n")
    };
    assert!(text.contains(&line("at_most_once", 2)), "{text}");
    assert!(text.contains(&line("configuration_floor", 0)), "{text}");
}

#[test]
fn human_lines_are_short_sentences() {
    let output = run("human");
    assert!(output.status.success(), "{output:?}");
    let text = stderr(&output);
    let lines: Vec<_> = text.lines().filter(|line| line.starts_with("20")).collect();
    let told: Vec<_> = lines
        .iter()
        .filter_map(|line| line.split_once(' '))
        .collect();
    assert!(told.iter().all(|(time, _)| time.ends_with('Z')), "{text}");
    let sentences: Vec<_> = told.iter().map(|(_, sentence)| *sentence).collect();
    assert_eq!(
        sentences,
        ["INFO  peers: entry-a2 joined", "WARN  a library's warning"]
    );
}

#[test]
fn json_lines_are_objects() {
    let output = run("json");
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8(output.stdout.clone()).expect("text");
    let lines: Vec<_> = text.lines().filter(|line| line.starts_with('{')).collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(
        lines[1].contains("\"revision\":7"),
        "a number stays one: {}",
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
fn a_broken_invariant_is_counted() {
    let output = run("counted");
    assert!(output.status.success(), "{output:?}");
}

#[test]
fn a_fatal_broken_invariant_ends_the_process() {
    const SIGABRT: i32 = 6;
    let output = run("fatal");
    assert_eq!(output.status.signal(), Some(SIGABRT), "{output:?}");
    let text = stderr(&output);
    assert!(
        text.contains("invariants: at_most_once is broken: run 1; the process ends"),
        "{text}"
    );
}
