//! Resource use of idle daemons, measured against the size of the fleet.

use crate::fit::Series;
use crate::fleet::{Fleet, FleetSpec};
use crate::measure::{Usage, measure};
use crate::{BoxError, RunOptions};

/// Label of each cost, with its unit, and the function that reads it.
type Costs = [(&'static str, fn(&Usage) -> f64)];

const COSTS: &Costs = &[
    ("processor time, ms/s", |usage| usage.cpu_ms_per_s),
    ("resident memory, MB", |usage| usage.resident_mb),
    ("gossip both ways, bytes/s", |usage| {
        usage.gossip_bytes_per_s
    }),
    ("calls between daemons, bytes/s", |usage| {
        usage.calls_bytes_per_s
    }),
    ("calls to engines both ways, bytes/s", |usage| {
        usage.engines_bytes_per_s
    }),
    ("calls to engines, 1/s", |usage| usage.engine_calls_per_s),
    ("calls to the platform, 1/min", |usage| {
        usage.platform_calls_per_min
    }),
];

/// Varies the number of daemons, which are spread over two regions with two zones each.
pub async fn daemons(options: &RunOptions) -> Result<Vec<Series>, BoxError> {
    let sizes: &[u16] = if options.quick {
        &[2, 4, 8, 16]
    } else {
        &[2, 4, 8, 16, 32, 64]
    };
    let mut usages = Vec::new();
    for daemons in sizes {
        let spec = FleetSpec {
            daemons: *daemons,
            regions: 2,
            ..FleetSpec::default()
        };
        usages.push((f64::from(*daemons), measure_idle(options, spec).await?));
    }
    Ok(fit_all_costs("daemons", "daemons", &usages))
}

/// Varies the number of daemons of one region whose voters lost their records.
pub async fn voters(options: &RunOptions) -> Result<Vec<Series>, BoxError> {
    let mut usages = Vec::new();
    for daemons in [2_u16, 4, 8, 16] {
        let spec = FleetSpec {
            daemons,
            first_start_declared: false,
            ..FleetSpec::default()
        };
        usages.push((f64::from(daemons), measure_idle(options, spec).await?));
    }
    let mut series = fit_all_costs("voters", "daemons that await the window", &usages);
    series.retain(|fit| fit.y.contains("processor") || fit.y.contains("between daemons"));
    Ok(series)
}

/// Varies the number of idle engines whose load each daemon tracks.
pub async fn engines(options: &RunOptions) -> Result<Vec<Series>, BoxError> {
    let sizes: &[u16] = if options.quick {
        &[10, 50, 200, 1000]
    } else {
        &[10, 50, 200, 400, 1000]
    };
    let mut usages = Vec::new();
    for &engines in sizes {
        let spec = FleetSpec {
            engines,
            ..FleetSpec::default()
        };
        usages.push((f64::from(engines), measure_idle(options, spec).await?));
    }
    Ok(fit_all_costs("engines", "engines of the region", &usages))
}

/// Starts a fleet and measures its daemons while there are no requests.
pub async fn measure_idle(options: &RunOptions, spec: FleetSpec) -> Result<Usage, BoxError> {
    let fleet = Fleet::start(options, spec).await?;
    compio::time::sleep(options.settle_time()).await;
    measure(&fleet, options.measurement_window()).await
}

/// Fits a series for each cost of [`COSTS`].
pub fn fit_all_costs(name: &str, x: &str, usages: &[(f64, Usage)]) -> Vec<Series> {
    let series = COSTS.iter().map(|(y, cost)| {
        let points = usages.iter().map(|(size, usage)| [*size, cost(usage)]);
        Series::fit(name, x, y, points.collect())
    });
    series.collect()
}
