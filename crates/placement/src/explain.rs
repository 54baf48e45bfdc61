//! What an operator is told of the placement's view and of one decision.

use std::rc::Rc;
use std::time::Instant;

use mangofront_settings::ids::{AvailabilityZone, InstanceId, ModelName};
use serde::Serialize;

use crate::choose::{Choice, Weighed};
use crate::demand::{Estimate, GroupMember, NoEngine};
use crate::engine::Engine;
use crate::model::SharedEngine;
use crate::view::Views;

/// One decision, laid open.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Explanation {
    /// Model asked for.
    pub model: ModelName,
    /// Engine that would be taken.
    pub chosen: Option<InstanceId>,
    /// Members, when the prompt takes more than one engine.
    pub group: Option<Vec<GroupMember>>,
    /// Why none would be taken.
    pub refused: Option<NoEngine>,
    /// Every engine of the model, from the short end of the stable order.
    pub considered: Vec<CandidateEngine>,
}

/// One engine that was considered.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CandidateEngine {
    /// Engine's instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// Prompt tokens believed to be cached there.
    pub cached_tokens: u64,
    /// Work that would go ahead, in tokens.
    pub queue_tokens: u64,
    /// Priority that the request would be sent with.
    pub priority: u8,
    /// Gap between the engine and the prompt's part of the order, from 0 to 1.
    pub border_distance: f64,
    /// Prediction for the request there.
    pub estimate: Estimate,
    /// Cost by which engines are compared, in milliseconds.
    pub cost_ms: f64,
    /// Why it was taken or not.
    pub verdict: SelectionReason,
}

/// Why an engine was taken or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SelectionReason {
    /// It was taken.
    Chosen,
    /// Another one costs less, or has less to do at the same cost.
    CostsMore,
    /// A long prompt that waits there would start too late.
    DelaysOthers,
    /// The request would miss its target there.
    MissesTarget,
    /// It is busy, new or on probation, and gets little for now.
    HeldBack,
    /// It takes no new work.
    Leaving,
    /// It loads a model.
    Loading,
    /// The caller asked for another one.
    Excluded,
    /// It failed too often or is too slow.
    Ejected,
    /// Its load reports can't be fetched.
    Unreachable,
    /// Its memory is too small for the request.
    TooSmall,
}

/// The placement's view, for a status page.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PlacementStatus {
    /// Peers whose views are in force.
    pub peers: usize,
    /// Every engine known.
    pub engines: Vec<EngineStatus>,
}

/// The view of one engine.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EngineStatus {
    /// Engine's instance.
    pub instance: InstanceId,
    /// Model that it serves.
    pub model: ModelName,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether it failed too often or is too slow.
    pub ejected: bool,
    /// Whether its load reports can't be fetched.
    pub unreachable: bool,
    /// Own requests outstanding there.
    pub outstanding: u32,
    /// Own prompt tokens that wait there.
    pub waiting_tokens: u64,
    /// Own prompt tokens placed there since its last report was measured.
    pub since_report_tokens: u64,
    /// Peers' requests outstanding there.
    pub peers_outstanding: u32,
    /// Peers' prompt tokens that wait there.
    pub peers_waiting_tokens: u64,
    /// Time since its last report was measured, in milliseconds.
    pub report_age_ms: Option<u64>,
    /// Blocks believed to be in its prefix cache.
    pub cached_blocks: usize,
    /// Whether no cache event is missing.
    pub cache_in_sync: bool,
    /// Learned part of the time to first token that no work explains, in
    /// milliseconds.
    pub prefill_base_ms: f64,
    /// Learned prefill rate, in tokens a second.
    pub prefill_tokens_per_s: f64,
}

impl CandidateEngine {
    pub(crate) fn of(
        engine: &SharedEngine,
        weighed: &Weighed,
        choice: &Result<Choice, NoEngine>,
    ) -> Self {
        let terms = &weighed.terms;
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
            cached_tokens: terms.cached_tokens,
            queue_tokens: terms.queue_tokens as u64,
            priority: terms.priority,
            border_distance: terms.border_distance,
            estimate: terms.estimate,
            cost_ms: terms.cost_s * 1e3,
            verdict: if is_chosen {
                SelectionReason::Chosen
            } else {
                weighed.verdict()
            },
        }
    }
}

impl EngineStatus {
    pub(crate) fn of(engine: &Engine, views: &Views, now: Instant) -> Self {
        let model = views.models.get(&engine.info.model);
        let prior = model.and_then(|model| model.typical.line);
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
            cache_in_sync: engine.cache.in_sync(),
            prefill_base_ms: line.base_s * 1e3,
            prefill_tokens_per_s: 1.0 / line.token_s,
        }
    }
}
