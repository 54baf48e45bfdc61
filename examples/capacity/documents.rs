//! Costs of the published values: their size and their changes.

use std::time::{Duration, Instant};

use serde_json::Value;

use crate::control::{all_series, idle};
use crate::fit::Series;
use crate::fleet::{Fleet, Shape};
use crate::measure::cpu;
use crate::{Failure, Plan};

/// Daemons that take the changes: two zones, so that some learn by relay.
const DAEMONS: u16 = 8;

/// Pause between two changes.
const CHANGE_PAUSE: Duration = Duration::from_secs(1);

/// Time for a change to be in force everywhere before the run fails.
const CHANGE_LIMIT: Duration = Duration::from_secs(60);

/// Pause between looks whether a change is in force.
const LOOK_PAUSE: Duration = Duration::from_millis(10);

/// Organisations in the configuration, without requests.
pub async fn organisations(plan: &Plan) -> Result<Vec<Series>, Failure> {
    let mut uses = Vec::new();
    for organisations in [10_usize, 100, 340, 1000] {
        let shape = Shape {
            organisations,
            ..Shape::default()
        };
        uses.push((organisations as f64, idle(plan, shape).await?));
    }
    Ok(all_series("organisations", "organisations", &uses))
}

/// Instances in the list: engines of another region, which nobody reads.
pub async fn instances(plan: &Plan) -> Result<Vec<Series>, Failure> {
    let mut costs = Changes::new("instances", "instances listed");
    for far_engines in [500_usize, 1500, 3000, 6000] {
        let shape = Shape {
            daemons: DAEMONS,
            far_engines,
            ..Shape::default()
        };
        let fleet = Fleet::start(plan, shape).await?;
        compio::time::sleep(plan.settle()).await;
        let publish = |change| fleet.instances(change);
        let cost = change_cost(plan, &fleet, "instances", publish).await?;
        costs.add(far_engines as f64, cost);
    }
    Ok(costs.series())
}

/// Size of the configuration up to a megabyte.
pub async fn changes(plan: &Plan) -> Result<Vec<Series>, Failure> {
    let mut costs = Changes::new("changes", "bytes of the configuration");
    for organisations in [200_usize, 2000, 6000, 17_000] {
        let shape = Shape {
            daemons: DAEMONS,
            organisations,
            ..Shape::default()
        };
        let fleet = Fleet::start(plan, shape).await?;
        compio::time::sleep(plan.settle()).await;
        let publish = |change| fleet.configuration(organisations, change);
        let cost = change_cost(plan, &fleet, "configuration", publish).await?;
        costs.add(cost.value_bytes, cost);
    }
    Ok(costs.series())
}

