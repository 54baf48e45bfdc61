//! State of a placement: engines, models and peers' views.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_settings::ids::{Incarnation, InstanceId, ModelName};

use crate::engine::Engine;
use crate::health::Health;
use crate::model::{Model, SharedEngine};
use crate::peer_views::{
    ModelDemand, NameHash, PeerView, PeerViews, PlacementView, VIEW_LIFETIME, name_hash,
};
use crate::peer_work::PeerWork;
use crate::request::EngineInfo;

/// Time after which an unchanged view is published again unless it is idle. Two
/// of three publications may be lost without the view expiring at the peers.
const VIEW_REFRESH_INTERVAL: Duration = Duration::from_secs(VIEW_LIFETIME.as_secs() / 3);

/// State shared by the clones of a [`Placement`](crate::Placement).
///
/// Invariants: a listed engine is in `engines` and in its model's order. An
/// engine that is no longer listed remains in `engines`, marked as leaving, only
/// while this daemon has outstanding requests there. The peers' sums in engines
/// and models are those of the views in `peers`.
#[derive(Debug, Default)]
pub(crate) struct PlacementState {
    pub(crate) engines: BTreeMap<InstanceId, SharedEngine>,
    pub(crate) models: BTreeMap<ModelName, Model>,
    pub(crate) peers: PeerViews,
    by_name_hash: BTreeMap<NameHash, SharedEngine>,
    /// Last published view and the time at which its sequence number was assigned.
    last_sent: Option<(PlacementView, Instant)>,
}

impl PlacementState {
    /// Replaces the list of engines.
    pub(crate) fn set_engines(&mut self, listed: Vec<EngineInfo>, now: Instant) {
        for engine in self.engines.values() {
            engine.borrow_mut().info.leaving = true;
        }
        let mut orders: BTreeMap<ModelName, Vec<SharedEngine>> = BTreeMap::new();
        for info in listed {
            let engine = self.get_or_insert_engine(&info, now);
            orders.entry(info.model).or_default().push(engine);
        }
        self.models.retain(|name, _| orders.contains_key(name));
        for (name, order) in orders {
            let model = self.models.entry(name);
            let model = model.or_insert_with_key(Model::new);
            model.set_order(order);
        }
        self.remove_unlisted();
        self.recompute_peer_sums();
    }

    /// Applies a peer's encoded view.
    pub(crate) fn apply_peer_view(
        &mut self,
        daemon: &InstanceId,
        incarnation: Incarnation,
        encoded: &[u8],
        now: Instant,
    ) {
        let peer = name_hash(daemon);
        if let Some((previous, view)) = self.peers.accept(daemon, incarnation, encoded, now) {
            if let Some(previous) = previous {
                apply_view_change(
                    ViewChange::Remove,
                    &self.by_name_hash,
                    &mut self.models,
                    peer,
                    &previous,
                );
            }
            apply_view_change(
                ViewChange::Add,
                &self.by_name_hash,
                &mut self.models,
                peer,
                view,
            );
        }
        self.expire_peers(now);
    }

    /// Drops expired views of peers.
    pub(crate) fn expire_peers(&mut self, now: Instant) {
        for (daemon, view) in self.peers.expire(now) {
            log::info!("placement: view from {daemon} expired");
            apply_view_change(
                ViewChange::Remove,
                &self.by_name_hash,
                &mut self.models,
                name_hash(&daemon),
                &view,
            );
        }
    }

    /// This daemon's outstanding work and demand.
    ///
    /// Returns the same view with the same sequence number until its content
    /// changes or it must be refreshed, so an idle daemon has nothing to
    /// publish.
    pub(crate) fn own_view(&mut self, now: Instant) -> PlacementView {
        let mut view = self.compose_own_view(now);
        if let Some((sent, since)) = &self.last_sent {
            view.sequence = sent.sequence;
            let is_current =
                view.is_idle() || now.saturating_duration_since(*since) < VIEW_REFRESH_INTERVAL;
            if view == *sent && is_current {
                return view;
            }
        }
        view.sequence += 1;
        self.last_sent = Some((view.clone(), now));
        view
    }

    fn compose_own_view(&self, now: Instant) -> PlacementView {
        let engines = self.engines.values();
        let models = self.models.values().map(|model| ModelDemand {
            model: model.name_hash,
            tokens: model.demand.own_tokens(now),
        });
        PlacementView {
            sequence: 0,
            models: models.collect(),
            engines: engines
                .map(|engine| engine.borrow().own_work())
                .filter(|work| work.outstanding > 0)
                .collect(),
        }
    }

    fn get_or_insert_engine(&mut self, info: &EngineInfo, now: Instant) -> SharedEngine {
        if let Some(engine) = self.engines.get(&info.instance) {
            let is_same = {
                let known = &engine.borrow().info;
                known.model == info.model && known.address == info.address
            };
            if is_same {
                engine.borrow_mut().info = info.clone();
                return Rc::clone(engine);
            }
        }
        // Slow start applies only to engines that join a model with other
        // engines, not to the first list of a model.
        let health = if self.models.contains_key(&info.model) {
            Health::joining(now)
        } else {
            Health::established()
        };
        let engine = Rc::new(RefCell::new(Engine::new(info.clone(), health)));
        self.engines
            .insert(info.instance.clone(), Rc::clone(&engine));
        engine
    }

    fn remove_unlisted(&mut self) {
        let models = &self.models;
        self.engines.retain(|_, engine| {
            let is_listed = models
                .get(&engine.borrow().info.model)
                .is_some_and(|model| model.order.iter().any(|other| Rc::ptr_eq(other, engine)));
            is_listed || engine.borrow().own.outstanding() > 0
        });
        let engines = self.engines.values();
        self.by_name_hash = engines
            .map(|engine| (engine.borrow().name_hash, Rc::clone(engine)))
            .collect();
    }

    fn recompute_peer_sums(&mut self) {
        for engine in self.engines.values() {
            engine.borrow_mut().peers = PeerWork::default();
        }
        for model in self.models.values_mut() {
            model.demand.clear_peers();
        }
        for (daemon, view) in self.peers.iter() {
            apply_view_change(
                ViewChange::Add,
                &self.by_name_hash,
                &mut self.models,
                name_hash(daemon),
                view,
            );
        }
    }
}

/// Whether a peer's view is added to the sums or removed from them.
#[derive(Debug, Clone, Copy)]
enum ViewChange {
    Add,
    Remove,
}

fn apply_view_change(
    change: ViewChange,
    engines: &BTreeMap<NameHash, SharedEngine>,
    models: &mut BTreeMap<ModelName, Model>,
    peer: NameHash,
    peer_view: &PeerView,
) {
    let PeerView {
        view, received_at, ..
    } = peer_view;
    for work in &view.engines {
        let Some(engine) = engines.get(&work.engine) else {
            continue;
        };
        let peers = &mut engine.borrow_mut().peers;
        match change {
            ViewChange::Add => peers.add(peer, work, *received_at),
            ViewChange::Remove => peers.remove(peer, work, *received_at),
        }
    }
    for demand in &view.models {
        let models = models.values_mut();
        for model in models.filter(|model| model.name_hash == demand.model) {
            match change {
                ViewChange::Add => model.demand.add_peer(&demand.tokens),
                ViewChange::Remove => model.demand.remove_peer(&demand.tokens),
            }
        }
    }
}
