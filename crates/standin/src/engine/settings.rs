//! Settings of the emulated engine.
//!
//! The defaults describe an assumed engine of eight modern accelerators; see
//! `docs/standins.md` for their derivation.

use std::net::SocketAddr;
use std::time::Duration;

use mangofront_settings::ids::{Incarnation, ModelName};
use mangofront_settings::published::Fencing;
use serde::{Deserialize, Serialize};

use crate::clock::scale;

/// Settings of one emulated engine.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Model served at start.
    pub model: ModelName,
    /// Version of that model at start.
    pub version: String,
    /// Role that the engine reports; the emulator does all work in every role.
    pub role: EngineRole,
    /// Incarnation number; defaults to the wall clock at start, in milliseconds.
    pub incarnation: Option<Incarnation>,
    /// Capacity of the KV cache, in tokens.
    pub kv_total_tokens: u64,
    /// Maximum number of sequences in a batch.
    pub max_running: usize,
    /// Maximum number of waiting sequences; more are refused as `busy`.
    pub max_waiting: usize,
    /// Cost model of the steps.
    pub step: StepSettings,
    /// Factor on the durations that the engine emulates: steps, loading, lags and
    /// transfers.
    pub time_scale: f64,
    /// Lag of the load reports, in milliseconds.
    pub load_lag_ms: u64,
    /// Delay of cache events, in milliseconds.
    pub cache_event_delay_ms: u64,
    /// Time for which a stream without a reader is kept, in milliseconds.
    pub resume_window_ms: u64,
    /// Time for which tombstones of cancelled, forgotten or released work are
    /// kept, in milliseconds.
    pub tombstone_ms: u64,
    /// Whether orders with an old fencing token are refused.
    pub fencing: Fencing,
    /// Weight store from which ordered models and adapters are fetched.
    pub weights_address: Option<SocketAddr>,
    /// Time to load fetched weights, in milliseconds.
    pub load_time_ms: u64,
    /// Rate of KV cache export and import, in tokens per second.
    pub kv_transfer_tokens_per_s: u64,
    /// Largest request body, in bytes.
    pub body_limit_bytes: usize,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            model: "assist-llm".to_owned(),
            version: "1".to_owned(),
            role: EngineRole::Mixed,
            incarnation: None,
            kv_total_tokens: 400_000,
            max_running: 256,
            max_waiting: 1024,
            step: StepSettings::default(),
            time_scale: 1.0,
            load_lag_ms: 250,
            cache_event_delay_ms: 500,
            resume_window_ms: 5_000,
            tombstone_ms: 60_000,
            fencing: Fencing::Ignored,
            weights_address: None,
            load_time_ms: 20_000,
            kv_transfer_tokens_per_s: 300_000,
            body_limit_bytes: 64 * 1024 * 1024,
        }
    }
}

impl EngineSettings {
    /// Returns `duration_ms` scaled by `time_scale`.
    pub(crate) fn scaled(&self, duration_ms: u64) -> Duration {
        scale(duration_ms, self.time_scale)
    }
}

/// Cost model of one step of continuous batching.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StepSettings {
    /// Base cost of a step, in microseconds.
    pub base_us: f64,
    /// Cost of each decoding sequence, in microseconds.
    pub decode_sequence_us: f64,
    /// Cost of each thousand tokens of context of a decoding sequence, in
    /// microseconds.
    pub decode_context_us: f64,
    /// Cost of each prefill token, in microseconds.
    pub prefill_token_us: f64,
    /// Attention cost of each prefill token for each thousand tokens before
    /// it, in microseconds.
    pub prefill_context_us: f64,
    /// Maximum number of prefill tokens per step.
    pub prefill_chunk_tokens: u64,
}

impl Default for StepSettings {
    fn default() -> Self {
        Self {
            base_us: 25_000.0,
            decode_sequence_us: 100.0,
            decode_context_us: 9.0,
            prefill_token_us: 25.0,
            prefill_context_us: 0.0625,
            prefill_chunk_tokens: 1024,
        }
    }
}

/// Role that an engine reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefill and decode.
    #[default]
    Mixed,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}
