//! Load reports and cache events of engines.
//!
//! The types match the bodies of `GET /v1/load`, `GET /v1/cache` and
//! `GET /v1/cache/events`. Their content is not trusted: reports lag and may be
//! implausible, events arrive late and with gaps.

use mangofront_settings::ids::Incarnation;
use serde::{Deserialize, Serialize};

/// Body of `GET /v1/load`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Incarnation of the engine's process.
    pub incarnation: Incarnation,
    /// Number of this measurement within the incarnation.
    pub sequence: u64,
    /// Time since the measurement, in milliseconds.
    pub age_ms: u64,
    /// Requests that are decoding.
    pub running: u32,
    /// Requests waiting for their prefill.
    pub waiting: u32,
    /// Prompt tokens still to compute.
    pub waiting_prefill_tokens: u64,
    /// Size of the KV cache, in tokens.
    pub kv_total_tokens: u64,
    /// Used part of the KV cache, in tokens.
    pub kv_used_tokens: u64,
    /// Prefill rate as reported by the engine, in tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Duration of one decoding step as reported by the engine, in milliseconds.
    pub decode_step_ms: f64,
    /// Whether the engine accepts new requests.
    pub state: EngineState,
    /// Phases that the engine serves.
    pub role: EngineRole,
}

/// Whether an engine accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// Accepts new requests.
    Live,
    /// Draining: accepts no new requests.
    Leaving,
}

/// Phases that an engine serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefill and decode.
    Mixed,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// Body of `GET /v1/cache`: all blocks in an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheSnapshot {
    /// Incarnation of the engine's process.
    pub incarnation: Incarnation,
    /// Number of the last event that the snapshot includes.
    pub sequence: u64,
    /// Hashes of the blocks, 16 hexadecimal digits each.
    pub blocks: Vec<String>,
}

/// Body of `GET /v1/cache/events`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Incarnation of the engine's process.
    pub incarnation: Incarnation,
    /// Number of the next event.
    pub next_sequence: u64,
    /// Events, ordered by their numbers; some may be missing.
    pub events: Vec<CacheEvent>,
}

/// One change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event within the incarnation.
    pub sequence: u64,
    /// What happened to the blocks.
    pub kind: CacheEventKind,
    /// Hashes of the blocks, 16 hexadecimal digits each.
    pub blocks: Vec<String>,
}

/// What happened to cached blocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The blocks were added to the cache.
    Stored,
    /// The blocks were removed from the cache.
    Evicted,
}

/// Whether the view of an engine's cache is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheSync {
    /// Every event before `next_sequence` was applied.
    InSync {
        /// Number of the next event to request.
        next_sequence: u64,
    },
    /// Events were missed; a snapshot is needed.
    NeedsSnapshot,
}
