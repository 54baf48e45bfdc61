//! Control costs of idle daemons, against the sizes of the fleet.

use crate::fit::Series;
use crate::fleet::{Fleet, Shape};
use crate::measure::{Use, measure};
use crate::{Failure, Plan};

/// Costs that are plotted for each size.
type Costs = [(&'static str, fn(&Use) -> f64)];

const COSTS: &Costs = &[
    ("processor time, ms/s", |one| one.cpu_ms_per_s),
    ("resident memory, MB", |one| one.resident_mb),
    ("gossip both ways, bytes/s", |one| one.gossip_bytes_per_s),
    ("calls between daemons, bytes/s", |one| {
        one.calls_bytes_per_s
    }),
    ("calls to engines both ways, bytes/s", |one| {
        one.engines_bytes_per_s
    }),
    ("calls to engines, 1/s", |one| one.engine_calls_per_s),
    ("calls to the platform, 1/min", |one| {
        one.platform_calls_per_min
    }),
];

/// Number of daemons, in two regions with two zones each.
pub async fn daemons(plan: &Plan) -> Result<Vec<Series>, Failure> {
    let sizes: &[u16] = if plan.quick {
        &[2, 4, 8, 16]
    } else {
        &[2, 4, 8, 16, 32, 64]
    };
    let mut uses = Vec::new();
    for daemons in sizes {
        let shape = Shape {
            daemons: *daemons,
            regions: 2,
            ..Shape::default()
        };
        uses.push((f64::from(*daemons), idle(plan, shape).await?));
    }
    Ok(all_series("daemons", "daemons", &uses))
}

/// Number of daemons of one region whose voters lost their records.
pub async fn voters(plan: &Plan) -> Result<Vec<Series>, Failure> {
    let mut uses = Vec::new();
    for daemons in [2_u16, 4, 8, 16] {
        let shape = Shape {
            daemons,
            vouched: false,
            ..Shape::default()
        };
        uses.push((f64::from(daemons), idle(plan, shape).await?));
    }
    let mut series = all_series("voters", "daemons that await the window", &uses);
    series.retain(|one| one.y.contains("processor") || one.y.contains("between daemons"));
    Ok(series)
}

/// Number of engines that each daemon follows, all idle.
pub async fn engines(plan: &Plan) -> Result<Vec<Series>, Failure> {
    let sizes: &[u16] = if plan.quick {
        &[10, 50, 200, 1000]
    } else {
        &[10, 50, 200, 400, 1000]
    };
    let mut uses = Vec::new();
    for &engines in sizes {
        let shape = Shape {
            engines,
            ..Shape::default()
        };
        uses.push((f64::from(engines), idle(plan, shape).await?));
    }
    Ok(all_series("engines", "engines of the region", &uses))
}

/// Use of a fleet without requests.
pub async fn idle(plan: &Plan, shape: Shape) -> Result<Use, Failure> {
    let fleet = Fleet::start(plan, shape).await?;
    compio::time::sleep(plan.settle()).await;
    measure(&fleet, plan.window()).await
}

/// A series for each cost.
pub fn all_series(name: &str, x: &str, uses: &[(f64, Use)]) -> Vec<Series> {
    let series = COSTS.iter().map(|(y, cost)| {
        let points = uses.iter().map(|(size, used)| [*size, cost(used)]);
        Series::fit(name, x, y, points.collect())
    });
    series.collect()
}
