//! Exit codes and output files of the `mangofront load` subcommand.

mod support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::mpsc;

use mangofront_load::answers::AnswerRule;
use mangofront_load::cli;
use mangofront_load::report::Report;
use mangofront_settings::published::check_published_one_line;
use pico_args::Arguments;

use support::{Fault, server_with_rule};

/// Starts a server in its own thread, which runs until the process exits.
fn serve(fault: Fault) -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let runtime = compio::runtime::Runtime::new().expect("a runtime");
        runtime.block_on(async {
            let address = server_with_rule(AnswerRule::standin(), fault).await;
            sender.send(address).expect("the test is waiting");
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().expect("the server starts")
}

fn run_load(line: &str) -> ExitCode {
    let words = line.split_whitespace().map(Into::into).collect();
    cli::main(Arguments::from_vec(words))
}

/// Returns a path in the system's temporary directory that is unique to this
/// process.
fn temporary_file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("mangofront-load-{}-{name}", std::process::id()))
}

#[test]
fn runs_write_their_files_and_can_be_compared() {
    let target = serve(Fault::None);
    let (with, without, chart) = (
        temporary_file("with.json"),
        temporary_file("without.json"),
        temporary_file("chart.svg"),
    );
    let run = format!("run --target {target} --scenario demo --duration-s 1 --rate 50 --all-done");
    let one = format!("{run} --json {} --svg {}", with.display(), chart.display());
    assert_eq!(run_load(&one), ExitCode::SUCCESS);
    let other = format!("{run} --without-long --json {}", without.display());
    assert_eq!(run_load(&other), ExitCode::SUCCESS);
    let compare = format!("compare {} {}", with.display(), without.display());
    assert_eq!(run_load(&compare), ExitCode::SUCCESS);
    let written = std::fs::read(&with).expect("the run wrote its report");
    let report: Report = serde_json::from_slice(&written).expect("a report");
    assert_eq!(report.counts.done, report.counts.requests);
    assert!(std::fs::exists(&chart).expect("a readable directory"));
    for path in [with, without, chart] {
        std::fs::remove_file(path).expect("the run wrote it");
    }
}

#[test]
fn configuration_of_a_scenario_is_time_scaled() {
    let path = temporary_file("configuration.json");
    let line = format!(
        "configuration --scenario tuul --time-scale 0.1 --json {}",
        path.display()
    );
    assert_eq!(run_load(&line), ExitCode::SUCCESS);
    let text = std::fs::read_to_string(&path).expect("the command wrote it");
    std::fs::remove_file(path).expect("the command wrote it");
    let configuration = check_published_one_line(&text).expect("a valid configuration");
    let class = &configuration.classes["field-diagnosis"];
    assert_eq!(
        (class.time_to_first_token_ms, class.allowed_delay_ms),
        (52, 1_500)
    );
}

#[test]
fn failed_checks_exit_with_1() {
    let run = "--scenario demo --duration-s 0.5 --rate 50";
    let wrong = serve(Fault::SwapTwoTokens);
    assert_eq!(
        run_load(&format!("run --target {wrong} {run}")),
        ExitCode::from(1)
    );
    let refused = serve(Fault::Refuse);
    assert_eq!(
        run_load(&format!("run --target {refused} {run}")),
        ExitCode::SUCCESS
    );
    let all_done = format!("run --target {refused} {run} --all-done");
    assert_eq!(run_load(&all_done), ExitCode::from(1));
    // The server reports three executions of another key and none of the keys sent.
    let right = serve(Fault::None);
    let counted = format!("run --target {right} {run} --service {right}");
    assert_eq!(run_load(&counted), ExitCode::from(1));
}

#[test]
fn invalid_arguments_exit_with_2() {
    for line in [
        "",
        "nonsense",
        "run --scenario demo",
        "run --target 127.0.0.1:9 --scenario none-such",
        "run --target 127.0.0.1:9 --scenario demo --rate 0",
        "run --target 127.0.0.1:9 --scenario demo --tabel",
        "capacity --target 127.0.0.1:9 --growth 1",
        "compare none-such.json none-such.json",
    ] {
        assert_eq!(run_load(line), ExitCode::from(2), "{line}");
    }
    assert_eq!(run_load("--help"), ExitCode::SUCCESS);
    assert_eq!(run_load("configuration --scenario tuul"), ExitCode::SUCCESS);
}
