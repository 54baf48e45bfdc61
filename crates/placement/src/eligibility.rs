//! Conditions under which an engine can't take a request or takes fewer.

use mangofront_settings::ids::InstanceId;

use crate::engine::Engine;
use crate::estimate::DecisionContext;
use crate::explain::SelectionReason;
use crate::model::Model;
use crate::request::PlacementRequest;

/// Reported KV memory is clamped to within this factor of the model's median.
const MAX_KV_FACTOR: u64 = 4;

/// Returns why the engine can't be selected, or `None` if it is eligible.
pub(crate) fn ineligible_reason(
    engine: &Engine,
    context: &DecisionContext<'_>,
    excluded: &[InstanceId],
) -> Option<SelectionReason> {
    if engine.is_leaving(context.now) {
        Some(SelectionReason::Leaving)
    } else if engine.health.refuses_as_loading(context.now) {
        Some(SelectionReason::Loading)
    } else if excluded.contains(&engine.info.instance) {
        Some(SelectionReason::Excluded)
    } else if kv_tokens(engine, context).is_some_and(|kv| needed_tokens(context.request) > kv) {
        Some(SelectionReason::TooSmall)
    } else if engine.health.is_ejected() {
        Some(SelectionReason::Ejected)
    } else if engine.health.is_unreachable() {
        Some(SelectionReason::Unreachable)
    } else {
        None
    }
}

/// Whether an engine should get no more requests for now if others can take
/// them: it is busy, being probed or in slow start.
pub(crate) fn is_held_back(
    engine: &Engine,
    context: &DecisionContext<'_>,
    mean_outstanding: f64,
) -> bool {
    let health = &engine.health;
    if health.is_busy(context.now) {
        return true;
    }
    let outstanding = f64::from(engine.own.outstanding());
    if health.is_probing() {
        return outstanding >= 1.0;
    }
    let share = health.work_share(context.now);
    share < 1.0 && outstanding >= 1.0 + share * mean_outstanding
}

/// Mean number of this daemon's outstanding requests per engine of the model.
pub(crate) fn mean_outstanding(model: &Model) -> f64 {
    let engines = model.order.iter();
    let sum: u32 = engines
        .map(|engine| engine.borrow().own.outstanding())
        .sum();
    f64::from(sum) / model.order.len().max(1) as f64
}

/// KV memory that a request occupies while it runs, in tokens.
pub(crate) fn needed_tokens(request: &PlacementRequest) -> u64 {
    request
        .length_tokens
        .saturating_add(u64::from(request.max_tokens))
}

/// Reported KV memory of an engine in tokens, clamped to a range around the
/// model's median; the median when nothing was reported.
pub(crate) fn kv_tokens(engine: &Engine, context: &DecisionContext<'_>) -> Option<u64> {
    let reported = engine.kv_total_tokens();
    let Some(median_tokens) = context.medians.kv_total_tokens else {
        return reported;
    };
    let reported = reported.unwrap_or(median_tokens);
    Some(reported.clamp(
        median_tokens / MAX_KV_FACTOR,
        median_tokens.saturating_mul(MAX_KV_FACTOR),
    ))
}
