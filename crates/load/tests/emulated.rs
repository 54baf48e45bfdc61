//! The tool against the emulated engine, whose answers it must predict.

use std::time::Duration;

use compio::net::TcpListener;
use mangofront_http::Shutdown;
use mangofront_load::answers::AnswerRule;
use mangofront_load::idle::{IdlePlan, measure};
use mangofront_load::latency::{Comparison, LatencyReport, compare};
use mangofront_load::probe::{Destination, Prober, PromptSize};
use mangofront_load::report::LengthBucket;
use mangofront_load::scenario::Scenario;
use mangofront_standin::engine::{EngineSettings, run};

/// Runs `work` with an emulated engine whose KV cache holds 105 000 tokens and
/// which computes a thousand times as fast as the default.
fn with_engine<T>(work: impl AsyncFnOnce(Destination, Prober, Scenario) -> T) -> T {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let scenario = Scenario::load("demo").expect("an embedded scenario");
        let prober = Prober::for_scenario(&scenario, AnswerRule::standin()).expect("prompts");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let engine = Destination::Engine(listener.local_addr().expect("an address"));
        let settings = EngineSettings {
            model: prober.model.clone(),
            kv_total_tokens: 105_000,
            time_scale: 0.001,
            ..EngineSettings::default()
        };
        let (trigger, shutdown) = Shutdown::new();
        let engine_task = compio::runtime::spawn(run(listener, settings, shutdown));
        let result = work(engine, prober, scenario).await;
        drop(trigger);
        drop(engine_task);
        result
    })
}

#[test]
fn idle_measurement_excludes_prompts_that_exceed_the_memory() {
    let report = with_engine(async |engine, prober, scenario| {
        let plan = IdlePlan::new(engine)
            .per_bucket(3)
            .bucket_limit(Duration::from_secs(10))
            .seed(2);
        let client = mangofront_http::client().expect("a client");
        measure(&client, &prober, &scenario, plan).await
    });
    for bucket in [
        LengthBucket::UpTo4k,
        LengthBucket::UpTo16k,
        LengthBucket::UpTo100k,
    ] {
        let length = &report.by_length[&bucket];
        assert_eq!(length.time_to_first_token.count, 3, "{length:?}");
    }
    let long = &report.by_length[&LengthBucket::UpTo400k];
    assert_eq!(long.failed, 0, "{long:?}");
    assert!(long.refused > 0, "{long:?}");
    assert_eq!(long.refused + long.time_to_first_token.count, 3);
}

fn compare_with_itself(rule: AnswerRule) -> LatencyReport {
    with_engine(async |engine, mut prober, _| {
        prober.rule = rule;
        let comparison = Comparison::new(engine, engine)
            .pairs(5)
            .warm_up_pairs(1)
            .workers(4)
            .prompt_size(PromptSize {
                max_tokens: 8,
                ..PromptSize::SHORT
            });
        let client = mangofront_http::client().expect("a client");
        compare(&client, &prober, comparison).await
    })
}

#[test]
fn latency_comparison_counts_and_checks_answers() {
    let right = compare_with_itself(AnswerRule::standin());
    for path in [&right.daemon, &right.direct] {
        assert_eq!(
            (path.total.count, path.errors, path.wrong_answers),
            (20, 0, 0)
        );
        assert_eq!(path.first_token.count, 20);
    }
    let other = AnswerRule {
        length_tokens: |_, limit| limit + 1,
        ..AnswerRule::standin()
    };
    let wrong = compare_with_itself(other);
    assert_eq!(
        (wrong.daemon.total.count, wrong.daemon.wrong_answers),
        (0, 20)
    );
}
