//! Orders: model, adapter, version and role, with or without fencing.
//!
//! An order states a desired state, so repeating one changes nothing. A new
//! model or version waits until what runs is done, is fetched from the weight
//! store and loaded; meanwhile new requests are refused as `loading`.

use std::rc::Rc;
use std::time::Duration;

use mangofront_settings::ids::ModelName;
use mangofront_settings::published::Fencing;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::settings::{EngineRole, EngineSettings};
use super::state::Engine;
use crate::weights::fetch;

/// Pause between looks at a batch that has to run dry, in milliseconds.
const DRY_PAUSE: Duration = Duration::from_millis(5);

/// Fencing token of an order; a later one compares greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FencingToken {
    revision: u64,
    term: u64,
    incarnation: u64,
}

/// What an order is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum OrderKind {
    Model,
    Adapter,
    Version,
    Role,
}

/// Body of an order.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct OrderRequest {
    token: FencingToken,
    value: String,
}

/// One order as the counters tell it.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct OrderRecord {
    kind: OrderKind,
    token: FencingToken,
    value: String,
    accepted: bool,
}

/// Whether what was ordered is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum LoadState {
    /// Still fetched or loaded.
    Loading,
    /// In force.
    Ready,
}

/// Reason to refuse an order.
#[derive(Debug, Error)]
pub(crate) enum OrderError {
    #[error("order carries an older token than was seen")]
    StaleToken,
    #[error("role must be mixed, prefill or decode")]
    UnknownRole,
}

/// Answer of `GET /v1/state`.
#[derive(Debug, Serialize)]
pub(crate) struct StateReport {
    incarnation: u64,
    model: ModelName,
    version: String,
    adapters: Vec<String>,
    role: EngineRole,
    state: LoadState,
    highest_token: Option<FencingToken>,
}

/// What is in force and what is desired.
///
/// Invariant: `desired` is set exactly while a task loads it.
#[derive(Debug)]
pub(crate) struct Orders {
    fencing: Fencing,
    model: ModelName,
    version: String,
    adapters: Vec<String>,
    role: EngineRole,
    desired: Option<(ModelName, String)>,
    loading_adapters: Vec<String>,
    highest_token: Option<FencingToken>,
}

impl Orders {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        Self {
            fencing: settings.fencing,
            model: settings.model.clone(),
            version: settings.version.clone(),
            adapters: Vec::new(),
            role: settings.role,
            desired: None,
            loading_adapters: Vec::new(),
            highest_token: None,
        }
    }

    pub(crate) fn role(&self) -> EngineRole {
        self.role
    }

    /// Whether new requests wait for a model.
    pub(crate) fn is_loading(&self) -> bool {
        self.desired.is_some()
    }

    /// Whether requests for `name` are served: the model or an adapter of it.
    pub(crate) fn serves(&self, name: &str) -> bool {
        self.model == name || self.adapters.iter().any(|adapter| adapter == name)
    }

    pub(crate) fn report(&self, incarnation: u64) -> StateReport {
        let loading = self.is_loading() || !self.loading_adapters.is_empty();
        StateReport {
            incarnation,
            model: self.model.clone(),
            version: self.version.clone(),
            adapters: self.adapters.clone(),
            role: self.role,
            state: if loading {
                LoadState::Loading
            } else {
                LoadState::Ready
            },
            highest_token: self.highest_token,
        }
    }

    fn check_token(&mut self, token: FencingToken) -> Result<(), OrderError> {
        if self.fencing == Fencing::Ignored {
            return Ok(());
        }
        if self.highest_token.is_some_and(|highest| token < highest) {
            return Err(OrderError::StaleToken);
        }
        self.highest_token = Some(token);
        Ok(())
    }

    /// Model and version that will be in force.
    fn target(&self) -> (ModelName, String) {
        let in_force = || (self.model.clone(), self.version.clone());
        self.desired.clone().unwrap_or_else(in_force)
    }
}

