//! Orders: model, adapter, version and role, with or without fencing.
//!
//! An order is declarative and so idempotent. A new model or version is fetched
//! from the weight store, loaded, and put in force once all accepted
//! sequences have ended; until then, new requests are refused as `loading`.

use std::rc::Rc;
use std::time::Duration;

use mangofront_settings::ids::ModelName;
use mangofront_settings::published::Fencing;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::settings::{EngineRole, EngineSettings};
use super::state::Engine;
use crate::weights::fetch;

/// Interval between checks whether the batch has drained.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Fencing token of an order; a later one compares greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FencingToken {
    revision: u64,
    term: u64,
    incarnation: u64,
}

/// Property that an order sets.
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

/// Order as listed in the counters.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct OrderRecord {
    kind: OrderKind,
    token: FencingToken,
    value: String,
    accepted: bool,
}

/// Whether the ordered state is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum LoadState {
    /// Being fetched or loaded.
    Loading,
    /// In force.
    Ready,
}

/// Reason for refusing an order.
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

/// State in force and desired state.
///
/// Invariant: `desired` is set if and only if a task is loading it.
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

    /// Whether a model or version is being loaded.
    pub(crate) fn is_loading(&self) -> bool {
        self.desired.is_some()
    }

    /// Whether `name` is the model in force or one of its adapters.
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

    /// Model and version in force once loading is complete.
    fn target(&self) -> (ModelName, String) {
        let in_force = || (self.model.clone(), self.version.clone());
        self.desired.clone().unwrap_or_else(in_force)
    }
}

impl Engine {
    /// Applies an order, or refuses it without any change.
    pub(crate) fn order(
        self: &Rc<Self>,
        kind: OrderKind,
        order: &OrderRequest,
    ) -> Result<LoadState, OrderError> {
        let result = self.admit_order(kind, order);
        let record = OrderRecord {
            kind,
            token: order.token,
            value: order.value.clone(),
            accepted: result.is_ok(),
        };
        self.state.borrow_mut().counters.orders.push(record);
        result?;
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
        let already_loading = orders.desired.replace(desired).is_some();
        if !already_loading {
            let load = compio::runtime::spawn(Rc::clone(self).load_desired());
            self.load_tasks.borrow_mut().push(load);
        }
        LoadState::Loading
    }

    /// Loads the desired model, starting over if it changes meanwhile.
    async fn load_desired(self: Rc<Self>) {
        loop {
            let Some((model, version)) = self.state.borrow().orders.desired.clone() else {
                return;
            };
            self.load_weights(&model, &version).await;
            while !self.is_idle() {
                compio::time::sleep(IDLE_POLL_INTERVAL).await;
            }
            let mut state = self.state.borrow_mut();
            let desired = (model, version);
            if state.orders.desired.as_ref() != Some(&desired) {
                continue;
            }
            log::info!(
                "standin engine: loaded model {} version {}",
                desired.0,
                desired.1
            );
            // KV blocks and adapters are specific to the previous model.
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
            self.load_tasks.borrow_mut().push(load);
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

    fn is_idle(&self) -> bool {
        self.state.borrow().batch.sequences().next().is_none()
    }
}
