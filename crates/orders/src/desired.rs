//! Desired state of an engine, and the next order needed to reach it.

use mangofront_settings::ids::ModelName;

use crate::message::{EngineReport, Order, OrderKind};
use crate::view::{EngineRole, OrdersEngine, OrdersView};

/// State that an engine should have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredState {
    /// Model for which the platform lists the engine.
    pub model: ModelName,
    /// Version; `None` leaves model and version unchanged.
    pub version: Option<String>,
    /// Adapters that should be loaded; additional ones are allowed.
    pub adapters: Vec<String>,
    /// Role; `None` leaves it unchanged.
    pub role: Option<EngineRole>,
}

impl DesiredState {
    /// The desired state of `engine` in `view`; `None` when its model is not published.
    #[must_use]
    pub fn of(view: &OrdersView, engine: &OrdersEngine) -> Option<Self> {
        let model = view.models.get(&engine.model)?;
        Some(Self {
            model: engine.model.clone(),
            version: model.version.clone(),
            adapters: model.adapters.clone(),
            role: engine.role,
        })
    }

    /// The next order needed according to `report`; `None` when the engine is in its
    /// desired state.
    ///
    /// The role comes first, as changing it loads nothing.
    #[must_use]
    pub fn next_order(&self, report: &EngineReport) -> Option<Order> {
        match self.role.filter(|role| *role != report.role) {
            Some(role) => order(OrderKind::Role, role.name()),
            None => self.next_load(report),
        }
    }

    /// The order for an engine that is loading something else than desired.
    ///
    /// The engine does not report what it loads. While it loads another version (for
    /// instance after a rollback), the desired state may still be in force, but the
    /// version has to be ordered again.
    #[must_use]
    pub fn order_while_loading(&self, report: &EngineReport) -> Option<Order> {
        let version = self.version.as_ref();
        let version_order = || order(OrderKind::Version, version?);
        self.next_order(report).or_else(version_order)
    }

    /// The next order needed according to `report` that loads something.
    ///
    /// Adapters come last, as a change of model or version drops them.
    #[must_use]
    pub fn next_load(&self, report: &EngineReport) -> Option<Order> {
        if self.model != report.model {
            // No version of this model is published: the instance list may be stale.
            self.version.as_ref()?;
            return order(OrderKind::Model, &self.model);
        }
        let version = self.version.as_ref();
        if let Some(version) = version.filter(|version| **version != report.version) {
            return order(OrderKind::Version, version);
        }
        let missing = |adapter: &&String| !report.adapters.contains(adapter);
        let adapter = self.adapters.iter().find(missing)?;
        order(OrderKind::Adapter, adapter)
    }
}

fn order(kind: OrderKind, value: &str) -> Option<Order> {
    Some(Order {
        kind,
        value: value.to_owned(),
    })
}
