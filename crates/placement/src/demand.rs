//! What is asked of the placement, and what it answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mangofront_prompt::BlockHash;
use mangofront_settings::ids::{AvailabilityZone, InstanceId, ModelName};
use serde::Serialize;
use thiserror::Error;

/// One engine of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineInfo {
    /// Instance that it runs on.
    pub instance: InstanceId,
    /// Model that it serves.
    pub model: ModelName,
    /// Availability zone that it is in.
    pub availability_zone: AvailabilityZone,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// One request that wants an engine.
#[derive(Debug, Clone)]
pub struct PlacementRequest {
    /// Model asked for.
    pub model: ModelName,
    /// Length of the prompt, in tokens.
    pub length_tokens: u64,
    /// Longest answer, in tokens.
    pub max_tokens: u32,
    /// Chained hashes of the prompt's blocks, first block first.
    pub blocks: Vec<BlockHash>,
    /// The class's target for the first token, from the request's arrival.
    pub time_to_first_token: Duration,
    /// Time at which the request fails if it has not finished.
    pub deadline: Instant,
}

/// Prediction for one request on one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Estimate {
    /// Time until the first token, queue included.
    pub time_to_first_token: Duration,
    /// Time until the last token.
    pub completion: Duration,
    /// Part of the time that is spent behind other work.
    pub queue: Duration,
    /// Whether no engine of the model has said or shown yet how fast it is, so
    /// that the times follow from assumed speeds.
    pub is_assumed: bool,
}

/// Share of a long prompt that one engine of a group computes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct GroupMember {
    /// Engine's instance.
    pub instance: InstanceId,
    /// Engine's HTTP address.
    pub address: SocketAddr,
    /// Tokens to reserve there.
    pub tokens: u64,
}

/// How a request ended on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineOutcome {
    /// It finished.
    Success,
    /// The engine failed or broke the connection.
    Error,
    /// The engine did not answer in time.
    Timeout,
    /// No connection to the engine could be made.
    Unreachable,
    /// The engine refused for want of room.
    Busy,
    /// The engine refused because it is leaving.
    Leaving,
    /// The engine refused because it loads a model.
    Loading,
}

/// Reason why no engine can take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Error)]
#[serde(rename_all = "snake_case")]
pub enum NoEngine {
    /// No engine of this model is listed.
    #[error("no engine serves the model")]
    UnknownModel,
    /// Every engine is leaving or was excluded.
    #[error("every engine of the model is leaving or was tried")]
    NoneUsable,
    /// All engines together have less memory than the prompt needs.
    #[error("prompt needs {needed_tokens} tokens of memory, the engines have {total_tokens}")]
    TooLarge {
        /// Memory that the request needs, in tokens.
        needed_tokens: u64,
        /// Memory of all usable engines, in tokens.
        total_tokens: u64,
    },
}
