//! Figures that operators publish of an engine.

use std::time::Duration;

use mangofront_routes::EngineProfile;

/// An engine that reads a prompt of 5,000 tokens in 26 ms.
pub fn figures() -> EngineProfile {
    EngineProfile {
        slots: 16,
        memory_tokens: 232_000,
        steps_per_pass: 43,
        step: Duration::from_micros(1_020),
        step_per_request_ms: 0.002_26,
        step_per_context_k_ms: 0.004_31,
        prefill_tokens_per_s: 206_000.0,
        prefill_per_pairs_m_ms: 0.138,
        prefill_chunk_tokens: 2_048,
        step_per_spread_prompt_ms: 0.075,
    }
}
