//! What keeps a request from an engine.

use mangofront_settings::ids::InstanceId;

use crate::demand::PlacementRequest;
use crate::engine::Engine;
use crate::estimate::Asked;
use crate::explain::SelectionReason;
use crate::model::Model;

/// Engines' memory is believed up to this many times the typical, either way.
const KV_BELIEF: u64 = 4;

/// Why an engine can't be taken, if so.
pub(crate) fn barred(
    engine: &Engine,
    asked: &Asked<'_>,
    excluded: &[InstanceId],
) -> Option<SelectionReason> {
    if engine.is_leaving(asked.now) {
        Some(SelectionReason::Leaving)
    } else if engine.health.refuses_as_loading(asked.now) {
        Some(SelectionReason::Loading)
    } else if excluded.contains(&engine.info.instance) {
        Some(SelectionReason::Excluded)
    } else if kv_tokens(engine, asked).is_some_and(|kv| needed_tokens(asked.demand) > kv) {
        Some(SelectionReason::TooSmall)
    } else if engine.health.is_ejected() {
        Some(SelectionReason::Ejected)
    } else if engine.health.is_unreachable() {
        Some(SelectionReason::Unreachable)
    } else {
        None
    }
}

/// Whether an engine should get no more for the moment, if others can.
pub(crate) fn held_back(engine: &Engine, asked: &Asked<'_>, mean_outstanding: f64) -> bool {
    let health = &engine.health;
    if health.is_busy(asked.now) {
        return true;
    }
    let outstanding = f64::from(engine.own.outstanding());
    if health.is_probing() {
        return outstanding >= 1.0;
    }
    let share = health.share(asked.now);
    share < 1.0 && outstanding >= 1.0 + share * mean_outstanding
}

/// Mean number of own requests outstanding on a model's engines.
pub(crate) fn mean_outstanding(model: &Model) -> f64 {
    let engines = model.order.iter();
    let sum: u32 = engines
        .map(|engine| engine.borrow().own.outstanding())
        .sum();
    f64::from(sum) / model.order.len().max(1) as f64
}

/// Memory that a request takes while it runs, in tokens.
pub(crate) fn needed_tokens(demand: &PlacementRequest) -> u64 {
    demand
        .length_tokens
        .saturating_add(u64::from(demand.max_tokens))
}

/// An engine's memory as far as it is believed, in tokens.
pub(crate) fn kv_tokens(engine: &Engine, asked: &Asked<'_>) -> Option<u64> {
    let reported = engine.kv_total_tokens();
    let Some(typical) = asked.typical.kv_total_tokens else {
        return reported;
    };
    let reported = reported.unwrap_or(typical);
    Some(reported.clamp(typical / KV_BELIEF, typical.saturating_mul(KV_BELIEF)))
}
