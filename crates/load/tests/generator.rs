//! The generator against a small server in the same process.

#![allow(clippy::unwrap_used, reason = "a helper of tests fails by panicking")]

mod support;

use std::time::Duration;

use mangofront_load::executions;
use mangofront_load::generator::generate;
use mangofront_load::report::{Report, RunMetadata, build};
use mangofront_load::requests::RequestFactory;
use mangofront_load::scenario::Scenario;
use mangofront_load::schedule::{Plan, Schedule};

use support::{Fault, rule, server};

/// Runs the first arrivals of the demo scenario against a server with `fault`.
fn run(fault: Fault, concurrency_cap: usize, time_scale: f64) -> Report {
    let mut scenario = Scenario::load("demo").unwrap();
    scenario.request_cap = 60;
    let plan = Plan::new(400.0, Duration::from_secs(1))
        .seed(7)
        .without_long(true);
    let runtime = compio::runtime::Runtime::new().unwrap();
    let (record, metadata) = runtime.block_on(async {
        let targets = vec![server(fault).await, server(fault).await];
        let requests = RequestFactory::builder(&scenario, targets)
            .time_scale(time_scale)
            .rule(rule())
            .build();
        let client = mangofront_http::client().unwrap();
        let schedule = Schedule::new(&scenario, plan);
        let metadata = RunMetadata::new(&scenario, plan, &requests);
        let record = generate(client, requests, concurrency_cap, schedule).await;
        (record, metadata)
    });
    build(&metadata, &scenario.configuration, &record)
}

#[test]
fn correct_answers_are_all_done() {
    let report = run(Fault::None, 100, 1.0);
    assert_eq!(report.wrong_answers, []);
    assert_eq!(report.counts.done, report.counts.requests);
    assert!(report.counts.requests >= 55);
    assert!(report.services.keys > 0);
    assert_eq!(report.services.duplicates, 0);
    assert!(report.time_between_tokens.count > 0);
    assert_eq!(report.fairness.jain_index, 1.0);
}

#[test]
fn faulty_answers_are_detected() {
    for fault in [
        Fault::SwapTwoTokens,
        Fault::DropLastToken,
        Fault::RepeatToken,
        Fault::NoDoneMarker,
        Fault::NotRunInStream,
        Fault::EventAfterError,
    ] {
        let report = run(fault, 100, 1.0);
        let wrong = report.counts.wrong_answer;
        let prompts: u64 = report
            .by_length
            .values()
            .map(|length| length.counts.requests)
            .sum();
        // Answers in plain JSON are not streams, so faults at the end of a
        // stream do not occur in them.
        let undetected = report.counts.done - service_calls(&report);
        let affects_streams_only = matches!(
            fault,
            Fault::NoDoneMarker | Fault::NotRunInStream | Fault::EventAfterError
        );
        assert_eq!(wrong + undetected, prompts, "{fault:?}");
        assert_eq!(undetected > 0, affects_streams_only, "{fault:?}");
        assert!(wrong > 0);
        let first = &report.wrong_answers[0];
        assert!(
            first
                .request_id
                .as_ref()
                .is_some_and(|id| id.starts_with("r-"))
        );
    }
}

fn service_calls(report: &Report) -> u64 {
    report.services.keys + report.services.repeats
}

#[test]
fn refusals_failures_and_duplicates_are_distinguished() {
    let refused = run(Fault::Refuse, 100, 1.0);
    assert_eq!(refused.counts.refused, refused.counts.requests);
    assert_eq!(
        refused.refused_by_code["class_overloaded"],
        refused.counts.requests
    );
    let failed = run(Fault::ErrorInStream, 100, 1.0);
    assert!(failed.failed_by_cause["upstream_lost/failed"] > 0);
    assert_eq!(failed.counts.wrong_answer, 0);
    let twice = run(Fault::RunServiceTwice, 100, 1.0);
    assert_eq!(twice.services.duplicates, twice.services.keys);
}

#[test]
fn hanging_target_does_not_block_the_generator() {
    let report = run(Fault::Hang, 10, 0.000_01);
    assert_eq!(report.generator.in_flight_max, 10);
    assert_eq!(
        report.failed_by_cause["client_timeout/unknown"],
        report.counts.failed
    );
    assert!(report.counts.generator_failure > 0);
    let ended = report.counts.failed + report.counts.generator_failure;
    assert_eq!(ended, report.counts.requests);
}

#[test]
fn execution_counts_of_all_services_are_summed() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    let runs = runtime.block_on(async {
        let services = [server(Fault::None).await, server(Fault::None).await];
        let client = mangofront_http::client().unwrap();
        executions::fetch(&client, &services).await.unwrap()
    });
    assert_eq!(runs["k"], 6);
}
