//! Costs of the published configuration and instance list: of their size and of changes.

use std::time::{Duration, Instant};

use serde_json::Value;

use crate::control::{fit_all_costs, measure_idle};
use crate::fit::Series;
use crate::fleet::{Fleet, FleetSpec};
use crate::measure::cpu;
use crate::{BoxError, RunOptions};

/// Number of daemons that receive the changes. They are in two zones, so that some of them
/// receive a change from another daemon instead of the platform.
const DAEMONS: u16 = 8;

/// Interval between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Limit on the time until a change is in force at every daemon.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval at which a daemon is polled for the revision in force.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Varies the number of organisations in the configuration, without requests.
pub async fn organisations(options: &RunOptions) -> Result<Vec<Series>, BoxError> {
    let mut usages = Vec::new();
    for organisations in [10_usize, 100, 340, 1000] {
        let spec = FleetSpec {
            organisations,
            ..FleetSpec::default()
        };
        usages.push((organisations as f64, measure_idle(options, spec).await?));
    }
    Ok(fit_all_costs("organisations", "organisations", &usages))
}

/// Varies the number of listed instances: engines of a region without daemons.
pub async fn instances(options: &RunOptions) -> Result<Vec<Series>, BoxError> {
    let mut costs = ChangeCosts::new("instances", "instances listed");
    for remote_engines in [500_usize, 1500, 3000, 6000] {
        let spec = FleetSpec {
            daemons: DAEMONS,
            remote_engines,
            ..FleetSpec::default()
        };
        let fleet = Fleet::start(options, spec).await?;
        compio::time::sleep(options.settle_time()).await;
        let publish = |change| fleet.instances(change);
        let cost = measure_change_cost(options, &fleet, "instances", publish).await?;
        costs.add(remote_engines as f64, cost);
    }
    Ok(costs.series())
}

/// Varies the size of the configuration, up to about 1 MB.
pub async fn changes(options: &RunOptions) -> Result<Vec<Series>, BoxError> {
    let mut costs = ChangeCosts::new("changes", "bytes of the configuration");
    for organisations in [200_usize, 2000, 6000, 17_000] {
        let spec = FleetSpec {
            daemons: DAEMONS,
            organisations,
            ..FleetSpec::default()
        };
        let fleet = Fleet::start(options, spec).await?;
        compio::time::sleep(options.settle_time()).await;
        let publish = |change| fleet.configuration(organisations, change);
        let cost = measure_change_cost(options, &fleet, "configuration", publish).await?;
        costs.add(cost.value_bytes, cost);
    }
    Ok(costs.series())
}

/// Measures how long a change takes to reach all daemons of one region with two zones.
pub async fn propagation(options: &RunOptions) -> Result<Vec<Series>, BoxError> {
    let sizes: &[u16] = if options.quick {
        &[2, 4, 8, 16]
    } else {
        &[8, 16, 32, 64]
    };
    let changes = if options.quick { 2 } else { 8 };
    let (mut slowest, mut mean) = (Vec::new(), Vec::new());
    for &daemons in sizes {
        let spec = FleetSpec {
            daemons,
            ..FleetSpec::default()
        };
        let fleet = Fleet::start(options, spec).await?;
        compio::time::sleep(options.settle_time()).await;
        let mut times = Vec::new();
        for change in 1..=changes {
            let value = fleet.configuration(FleetSpec::default().organisations, change);
            let elapsed = publish_until_in_force(&fleet, "configuration", &value).await?;
            times.push(elapsed.as_secs_f64() * 1000.0);
            compio::time::sleep(CHANGE_INTERVAL).await;
        }
        let size = f64::from(daemons);
        slowest.push([size, times.iter().copied().fold(0.0, f64::max)]);
        mean.push([size, times.iter().sum::<f64>() / changes as f64]);
    }
    let x = "daemons of a region with two zones";
    Ok(vec![
        Series::fit(
            "spread",
            x,
            "time until in force everywhere, slowest, ms",
            slowest,
        ),
        Series::fit(
            "spread",
            x,
            "time until in force everywhere, mean, ms",
            mean,
        ),
    ])
}

/// Mean cost of one change for one daemon.
#[derive(Debug, Clone, Copy, Default)]
struct ChangeCost {
    value_bytes: f64,
    cpu_ms: f64,
    relayed_bytes: f64,
    resident_mb: f64,
    slowest_ms: f64,
}

