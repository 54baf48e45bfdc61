//! Search for the highest sustainable rate.

mod support;

use std::time::Duration;

use mangofront_load::capacity::{CapacityPlan, CapacityReport, StepEnd, search};
use mangofront_load::probe::PromptSize;
use mangofront_load::scenario::Scenario;

use support::{Fault, rule, server};

fn search_with(fault: Fault, first_token_limit_ms: f64) -> CapacityReport {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let plan = CapacityPlan::new(vec![server(fault).await])
            .pid(Some(std::process::id()))
            .rule(rule())
            .growth(2.0)
            .step(Duration::from_millis(300))
            .steps_cap(2)
            .first_token_limit_ms(first_token_limit_ms)
            .prompt_size(PromptSize {
                max_tokens: 4,
                ..PromptSize::SHORT
            });
        let client = mangofront_http::client().expect("a client");
        let scenario = Scenario::load("demo").expect("an embedded scenario");
        search(&client, &scenario, &plan)
            .await
            .expect("usage of this process")
    })
}

#[test]
fn search_ends_at_the_first_failed_step() {
    let refused = search_with(Fault::Refuse, 10_000.0);
    assert_eq!(refused.ended, StepEnd::Errors);
    assert_eq!((refused.steps.len(), refused.held_rate_per_s), (1, 0.0));
    assert_eq!(
        search_with(Fault::RepeatToken, 10_000.0).ended,
        StepEnd::WrongAnswer
    );
    // On a busy machine the generator may be late, which also ends the search.
    let slow = search_with(Fault::None, 0.0).ended;
    assert!(matches!(slow, StepEnd::Slow | StepEnd::GeneratorSaturated));
}

#[test]
fn steps_report_usage_of_the_specified_process() {
    let report = search_with(Fault::None, 10_000.0);
    let step = &report.steps[0];
    assert_eq!(step.counts.done, step.counts.requests);
    let usage = step.usage.as_ref().expect("a process was specified");
    assert!(usage.resident_bytes > 0);
    assert!(usage.resident_peak_bytes >= usage.resident_bytes);
}
