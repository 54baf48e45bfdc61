//! Reports of fixed samples, and comparisons between reports.

#![allow(clippy::unwrap_used, reason = "a helper of tests fails by panicking")]

use std::net::SocketAddr;
use std::time::Duration;

use mangofront_http::Outcome;
use mangofront_load::compare::{CompareError, differences, idle_ratio, slowdown};
use mangofront_load::executions::{ExecutionCheck, ExecutionsByKey, check};
use mangofront_load::generator::RunRecord;
use mangofront_load::idle::{IdleBucketReport, IdleReport};
use mangofront_load::report::{LengthBucket, Report, RunMetadata, build, table, write_chart};
use mangofront_load::requests::RequestFactory;
use mangofront_load::sample::{End, Sample, SampleKind};
use mangofront_load::scenario::Scenario;
use mangofront_load::schedule::Plan;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn sample(class: &str, organisation: &str, kind: SampleKind, first_ms: u64, end: End) -> Sample {
    Sample {
        class: class.to_owned(),
        organisation: organisation.to_owned(),
        kind,
        due: Duration::ZERO,
        lateness: Duration::from_micros(100 + first_ms),
        request_id: Some(format!("r-{first_ms}")),
        first_token: (first_ms > 0).then_some(ms(first_ms)),
        total: ms(first_ms + 200),
        tokens: 16,
        end,
    }
}

fn prompt(length_tokens: u64) -> SampleKind {
    SampleKind::Model { length_tokens }
}

fn call(key: &str, repeat: bool, executions: Option<u64>) -> SampleKind {
    SampleKind::Service {
        key: key.to_owned(),
        repeat,
        executions,
    }
}

/// One or more requests of each outcome, followed by a hundred that are done.
fn samples(first_token_factor: u64) -> Vec<Sample> {
    let refused = End::Refused {
        code: "class_overloaded".to_owned(),
    };
    let failed = |outcome| End::Failed {
        code: "upstream_lost".to_owned(),
        outcome,
        message: "stream at engine-1: gone".to_owned(),
    };
    let wrong = |problem: &str| End::WrongAnswer {
        problem: problem.to_owned(),
    };
    let diagnosis = "field-diagnosis";
    let orders = "order-confirmation";
    let not_sent = End::GeneratorFailure {
        cause: "concurrency_cap",
    };
    let mut samples = vec![
        sample(
            "contract-review",
            "gobi-mining",
            prompt(150_000),
            8_000,
            End::Done,
        ),
        sample(
            "contract-review",
            "gobi-mining",
            prompt(900_000),
            40_000,
            End::Done,
        ),
        sample(diagnosis, "altai-bank", prompt(1_500), 0, refused.clone()),
        sample(
            diagnosis,
            "altai-bank",
            prompt(1_500),
            30,
            failed(Outcome::Failed),
        ),
        sample(
            diagnosis,
            "altai-bank",
            prompt(1_500),
            31,
            wrong("token 3 differs"),
        ),
        sample(diagnosis, "altai-bank", prompt(1_500), 0, not_sent),
        sample(
            orders,
            "khuvsgul-lodge",
            call("k1", false, Some(1)),
            0,
            End::Done,
        ),
        sample(
            orders,
            "khuvsgul-lodge",
            call("k1", true, Some(2)),
            0,
            wrong("key ran 2 times"),
        ),
        sample(
            orders,
            "khuvsgul-lodge",
            call("k2", false, None),
            0,
            refused,
        ),
        sample(
            orders,
            "khuvsgul-lodge",
            call("k3", false, None),
            0,
            failed(Outcome::Unknown),
        ),
    ];
    for number in 1..=100 {
        let first_ms = number * 10 * first_token_factor;
        samples.push(sample(
            diagnosis,
            "altai-bank",
            prompt(2_000),
            first_ms,
            End::Done,
        ));
    }
    for (number, sample) in (0..).zip(&mut samples) {
        sample.due = ms(number * 100);
    }
    samples
}

fn report(first_token_factor: u64, without_long: bool) -> Report {
    let scenario = Scenario::load("demo").unwrap();
    let record = RunRecord {
        samples: samples(first_token_factor),
        inter_token_times: (1..=1_000)
            .map(|number| Duration::from_micros(number * 50))
            .collect(),
        in_flight_max: 12,
        elapsed: Duration::from_secs(20),
    };
    let plan = Plan::new(16.0, Duration::from_secs(12)).without_long(without_long);
    let targets = vec![SocketAddr::from(([127, 0, 0, 1], 1)); 2];
    let requests = RequestFactory::builder(&scenario, targets).build();
    let metadata = RunMetadata::new(&scenario, plan, &requests);
    build(&metadata, &scenario.configuration, &record)
}

