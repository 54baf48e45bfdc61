//! Export and import of KV cache blocks.
//!
//! The payload is a hash of each block in place of the tensors. A digest covers
//! blocks and payload, so that a corrupted transfer is refused.

use std::time::Duration;

use mangofront_prompt::BlockHash;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use super::cache_events::{from_hex, hex};
use super::memory::TOKENS_PER_BLOCK;
use super::state::Engine;

/// Body of `POST /v1/kv/export`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ExportRequest {
    blocks: Vec<String>,
}

/// Exported blocks.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Export {
    blocks: Vec<String>,
    tokens: u64,
    digest: String,
    payload: String,
}

/// Response to an import.
#[derive(Debug, Serialize)]
pub(crate) struct Imported {
    tokens: u64,
}

/// Reason for refusing a transfer.
#[derive(Debug, Error)]
pub(crate) enum TransferError {
    #[error("block {0} is not 16 hex digits")]
    MalformedBlock(String),
    #[error("digest does not match blocks and payload")]
    WrongDigest,
}

impl Engine {
    /// Exports those of the requested blocks that are present.
    pub(crate) async fn export(&self, request: &ExportRequest) -> Result<Export, TransferError> {
        let wanted = parse(&request.blocks)?;
        let present: Vec<BlockHash> = {
            let state = self.state.borrow();
            let memory = &state.batch.memory;
            wanted
                .into_iter()
                .filter(|hash| memory.contains(*hash))
                .collect()
        };
        let tokens = present.len() as u64 * TOKENS_PER_BLOCK;
        self.simulate_transfer(tokens).await;
        let payload = payload(&present);
        Ok(Export {
            digest: hex(digest(&present, &payload)),
            blocks: present.iter().map(|hash| hex(*hash)).collect(),
            tokens,
            payload,
        })
    }

    /// Adds exported blocks to the cache until there is no more room.
    pub(crate) async fn import(&self, export: &Export) -> Result<Imported, TransferError> {
        let blocks = parse(&export.blocks)?;
        let digest_matches = export.digest == hex(digest(&blocks, &export.payload));
        if !digest_matches || export.payload != payload(&blocks) {
            return Err(TransferError::WrongDigest);
        }
        self.simulate_transfer(blocks.len() as u64 * TOKENS_PER_BLOCK)
            .await;
        let imported = {
            let mut state = self.state.borrow_mut();
            let memory = &mut state.batch.memory;
            blocks
                .iter()
                .take_while(|hash| memory.import(**hash))
                .count()
        };
        self.after_change();
        Ok(Imported {
            tokens: imported as u64 * TOKENS_PER_BLOCK,
        })
    }

    async fn simulate_transfer(&self, tokens: u64) {
        let rate = self.settings.kv_transfer_tokens_per_s.max(1);
        let seconds = tokens as f64 / rate as f64 * self.settings.time_scale;
        let duration = Duration::try_from_secs_f64(seconds).unwrap_or_default();
        compio::time::sleep(duration).await;
    }
}

fn parse(blocks: &[String]) -> Result<Vec<BlockHash>, TransferError> {
    blocks
        .iter()
        .map(|block| from_hex(block).ok_or_else(|| TransferError::MalformedBlock(block.clone())))
        .collect()
}

fn payload(blocks: &[BlockHash]) -> String {
    blocks
        .iter()
        .map(|hash| hex(xxh3_64(&hash.to_le_bytes())))
        .collect()
}

fn digest(blocks: &[BlockHash], payload: &str) -> u64 {
    let mut hasher = Xxh3::new();
    for hash in blocks {
        hasher.update(&hash.to_le_bytes());
    }
    hasher.update(payload.as_bytes());
    hasher.digest()
}