/// Time of a change to all daemons of one region with two zones.
pub async fn spread(plan: &Plan) -> Result<Vec<Series>, Failure> {
    let sizes: &[u16] = if plan.quick {
        &[2, 4, 8, 16]
    } else {
        &[8, 16, 32, 64]
    };
    let changes = if plan.quick { 2 } else { 8 };
    let (mut slowest, mut mean) = (Vec::new(), Vec::new());
    for &daemons in sizes {
        let shape = Shape {
            daemons,
            ..Shape::default()
        };
        let fleet = Fleet::start(plan, shape).await?;
        compio::time::sleep(plan.settle()).await;
        let mut times = Vec::new();
        for change in 1..=changes {
            let value = fleet.configuration(Shape::default().organisations, change);
            let taken = time_in_force(&fleet, "configuration", &value).await?;
            times.push(taken.as_secs_f64() * 1000.0);
            compio::time::sleep(CHANGE_PAUSE).await;
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

/// What one change cost a daemon.
#[derive(Debug, Clone, Copy, Default)]
struct Cost {
    value_bytes: f64,
    cpu_ms: f64,
    relayed_bytes: f64,
    resident_mb: f64,
    slowest_ms: f64,
}

/// Publishes changes one after the other; the mean of their costs.
///
/// The time until a change is in force is that of other changes than those
/// whose processor time counts, since looking costs some.
async fn change_cost(
    plan: &Plan,
    fleet: &Fleet,
    kind: &str,
    publish: impl Fn(u64) -> Value,
) -> Result<Cost, Failure> {
    let changes: u64 = if plan.quick { 1 } else { 4 };
    let mut cost = Cost {
        value_bytes: publish(1).to_string().len() as f64,
        ..Cost::default()
    };
    for change in 1..=changes {
        let taken = time_in_force(fleet, kind, &publish(change)).await?;
        cost.slowest_ms = cost.slowest_ms.max(taken.as_secs_f64() * 1000.0);
        compio::time::sleep(CHANGE_PAUSE).await;
    }
    let quiet = spent(fleet, changes, || async { Ok(()) }).await?;
    let mut number = changes;
    let values: Vec<Value> = (0..changes)
        .map(|_| {
            number += 1;
            publish(number)
        })
        .collect();
    let relayed_before = relayed(fleet).await?;
    let mut values = values.iter();
    let busy = spent(fleet, changes, || {
        let value = values.next();
        async move {
            match value {
                Some(value) => fleet.publish(kind, value).await,
                None => Ok(()),
            }
        }
    })
    .await?;
    let each = (changes as f64) * fleet.daemon_count() as f64;
    cost.cpu_ms = (busy.as_secs_f64() - quiet.as_secs_f64()).max(0.0) * 1000.0 / each;
    cost.relayed_bytes = (relayed(fleet).await? - relayed_before) / each;
    for daemon in 0..fleet.daemon_count() {
        cost.resident_mb += crate::measure::resident_mb(fleet.pid(daemon))?;
    }
    cost.resident_mb /= fleet.daemon_count() as f64;
    Ok(cost)
}

/// Processor time of all daemons while `act` runs `times`, a pause apart.
async fn spent<F, A>(fleet: &Fleet, times: u64, mut act: A) -> Result<Duration, Failure>
where
    A: FnMut() -> F,
    F: Future<Output = Result<(), Failure>>,
{
    let before = cpu_of(fleet)?;
    for _ in 0..times {
        act().await?;
        compio::time::sleep(CHANGE_PAUSE).await;
    }
    Ok(cpu_of(fleet)?.saturating_sub(before))
}

fn cpu_of(fleet: &Fleet) -> Result<Duration, Failure> {
    (0..fleet.daemon_count())
        .map(|daemon| cpu(fleet.pid(daemon)))
        .sum()
}

/// Bytes that all daemons carried between them, each counted once.
async fn relayed(fleet: &Fleet) -> Result<f64, Failure> {
    let mut bytes = 0.0;
    for daemon in 0..fleet.daemon_count() {
        let status = fleet.operator(daemon)?.get_json("/status").await?;
        let received = &status["peers"]["calls"]["bytes_received"];
        bytes += received.as_f64().unwrap_or_default();
    }
    Ok(bytes)
}

/// Publishes `value` and waits until every daemon has it.
async fn time_in_force(fleet: &Fleet, kind: &str, value: &Value) -> Result<Duration, Failure> {
    let before = revision(fleet, 0, kind).await?;
    let published = Instant::now();
    fleet.publish(kind, value).await?;
    for daemon in 0..fleet.daemon_count() {
        while revision(fleet, daemon, kind).await? == before {
            if published.elapsed() > CHANGE_LIMIT {
                return Err(format!("daemon {daemon} has not taken a change of {kind}").into());
            }
            compio::time::sleep(LOOK_PAUSE).await;
        }
    }
    Ok(published.elapsed())
}

async fn revision(fleet: &Fleet, daemon: usize, kind: &str) -> Result<u64, Failure> {
    let status = fleet.operator(daemon)?.get_json("/status").await?;
    let accepted = &status["platform"][kind]["accepted"]["revision"];
    accepted.as_u64().ok_or_else(|| "no revision".into())
}

/// What a cost is, with its unit, and where it stands.
type NamedCost = (&'static str, fn(&Cost) -> f64);

/// Points of all costs of a change.
#[derive(Debug)]
struct Changes {
    name: &'static str,
    x: &'static str,
    points: Vec<(f64, Cost)>,
}

impl Changes {
    fn new(name: &'static str, x: &'static str) -> Self {
        Self {
            name,
            x,
            points: Vec::new(),
        }
    }

    fn add(&mut self, x: f64, cost: Cost) {
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
