//! Everything that one daemon knows: engines, models and peers' views.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_settings::ids::{Incarnation, InstanceId, ModelName};

use crate::demand::EngineInfo;
use crate::engine::Engine;
use crate::gossip::{ModelDemand, NameKey, PeerView, PeerViews, VIEW_LIFETIME, View, name_key};
use crate::health::Health;
use crate::model::{Model, SharedEngine};
use crate::peer_work::PeerWork;

/// Time after which a view that says something is sent again unchanged, so that
/// it does not expire at the peers; two of three may be lost.
const VIEW_REFRESH: Duration = Duration::from_secs(VIEW_LIFETIME.as_secs() / 3);

/// The view behind a [`Placement`](crate::Placement).
///
/// Invariants: a listed engine stands in `engines` and in its model's order; an
/// engine that is no longer listed stands in `engines` only while own requests
/// run there, marked as leaving. The peers' sums in engines and models are
/// those of the views in `peers`.
#[derive(Debug, Default)]
pub(crate) struct Views {
    pub(crate) engines: BTreeMap<InstanceId, SharedEngine>,
    pub(crate) models: BTreeMap<ModelName, Model>,
    pub(crate) peers: PeerViews,
    by_key: BTreeMap<NameKey, SharedEngine>,
    /// The last view given out, and when its sequence was new.
    sent: Option<(View, Instant)>,
}

impl Views {
    /// Takes over the list of engines.
    pub(crate) fn set_engines(&mut self, listed: Vec<EngineInfo>, now: Instant) {
        for engine in self.engines.values() {
            engine.borrow_mut().info.leaving = true;
        }
        let mut orders: BTreeMap<ModelName, Vec<SharedEngine>> = BTreeMap::new();
        for info in listed {
            let engine = self.listed_engine(&info, now);
            orders.entry(info.model).or_default().push(engine);
        }
        self.models.retain(|name, _| orders.contains_key(name));
        for (name, order) in orders {
            let model = self.models.entry(name);
            let model = model.or_insert_with_key(Model::new);
            model.set_order(order);
        }
        self.forget_unlisted();
        self.recount_peers();
    }

    /// Takes in a peer's view.
    pub(crate) fn apply_peer_view(
        &mut self,
        daemon: &InstanceId,
        incarnation: Incarnation,
        encoded: &[u8],
        now: Instant,
    ) {
        let peer = name_key(daemon);
        if let Some((former, view)) = self.peers.accept(daemon, incarnation, encoded, now) {
            if let Some(former) = former {
                count_view(
                    Change::Remove,
                    &self.by_key,
                    &mut self.models,
                    peer,
                    &former,
                );
            }
            count_view(Change::Add, &self.by_key, &mut self.models, peer, view);
        }
        self.expire_peers(now);
    }

    /// Drops the views of peers that have been silent for too long.
    pub(crate) fn expire_peers(&mut self, now: Instant) {
        for (daemon, view) in self.peers.expire(now) {
            log::info!("placement: view of {daemon} has expired");
            count_view(
                Change::Remove,
                &self.by_key,
                &mut self.models,
                name_key(&daemon),
                &view,
            );
        }
    }

    /// This daemon's own outstanding work and demand.
    ///
    /// The same view, its sequence included, until something in it changes or
    /// it must be refreshed; so a daemon without work has nothing to send.
    pub(crate) fn own_view(&mut self, now: Instant) -> View {
        let mut view = self.compose_own_view(now);
        if let Some((sent, since)) = &self.sent {
            view.sequence = sent.sequence;
            let stands = view.is_idle() || now.saturating_duration_since(*since) < VIEW_REFRESH;
            if view == *sent && stands {
                return view;
            }
        }
        view.sequence += 1;
        self.sent = Some((view.clone(), now));
        view
    }

    fn compose_own_view(&self, now: Instant) -> View {
        let engines = self.engines.values();
        let models = self.models.values().map(|model| ModelDemand {
            model: model.key,
            tokens: model.demand.own_tokens(now),
        });
        View {
            sequence: 0,
            models: models.collect(),
            engines: engines
                .map(|engine| engine.borrow().own_work())
                .filter(|work| work.outstanding > 0)
                .collect(),
        }
    }

    fn listed_engine(&mut self, info: &EngineInfo, now: Instant) -> SharedEngine {
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
        // Newcomers to a model in service start slowly; a whole list doesn't.
        let health = if self.models.contains_key(&info.model) {
            Health::newcomer(now)
        } else {
            Health::settled()
        };
        let engine = Rc::new(RefCell::new(Engine::new(info.clone(), health)));
        self.engines
            .insert(info.instance.clone(), Rc::clone(&engine));
        engine
    }

    fn forget_unlisted(&mut self) {
        let models = &self.models;
        self.engines.retain(|_, engine| {
            let is_listed = models
                .get(&engine.borrow().info.model)
                .is_some_and(|model| model.order.iter().any(|other| Rc::ptr_eq(other, engine)));
            is_listed || engine.borrow().own.outstanding() > 0
        });
        let engines = self.engines.values();
        self.by_key = engines
            .map(|engine| (engine.borrow().key, Rc::clone(engine)))
            .collect();
    }

    fn recount_peers(&mut self) {
        for engine in self.engines.values() {
            engine.borrow_mut().peers = PeerWork::default();
        }
        for model in self.models.values_mut() {
            model.demand.clear_peers();
        }
        for (daemon, view) in self.peers.iter() {
            count_view(
                Change::Add,
                &self.by_key,
                &mut self.models,
                name_key(daemon),
                view,
            );
        }
    }
}

/// Whether a peer's view comes into the counts or leaves them.
#[derive(Debug, Clone, Copy)]
enum Change {
    Add,
    Remove,
}

fn count_view(
    change: Change,
    engines: &BTreeMap<NameKey, SharedEngine>,
    models: &mut BTreeMap<ModelName, Model>,
    peer: NameKey,
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
            Change::Add => peers.add(peer, work, *received_at),
            Change::Remove => peers.remove(peer, work, *received_at),
        }
    }
    for demand in &view.models {
        let models = models.values_mut();
        for model in models.filter(|model| model.key == demand.model) {
            match change {
                Change::Add => model.demand.add_peer(&demand.tokens),
                Change::Remove => model.demand.remove_peer(&demand.tokens),
            }
        }
    }
}
