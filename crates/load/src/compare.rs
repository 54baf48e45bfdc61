//! Comparison of reports: slowdown of short prompts, ratio to an idle engine, and
//! all numbers that differ.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::idle::IdleReport;
use crate::report::{LengthBucket, Report};

/// Reports that can't be compared.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CompareError {
    /// The pair is not one report with long prompts and one without.
    #[error("exactly one of the two reports must be of a run with --without-long")]
    NotAPair,
    /// The runs have different schedules.
    #[error("the runs differ in {0}")]
    OtherRun(&'static str),
    /// A group has no time to first token.
    #[error("no first token among {0}")]
    NoSamples(&'static str),
}

/// Returns the slowdown of the short prompts: their time to first token at p95 in the run
/// with long prompts, divided by that of the run without.
///
/// # Errors
/// [`CompareError`] when the reports are not of the same schedule with and
/// without long prompts.
pub fn slowdown(one: &Report, other: &Report) -> Result<f64, CompareError> {
    let (with, without) = match (one.run.without_long, other.run.without_long) {
        (false, true) => (one, other),
        (true, false) => (other, one),
        _ => return Err(CompareError::NotAPair),
    };
    same_schedule(with, without)?;
    Ok(short_p95_ms(with)? / short_p95_ms(without)?)
}

fn same_schedule(one: &Report, other: &Report) -> Result<(), CompareError> {
    if one.run.scenario != other.run.scenario {
        return Err(CompareError::OtherRun("scenario"));
    }
    if one.run.seed != other.run.seed {
        return Err(CompareError::OtherRun("seed"));
    }
    if one.run.rate_per_s != other.run.rate_per_s {
        return Err(CompareError::OtherRun("rate"));
    }
    if one.run.time_scale != other.run.time_scale {
        return Err(CompareError::OtherRun("time scale"));
    }
    Ok(())
}

fn short_p95_ms(report: &Report) -> Result<f64, CompareError> {
    let short = report.by_length.get(&LengthBucket::UpTo4k);
    let times = short.map(|short| short.time_to_first_token);
    match times {
        Some(times) if times.count > 0 => Ok(times.p95_ms),
        _ => Err(CompareError::NoSamples("short prompts")),
    }
}

/// Ratios of times to first token to those of an idle engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IdleRatio {
    /// Geometric mean of the ratios over all buckets.
    pub geometric_mean: f64,
    /// Ratio of the 95th percentiles in each bucket.
    pub by_length: BTreeMap<LengthBucket, f64>,
    /// Buckets without a first token in the run or the idle measurement.
    pub left_out: Vec<LengthBucket>,
}

/// Compares the times to first token of a run with those of an idle engine.
///
/// # Errors
/// [`CompareError`] when no bucket has first tokens in both.
pub fn idle_ratio(report: &Report, idle: &IdleReport) -> Result<IdleRatio, CompareError> {
    let mut by_length = BTreeMap::new();
    let mut left_out = Vec::new();
    for (bucket, loaded) in &report.by_length {
        let loaded = loaded.time_to_first_token;
        let idle = idle
            .by_length
            .get(bucket)
            .map(|idle| idle.time_to_first_token);
        match idle.filter(|idle| idle.count > 0 && loaded.count > 0) {
            Some(idle) => {
                by_length.insert(*bucket, loaded.p95_ms / idle.p95_ms);
            }
            None => left_out.push(*bucket),
        }
    }
    if by_length.is_empty() {
        return Err(CompareError::NoSamples("buckets that both have"));
    }
    let logarithms: f64 = by_length.values().map(|ratio| ratio.ln()).sum();
    Ok(IdleRatio {
        geometric_mean: (logarithms / by_length.len() as f64).exp(),
        by_length,
        left_out,
    })
}

/// A numeric field that differs between two reports.
#[derive(Debug, Clone, PartialEq)]
pub struct Difference {
    /// Path of the field, separated by dots.
    pub field: String,
    /// Value in the first report.
    pub before: f64,
    /// Value in the second report.
    pub after: f64,
}

/// Returns every number that differs between two reports, ordered by path; a
/// missing number counts as 0.
#[must_use]
pub fn differences(before: &Value, after: &Value) -> Vec<Difference> {
    let mut fields = BTreeMap::new();
    flatten(before, String::new(), &mut |field, value| {
        fields.entry(field).or_insert([0.0; 2])[0] = value;
    });
    flatten(after, String::new(), &mut |field, value| {
        fields.entry(field).or_insert([0.0; 2])[1] = value;
    });
    let differing = fields
        .into_iter()
        .filter(|(_, [before, after])| before != after);
    differing
        .map(|(field, [before, after])| Difference {
            field,
            before,
            after,
        })
        .collect()
}

fn flatten(value: &Value, path: String, found: &mut impl FnMut(String, f64)) {
    match value {
        Value::Number(number) => found(path, number.as_f64().unwrap_or_default()),
        Value::Object(fields) => {
            for (name, value) in fields {
                let separator = if path.is_empty() { "" } else { "." };
                flatten(value, format!("{path}{separator}{name}"), found);
            }
        }
        Value::Null | Value::Bool(_) | Value::String(_) | Value::Array(_) => {}
    }
}
