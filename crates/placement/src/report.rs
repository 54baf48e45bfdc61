//! What engines publish about themselves: load reports and cache events.
//!
//! The types match the bodies of `GET /v1/load`, `GET /v1/cache` and
//! `GET /v1/cache/events`. None of it is trusted: reports lag, and may be
//! nonsense; events come late and with gaps.

use mangofront_settings::ids::Incarnation;
use serde::{Deserialize, Serialize};

/// Body of `GET /v1/load`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Life of the engine's process.
    pub incarnation: Incarnation,
    /// Number of this measurement within that life.
    pub sequence: u64,
    /// Time since the measurement, in milliseconds.
    pub age_ms: u64,
    /// Requests that generate tokens.
    pub running: u32,
    /// Requests that wait for their prefill.
    pub waiting: u32,
    /// Prompt tokens still to be computed.
    pub waiting_prefill_tokens: u64,
    /// Size of the KV cache, in tokens.
    pub kv_total_tokens: u64,
    /// Part of the KV cache that is in use, in tokens.
    pub kv_used_tokens: u64,
    /// Prefill rate as the engine states it, in tokens a second.
    pub prefill_tokens_per_s: f64,
    /// Time of one decoding step as the engine states it, in milliseconds.
    pub decode_step_ms: f64,
    /// Whether the engine is to stay.
    pub state: EngineState,
    /// Phase that the engine works for.
    pub role: EngineRole,
}

/// Whether an engine is to stay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// Takes new work.
    Live,
    /// Takes no new work.
    Leaving,
}

/// Phase that an engine works for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefill and decoding.
    Mixed,
    /// Prefill only.
    Prefill,
    /// Decoding only.
    Decode,
}

/// Body of `GET /v1/cache`: every block that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheSnapshot {
    /// Life of the engine's process.
    pub incarnation: Incarnation,
    /// Last event that the snapshot includes.
    pub sequence: u64,
    /// Hashes of the blocks, 16 hexadecimal digits each.
    pub blocks: Vec<String>,
}

/// Body of `GET /v1/cache/events`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Life of the engine's process.
    pub incarnation: Incarnation,
    /// Number that the next event will have.
    pub next_sequence: u64,
    /// Events in the order of their numbers; some may be missing.
    pub events: Vec<CacheEvent>,
}

/// One change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event within the engine's life.
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
    /// They can be used from now on.
    Stored,
    /// They are gone.
    Evicted,
}

/// Whether the view of an engine's cache is whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheSync {
    /// Every event up to `next_sequence` is in the view.
    InSync {
        /// Event to ask for next.
        next_sequence: u64,
    },
    /// Events were missed: the view needs a snapshot.
    NeedsSnapshot,
}
