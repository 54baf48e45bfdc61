//! Public handle of this crate.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

use compio::runtime::{JoinHandle, spawn};
use mangofront_settings::ids::InstanceId;

use crate::assignment::responsible_daemon;
use crate::clock::Timestamp;
use crate::options::OrdersOptions;
use crate::reconciler::reconcile_engine;
use crate::shared::{CurrentView, Shared};
use crate::status::{EngineStatus, OrdersStatus, Phase};
use crate::view::OrdersView;

/// Handle to the orders of one daemon, bound to the runtime it was created on.
///
/// Clones share their state; the tasks end when the last clone is dropped. The
/// outcome of an order sent before that is still reported to the callback.
#[derive(Clone)]
pub struct Orders {
    shared: Rc<Shared>,
    tasks: Rc<RefCell<Tasks>>,
}

/// Invariant: there is one task for each engine that this daemon is responsible for
/// according to the last view, running since the responsibility began.
type Tasks = HashMap<InstanceId, JoinHandle<()>>;

impl fmt::Debug for Orders {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Orders")
            .field("shared", &self.shared)
            .finish_non_exhaustive()
    }
}

impl Orders {
    /// Creates the handle; no engine gets orders until a view is set.
    #[must_use]
    pub fn new(options: OrdersOptions) -> Self {
        Self {
            shared: Rc::new(Shared::new(options)),
            tasks: Rc::default(),
        }
    }

    /// Sets the current view and starts a new lease.
    ///
    /// Must be called several times within a lease, and only while the embedder can
    /// rely on its view of the other daemons. If the view has a lower revision than
    /// the previous one, its configuration is ignored. After a lease has expired,
    /// every responsibility counts as new.
    pub fn set_view(&self, view: OrdersView) {
        let lease = self.shared.options.view_lease;
        let previous = self.shared.current_view.borrow_mut().take();
        let expired = previous
            .as_ref()
            .is_some_and(|current| current.set_at.age() >= lease);
        let view = Rc::new(keep_newest_configuration(view, previous));
        *self.shared.current_view.borrow_mut() = Some(CurrentView {
            view: Rc::clone(&view),
            set_at: Timestamp::now(),
        });
        if expired {
            log::info!("orders: the lease of the view had expired, taking over every engine again");
            self.tasks.borrow_mut().clear();
        }
        self.update_tasks(&view);
    }

    /// Current state for the status page.
    #[must_use]
    pub fn status(&self) -> OrdersStatus {
        let current_view = self.shared.current_view.borrow();
        OrdersStatus {
            revision: current_view
                .as_ref()
                .map_or(0, |current| current.view.revision),
            view_fresh: self.shared.fresh_view().is_some(),
            engines: self.shared.engines.borrow().clone(),
        }
    }

    fn update_tasks(&self, view: &OrdersView) {
        let assigned = assigned_engines(view);
        let mut tasks = self.tasks.borrow_mut();
        let mut statuses = self.shared.engines.borrow_mut();
        tasks.retain(|engine, _| assigned.contains(&engine));
        statuses.retain(|engine, _| assigned.contains(&engine));
        for engine in assigned {
            tasks.entry(engine.clone()).or_insert_with(|| {
                let status = EngineStatus {
                    phase: Phase::New,
                    order: None,
                };
                statuses.insert(engine.clone(), status);
                spawn(reconcile_engine(Rc::clone(&self.shared), engine.clone()))
            });
        }
    }
}

/// Engines that this daemon is responsible for.
fn assigned_engines(view: &OrdersView) -> Vec<&InstanceId> {
    let staying = view.engines.iter().filter(|engine| !engine.leaving);
    let published = staying.filter(|engine| view.models.contains_key(&engine.model));
    let assigned = published
        .filter(|engine| responsible_daemon(&view.daemons, engine) == Some(&view.own_instance));
    assigned.map(|engine| &engine.instance).collect()
}

/// Replaces the configuration of `view` if it is older than the previous one.
fn keep_newest_configuration(mut view: OrdersView, previous: Option<CurrentView>) -> OrdersView {
    let Some(previous) = previous.filter(|current| current.view.revision > view.revision) else {
        return view;
    };
    log::warn!(
        "orders: ignoring configuration {}, which is older than {}",
        view.revision,
        previous.view.revision
    );
    view.revision = previous.view.revision;
    view.models.clone_from(&previous.view.models);
    view
}
