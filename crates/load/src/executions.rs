//! Compares the executions that emulated services counted with the answers that
//! callers got.
//!
//! An answer covers only the executions before it. The services count every
//! execution of every idempotency key, so their final counts also reveal
//! duplicates that no answer reported, and executions of calls that were
//! answered with *not run*.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cyper::Client;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::sample::{End, Sample, SampleKind};

/// Number of executions of each idempotency key.
pub type ExecutionsByKey = BTreeMap<String, u64>;

/// Consistency of executions and answers in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ExecutionCheck {
    /// Distinct keys sent.
    pub keys: u64,
    /// Keys that were executed more than once.
    pub ran_more_than_once: u64,
    /// Keys that were executed although every call was answered with *not run*.
    pub ran_though_not_run: u64,
    /// Keys that were never executed although a call was answered as done.
    pub not_run_though_done: u64,
}

impl ExecutionCheck {
    /// Returns whether the executions of every key match the answers to its callers.
    #[must_use]
    pub const fn is_consistent(&self) -> bool {
        self.ran_more_than_once + self.ran_though_not_run + self.not_run_though_done == 0
    }
}

/// Failure to fetch the execution counts of a service.
#[derive(Debug, Error)]
#[error("counts of service {address}: {problem}")]
pub struct FetchCountersError {
    /// Address of the service.
    pub address: SocketAddr,
    /// Cause of the failure.
    #[source]
    pub problem: FetchCountersCause,
}

/// Cause of a failure to fetch a service's execution counts.
#[derive(Debug, Error)]
pub enum FetchCountersCause {
    /// The request failed or its answer is incomplete.
    #[error(transparent)]
    Http(#[from] cyper::Error),
    /// The answer does not match the expected JSON schema.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
}

#[derive(Deserialize)]
struct Counters {
    by_key: ExecutionsByKey,
}

/// Fetches the execution counts of all `services` and sums them by key.
///
/// # Errors
/// [`FetchCountersError`] when one of them does not answer, as the sum would lack its
/// executions.
pub async fn fetch(
    client: &Client,
    services: &[SocketAddr],
) -> Result<ExecutionsByKey, FetchCountersError> {
    let mut all = ExecutionsByKey::new();
    for address in services.iter().copied() {
        let counters = fetch_one(client, address)
            .await
            .map_err(|problem| FetchCountersError { address, problem })?;
        for (key, runs) in counters.by_key {
            *all.entry(key).or_default() += runs;
        }
    }
    Ok(all)
}

async fn fetch_one(client: &Client, address: SocketAddr) -> Result<Counters, FetchCountersCause> {
    let url = format!("http://{address}/control/counters");
    let body = client.get(url)?.send().await?.bytes().await?;
    Ok(serde_json::from_slice(&body)?)
}

/// Outcomes that the callers of one key were given.
struct ReportedOutcome {
    done: bool,
    all_not_run: bool,
}

/// Checks the service calls among `samples` against the counted executions.
#[must_use]
pub fn check(samples: &[Sample], runs: &ExecutionsByKey) -> ExecutionCheck {
    let reported = reported_by_key(samples);
    let mut check = ExecutionCheck {
        keys: reported.len() as u64,
        ..ExecutionCheck::default()
    };
    for (key, reported) in reported {
        let runs = runs.get(key).copied().unwrap_or_default();
        check.ran_more_than_once += u64::from(runs > 1);
        check.ran_though_not_run += u64::from(runs > 0 && reported.all_not_run);
        check.not_run_though_done += u64::from(runs == 0 && reported.done);
    }
    check
}

fn reported_by_key(samples: &[Sample]) -> BTreeMap<&str, ReportedOutcome> {
    let mut by_key: BTreeMap<&str, ReportedOutcome> = BTreeMap::new();
    for sample in samples {
        let SampleKind::Service { key, .. } = &sample.kind else {
            continue;
        };
        // A request that the generator did not send can't have been executed either.
        let not_run = matches!(
            sample.end,
            End::Refused { .. } | End::GeneratorFailure { .. }
        );
        let reported = by_key.entry(key).or_insert(ReportedOutcome {
            done: false,
            all_not_run: true,
        });
        reported.all_not_run &= not_run;
        reported.done |= sample.end == End::Done;
    }
    by_key
}
