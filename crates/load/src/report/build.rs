//! A report made of a run's record.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mangofront_http::Outcome;
use mangofront_settings::published::{Class, Configuration};

use super::{
    ClassReport, Counts, Fairness, GeneratorReport, Goodput, LengthBucket, LengthReport,
    REPORT_VERSION, Report, RunReport, Served, ServiceReport, WrongAnswerReport,
};
use crate::generator::Record;
use crate::sample::{End, Sample, SampleKind};
use crate::scenario::Scenario;
use crate::schedule::Plan;
use crate::text::TextSalt;
use crate::times::Times;

/// Most wrong answers listed.
const WRONG_ANSWERS_LISTED: usize = 20;

/// What the record does not say about its run.
#[derive(Debug, Clone)]
pub struct RunFacts {
    scenario: String,
    plan: Plan,
    targets: usize,
    time_scale: f64,
    text_salt: TextSalt,
}

impl RunFacts {
    /// Facts of a run of `scenario` under `plan`, which is in the wall clock's
    /// time.
    #[must_use]
    pub fn new(scenario: &Scenario, plan: Plan) -> Self {
        Self {
            scenario: scenario.name.clone(),
            plan,
            targets: 1,
            time_scale: 1.0,
            text_salt: 0,
        }
    }

    /// Number of target addresses; 1 by default.
    #[must_use]
    pub const fn targets(mut self, targets: usize) -> Self {
        self.targets = targets;
        self
    }

    /// Scenario seconds that pass in a second of the wall clock; 1 by default.
    #[must_use]
    pub const fn time_scale(mut self, time_scale: f64) -> Self {
        self.time_scale = time_scale;
        self
    }

    /// Salt of the texts; 0 by default.
    #[must_use]
    pub const fn text_salt(mut self, text_salt: TextSalt) -> Self {
        self.text_salt = text_salt;
        self
    }
}

/// Makes the report of `record`, judged by the targets in `configuration`.
#[must_use]
pub fn build(facts: &RunFacts, configuration: &Configuration, record: &Record) -> Report {
    let samples = record.samples.as_slice();
    let limits = Limits {
        configuration,
        time_scale: facts.time_scale,
    };
    Report {
        report_version: REPORT_VERSION,
        run: run_report(facts, record),
        counts: counts(samples.iter()),
        generator: GeneratorReport {
            lateness: samples
                .iter()
                .map(|s| s.lateness)
                .collect::<Times>()
                .quantiles(),
            in_flight_max: record.in_flight_max,
        },
        by_length: by_length(samples),
        by_class: by_class(samples, &limits),
        time_between_tokens: record.gaps.quantiles(),
        goodput: goodput(samples, &limits, record.elapsed),
        refused_by_code: count_by(samples, refusal_code),
        refusal_answer_time: refusal_answer_time(samples),
        failed_by_cause: count_by(samples, failure_cause),
        fairness: fairness(samples),
        services: services(samples),
        wrong_answers: wrong_answers(samples),
    }
}

/// Targets of the classes, in the wall clock's time.
struct Limits<'a> {
    configuration: &'a Configuration,
    time_scale: f64,
}

