//! Explanation of a decision and status of the placement, for operators.

use std::rc::Rc;
use std::time::Instant;

use mangofront_settings::ids::{AvailabilityZone, InstanceId, ModelName};
use serde::Serialize;

use crate::choose::{Candidate, Choice};
use crate::engine::Engine;
use crate::model::SharedEngine;
use crate::request::{Estimate, GroupMember, NoEngine};
use crate::state::PlacementState;

/// Result of a decision with the evaluation of each engine.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Explanation {
    /// Requested model.
    pub model: ModelName,
    /// Engine that would be selected.
    pub chosen: Option<InstanceId>,
    /// Members, if the prompt needs a group of engines.
    pub group: Option<Vec<GroupMember>>,
    /// Why no engine would be selected.
    pub refused: Option<NoEngine>,
    /// All engines of the model in stable order, the short end first.
    pub considered: Vec<CandidateEngine>,
}

/// Evaluation of one engine.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CandidateEngine {
    /// Engine's instance.
    pub instance: InstanceId,
    /// Engine's availability zone.
    pub availability_zone: AvailabilityZone,
    /// Prompt tokens assumed to be in its prefix cache.
    pub cached_tokens: u64,
    /// Queueing time, expressed as prefill work in tokens.
    pub queue_tokens: u64,
    /// Priority that the request would be sent with.
    pub priority: u8,
    /// Gap between the engine and the interval of the prompt's length class, as
    /// a fraction of the stable order.
    pub border_distance: f64,
    /// Prediction for the request on this engine.
    pub estimate: Estimate,
    /// Cost by which engines are compared, in milliseconds.
    pub cost_ms: f64,
    /// Why the engine was selected or not.
    pub verdict: SelectionReason,
}

/// Why an engine was selected or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SelectionReason {
    /// The engine was selected.
    Chosen,
    /// Another engine costs less, or is less loaded at nearly equal cost.
    CostsMore,
    /// The request would overtake a waiting long prompt beyond its budget.
    DelaysOthers,
    /// The request would miss its target.
    MissesTarget,
    /// The engine is busy, in slow start or being probed, and gets few requests.
    HeldBack,
    /// The engine is draining.
    Leaving,
    /// The engine is loading a model.
    Loading,
    /// The caller excluded the engine.
    Excluded,
    /// The engine is ejected, as it failed too often or is too slow.
    Ejected,
    /// The engine can't be reached or its load reports can't be fetched.
    Unreachable,
    /// The engine's KV memory is too small for the request.
    TooSmall,
}

/// State of the placement, for a status page.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PlacementStatus {
    /// Peers whose views are in effect.
    pub peers: usize,
    /// All known engines.
    pub engines: Vec<EngineStatus>,
}

/// State of one engine.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EngineStatus {
    /// Engine's instance.
    pub instance: InstanceId,
    /// Model that the engine serves.
    pub model: ModelName,
    /// Engine's availability zone.
    pub availability_zone: AvailabilityZone,
    /// Whether the engine is draining and takes no new requests.
    pub leaving: bool,
    /// Whether the engine is ejected, as it failed too often or is too slow.
    pub ejected: bool,
    /// Whether the engine can't be reached or its load reports can't be fetched.
    pub unreachable: bool,
    /// This daemon's outstanding requests.
    pub outstanding: u32,
    /// This daemon's waiting prompt tokens.
    pub waiting_tokens: u64,
    /// This daemon's waiting prompt tokens placed since the last report was
    /// measured.
    pub since_report_tokens: u64,
    /// Peers' outstanding requests.
    pub peers_outstanding: u32,
    /// Peers' waiting prompt tokens.
    pub peers_waiting_tokens: u64,
    /// Age of the last report's measurement, in milliseconds.
    pub report_age_ms: Option<u64>,
    /// Blocks assumed to be in the engine's prefix cache.
    pub cached_blocks: usize,
    /// Whether all cache events were received.
    pub cache_in_sync: bool,
    /// Learned part of the time to first token that doesn't depend on the amount
    /// of work, in milliseconds.
    pub prefill_base_ms: f64,
    /// Learned prefill rate, in tokens per second.
    pub prefill_tokens_per_s: f64,
}

impl CandidateEngine {
    pub(crate) fn of(
        engine: &SharedEngine,
        candidate: &Candidate,
        choice: &Result<Choice, NoEngine>,
    ) -> Self {
        let evaluation = &candidate.evaluation;
        let is_chosen = choice.as_ref().is_ok_and(|choice| {
            let in_group = choice
                .group
                .iter()
                .any(|(member, _)| Rc::ptr_eq(member, engine));
            in_group || Rc::ptr_eq(&choice.engine, engine)
        });
        let info = &engine.borrow().info;
        Self {
            instance: info.instance.clone(),
            availability_zone: info.availability_zone.clone(),
            cached_tokens: evaluation.cached_tokens,
            queue_tokens: evaluation.queue_tokens as u64,
            priority: evaluation.priority,
            border_distance: evaluation.interval_distance,
            estimate: evaluation.estimate,
            cost_ms: evaluation.cost_s * 1e3,
            verdict: if is_chosen {
                SelectionReason::Chosen
            } else {
                candidate.rejection_reason()
            },
        }
    }
}

impl EngineStatus {
    pub(crate) fn of(engine: &Engine, state: &PlacementState, now: Instant) -> Self {
        let model = state.models.get(&engine.info.model);
        let prior = model.and_then(|model| model.medians.line);
        let prior = prior.unwrap_or_else(|| engine.reported_line());
        let line = engine.fit.line(prior, now);
        let age = engine
            .report
            .as_ref()
            .map(|reported| now.saturating_duration_since(reported.measured_at));
        Self {
            instance: engine.info.instance.clone(),
            model: engine.info.model.clone(),
            availability_zone: engine.info.availability_zone.clone(),
            leaving: engine.is_leaving(now),
            ejected: engine.health.is_ejected(),
            unreachable: engine.health.is_unreachable(),
            outstanding: engine.own.outstanding(),
            waiting_tokens: engine.own.waiting_tokens().iter().sum(),
            since_report_tokens: engine.own.since_report_tokens().iter().sum(),
            peers_outstanding: engine.peers.outstanding,
            peers_waiting_tokens: engine.peers.waiting_tokens.iter().sum(),
            report_age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            cached_blocks: engine.cache.len(),
            cache_in_sync: engine.cache.is_in_sync(),
            prefill_base_ms: line.base_s * 1e3,
            prefill_tokens_per_s: 1.0 / line.token_s,
        }
    }
}
