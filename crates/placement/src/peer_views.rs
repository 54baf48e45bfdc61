//! Views in which daemons publish their outstanding placements to each other.
//!
//! A view identifies engines and models by 32-bit hashes: on a collision, both
//! would only appear busier than they are. The encoded size is limited; engines
//! with the most waiting work have precedence. A view replaces the previous one
//! of the same daemon. It is dropped if the daemon sends none for a while or
//! sends one from a later incarnation.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use mangofront_settings::ids::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::length_class::ClassTokens;
use crate::own_work::OvertakingBudget;

/// Maximum size of an encoded view, in bytes.
pub(crate) const MAX_VIEW_BYTES: usize = 2_048;

/// Maximum number of engines in one view.
const MAX_ENGINES: usize = 128;

/// Maximum number of peers whose views are kept.
const MAX_PEERS: usize = 1_024;

/// Time after which a peer's view expires unless a newer one arrives.
pub(crate) const VIEW_LIFETIME: Duration = Duration::from_secs(10);

/// Hash that identifies an engine, model or daemon by its name.
pub(crate) type NameHash = u32;

/// Computes the hash that identifies `name`.
pub(crate) fn name_hash(name: &str) -> NameHash {
    xxh3_64(name.as_bytes()) as NameHash
}

/// One daemon's outstanding placements.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct PlacementView {
    /// Increases with each new view of an incarnation.
    pub(crate) sequence: u64,
    /// Recent demand by model.
    pub(crate) models: Vec<ModelDemand>,
    /// Outstanding work by engine, the most waiting work first.
    pub(crate) engines: Vec<EngineWork>,
}

/// Recent demand for one model.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct ModelDemand {
    pub(crate) model: NameHash,
    pub(crate) tokens: ClassTokens,
}

/// Outstanding work on one engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct EngineWork {
    pub(crate) engine: NameHash,
    /// Outstanding requests.
    pub(crate) outstanding: u32,
    /// Waiting prefill work of each priority band that has any, in tokens.
    pub(crate) waiting_tokens: Vec<(u8, u64)>,
    /// Part of the waiting work placed after the engine's last report.
    pub(crate) since_report_tokens: u64,
    /// Waiting long prompt with the smallest remaining overtaking budget.
    pub(crate) most_overtaken: Option<OvertakingBudget>,
}

impl PlacementView {
    /// Whether the view has neither work nor demand, so that its expiry would
    /// change nothing.
    pub(crate) fn is_idle(&self) -> bool {
        let no_demand = |model: &ModelDemand| model.tokens == ClassTokens::default();
        self.engines.is_empty() && self.models.iter().all(no_demand)
    }

    /// Encodes the view, dropping the engines with the least waiting work until
    /// it is small enough.
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
/// Invariant: holds for each peer the received view with the highest incarnation
/// and sequence, unless it has expired.
#[derive(Debug, Default)]
pub(crate) struct PeerViews {
    peers: BTreeMap<InstanceId, PeerView>,
}

/// View of one peer.
#[derive(Debug)]
pub(crate) struct PeerView {
    incarnation: Incarnation,
    pub(crate) received_at: Instant,
    pub(crate) view: PlacementView,
}

impl PeerViews {
    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }

    /// All views with their senders.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&InstanceId, &PeerView)> {
        self.peers.iter()
    }

    /// Stores a view and returns the replaced one, if any, and the new one.
    ///
    /// Returns `None` if the view is malformed, not newer than the known one, or
    /// from one peer too many.
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
        let previous = self.peers.remove(daemon);
        let peer = PeerView {
            incarnation,
            received_at: now,
            view,
        };
        let peer = self.peers.entry(daemon.clone()).or_insert(peer);
        Some((previous, peer))
    }

    /// Removes and returns the expired views.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<(InstanceId, PeerView)> {
        self.peers
            .extract_if(.., |_, peer| now - peer.received_at > VIEW_LIFETIME)
            .collect()
    }
}

fn decode(daemon: &InstanceId, encoded: &[u8]) -> Option<PlacementView> {
    if encoded.len() > MAX_VIEW_BYTES {
        log::warn!("placement: view from {daemon} exceeds the maximum size");
        return None;
    }
    match postcard::from_bytes(encoded) {
        Ok(view) => Some(view),
        Err(error) => {
            log::warn!("placement: failed to decode the view from {daemon}: {error}");
            None
        }
    }
}
