//! What the emulated services counted, against what callers were told.
//!
//! An answer can only tell of the runs before it. The services count every run
//! of every key, so their counts at the end show a double that no answer told
//! of, and a run of what was said not to have run.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cyper::Client;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::sample::{End, Sample, SampleKind};

/// Runs of each idempotency key.
pub type RunsByKey = BTreeMap<String, u64>;

/// Verdict on the keys of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CountedServices {
    /// Distinct keys sent.
    pub keys: u64,
    /// Keys that ran more than once.
    pub ran_more_than_once: u64,
    /// Keys that ran though every call was answered with *not run*.
    pub ran_though_not_run: u64,
    /// Keys that did not run though a call was answered as done.
    pub not_run_though_done: u64,
}

impl CountedServices {
    /// Whether every key ran as its callers were told.
    #[must_use]
    pub const fn is_right(&self) -> bool {
        self.ran_more_than_once + self.ran_though_not_run + self.not_run_though_done == 0
    }
}

/// Service whose counts were not read.
#[derive(Debug, Error)]
#[error("counts of service {address}: {problem}")]
pub struct CountsError {
    /// Address of the service.
    pub address: SocketAddr,
    /// What went wrong.
    #[source]
    pub problem: CountsProblem,
}

/// Why a service's counts were not read.
#[derive(Debug, Error)]
pub enum CountsProblem {
    /// No whole answer.
    #[error(transparent)]
    Http(#[from] cyper::Error),
    /// Answer of another shape.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
}

#[derive(Deserialize)]
struct Counters {
    by_key: RunsByKey,
}

/// Reads the counts of all `services` and adds them up.
///
/// # Errors
/// [`CountsError`] when one of them does not answer: its runs would be missing.
pub async fn read(client: &Client, services: &[SocketAddr]) -> Result<RunsByKey, CountsError> {
    let mut all = RunsByKey::new();
    for address in services.iter().copied() {
        let counters = read_one(client, address)
            .await
            .map_err(|problem| CountsError { address, problem })?;
        for (key, runs) in counters.by_key {
            *all.entry(key).or_default() += runs;
        }
    }
    Ok(all)
}

async fn read_one(client: &Client, address: SocketAddr) -> Result<Counters, CountsProblem> {
    let url = format!("http://{address}/control/counters");
    let body = client.get(url)?.send().await?.bytes().await?;
    Ok(serde_json::from_slice(&body)?)
}

/// What the callers of one key were told.
struct Told {
    done: bool,
    only_not_run: bool,
}

/// Judges the service calls among `samples` by the runs counted.
#[must_use]
pub fn judge(samples: &[Sample], runs: &RunsByKey) -> CountedServices {
    let told = told_by_key(samples);
    let mut counted = CountedServices {
        keys: told.len() as u64,
        ..CountedServices::default()
    };
    for (key, told) in told {
        let runs = runs.get(key).copied().unwrap_or_default();
        counted.ran_more_than_once += u64::from(runs > 1);
        counted.ran_though_not_run += u64::from(runs > 0 && told.only_not_run);
        counted.not_run_though_done += u64::from(runs == 0 && told.done);
    }
    counted
}

fn told_by_key(samples: &[Sample]) -> BTreeMap<&str, Told> {
    let mut by_key: BTreeMap<&str, Told> = BTreeMap::new();
    for sample in samples {
        let SampleKind::Service { key, .. } = &sample.kind else {
            continue;
        };
        // A request that the generator did not send can't have run either.
        let not_run = matches!(
            sample.end,
            End::Refused { .. } | End::GeneratorFailure { .. }
        );
        let told = by_key.entry(key).or_insert(Told {
            done: false,
            only_not_run: true,
        });
        told.only_not_run &= not_run;
        told.done |= sample.end == End::Done;
    }
    by_key
}