/// Publishes changes one after the other and returns the mean of their costs.
///
/// The time until a change is in force and the processor time are measured on different
/// changes, since polling the daemons for the revision costs them processor time.
async fn measure_change_cost(
    options: &RunOptions,
    fleet: &Fleet,
    kind: &str,
    publish: impl Fn(u64) -> Value,
) -> Result<ChangeCost, BoxError> {
    let changes: u64 = if options.quick { 1 } else { 4 };
    let mut cost = ChangeCost {
        value_bytes: publish(1).to_string().len() as f64,
        ..ChangeCost::default()
    };
    for change in 1..=changes {
        let elapsed = publish_until_in_force(fleet, kind, &publish(change)).await?;
        cost.slowest_ms = cost.slowest_ms.max(elapsed.as_secs_f64() * 1000.0);
        compio::time::sleep(CHANGE_INTERVAL).await;
    }
    let idle_cpu = cpu_spent_during(fleet, changes, || async { Ok(()) }).await?;
    let mut number = changes;
    let values: Vec<Value> = (0..changes)
        .map(|_| {
            number += 1;
            publish(number)
        })
        .collect();
    let relayed_before = total_relayed_bytes(fleet).await?;
    let mut values = values.iter();
    let busy_cpu = cpu_spent_during(fleet, changes, || {
        let value = values.next();
        async move {
            match value {
                Some(value) => fleet.publish(kind, value).await,
                None => Ok(()),
            }
        }
    })
    .await?;
    let applied_changes = (changes as f64) * fleet.daemon_count() as f64;
    cost.cpu_ms =
        (busy_cpu.as_secs_f64() - idle_cpu.as_secs_f64()).max(0.0) * 1000.0 / applied_changes;
    cost.relayed_bytes = (total_relayed_bytes(fleet).await? - relayed_before) / applied_changes;
    for daemon in 0..fleet.daemon_count() {
        cost.resident_mb += crate::measure::resident_mb(fleet.pid(daemon))?;
    }
    cost.resident_mb /= fleet.daemon_count() as f64;
    Ok(cost)
}

/// Returns the processor time of all daemons while `action` runs `times` times, at
/// [`CHANGE_INTERVAL`].
async fn cpu_spent_during<F, A>(
    fleet: &Fleet,
    times: u64,
    mut action: A,
) -> Result<Duration, BoxError>
where
    A: FnMut() -> F,
    F: Future<Output = Result<(), BoxError>>,
{
    let before = cpu_of_all_daemons(fleet)?;
    for _ in 0..times {
        action().await?;
        compio::time::sleep(CHANGE_INTERVAL).await;
    }
    Ok(cpu_of_all_daemons(fleet)?.saturating_sub(before))
}

fn cpu_of_all_daemons(fleet: &Fleet) -> Result<Duration, BoxError> {
    (0..fleet.daemon_count())
        .map(|daemon| cpu(fleet.pid(daemon)))
        .sum()
}

/// Bytes of all calls between daemons, counted once, at the receiver.
async fn total_relayed_bytes(fleet: &Fleet) -> Result<f64, BoxError> {
    let mut bytes = 0.0;
    for daemon in 0..fleet.daemon_count() {
        let status = fleet.admin_client(daemon)?.get_json("/status").await?;
        let received = &status["peers"]["calls"]["bytes_received"];
        bytes += received.as_f64().unwrap_or_default();
    }
    Ok(bytes)
}

/// Publishes `value`, waits until it is in force at every daemon and returns how long that took.
async fn publish_until_in_force(
    fleet: &Fleet,
    kind: &str,
    value: &Value,
) -> Result<Duration, BoxError> {
    let before = revision(fleet, 0, kind).await?;
    let published = Instant::now();
    fleet.publish(kind, value).await?;
    for daemon in 0..fleet.daemon_count() {
        while revision(fleet, daemon, kind).await? == before {
            if published.elapsed() > CHANGE_TIMEOUT {
                return Err(
                    format!("daemon {daemon} did not apply a change of {kind} in time").into(),
                );
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(published.elapsed())
}

async fn revision(fleet: &Fleet, daemon: usize, kind: &str) -> Result<u64, BoxError> {
    let status = fleet.admin_client(daemon)?.get_json("/status").await?;
    let accepted = &status["platform"][kind]["accepted"]["revision"];
    accepted
        .as_u64()
        .ok_or_else(|| "the status has no accepted revision".into())
}

/// Label of a cost, with its unit, and the function that reads it.
type NamedCost = (&'static str, fn(&ChangeCost) -> f64);

/// Costs of a change at each measured size.
#[derive(Debug)]
struct ChangeCosts {
    name: &'static str,
    x: &'static str,
    points: Vec<(f64, ChangeCost)>,
}

impl ChangeCosts {
    fn new(name: &'static str, x: &'static str) -> Self {
        Self {
            name,
            x,
            points: Vec::new(),
        }
    }

    fn add(&mut self, x: f64, cost: ChangeCost) {
        self.points.push((x, cost));
    }

    fn series(&self) -> Vec<Series> {
        let costs: [NamedCost; 5] = [
            ("bytes of the value", |cost| cost.value_bytes),
            ("processor time of a change, ms", |cost| cost.cpu_ms),
            ("received from other daemons for a change, bytes", |cost| {
                cost.relayed_bytes
            }),
            ("resident memory after the changes, MB", |cost| {
                cost.resident_mb
            }),
            ("time until in force everywhere, slowest, ms", |cost| {
                cost.slowest_ms
            }),
        ];
        let series = costs.iter().map(|(y, value)| {
            let points = self.points.iter().map(|(x, cost)| [*x, value(cost)]);
            Series::fit(self.name, self.x, y, points.collect())
        });
        series.collect()
    }
}
