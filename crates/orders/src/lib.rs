//! Model, adapter, version and role orders to engines.
//!
//! Reconciles the engines that this daemon is responsible for with the
//! configuration. The embedder sets an [`OrdersView`], which is plain data: the
//! daemons that are alive, the engines, and the configuration in force. The crate
//! determines the engines that this daemon is responsible for, runs one task for
//! each, compares the state that the engine reports with the desired state, and
//! sends the next missing order. Each order is reported to a callback as an
//! [`OrderChange`].
//!
//! The `upstream` crate sends the calls; the daemon builds the view from
//! `platform` and `peers` and records the changes in `audit`. Keeping requests
//! away from a loading engine is the task of `placement`.
//!
//! A view is a lease: it is valid for [`OrdersOptionsBuilder::view_lease`] after
//! it was set, and no order is sent after that. `docs/design/orders.md` explains
//! why this is safe with engines that check fencing tokens, and to what extent
//! with engines that don't.

mod assignment;
mod backoff;
mod change;
mod client;
mod clock;
mod desired;
mod engine_states;
mod error;
mod message;
mod options;
mod orders;
mod reconciler;
mod shared;
mod status;
mod token;
mod turn;
mod view;

pub use assignment::responsible_daemon;
pub use change::{OrderChange, OrderOutcome};
pub use desired::DesiredState;
pub use error::OrderError;
pub use message::{EngineReport, LoadState, Order, OrderKind};
pub use options::{OnChange, OrdersOptions, OrdersOptionsBuilder};
pub use orders::Orders;
pub use status::{EngineStatus, OrdersStatus, Phase};
pub use token::{FencingToken, Outdated};
pub use turn::{EngineState, LoadCondition, LoadLimits, may_start_load};
pub use view::{EngineRole, OrdersDaemon, OrdersEngine, OrdersView};
