//! States of all engines of a model, as the engines report them.
//!
//! They are read only while an engine of this daemon waits to load, and are cached
//! for all tasks that wait. A slightly stale report is safe: an engine keeps its
//! turn until it reports its desired state, so staleness can only delay a load.

use std::time::Instant;

use futures_util::future::join_all;
use mangofront_settings::ids::ModelName;

use crate::client::read_state;
use crate::desired::DesiredState;
use crate::message::{EngineReport, LoadState};
use crate::shared::Shared;
use crate::turn::{EngineState, LoadCondition};
use crate::view::{OrdersEngine, OrdersView};

/// Start of a read of all engines of a model, and their reports.
pub(crate) type CachedReports = (Instant, Vec<(OrdersEngine, Option<EngineReport>)>);

/// States of all engines of `model` that are not leaving.
pub(crate) async fn engine_states(
    shared: &Shared,
    view: &OrdersView,
    model: &ModelName,
) -> Vec<EngineState> {
    let fresh = |cached: &&CachedReports| cached.0.elapsed() < shared.options.poll_interval / 2;
    let cached = shared
        .cached_reports
        .borrow()
        .get(model)
        .filter(fresh)
        .cloned();
    let reports = match cached {
        Some((_, reports)) => reports,
        None => read_all(shared, view, model).await,
    };
    let states = reports.iter().map(|(engine, report)| EngineState {
        instance: engine.instance.clone(),
        availability_zone: engine.availability_zone.clone(),
        condition: condition(view, engine, report.as_ref()),
    });
    states.collect()
}

async fn read_all(
    shared: &Shared,
    view: &OrdersView,
    model: &ModelName,
) -> Vec<(OrdersEngine, Option<EngineReport>)> {
    let started = Instant::now();
    let deadline = started + shared.options.order_timeout;
    let of_model = |engine: &&OrdersEngine| engine.model == *model && !engine.leaving;
    let engines = view.engines.iter().filter(of_model).cloned();
    let reads = engines.map(async |engine| {
        let connections = &shared.options.connections;
        let read = read_state(connections, &engine.target(), deadline).await;
        (engine, read.ok())
    });
    let reports = join_all(reads).await;
    let cached = (started, reports.clone());
    shared
        .cached_reports
        .borrow_mut()
        .insert(model.clone(), cached);
    reports
}

fn condition(
    view: &OrdersView,
    engine: &OrdersEngine,
    report: Option<&EngineReport>,
) -> LoadCondition {
    let Some(report) = report else {
        return LoadCondition::Unknown;
    };
    if report.state == LoadState::Loading {
        return LoadCondition::Loading;
    }
    let missing = DesiredState::of(view, engine).and_then(|desired| desired.next_load(report));
    match missing {
        Some(_) => LoadCondition::NeedsLoad,
        None => LoadCondition::Settled,
    }
}
