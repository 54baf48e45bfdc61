//! The subcommand as a whole, by its exit codes and files.

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

use support::{Fault, server_by};

/// Starts a server in a thread of its own; it ends with the process.
fn serve(fault: Fault) -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let runtime = compio::runtime::Runtime::new().expect("a runtime");
        runtime.block_on(async {
            let address = server_by(AnswerRule::standin(), fault).await;
            sender.send(address).expect("the test waits");
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().expect("the server starts")
}

fn load(line: &str) -> ExitCode {
    let words = line.split_whitespace().map(Into::into).collect();
    cli::main(Arguments::from_vec(words))
}

/// A file of this process, in the system's temporary directory.
fn file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("mangofront-load-{}-{name}", std::process::id()))
}

#[test]
fn a_run_writes_its_files_and_two_can_be_compared() {
    let target = serve(Fault::None);
    let (with, without, chart) = (file("with.json"), file("without.json"), file("chart.svg"));
    let run = format!("run --target {target} --scenario demo --duration-s 1 --rate 50 --all-done");
    let one = format!("{run} --json {} --svg {}", with.display(), chart.display());
    assert_eq!(load(&one), ExitCode::SUCCESS);
    let other = format!("{run} --without-long --json {}", without.display());
    assert_eq!(load(&other), ExitCode::SUCCESS);
    let compare = format!("compare {} {}", with.display(), without.display());
    assert_eq!(load(&compare), ExitCode::SUCCESS);
    let written = std::fs::read(&with).expect("the run wrote its report");
    let report: Report = serde_json::from_slice(&written).expect("a report");
    assert_eq!(report.counts.done, report.counts.requests);
    assert!(std::fs::exists(&chart).expect("a readable directory"));
    for path in [with, without, chart] {
        std::fs::remove_file(path).expect("the run wrote it");
    }
}

#[test]
fn a_scenario_gives_its_configuration_scaled() {
    let path = file("configuration.json");
    let line = format!(
        "configuration --scenario tuul --time-scale 0.1 --json {}",
        path.display()
    );
    assert_eq!(load(&line), ExitCode::SUCCESS);
    let text = std::fs::read_to_string(&path).expect("the command wrote it");
    std::fs::remove_file(path).expect("the command wrote it");
    let configuration = check_published_one_line(&text).expect("it can be published");
    let class = &configuration.classes["field-diagnosis"];
    assert_eq!(
        (class.time_to_first_token_ms, class.allowed_delay_ms),
        (52, 1_500)
    );
}

#[test]
fn wrong_answers_give_one() {
    let run = "--scenario demo --duration-s 0.5 --rate 50";
    let wrong = serve(Fault::SwapTwoTokens);
    assert_eq!(
        load(&format!("run --target {wrong} {run}")),
        ExitCode::from(1)
    );
    let refused = serve(Fault::Refuse);
    assert_eq!(
        load(&format!("run --target {refused} {run}")),
        ExitCode::SUCCESS
    );
    let all_done = format!("run --target {refused} {run} --all-done");
    assert_eq!(load(&all_done), ExitCode::from(1));
    // The server has counted three runs of another key, and none of these.
    let right = serve(Fault::None);
    let counted = format!("run --target {right} {run} --service {right}");
    assert_eq!(load(&counted), ExitCode::from(1));
}

#[test]
fn unusable_arguments_give_two() {
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
        assert_eq!(load(line), ExitCode::from(2), "{line}");
    }
    assert_eq!(load("--help"), ExitCode::SUCCESS);
    assert_eq!(load("configuration --scenario tuul"), ExitCode::SUCCESS);
}