impl Limits<'_> {
    fn target(&self, class: &str) -> Duration {
        self.of(class, Class::time_to_first_token)
    }

    fn limit(&self, class: &str) -> Duration {
        self.of(class, Class::time_limit)
    }

    fn of(&self, class: &str, time: fn(&Class) -> Duration) -> Duration {
        let class = self.configuration.classes.get(class);
        class.map_or(Duration::MAX, |class| time(class).div_f64(self.time_scale))
    }

    fn meets_target(&self, sample: &Sample) -> bool {
        let started = match sample.end {
            // An answer that is not streamed starts when it is there.
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

fn run_report(facts: &RunFacts, record: &Record) -> RunReport {
    RunReport {
        scenario: facts.scenario.clone(),
        seed: facts.plan.seed,
        text_salt: facts.text_salt,
        targets: facts.targets,
        rate_per_s: facts.plan.rate_per_s,
        time_scale: facts.time_scale,
        without_long: facts.plan.without_long,
        arrivals_ms: millis(facts.plan.duration),
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

fn first_tokens(group: &[&Sample]) -> Times {
    group
        .iter()
        .filter_map(|sample| sample.first_token)
        .collect()
}

fn by_class(samples: &[Sample], limits: &Limits<'_>) -> BTreeMap<String, ClassReport> {
    let mut groups: BTreeMap<&str, Vec<&Sample>> = BTreeMap::new();
    for sample in samples {
        groups.entry(&sample.class).or_default().push(sample);
    }
    groups
        .into_iter()
        .map(|(class, group)| (class.to_owned(), class_report(class, &group, limits)))
        .collect()
}

fn class_report(class: &str, group: &[&Sample], limits: &Limits<'_>) -> ClassReport {
    let admitted: Vec<&Sample> = group.iter().copied().filter(|s| is_admitted(s)).collect();
    let met_target = admitted.iter().filter(|s| limits.meets_target(s)).count();
    let met_limit = admitted.iter().filter(|s| limits.meets_limit(s)).count();
    let done = group.iter().filter(|s| s.end == End::Done);
    ClassReport {
        target_ms: millis(limits.target(class)),
        limit_ms: millis(limits.limit(class)),
        counts: counts(group.iter().copied()),
        time_to_first_token: first_tokens(group).quantiles(),
        total: done.map(|s| s.total).collect::<Times>().quantiles(),
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

fn goodput(samples: &[Sample], limits: &Limits<'_>, elapsed: Duration) -> Goodput {
    let good = samples.iter().filter(|sample| limits.meets_limit(sample));
    let (requests, tokens) = good.fold((0_u64, 0_u64), |(requests, tokens), sample| {
        (requests + 1, tokens + u64::from(sample.tokens))
    });
    let elapsed_s = elapsed.as_secs_f64();
    if elapsed_s == 0.0 {
        return Goodput::default();
    }
    Goodput {
        requests_per_s: rounded(requests as f64 / elapsed_s),
        tokens_per_s: rounded(tokens as f64 / elapsed_s),
    }
}

fn refusal_answer_time(samples: &[Sample]) -> super::Quantiles {
    let refused = samples
        .iter()
        .filter(|sample| matches!(sample.end, End::Refused { .. }));
    refused
        .map(|sample| sample.total)
        .collect::<Times>()
        .quantiles()
}

fn refusal_code(sample: &Sample) -> Option<String> {
    match &sample.end {
        End::Refused { code } => Some(code.clone()),
        _ => None,
    }
}

fn failure_cause(sample: &Sample) -> Option<String> {
    let End::Failed { code, outcome } = &sample.end else {
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

fn fairness(samples: &[Sample]) -> Fairness {
    let mut organisations: BTreeMap<String, Served> = BTreeMap::new();
    for sample in samples {
        if matches!(sample.end, End::GeneratorFailure { .. }) {
            continue;
        }
        let served = organisations
            .entry(sample.organisation.clone())
            .or_default();
        served.offered += 1;
        served.done += u64::from(sample.end == End::Done);
    }
    for served in organisations.values_mut() {
        served.share = share(served.done, served.offered);
    }
    let shares: Vec<f64> = organisations.values().map(|served| served.share).collect();
    Fairness {
        jain_index: jain_index(&shares),
        organisations,
    }
}

fn jain_index(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares == 0.0 {
        return 0.0;
    }
    rounded(sum * sum / (shares.len() as f64 * squares))
}

fn services(samples: &[Sample]) -> ServiceReport {
    let mut report = ServiceReport::default();
    let mut keys = BTreeSet::new();
    let mut duplicates = BTreeSet::new();
    for sample in samples {
        let SampleKind::Service {
            key,
            repeat,
            executions,
        } = &sample.kind
        else {
            continue;
        };
        keys.insert(key);
        report.repeats += u64::from(*repeat);
        if executions.is_some_and(|executions| executions > 1) {
            duplicates.insert(key);
        }
        match &sample.end {
            End::Refused { .. } => report.not_run += 1,
            End::Failed {
                outcome: Outcome::Unknown,
                ..
            } => report.unknown += 1,
            _ => {}
        }
    }
    report.keys = keys.len() as u64;
    report.duplicates = duplicates.len() as u64;
    report
}

fn wrong_answers(samples: &[Sample]) -> Vec<WrongAnswerReport> {
    let wrong = samples.iter().filter_map(|sample| match &sample.end {
        End::WrongAnswer { problem } => Some(WrongAnswerReport {
            request_id: sample.request_id.clone(),
            problem: problem.clone(),
        }),
        _ => None,
    });
    wrong.take(WRONG_ANSWERS_LISTED).collect()
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    rounded(part as f64 / whole as f64)
}

/// To four decimals: more would only be noise in a report.
fn rounded(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}

fn millis(time: Duration) -> f64 {
    rounded(time.as_secs_f64() * 1000.0)
}
