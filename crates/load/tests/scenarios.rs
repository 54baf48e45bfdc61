//! Embedded scenarios and the schedules drawn from them.

#![allow(clippy::unwrap_used, reason = "a helper of tests fails by panicking")]

use std::time::Duration;

use mangofront_load::scenario::{LONG_TOKENS, Scenario};
use mangofront_load::schedule::{Arrival, Plan, Schedule, Work};
use mangofront_settings::published::check_published_one_line;
use quickcheck::{QuickCheck, TestResult};

const PLAN: Plan = Plan::new(100.0, Duration::from_secs(100));

fn arrivals(scenario: &Scenario, plan: Plan) -> Vec<Arrival> {
    Schedule::new(scenario, plan).collect()
}

fn length_tokens(arrival: &Arrival) -> Option<u64> {
    match &arrival.work {
        Work::Model(work) => Some(work.length_tokens),
        Work::Service(_) => None,
    }
}

#[test]
fn embedded_scenarios_are_valid() {
    for name in Scenario::embedded() {
        let scenario = Scenario::load(name).unwrap();
        assert_eq!(scenario.name, name);
    }
}

#[test]
fn embedded_configurations_can_be_published() {
    for name in Scenario::embedded() {
        let configuration = Scenario::load(name).unwrap().configuration;
        let text = serde_json::to_string(&configuration).unwrap();
        assert_eq!(check_published_one_line(&text).unwrap(), configuration);
    }
}

#[test]
fn one_prompt_in_fifty_is_long() {
    for name in Scenario::embedded() {
        let mut scenario = Scenario::load(name).unwrap();
        assert!((scenario.long_share() - 0.02).abs() < 1e-9, "{name}");
        scenario.request_cap = 100_000;
        let plan = PLAN.duration(Duration::from_secs(1000));
        let lengths = arrivals(&scenario, plan);
        let lengths: Vec<u64> = lengths.iter().filter_map(length_tokens).collect();
        let long = lengths
            .iter()
            .filter(|tokens| **tokens > LONG_TOKENS)
            .count();
        let share = long as f64 / lengths.len() as f64;
        assert!((0.018..0.022).contains(&share), "{name}: {share}");
        assert!(
            lengths
                .iter()
                .all(|tokens| (1_000..=1_000_000).contains(tokens))
        );
    }
}

#[test]
fn first_arrivals_of_a_seed() {
    let scenario = Scenario::load("tuul").unwrap();
    let first: Vec<Arrival> = Schedule::new(&scenario, PLAN).take(20).collect();
    let lines: Vec<String> = first
        .iter()
        .map(|arrival| serde_json::to_string(arrival).unwrap())
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn mean_rate_is_the_requested_one() {
    let scenario = Scenario::load("bijela-staza").unwrap();
    let count = arrivals(&scenario, PLAN).len();
    // Four standard deviations of a Poisson count of 10 000.
    assert!((9_600..=10_400).contains(&count), "{count}");
}

#[test]
fn a_seed_gives_one_schedule_with_or_without_long_prompts() {
    fn holds(seed: u64) -> TestResult {
        let scenario = Scenario::load("demo").unwrap();
        let plan = PLAN.seed(seed);
        let all = format!("{:?}", arrivals(&scenario, plan));
        assert_eq!(all, format!("{:?}", arrivals(&scenario, plan)));
        let mut with = arrivals(&scenario, plan);
        with.retain(|arrival| length_tokens(arrival).is_none_or(|tokens| tokens <= LONG_TOKENS));
        let without = arrivals(&scenario, plan.without_long(true));
        TestResult::from_bool(format!("{with:?}") == format!("{without:?}"))
    }
    QuickCheck::new()
        .tests(20)
        .quickcheck(holds as fn(u64) -> TestResult);
}

#[test]
fn contradictions_are_refused() {
    let text = include_str!("../scenarios/demo.jsonc");
    let cases = [
        ("\"class\": \"contract-review\"", "\"class\": \"unknown\""),
        ("\"max_tokens\": [8, 24]", "\"max_tokens\": [24, 8]"),
        ("\"from_tokens\": 4000", "\"from_tokens\": 40000"),
        ("\"zipf_exponent\"", "\"zipf_exponents\""),
    ];
    let mut problems = Vec::new();
    for (good, bad) in cases {
        assert!(text.contains(good));
        let error = Scenario::parse("demo", &text.replace(good, bad)).unwrap_err();
        problems.push(error.to_string());
    }
    insta::assert_snapshot!(problems.join("\n"));
}
