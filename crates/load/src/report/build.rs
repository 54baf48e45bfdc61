//! Builds a report from the raw measurements of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use mangofront_http::Outcome;
use mangofront_settings::published::{Class, Configuration};

use super::metadata::RunMetadata;
use super::rounding::{millis, rounded, share};
use super::shares::{fairness, services};
use super::{
    ClassReport, Counts, GeneratorReport, Goodput, LengthBucket, LengthReport, ProblemReport,
    REPORT_VERSION, Report, RunReport,
};
use crate::generator::RunRecord;
use crate::sample::{End, Sample, SampleKind};
use crate::times::{LatencyHistogram, scaled};

/// Maximum number of failures, and of wrong answers, listed in a report.
const MAX_PROBLEMS_LISTED: usize = 20;

/// Builds the report of `record`, evaluated against the targets in
/// `configuration`.
#[must_use]
pub fn build(metadata: &RunMetadata, configuration: &Configuration, record: &RunRecord) -> Report {
    let samples = record.samples.as_slice();
    let limits = ClassLimits {
        configuration,
        time_scale: metadata.time_scale,
    };
    Report {
        report_version: REPORT_VERSION,
        run: run_report(metadata, record),
        counts: counts(samples.iter()),
        generator: GeneratorReport {
            lateness: samples
                .iter()
                .map(|s| s.lateness)
                .collect::<LatencyHistogram>()
                .quantiles(),
            in_flight_max: record.in_flight_max,
        },
        by_length: by_length(samples),
        by_class: by_class(samples, &limits),
        time_between_tokens: record.inter_token_times.quantiles(),
        goodput: goodput(samples, &limits, metadata.plan.duration),
        refused_by_code: count_by(samples, refusal_code),
        refusal_answer_time: refusal_answer_time(samples),
        failed_by_cause: count_by(samples, failure_cause),
        fairness: fairness(samples),
        services: services(samples),
        counted_services: None,
        first_failures: first_problems(samples, |end| match end {
            End::Failed { message, .. } => Some(message),
            _ => None,
        }),
        wrong_answers: first_problems(samples, |end| match end {
            End::WrongAnswer { problem } => Some(problem),
            _ => None,
        }),
    }
}

/// Targets and limits of the classes, scaled to the wall clock.
struct ClassLimits<'a> {
    configuration: &'a Configuration,
    time_scale: f64,
}

impl ClassLimits<'_> {
    fn target(&self, class: &str) -> Duration {
        self.class_time(class, Class::time_to_first_token)
    }

    fn limit(&self, class: &str) -> Duration {
        self.class_time(class, Class::time_limit)
    }

    fn class_time(&self, class: &str, time: fn(&Class) -> Duration) -> Duration {
        let class = self.configuration.classes.get(class);
        class.map_or(Duration::MAX, |class| scaled(time(class), self.time_scale))
    }

    fn meets_target(&self, sample: &Sample) -> bool {
        let started = match sample.end {
            // An answer that is not streamed starts when it is complete.
            End::Done => Some(sample.first_token.unwrap_or(sample.total)),
            End::WrongAnswer { .. } => None,
            _ => sample.first_token,
        };
        started.is_some_and(|started| started <= self.target(&sample.class))
    }

    fn meets_limit(&self, sample: &Sample) -> bool {
        sample.end == End::Done && sample.total <= self.limit(&sample.class)
    }
}

fn run_report(metadata: &RunMetadata, record: &RunRecord) -> RunReport {
    RunReport {
        scenario: metadata.scenario.clone(),
        seed: metadata.plan.seed,
        text_salt: metadata.text_salt,
        targets: metadata.targets,
        rate_per_s: metadata.plan.rate_per_s,
        time_scale: metadata.time_scale,
        without_long: metadata.plan.without_long,
        arrivals_ms: millis(metadata.plan.duration),
        elapsed_ms: millis(record.elapsed),
    }
}

fn counts<'a>(samples: impl Iterator<Item = &'a Sample>) -> Counts {
    let mut counts = Counts::default();
    for sample in samples {
        counts.requests += 1;
        let count = match sample.end {
            End::Done => &mut counts.done,
            End::Refused { .. } => &mut counts.refused,
            End::Failed { .. } => &mut counts.failed,
            End::WrongAnswer { .. } => &mut counts.wrong_answer,
            End::GeneratorFailure { .. } => &mut counts.generator_failure,
        };
        *count += 1;
    }
    counts
}

