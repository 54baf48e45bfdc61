//! Services and the published profiles of their engines.

use std::time::Duration;

use mangofront_settings::ids::ServiceName;
use serde::{Deserialize, Serialize};

/// A service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name, unique within a configuration version.
    pub name: ServiceName,
    /// Maximum number of connections to one of its upstreams, from all daemons together.
    pub connections_limit: u32,
    /// Profile of its engines; `None` for a plain service.
    pub engine: Option<EngineProfile>,
    /// Path that its upstreams answer without running a request, if there is one.
    pub probe_path: Option<String>,
    /// How its upstreams warm up; `None` if they take full load from their start.
    pub warm_up: Option<WarmUp>,
}

/// How upstreams of a service warm up after a start, or after they became cold again.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WarmUp {
    /// Time for which an upstream is cold.
    pub duration: Duration,
    /// Requests per second that a cold upstream takes from all daemons together.
    pub requests_per_s: f64,
}

/// Speed and memory of the engines of a service.
///
/// An engine works in forward passes. A pass with requests in decode generates `steps_per_pass`
/// tokens for each of them, which are then sent as one event.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Requests that run concurrently.
    pub slots: u32,
    /// Memory for prompts and answers, in tokens.
    pub memory_tokens: u64,
    /// Decode steps in a pass with a request in decode.
    pub steps_per_pass: u32,
    /// Duration of a step with one request in decode, without its context.
    pub step: Duration,
    /// Additional duration of a step per request in decode, in milliseconds.
    pub step_per_request_ms: f64,
    /// Additional duration of a step per thousand tokens of context, in milliseconds.
    pub step_per_context_k_ms: f64,
    /// Prompt tokens prefilled per second, without the cost of token pairs.
    #[serde(rename = "read_tokens_per_s")]
    pub prefill_tokens_per_s: f64,
    /// Prefill time per million pairs of a token and an earlier one, in milliseconds.
    #[serde(rename = "read_per_pairs_m_ms")]
    pub prefill_per_pairs_m_ms: f64,
    /// Maximum number of prompt tokens prefilled in one step.
    #[serde(rename = "read_chunk_tokens")]
    pub prefill_chunk_tokens: u32,
    /// Additional duration of a step for a prompt spread over several engines, in milliseconds.
    pub step_per_spread_prompt_ms: f64,
}

impl EngineProfile {
    /// Time in which one idle engine prefills a prompt, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, prompt_tokens: u64) -> f64 {
        let tokens = prompt_tokens as f64;
        let linear_ms = tokens * 1_000.0 / self.prefill_tokens_per_s.max(1.0);
        let million_pairs = tokens * tokens / 2.0 / 1e6;
        linear_ms + million_pairs * self.prefill_per_pairs_m_ms
    }

    /// Duration of a pass in which `decoding` requests with `context_tokens` of context are in
    /// decode, in milliseconds.
    #[must_use]
    pub fn pass_ms(&self, decoding: u32, context_tokens: u64) -> f64 {
        if decoding == 0 {
            return 0.0;
        }
        let per_request_ms = f64::from(decoding) * self.step_per_request_ms;
        let context_ms = context_tokens as f64 / 1_000.0 * self.step_per_context_k_ms;
        let step_ms = self.step.as_secs_f64() * 1_000.0 + per_request_ms + context_ms;
        f64::from(self.steps_per_pass) * step_ms
    }
}
