//! The state desired of an engine, and the order that is missing.

use mangofront_settings::ids::ModelName;

use crate::message::{EngineReport, Order, OrderKind};
use crate::view::{EngineRole, OrdersEngine, OrdersView};

/// What an engine should serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredState {
    /// Model, as the platform lists the engine.
    pub model: ModelName,
    /// Version; `None` leaves model and version alone.
    pub version: Option<String>,
    /// Adapters that should be loaded; others may be there besides.
    pub adapters: Vec<String>,
    /// Role; `None` leaves it alone.
    pub role: Option<EngineRole>,
}

impl DesiredState {
    /// The state that `view` desires of `engine`; `None` when its model isn't published.
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

    /// The first order that `report` lacks; `None` when all is in force.
    ///
    /// The role comes first as it loads nothing.
    #[must_use]
    pub fn next_order(&self, report: &EngineReport) -> Option<Order> {
        match self.role.filter(|role| *role != report.role) {
            Some(role) => order(OrderKind::Role, role.name()),
            None => self.next_load(report),
        }
    }

    /// The order that puts an engine right that loads something else.
    ///
    /// What it loads is not reported. While it loads away from the desired
    /// state (after a roll-back, say), that state may be in force, and yet the
    /// version has to be stated again.
    #[must_use]
    pub fn order_while_loading(&self, report: &EngineReport) -> Option<Order> {
        let version = self.version.as_ref();
        let restated = || order(OrderKind::Version, version?);
        self.next_order(report).or_else(restated)
    }

    /// The first order that `report` lacks and that loads something.
    ///
    /// Adapters come last as another model or version drops them.
    #[must_use]
    pub fn next_load(&self, report: &EngineReport) -> Option<Order> {
        if self.model != report.model {
            // Nobody published a version of this model: the list may lag.
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
