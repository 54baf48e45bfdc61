//! Inputs and results of a placement.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mangofront_prompt::BlockHash;
use mangofront_settings::ids::{AvailabilityZone, InstanceId, ModelName};
use serde::Serialize;
use thiserror::Error;

/// An engine as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineInfo {
    /// Instance that the engine runs on.
    pub instance: InstanceId,
    /// Model that the engine serves.
    pub model: ModelName,
    /// Availability zone of the instance.
    pub availability_zone: AvailabilityZone,
    /// HTTP address.
    pub address: SocketAddr,
    /// Whether the engine is draining and takes no new requests.
    pub leaving: bool,
}

/// A request to be placed on an engine.
#[derive(Debug, Clone)]
pub struct PlacementRequest {
    /// Requested model.
    pub model: ModelName,
    /// Length of the prompt, in tokens.
    pub length_tokens: u64,
    /// Maximum length of the answer, in tokens.
    pub max_tokens: u32,
    /// Chained hashes of the prompt's blocks, in order.
    pub blocks: Vec<BlockHash>,
    /// The class's target for the time from arrival to the first token.
    pub time_to_first_token: Duration,
    /// Time at which the request fails if it has not completed.
    pub deadline: Instant,
}

/// Prediction for one request on one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Estimate {
    /// Time until the first token, queueing included.
    pub time_to_first_token: Duration,
    /// Time until the last token.
    pub completion: Duration,
    /// Time spent waiting for other work.
    pub queue: Duration,
    /// Whether the times follow from assumed speeds, as no engine's speed was
    /// reported or observed yet.
    pub is_assumed: bool,
}

/// One engine's share of a prompt that a group of engines computes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct GroupMember {
    /// Engine's instance.
    pub instance: InstanceId,
    /// Engine's HTTP address.
    pub address: SocketAddr,
    /// Tokens of KV memory to reserve.
    pub tokens: u64,
}

/// How a request ended on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineOutcome {
    /// The request completed.
    Success,
    /// The engine failed or broke the connection.
    Error,
    /// The engine did not respond in time.
    Timeout,
    /// No connection to the engine could be established.
    Unreachable,
    /// The engine refused the request for lack of capacity.
    Busy,
    /// The engine refused the request because it is draining.
    Leaving,
    /// The engine refused the request because it is loading a model.
    Loading,
}

/// Reason why no engine can take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Error)]
#[serde(rename_all = "snake_case")]
pub enum NoEngine {
    /// No engine of this model is listed.
    #[error("no engine serves the model")]
    UnknownModel,
    /// Every engine is draining, loading a model or excluded.
    #[error("every engine of the model is leaving or was tried")]
    NoneUsable,
    /// The engines have too little memory in total.
    #[error("prompt needs {needed_tokens} tokens of memory, the engines have {total_tokens}")]
    TooLarge {
        /// KV memory that the request needs, in tokens.
        needed_tokens: u64,
        /// KV memory that a group of all eligible engines could use, in tokens.
        total_tokens: u64,
    },
}
