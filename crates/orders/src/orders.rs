//! The handle that embedders hold.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

use compio::runtime::{JoinHandle, spawn};
use mangofront_settings::ids::InstanceId;

use crate::clock::Moment;
use crate::keeper::keep;
use crate::options::OrdersOptions;
use crate::responsible::responsible;
use crate::shared::{Held, Shared};
use crate::status::{EngineStatus, OrdersStatus, Phase};
use crate::view::OrdersView;

/// Orders of one daemon, bound to the runtime that it was made on.
///
/// Clones share one state; the tasks end with the last one. An order that was
/// written by then is still told to the callback.
#[derive(Clone)]
pub struct Orders {
    shared: Rc<Shared>,
    tasks: Rc<RefCell<Tasks>>,
}

/// Invariant: one task for each engine that this daemon is responsible for by
/// the last view, and as old as that responsibility.
type Tasks = HashMap<InstanceId, JoinHandle<()>>;

impl fmt::Debug for Orders {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Orders")
            .field("shared", &self.shared)
            .finish_non_exhaustive()
    }
}

impl Orders {
    /// No engine until a view is set.
    #[must_use]
    pub fn new(options: OrdersOptions) -> Self {
        Self {
            shared: Rc::new(Shared::new(options)),
            tasks: Rc::default(),
        }
    }

    /// Takes a view that is true now, and starts a new lease.
    ///
    /// To be called several times within a lease, and only while the embedder
    /// can rely on its own sight of the others. Of a view with a lower revision
    /// than before, the configuration is left out. After a lease ran out every
    /// responsibility counts as new.
    pub fn set_view(&self, view: OrdersView) {
        let lease = self.shared.options.view_lease;
        let former = self.shared.held.borrow_mut().take();
        let lapsed = former
            .as_ref()
            .is_some_and(|held| held.since.age() >= lease);
        let view = Rc::new(keep_floor(view, former));
        *self.shared.held.borrow_mut() = Some(Held {
            view: Rc::clone(&view),
            since: Moment::now(),
        });
        if lapsed {
            log::info!("orders: the view had run out, every engine is taken over anew");
            self.tasks.borrow_mut().clear();
        }
        self.set_tasks(&view);
    }

    /// Orders now.
    #[must_use]
    pub fn status(&self) -> OrdersStatus {
        let held = self.shared.held.borrow();
        OrdersStatus {
            revision: held.as_ref().map_or(0, |held| held.view.revision),
            view_fresh: self.shared.fresh_view().is_some(),
            engines: self.shared.engines.borrow().clone(),
        }
    }

    fn set_tasks(&self, view: &OrdersView) {
        let own = own_engines(view);
        let mut tasks = self.tasks.borrow_mut();
        let mut statuses = self.shared.engines.borrow_mut();
        tasks.retain(|engine, _| own.contains(&engine));
        statuses.retain(|engine, _| own.contains(&engine));
        for engine in own {
            tasks.entry(engine.clone()).or_insert_with(|| {
                let status = EngineStatus {
                    phase: Phase::New,
                    order: None,
                };
                statuses.insert(engine.clone(), status);
                spawn(keep(Rc::clone(&self.shared), engine.clone()))
            });
        }
    }
}

/// Engines that fall to this daemon.
fn own_engines(view: &OrdersView) -> Vec<&InstanceId> {
    let stays = view.engines.iter().filter(|engine| !engine.leaving);
    let published = stays.filter(|engine| view.models.contains_key(&engine.model));
    let own =
        published.filter(|engine| responsible(&view.daemons, engine) == Some(&view.own_instance));
    own.map(|engine| &engine.instance).collect()
}

/// Replaces a configuration older than the one held.
fn keep_floor(mut view: OrdersView, former: Option<Held>) -> OrdersView {
    let Some(former) = former.filter(|held| held.view.revision > view.revision) else {
        return view;
    };
    log::warn!(
        "orders: configuration {} is older than {} and left out",
        view.revision,
        former.view.revision
    );
    view.revision = former.view.revision;
    view.models.clone_from(&former.view.models);
    view
}
