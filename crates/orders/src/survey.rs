//! What all engines of a model are doing, read from themselves.
//!
//! Read only while an engine of this daemon waits to load, and shared by the
//! tasks that wait. A survey that is a moment old is safe: whoever has its turn
//! keeps it until it reports that it is done, so an old survey can only delay.

use std::time::Instant;

use futures_util::future::join_all;
use mangofront_settings::ids::ModelName;

use crate::desired::DesiredState;
use crate::exchange::read_state;
use crate::message::{EngineReport, LoadState};
use crate::shared::Shared;
use crate::turn::{Condition, Standing};
use crate::view::{OrdersEngine, OrdersView};

/// Surveys of one view's models.
pub(crate) type Survey = (Instant, Vec<(OrdersEngine, Option<EngineReport>)>);

/// Standings of all engines of `model` that stay.
pub(crate) async fn survey(shared: &Shared, view: &OrdersView, model: &ModelName) -> Vec<Standing> {
    let fresh = |survey: &&Survey| survey.0.elapsed() < shared.options.poll_interval / 2;
    let kept = shared.surveys.borrow().get(model).filter(fresh).cloned();
    let read = match kept {
        Some((_, read)) => read,
        None => read_all(shared, view, model).await,
    };
    let standings = read.iter().map(|(engine, report)| Standing {
        instance: engine.instance.clone(),
        availability_zone: engine.availability_zone.clone(),
        condition: condition(view, engine, report.as_ref()),
    });
    standings.collect()
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
    let read = join_all(reads).await;
    let survey = (started, read.clone());
    shared.surveys.borrow_mut().insert(model.clone(), survey);
    read
}

fn condition(view: &OrdersView, engine: &OrdersEngine, report: Option<&EngineReport>) -> Condition {
    let Some(report) = report else {
        return Condition::Unknown;
    };
    if report.state == LoadState::Loading {
        return Condition::Loading;
    }
    let missing = DesiredState::of(view, engine).and_then(|desired| desired.next_load(report));
    match missing {
        Some(_) => Condition::Needing,
        None => Condition::Settled,
    }
}
