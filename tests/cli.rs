//! Tests of the command-line tool, run as the built binary.

#[path = "cli/admin.rs"]
mod admin;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

use admin::FakeAdmin;
use mangofront_build_info::Build;

const TOOL: &str = env!("CARGO_BIN_EXE_mangofront");

fn run_tool(arguments: &[&str]) -> Output {
    Command::new(TOOL)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .args(arguments)
        .output()
        .expect("the tool runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("the output is UTF-8")
}

/// Exit code, standard output and standard error as text.
fn transcript(output: &Output) -> String {
    let code = output.status.code().expect("an exit code");
    let stderr = String::from_utf8(output.stderr.clone()).expect("the output is UTF-8");
    format!(
        "exit {code}\n--- stdout\n{}--- stderr\n{stderr}",
        stdout(output)
    )
}

/// A file that is removed when this value is dropped.
struct TemporaryFile(PathBuf);

impl TemporaryFile {
    fn new(name: &str, content: &str) -> Self {
        let name = format!("mangofront-cli-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, content).expect("file is written");
        Self(path)
    }

    fn name(&self) -> &str {
        self.0.to_str().expect("path is text")
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn valid_documents_pass() {
    for (file, kind) in [
        ("examples/mangofrontd.jsonc", "settings"),
        ("examples/configuration.jsonc", "configuration"),
    ] {
        let detected = run_tool(&["check", file]);
        assert_eq!(detected.status.code(), Some(0), "{}", transcript(&detected));
        assert!(stdout(&detected).contains(&format!("good {kind}")));
        assert_eq!(run_tool(&["check", file, "--kind", kind]), detected);
    }
}

#[test]
fn fault_is_reported_with_line_and_column() {
    let file = TemporaryFile::new(
        "fault.jsonc",
        "{\n  \"classes\": {\"a\": {\"weight\": 2}}\n}\n",
    );
    let output = run_tool(&["check", file.name()]);
    insta::assert_snapshot!(transcript(&output).replace(file.name(), "fault.jsonc"));
}

#[test]
fn document_kind_can_be_given() {
    let output = run_tool(&[
        "check",
        "examples/configuration.jsonc",
        "--kind",
        "settings",
    ]);
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn unreadable_documents_have_their_own_exit_code() {
    assert_eq!(
        run_tool(&["check", "/nonexistent.jsonc"]).status.code(),
        Some(2)
    );
    let file = TemporaryFile::new("binary.jsonc", "");
    std::fs::write(&file.0, [0xff, 0xfe]).expect("file is written");
    assert_eq!(run_tool(&["check", file.name()]).status.code(), Some(2));
}

#[test]
fn help_and_version() {
    insta::assert_snapshot!(stdout(&run_tool(&["--help"])));
    assert_eq!(run_tool(&["help"]), run_tool(&["--help"]));
    // The same build as that of the tests, which one call of cargo builds.
    let build = Build::current();
    assert_eq!(
        stdout(&run_tool(&["--version"])),
        format!("mangofront {build}\n")
    );
}

#[test]
fn wrong_arguments() {
    let wrong: &[&[&str]] = &[
        &[],
        &["frobnicate"],
        &["check"],
        &["check", "a", "b"],
        &["check", "a", "--kind", "poem"],
        &["status"],
        &["status", "--admin", "localhost"],
        &["standin", "kettle", "--address", "127.0.0.1:0"],
        &[
            "standin",
            "engine",
            "--address",
            "127.0.0.1:0",
            "--set",
            "model",
        ],
        &[
            "standin",
            "service",
            "--address",
            "127.0.0.1:0",
            "--set",
            "delay_ms=soon",
        ],
        &[
            "standin",
            "engine",
            "--address",
            "127.0.0.1:0",
            "--set",
            "model.name=a",
        ],
    ];
    let transcripts: Vec<_> = wrong
        .iter()
        .map(|arguments| {
            format!(
                "$ mangofront {}\n{}",
                arguments.join(" "),
                transcript(&run_tool(arguments))
            )
        })
        .collect();
    insta::assert_snapshot!(transcripts.join("\n"));
}

#[test]
fn no_daemon_at_the_address() {
    insta::assert_snapshot!(transcript(&run_tool(&["status", "--admin", "127.0.0.1:1"])));
}

const STATUS: &str = r#"{
    "instance": "entry-a1", "uptime_ms": 1200, "stopping": false,
    "configuration": {"revision": 7, "source": "peer", "refused": null},
    "members": [
        {"instance": "entry-a2", "state": "live", "incarnation": 3},
        {"instance": "entry-b1", "state": "suspected", "incarnation": 12, "silent_ms": 2600}
    ],
    "classes": {
        "diagnosis": {"admitted": 120, "refused": 0},
        "contract-review": {"admitted": 3, "refused": 1}
    },
    "upstreams": [],
    "placement": {
        "peers": 2,
        "engines": [{"instance": "engine-0", "outstanding": 3}, {"instance": "engine-1"}]
    },
    "zones": ["hall-a", "hall-b"],
    "orders": {},
    "border": {"short": ["e1", "e2"], "long": {"first": 4}},
    "odd": "two\nlines \u001b[31m"
}"#;

#[test]
fn status_is_formatted_or_printed_as_json() {
    let admin = FakeAdmin::start([(200, STATUS), (200, STATUS)]);
    insta::assert_snapshot!(transcript(&run_tool(&[
        "status",
        "--admin",
        admin.address()
    ])));
    let json = run_tool(&["status", "--admin", admin.address(), "--json"]);
    let printed: serde_json::Value = serde_json::from_slice(&json.stdout).expect("JSON");
    assert_eq!(
        printed,
        serde_json::from_str::<serde_json::Value>(STATUS).expect("JSON")
    );
    assert_eq!(admin.calls(), ["GET /status ", "GET /status "]);
}

#[test]
fn refusal_shows_the_daemons_message() {
    let body = r#"{"error": {"message": "no model kuhar-llm", "code": "unknown_model",
        "outcome": "not_run", "step": "explain"}}"#;
    let admin = FakeAdmin::start([(404, body), (200, "not JSON")]);
    let arguments = [
        "explain",
        "--admin",
        admin.address(),
        "--model",
        "kuhar-llm",
        "--tokens",
        "900",
    ];
    let refused = transcript(&run_tool(&arguments)).replace(admin.address(), "ADDR");
    let unreadable = transcript(&run_tool(&arguments)).replace(admin.address(), "ADDR");
    insta::assert_snapshot!(format!("{refused}\n{unreadable}"));
}

#[test]
fn explain_sends_its_arguments() {
    let admin = FakeAdmin::start([(200, r#"{"placed_on": "engine-a4"}"#)]);
    let output = run_tool(&[
        "explain",
        "--admin",
        admin.address(),
        "--model",
        "assist-llm",
        "--tokens",
        "900",
        "--class",
        "diagnosis",
        "--organisation",
        "tuul",
    ]);
    assert_eq!(stdout(&output), "placed_on  engine-a4\n");
    let body = r#"{"class":"diagnosis","model":"assist-llm","organisation":"tuul","tokens":900}"#;
    assert_eq!(admin.calls(), [format!("POST /explain {body}")]);
}

const AUDIT: &str = r#"{"next_sequence": 9, "oldest_sequence": 6, "entries": [
    {"sequence": 6, "unix_time_ms": 1764700000123, "kind": "configuration_accepted", "revision": 7},
    {"sequence": 7, "unix_time_ms": 1764700001000, "kind": "member_joined",
     "instance": "entry-a2", "incarnation": 3},
    {"sequence": 8, "unix_time_ms": 1764700002000, "kind": "of_a_later_version", "field": 1}
]}"#;

#[test]
fn audit_shows_entries_gaps_and_unknown_kinds() {
    let admin = FakeAdmin::start([(200, AUDIT), (200, AUDIT)]);
    let text = transcript(&run_tool(&[
        "audit",
        "--admin",
        admin.address(),
        "--after",
        "3",
    ]));
    let json = transcript(&run_tool(&["audit", "--admin", admin.address(), "--json"]));
    insta::assert_snapshot!(format!("{text}\n{json}"));
    assert_eq!(
        admin.calls(),
        ["GET /audit?after=3 ", "GET /audit?after=0 "]
    );
}

#[test]
fn audit_follows_through_a_restart() {
    let later = r#"{"next_sequence": 2, "oldest_sequence": 1, "entries": [
        {"sequence": 1, "unix_time_ms": 0, "kind": "drain_started", "in_flight_requests": 1}]}"#;
    let admin = FakeAdmin::start([(200, AUDIT), (200, later), (200, later), (500, "")]);
    let output = run_tool(&["audit", "--admin", admin.address(), "--follow"]);
    assert_eq!(
        output.status.code(),
        Some(1),
        "the status 500 ends the tool"
    );
    assert!(
        stdout(&output).ends_with("#1 drain started with 1 requests\n"),
        "{}",
        transcript(&output)
    );
    let calls = [
        "GET /audit?after=0 ",
        "GET /audit?after=8 ",
        "GET /audit?after=0 ",
    ];
    assert_eq!(admin.calls()[..3], calls);
}

/// A stand-in process, which is killed when this value is dropped.
struct Standin {
    child: Child,
    address: String,
}

impl Standin {
    fn start(arguments: &[&str]) -> Self {
        let mut child = Command::new(TOOL)
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .arg("standin")
            .args(arguments)
            .args(["--address", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .spawn()
            .expect("the tool runs");
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("piped"))
            .read_line(&mut line)
            .expect("the stand-in prints a line");
        let address = line.trim_end().strip_prefix("listening on ");
        let address = address.expect("the address").to_owned();
        Self { child, address }
    }

    fn get(&self, path: &str) -> String {
        let mut stream =
            TcpStream::connect(&self.address).expect("the stand-in accepts a connection");
        write!(
            stream,
            "GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
        )
        .expect("the request is sent");
        let mut answer = String::new();
        stream
            .read_to_string(&mut answer)
            .expect("an answer is received");
        answer
    }

    fn get_json(&self, path: &str) -> serde_json::Value {
        let answer = self.get(path);
        let (_, body) = answer.split_once("\r\n\r\n").expect("a body");
        serde_json::from_str(body).expect("JSON")
    }

    fn stop(mut self, signal: &str) -> Option<i32> {
        let pid = self.child.id().to_string();
        Command::new("kill")
            .args([signal, &pid])
            .status()
            .expect("kill runs");
        self.child
            .wait()
            .expect("the stand-in can be waited for")
            .code()
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn each_standin_serves_until_it_is_stopped() {
    for (kind, path, status) in [
        ("engine", "/v1/health", "204"),
        ("service", "/control/counters", "200"),
        ("platform", "/control/counters", "200"),
        ("weights", "/control/counters", "200"),
    ] {
        let standin = Standin::start(&[kind]);
        let answer = standin.get(path);
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{kind}: {answer}"
        );
        assert_eq!(standin.stop("-TERM"), Some(0), "{kind}");
    }
}

#[test]
fn standin_settings_come_from_file_and_arguments() {
    let file = TemporaryFile::new(
        "platform.jsonc",
        "{\n  \"first_revision\": 3, // overridden below\n  \"reads_per_s\": 50,\n}\n",
    );
    let standin = Standin::start(&[
        "platform",
        "--settings",
        file.name(),
        "--set",
        "first_revision=7",
        "--set",
        "configuration=@examples/configuration.jsonc",
        "--set",
        "instances.instances=[]",
    ]);
    let configuration = standin.get_json("/v1/configuration");
    assert_eq!(configuration["revision"], 7);
    assert!(configuration["value"]["classes"]["diagnosis"].is_object());
    let instances = standin.get_json("/v1/instances");
    assert_eq!(instances["value"], serde_json::json!({"instances": []}));
    assert_eq!(standin.stop("-INT"), Some(0));
}

#[test]
fn one_process_serves_many_standins() {
    let mut child = Command::new(TOOL)
        .args(["standin", "engine", "--address", "127.0.0.1:0"])
        .args(["--count", "3"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the tool runs");
    let output = BufReader::new(child.stdout.take().expect("piped"));
    let lines: Vec<String> = output.lines().take(3).map_while(Result::ok).collect();
    let mut standin = Standin {
        child,
        address: String::new(),
    };
    for line in &lines {
        let address = line.strip_prefix("listening on ").expect("the address");
        address.clone_into(&mut standin.address);
        let answer = standin.get("/v1/health");
        assert!(answer.starts_with("HTTP/1.1 204"), "{answer}");
    }
    assert_eq!(lines.len(), 3);
    assert_eq!(standin.stop("-TERM"), Some(0));
}

#[test]
fn trace_shows_the_events_of_a_request_in_order() {
    let logs = TemporaryFile::new(
        "trace.log",
        "front-b {\"time\":\"2026-03-03T01:01:09.500Z\",\"level\":\"INFO\",\"message\":\"gateway: request ended\",\"request\":\"r-1\",\"outcome\":\"answered\",\"upstream\":\"i-2\",\"took_ms\":2000}\n\
         front-b {\"time\":\"2026-03-03T01:01:08.100Z\",\"level\":\"INFO\",\"message\":\"gateway: attempt failed\",\"request\":\"r-1\",\"outcome\":\"broken_off\",\"upstream\":\"i-1\"}\n\
         front-a {\"time\":\"2026-03-03T01:01:08.000Z\",\"level\":\"INFO\",\"message\":\"gateway: upstream gone\",\"upstream\":\"i-1\"}\n\
         front-a {\"time\":\"2026-03-03T01:01:08.050Z\",\"level\":\"INFO\",\"message\":\"gateway: upstream gone\",\"upstream\":\"i-9\"}\n\
         front-a {\"time\":\"2026-03-03T01:00:00.000Z\",\"level\":\"INFO\",\"message\":\"gateway: upstream gone\",\"upstream\":\"i-1\"}\n\
         not a line of ours\n\
         front-a {\"time\":\"2026-03-03T01:01:10",
    );
    let killed = TemporaryFile::new(
        "killed.log",
        "8.100 front-b {\"time\":\"2026-03-03T01:01:08.100Z\",\"level\":\"INFO\",\"message\":\"gateway: request placed\",\"request\":\"r-3\",\"upstream\":\"i-1\"}\n\
         8.200 front-a {\"time\":\"2026-03-03T01:01:08.200Z\",\"level\":\"INFO\",\"message\":\"daemon: started\"}\n\
         9.500 front-b {\"time\":\"2026-03-03T01:01:09.500Z\",\"level\":\"INFO\",\"message\":\"daemon: started\"}\n",
    );
    let found = run_tool(&["trace", "r-1", logs.name()]);
    let lost = run_tool(&["trace", "r-3", killed.name()]);
    let missing = run_tool(&["trace", "r-2", logs.name()]);
    let unreadable = run_tool(&["trace", "r-1", "/nonexistent/log"]);
    let none = run_tool(&["trace"]);
    insta::assert_snapshot!(
        [
            transcript(&found),
            transcript(&lost),
            transcript(&missing),
            transcript(&unreadable),
            transcript(&none)
        ]
        .join("\n===\n")
    );
}

/// A log line of a request that ended, as a daemon writes it.
fn request_ended_line(
    second: u32,
    fingerprint: &str,
    tokens: u64,
    disposition: &str,
    first_ms: u64,
) -> String {
    format!(
        "front-a {{\"time\":\"2026-03-03T01:01:{second:02}.000Z\",\"level\":\"INFO\",\
         \"message\":\"gateway: request ended\",\"request\":\"r\",\"route\":\"review\",\
         \"fingerprint\":\"{fingerprint}\",\"disposition\":\"{disposition}\",\
         \"prompt_tokens\":{tokens},\"target_ms\":4000,\"first_event_ms\":{first_ms},\
         \"took_ms\":1000}}\n"
    )
}

#[test]
fn losses_counts_outcomes_by_prompt_length() {
    let mut lines: String = (1..=8)
        .map(|size| {
            request_ended_line(10, &format!("f{size}"), size * 1_000, "served_in_time", 300)
        })
        .collect();
    // Refused, and served on a retry five seconds later, when the target of 4 s had passed.
    lines += &request_ended_line(11, "f9", 9_000, "refused_after_wait", 0);
    lines += &request_ended_line(16, "f9", 9_000, "served_in_time", 500);
    // Refused, also when retried.
    lines += &request_ended_line(12, "f10", 10_000, "refused_at_arrival", 0);
    lines += &request_ended_line(17, "f10", 10_000, "refused_at_arrival", 0);
    // The caller disconnected, but an equal request had been served before.
    lines += &request_ended_line(13, "f1", 1_000, "left", 0);
    lines += "a line of something else\n";
    let logs = TemporaryFile::new("losses.log", &lines);
    let empty = TemporaryFile::new("losses-empty.log", "nothing\n");
    let counted = run_tool(&["losses", logs.name()]);
    let none = run_tool(&["losses", empty.name()]);
    insta::assert_snapshot!([transcript(&counted), transcript(&none)].join("\n===\n"));
}

#[test]
fn rate_limits_are_shown() {
    let limits = r#"{"limits": [{"upstream": "i-4f", "limit_per_s": 1.6, "age_ms": 210,
        "sent_in_4_s": 3, "coordinator": "10.2.0.12", "granted_share": 0.0}]}"#;
    let admin = FakeAdmin::start([(200, limits), (200, r#"{"limits": []}"#)]);
    let listed = run_tool(&["rate-limits", "--admin", admin.address()]);
    let none = run_tool(&["rate-limits", "--admin", admin.address()]);
    let answers = [transcript(&listed), transcript(&none)].join("\n===\n");
    insta::assert_snapshot!(format!("{answers}\n{:#?}", admin.calls()));
}

#[test]
fn evacuations_are_shown() {
    let zones = r#"{"zones": [{"zone": "hall-b", "known_for_ms": 4100, "learned_from": "platform",
        "era": 1, "revision": 77, "is_untold_since_restore": false}]}"#;
    let admin = FakeAdmin::start([(200, zones), (200, r#"{"zones": []}"#)]);
    let listed = run_tool(&["evacuations", "--admin", admin.address()]);
    let none = run_tool(&["evacuations", "--admin", admin.address()]);
    let answers = [transcript(&listed), transcript(&none)].join("\n===\n");
    insta::assert_snapshot!(format!("{answers}\n{:#?}", admin.calls()));
}

#[test]
fn quarantine_is_shown_and_lifted() {
    let suspects = r#"{"requests": [{"fingerprint": "5392cc", "crashes": 3, "left_ms": 42000}],
        "prompt_parts": [{"prompt_part": "91bd3f06", "service": "assist-llm", "crashes": 6,
        "failed_trials": 3, "left_ms": 58000}]}"#;
    let none = r#"{"requests": [], "prompt_parts": []}"#;
    let lifted = r#"{"lifted": "5392cc"}"#;
    let lifted_part = r#"{"lifted": "91bd3f06"}"#;
    let answers = [
        (200, suspects),
        (200, none),
        (200, lifted),
        (200, lifted_part),
    ];
    let admin = FakeAdmin::start(answers);
    let run = |arguments: &[&str]| {
        let all = [&["quarantine", "--admin", admin.address()], arguments].concat();
        transcript(&run_tool(&all))
    };
    let answers = [
        run(&[]),
        run(&[]),
        run(&["--lift", "5392cc"]),
        run(&["--lift-part", "91bd3f06", "--service", "assist-llm"]),
        run(&["--lift", "5392cc", "--lift-part", "91bd3f06"]),
    ];
    let answers = answers.join("\n===\n");
    insta::assert_snapshot!(format!("{answers}\n{:#?}", admin.calls()));
}
