//! What daemons tell each other about their outstanding placements.
//!
//! A view names engines and models by 32-bit hashes: two that share one would
//! only be taken to be busier than they are. Views are bounded in bytes; the
//! engines with most waiting work go first. A view replaces its sender's former
//! one, and is dropped when the sender has been silent for a while or has come
//! back in a later life.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mangofront_settings::ids::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::border::ClassTokens;
use crate::work::Overtakable;

/// Largest view, in bytes.
pub(crate) const MAX_VIEW_BYTES: usize = 2_048;

/// Most engines in one view.
const MAX_ENGINES: usize = 128;

/// Peers whose views are kept.
const MAX_PEERS: usize = 1_024;

/// Time after which a silent peer's view is dropped.
pub(crate) const VIEW_LIFETIME: Duration = Duration::from_secs(10);

/// Hash of a name.
pub(crate) type NameKey = u32;

/// Hash that stands for `name` in a view.
pub(crate) fn name_key(name: &str) -> NameKey {
    xxh3_64(name.as_bytes()) as NameKey
}

/// One daemon's outstanding placements.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct View {
    /// Grows with each view of a life.
    pub(crate) sequence: u64,
    /// Recent demand by model.
    pub(crate) models: Vec<ModelDemand>,
    /// Outstanding work by engine, most waiting work first.
    pub(crate) engines: Vec<EngineWork>,
}

/// Recent demand for one model.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct ModelDemand {
    pub(crate) model: NameKey,
    pub(crate) tokens: ClassTokens,
}

/// Outstanding work on one engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct EngineWork {
    pub(crate) engine: NameKey,
    /// Requests that have not ended.
    pub(crate) outstanding: u32,
    /// Waiting prefill work of each priority band that has any, in tokens.
    pub(crate) waiting_tokens: Vec<(u8, u64)>,
    /// Part of it that was placed after the engine's last report.
    pub(crate) since_report_tokens: u64,
    /// The waiting long prompt that least may overtake.
    pub(crate) most_overtaken: Option<Overtakable>,
}

impl View {
    /// Whether there is nothing in it that could expire.
    pub(crate) fn is_idle(&self) -> bool {
        let no_demand = |model: &ModelDemand| model.tokens == ClassTokens::default();
        self.engines.is_empty() && self.models.iter().all(no_demand)
    }

    /// Encodes the view, leaving out idle engines until it is small enough.
    pub(crate) fn encode(mut self) -> Bytes {
        self.engines.sort_by_key(|engine| {
            let waiting: u64 = engine
                .waiting_tokens
                .iter()
                .map(|(_, tokens)| *tokens)
                .sum();
            std::cmp::Reverse((waiting, engine.outstanding))
        });
        self.engines.truncate(MAX_ENGINES);
        loop {
            let encoded = postcard::to_stdvec(&self).unwrap_or_default();
            if encoded.len() <= MAX_VIEW_BYTES {
                return Bytes::from(encoded);
            }
            if self.engines.is_empty() {
                self.models.truncate(self.models.len() / 2);
            }
            self.engines.truncate(self.engines.len() * 3 / 4);
        }
    }
}

/// Views of all peers.
///
/// Invariant: for each peer, the view of the highest incarnation and sequence
/// that was received, unless it has expired.
#[derive(Debug, Default)]
pub(crate) struct PeerViews {
    peers: BTreeMap<InstanceId, PeerView>,
}

/// View of one peer.
#[derive(Debug)]
pub(crate) struct PeerView {
    incarnation: Incarnation,
    /// When it came in.
    pub(crate) received_at: Instant,
    /// What it says.
    pub(crate) view: View,
}

impl PeerViews {
    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Every view with its sender.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&InstanceId, &PeerView)> {
        self.peers.iter()
    }

    /// Takes in a view; returns the one that it replaces, if any, and itself,
    /// or nothing when it is refused.
    pub(crate) fn accept(
        &mut self,
        daemon: &InstanceId,
        incarnation: Incarnation,
        encoded: &[u8],
        now: Instant,
    ) -> Option<(Option<PeerView>, &PeerView)> {
        let view = decode(daemon, encoded)?;
        let known = self.peers.get(daemon);
        let newest = known.map(|peer| (peer.incarnation, peer.view.sequence));
        if newest.is_some_and(|newest| newest >= (incarnation, view.sequence)) {
            return None;
        }
        if newest.is_none() && self.peers.len() >= MAX_PEERS {
            return None;
        }
        let former = self.peers.remove(daemon);
        let peer = PeerView {
            incarnation,
            received_at: now,
            view,
        };
        let peer = self.peers.entry(daemon.clone()).or_insert(peer);
        Some((former, peer))
    }

    /// Takes out the views of peers that have been silent for too long.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<(InstanceId, PeerView)> {
        self.peers
            .extract_if(.., |_, peer| now - peer.received_at > VIEW_LIFETIME)
            .collect()
    }
}

fn decode(daemon: &InstanceId, encoded: &[u8]) -> Option<View> {
    if encoded.len() > MAX_VIEW_BYTES {
        log::warn!("placement: view of {daemon} is too large");
        return None;
    }
    match postcard::from_bytes(encoded) {
        Ok(view) => Some(view),
        Err(error) => {
            log::warn!("placement: view of {daemon} can't be read: {error}");
            None
        }
    }
}
