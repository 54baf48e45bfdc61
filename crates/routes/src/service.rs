//! A service and the published speed of its engines.

use std::time::Duration;

use mangofront_settings::ids::ServiceName;
use serde::{Deserialize, Serialize};

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name, unique in its version.
    pub name: ServiceName,
    /// Most connections to one of its upstreams, from all daemons together.
    pub connections_limit: u32,
    /// Speed of its engines; none for a plain service.
    pub engine: Option<EngineProfile>,
}

/// Speed and size of the engines of a service.
///
/// An engine works in passes. A pass in which any request writes makes
/// `steps_per_pass` tokens for each of them and then shows them as one event.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory for prompts and answers, in tokens.
    pub memory_tokens: u64,
    /// Steps of a pass with a request that writes.
    pub steps_per_pass: u32,
    /// Time of a step in which one request writes, without its context.
    pub step: Duration,
    /// Further time of a step for each request that writes, in milliseconds.
    pub step_per_request_ms: f64,
    /// Further time of a step for a thousand tokens of context, in milliseconds.
    pub step_per_context_k_ms: f64,
    /// Prompt tokens read in a second, without the pairs.
    #[serde(rename = "read_tokens_per_s")]
    pub prefill_tokens_per_s: f64,
    /// Time for a million pairs of a token and an earlier one, in milliseconds.
    #[serde(rename = "read_per_pairs_m_ms")]
    pub prefill_per_pairs_m_ms: f64,
    /// Most prompt tokens read in one step.
    #[serde(rename = "read_chunk_tokens")]
    pub prefill_chunk_tokens: u32,
    /// Further time of a step when a prompt lies on several engines, in milliseconds.
    pub step_per_spread_prompt_ms: f64,
}

impl EngineProfile {
    /// Time in which one idle engine reads a prompt, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, prompt_tokens: u64) -> f64 {
        let tokens = prompt_tokens as f64;
        let linear_ms = tokens * 1_000.0 / self.prefill_tokens_per_s.max(1.0);
        let pairs_m = tokens * tokens / 2.0 / 1e6;
        linear_ms + pairs_m * self.prefill_per_pairs_m_ms
    }

    /// Time of a pass in which `writers` requests with `context_tokens` write, in milliseconds.
    #[must_use]
    pub fn pass_ms(&self, writers: u32, context_tokens: u64) -> f64 {
        if writers == 0 {
            return 0.0;
        }
        let per_request_ms = f64::from(writers) * self.step_per_request_ms;
        let context_ms = context_tokens as f64 / 1_000.0 * self.step_per_context_k_ms;
        let step_ms = self.step.as_secs_f64() * 1_000.0 + per_request_ms + context_ms;
        f64::from(self.steps_per_pass) * step_ms
    }
}