impl Engine {
    /// Takes an order, or refuses it and changes nothing.
    pub(crate) fn order(
        self: &Rc<Self>,
        kind: OrderKind,
        order: &OrderRequest,
    ) -> Result<LoadState, OrderError> {
        let verdict = self.admit_order(kind, order);
        let record = OrderRecord {
            kind,
            token: order.token,
            value: order.value.clone(),
            accepted: verdict.is_ok(),
        };
        self.state.borrow_mut().counters.orders.push(record);
        verdict?;
        let state = match kind {
            OrderKind::Model => {
                let (_, version) = self.state.borrow().orders.target();
                self.set_desired(order.value.clone(), version)
            }
            OrderKind::Version => {
                let (model, _) = self.state.borrow().orders.target();
                self.set_desired(model, order.value.clone())
            }
            OrderKind::Adapter => self.add_adapter(&order.value),
            OrderKind::Role => LoadState::Ready,
        };
        self.after_change();
        Ok(state)
    }

    fn admit_order(&self, kind: OrderKind, order: &OrderRequest) -> Result<(), OrderError> {
        let orders = &mut self.state.borrow_mut().orders;
        if kind != OrderKind::Role {
            return orders.check_token(order.token);
        }
        let role = match order.value.as_str() {
            "mixed" => EngineRole::Mixed,
            "prefill" => EngineRole::Prefill,
            "decode" => EngineRole::Decode,
            _ => return Err(OrderError::UnknownRole),
        };
        orders.check_token(order.token)?;
        orders.role = role;
        Ok(())
    }

    fn set_desired(self: &Rc<Self>, model: ModelName, version: String) -> LoadState {
        let orders = &mut self.state.borrow_mut().orders;
        let desired = (model, version);
        if orders.target() == desired {
            return match orders.is_loading() {
                true => LoadState::Loading,
                false => LoadState::Ready,
            };
        }
        let loads_already = orders.desired.replace(desired).is_some();
        if !loads_already {
            let load = compio::runtime::spawn(Rc::clone(self).load_wish());
            self.loads.borrow_mut().push(load);
        }
        LoadState::Loading
    }

    /// Loads what is desired, and again when it changed meanwhile.
    async fn load_wish(self: Rc<Self>) {
        loop {
            let Some((model, version)) = self.state.borrow().orders.desired.clone() else {
                return;
            };
            self.load_weights(&model, &version).await;
            while !self.is_dry() {
                compio::time::sleep(DRY_PAUSE).await;
            }
            let mut state = self.state.borrow_mut();
            let desired = (model, version);
            if state.orders.desired.as_ref() != Some(&desired) {
                continue;
            }
            log::info!(
                "standin engine: model {} version {} is loaded",
                desired.0,
                desired.1
            );
            // Another model's KV is of no use, nor are its adapters.
            state.batch.memory.clear_cache();
            state.orders.adapters.clear();
            (state.orders.model, state.orders.version) = desired;
            state.orders.desired = None;
            drop(state);
            self.after_change();
            return;
        }
    }

    fn add_adapter(self: &Rc<Self>, adapter: &str) -> LoadState {
        let orders = &mut self.state.borrow_mut().orders;
        if orders.adapters.iter().any(|known| known == adapter) {
            return LoadState::Ready;
        }
        if !orders.loading_adapters.iter().any(|known| known == adapter) {
            orders.loading_adapters.push(adapter.to_owned());
            let load = Rc::clone(self).load_adapter(adapter.to_owned());
            let load = compio::runtime::spawn(load);
            self.loads.borrow_mut().push(load);
        }
        LoadState::Loading
    }

    async fn load_adapter(self: Rc<Self>, adapter: String) {
        let version = self.state.borrow().orders.target().1;
        self.load_weights(&adapter, &version).await;
        let mut state = self.state.borrow_mut();
        state
            .orders
            .loading_adapters
            .retain(|known| *known != adapter);
        state.orders.adapters.push(adapter);
    }

    async fn load_weights(&self, name: &str, version: &str) {
        if let Some(address) = self.settings.weights_address {
            fetch(address, name, version).await;
        }
        let load_time = self.settings.scaled(self.settings.load_time_ms);
        compio::time::sleep(load_time).await;
    }

    fn is_dry(&self) -> bool {
        self.state.borrow().batch.sequences().next().is_none()
    }
}