fn idle() -> IdleReport {
    let mut report = report(1, false);
    let by_length = report.by_length.remove(&LengthBucket::UpTo4k).unwrap();
    let mut short = by_length.time_to_first_token;
    short.p95_ms = 475.0;
    let mut long = short;
    long.p95_ms = 2_000.0;
    let length = |time_to_first_token| IdleBucketReport {
        time_to_first_token,
        refused: 0,
        failed: 0,
        first_problem: None,
    };
    let by_length = [
        (LengthBucket::UpTo4k, length(short)),
        (LengthBucket::UpTo400k, length(long)),
    ];
    IdleReport {
        scenario: "demo".to_owned(),
        seed: 1,
        by_length: by_length.into(),
    }
}

#[test]
fn json_form_of_fixed_samples() {
    let report = report(1, false);
    insta::assert_json_snapshot!(report);
    let written = serde_json::to_string(&report).unwrap();
    assert_eq!(serde_json::from_str::<Report>(&written).unwrap(), report);
}

#[test]
fn table_of_fixed_samples() {
    insta::assert_snapshot!(table(&report(1, false)));
}

#[test]
fn chart_of_fixed_samples() {
    let svg = write_chart(&report(1, false)).unwrap();
    insta::assert_snapshot!(svg);
}

#[test]
fn chart_without_samples_is_drawn() {
    let mut report = report(1, false);
    report.by_length.clear();
    report.by_class.clear();
    assert!(write_chart(&report).unwrap().ends_with("</svg>\n"));
}

#[test]
fn execution_counts_reveal_what_answers_did_not_report() {
    let mut samples = samples(1);
    let runs = |runs: &[(&str, u64)]| -> ExecutionsByKey {
        runs.iter()
            .map(|(key, runs)| ((*key).to_owned(), *runs))
            .collect()
    };
    // k1 was done, k2 refused, and k3 is unknown: it may or may not have run.
    let right = check(&samples, &runs(&[("k1", 1), ("k3", 1)]));
    assert!(right.is_consistent());
    assert_eq!(right, check(&samples, &runs(&[("k1", 1)])));
    let wrong = check(&samples, &runs(&[("k2", 1), ("k3", 2), ("other", 5)]));
    let expected = ExecutionCheck {
        keys: 3,
        ran_more_than_once: 1,
        ran_though_not_run: 1,
        not_run_though_done: 1,
    };
    assert_eq!(wrong, expected);
    // A key that was refused once and done once has been executed.
    let orders = "order-confirmation";
    samples.push(sample(
        orders,
        "gobi-mining",
        call("k2", true, Some(1)),
        0,
        End::Done,
    ));
    assert!(check(&samples, &runs(&[("k1", 1), ("k2", 1)])).is_consistent());
}

#[test]
fn slowdown_is_the_ratio_of_short_prompts_p95() {
    let with = report(3, false);
    let without = report(1, true);
    let ratio = slowdown(&with, &without).unwrap();
    assert!((ratio - 3.0).abs() < 0.01, "{ratio}");
    assert_eq!(slowdown(&without, &with), Ok(ratio));
    assert_eq!(slowdown(&with, &with), Err(CompareError::NotAPair));
    let mut other = without;
    other.run.seed = 2;
    assert_eq!(slowdown(&with, &other), Err(CompareError::OtherRun("seed")));
}

#[test]
fn idle_ratio_is_a_geometric_mean() {
    let ratio = idle_ratio(&report(1, false), &idle()).unwrap();
    // 951 ms / 475 ms and 8 s / 2 s, at the histogram's precision of three digits.
    insta::assert_json_snapshot!(ratio);
    assert!((ratio.geometric_mean - 8.0_f64.sqrt()).abs() < 0.02);
    assert_eq!(ratio.left_out, [LengthBucket::Over400k]);
}

#[test]
fn differences_name_each_number_that_changed() {
    let before = serde_json::json!({"a": {"p50_ms": 1, "p95_ms": 2.5}, "b": 3, "name": "x"});
    let after = serde_json::json!({"a": {"p50_ms": 1, "p95_ms": 5}, "c": 4, "name": "y"});
    let lines: Vec<String> = differences(&before, &after)
        .iter()
        .map(|found| format!("{}: {} -> {}", found.field, found.before, found.after))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}
