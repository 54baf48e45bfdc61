//! Aggregation of requests by organisation and of service calls.

use std::collections::{BTreeMap, BTreeSet};

use mangofront_http::Outcome;

use super::rounding::{rounded, share};
use super::{Fairness, OrganisationShare, ServiceReport};
use crate::sample::{End, Sample, SampleKind};

/// Returns the shares of the organisations' requests that were done.
pub(super) fn fairness(samples: &[Sample]) -> Fairness {
    let mut organisations: BTreeMap<String, OrganisationShare> = BTreeMap::new();
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

/// Counts the service calls by their answers.
pub(super) fn services(samples: &[Sample]) -> ServiceReport {
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