fn by_length(samples: &[Sample]) -> BTreeMap<LengthBucket, LengthReport> {
    let mut groups: BTreeMap<LengthBucket, Vec<&Sample>> = BTreeMap::new();
    for sample in samples {
        if let SampleKind::Model { length_tokens } = sample.kind {
            let bucket = LengthBucket::of(length_tokens);
            groups.entry(bucket).or_default().push(sample);
        }
    }
    let report = |group: Vec<&Sample>| LengthReport {
        counts: counts(group.iter().copied()),
        time_to_first_token: first_tokens(&group).quantiles(),
    };
    groups
        .into_iter()
        .map(|(bucket, group)| (bucket, report(group)))
        .collect()
}

fn first_tokens(group: &[&Sample]) -> LatencyHistogram {
    group
        .iter()
        .filter_map(|sample| sample.first_token)
        .collect()
}

fn by_class(samples: &[Sample], limits: &ClassLimits<'_>) -> BTreeMap<String, ClassReport> {
    let mut groups: BTreeMap<&str, Vec<&Sample>> = BTreeMap::new();
    for sample in samples {
        groups.entry(&sample.class).or_default().push(sample);
    }
    groups
        .into_iter()
        .map(|(class, group)| (class.to_owned(), class_report(class, &group, limits)))
        .collect()
}

fn class_report(class: &str, group: &[&Sample], limits: &ClassLimits<'_>) -> ClassReport {
    let admitted: Vec<&Sample> = group.iter().copied().filter(|s| is_admitted(s)).collect();
    let met_target = admitted.iter().filter(|s| limits.meets_target(s)).count();
    let met_limit = admitted.iter().filter(|s| limits.meets_limit(s)).count();
    let done = group.iter().filter(|s| s.end == End::Done);
    ClassReport {
        target_ms: millis(limits.target(class)),
        limit_ms: millis(limits.limit(class)),
        counts: counts(group.iter().copied()),
        time_to_first_token: first_tokens(group).quantiles(),
        total: done
            .map(|s| s.total)
            .collect::<LatencyHistogram>()
            .quantiles(),
        target_met_share: share(met_target as u64, admitted.len() as u64),
        limit_met_share: share(met_limit as u64, admitted.len() as u64),
    }
}

const fn is_admitted(sample: &Sample) -> bool {
    match sample.end {
        End::Done | End::Failed { .. } | End::WrongAnswer { .. } => true,
        End::Refused { .. } | End::GeneratorFailure { .. } => false,
    }
}

/// Counts only requests that ended while others still arrived, as the load falls
/// after the last arrival.
fn goodput(samples: &[Sample], limits: &ClassLimits<'_>, arrivals: Duration) -> Goodput {
    let ended_in_time = |sample: &&Sample| sample.due + sample.lateness + sample.total <= arrivals;
    let good = samples.iter().filter(|sample| limits.meets_limit(sample));
    let (requests, tokens) = good
        .filter(ended_in_time)
        .fold((0_u64, 0_u64), |(requests, tokens), sample| {
            (requests + 1, tokens + u64::from(sample.tokens))
        });
    let arrivals_s = arrivals.as_secs_f64();
    if arrivals_s == 0.0 {
        return Goodput::default();
    }
    Goodput {
        requests_per_s: rounded(requests as f64 / arrivals_s),
        tokens_per_s: rounded(tokens as f64 / arrivals_s),
    }
}

fn refusal_answer_time(samples: &[Sample]) -> super::Quantiles {
    let refused = samples
        .iter()
        .filter(|sample| matches!(sample.end, End::Refused { .. }));
    refused
        .map(|sample| sample.total)
        .collect::<LatencyHistogram>()
        .quantiles()
}

fn refusal_code(sample: &Sample) -> Option<String> {
    match &sample.end {
        End::Refused { code } => Some(code.clone()),
        _ => None,
    }
}

fn failure_cause(sample: &Sample) -> Option<String> {
    let End::Failed { code, outcome, .. } = &sample.end else {
        return None;
    };
    let outcome = match outcome {
        Outcome::NotRun => "not_run",
        Outcome::Failed => "failed",
        Outcome::Unknown => "unknown",
    };
    Some(format!("{code}/{outcome}"))
}

fn count_by(samples: &[Sample], key: impl Fn(&Sample) -> Option<String>) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for key in samples.iter().filter_map(key) {
        *counts.entry(key).or_default() += 1;
    }
    counts
}

fn first_problems(
    samples: &[Sample],
    problem_of: fn(&End) -> Option<&String>,
) -> Vec<ProblemReport> {
    let problems = samples.iter().filter_map(|sample| {
        Some(ProblemReport {
            request_id: sample.request_id.clone(),
            problem: problem_of(&sample.end)?.clone(),
        })
    });
    problems.take(MAX_PROBLEMS_LISTED).collect()
}
