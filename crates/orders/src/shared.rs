//! What the handle and the engines' tasks share.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use mangofront_settings::ids::{InstanceId, ModelName, Revision};

use crate::clock::Moment;
use crate::options::OrdersOptions;
use crate::responsible::responsible;
use crate::status::EngineStatus;
use crate::survey::Survey;
use crate::view::OrdersView;

/// A view and the moment from which its lease runs.
///
/// Invariant: `view.revision` never falls from one view to the next.
#[derive(Debug, Clone)]
pub(crate) struct Held {
    pub(crate) view: Rc<OrdersView>,
    pub(crate) since: Moment,
}

/// State of [`crate::Orders`].
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) options: OrdersOptions,
    pub(crate) held: RefCell<Option<Held>>,
    pub(crate) surveys: RefCell<HashMap<ModelName, Survey>>,
    pub(crate) engines: RefCell<BTreeMap<InstanceId, EngineStatus>>,
}

impl Shared {
    pub(crate) fn new(options: OrdersOptions) -> Self {
        Self {
            options,
            held: RefCell::default(),
            surveys: RefCell::default(),
            engines: RefCell::default(),
        }
    }

    /// The view, while its lease runs.
    pub(crate) fn fresh_view(&self) -> Option<Rc<OrdersView>> {
        let held = self.held.borrow();
        let fresh = |held: &&Held| held.since.age() < self.options.view_lease;
        held.as_ref()
            .filter(fresh)
            .map(|held| Rc::clone(&held.view))
    }

    /// The check right before an order is written.
    ///
    /// True while this daemon is responsible by a fresh view of the same
    /// revision, and the engine was read at `read_at` within one lease. A
    /// process that was paused since its decision fails here.
    pub(crate) fn may_send(&self, engine: &str, revision: Revision, read_at: Moment) -> bool {
        let Some(view) = self.fresh_view() else {
            return false;
        };
        let own = view.engine(engine).and_then(|engine| {
            let first = responsible(&view.daemons, engine)?;
            (*first == view.own_instance && !engine.leaving).then_some(())
        });
        own.is_some() && view.revision == revision && read_at.age() < self.options.view_lease
    }
}
