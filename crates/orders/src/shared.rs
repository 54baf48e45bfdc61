//! State shared by the handle and the tasks of engines.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use mangofront_settings::ids::{InstanceId, ModelName, Revision};

use crate::assignment::responsible_daemon;
use crate::clock::Timestamp;
use crate::engine_states::CachedReports;
use crate::options::OrdersOptions;
use crate::status::EngineStatus;
use crate::view::OrdersView;

/// A view and the start of its lease.
///
/// Invariant: `view.revision` never decreases from one view to the next.
#[derive(Debug, Clone)]
pub(crate) struct CurrentView {
    pub(crate) view: Rc<OrdersView>,
    pub(crate) set_at: Timestamp,
}

/// Shared state of [`crate::Orders`].
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) options: OrdersOptions,
    pub(crate) current_view: RefCell<Option<CurrentView>>,
    pub(crate) cached_reports: RefCell<HashMap<ModelName, CachedReports>>,
    pub(crate) engines: RefCell<BTreeMap<InstanceId, EngineStatus>>,
}

impl Shared {
    pub(crate) fn new(options: OrdersOptions) -> Self {
        Self {
            options,
            current_view: RefCell::default(),
            cached_reports: RefCell::default(),
            engines: RefCell::default(),
        }
    }

    /// The current view; `None` once its lease has expired.
    pub(crate) fn fresh_view(&self) -> Option<Rc<OrdersView>> {
        let current_view = self.current_view.borrow();
        let fresh = |current: &&CurrentView| current.set_at.age() < self.options.view_lease;
        current_view
            .as_ref()
            .filter(fresh)
            .map(|current| Rc::clone(&current.view))
    }

    /// The check immediately before an order is sent.
    ///
    /// True if this daemon is responsible for the engine according to a valid view
    /// of the same revision, and read the engine's state at `read_at` within one
    /// lease. Fails in a process that was paused for too long after its decision.
    pub(crate) fn may_send(&self, engine: &str, revision: Revision, read_at: Timestamp) -> bool {
        let Some(view) = self.fresh_view() else {
            return false;
        };
        let responsible = view.engine(engine).and_then(|engine| {
            let daemon = responsible_daemon(&view.daemons, engine)?;
            (*daemon == view.own_instance && !engine.leaving).then_some(())
        });
        responsible.is_some()
            && view.revision == revision
            && read_at.age() < self.options.view_lease
    }
}
