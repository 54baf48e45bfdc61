//! Model, adapter, version and role orders to engines.
//!
//! Owns what this daemon orders of the engines that it is responsible for. The
//! embedder hands in an [`OrdersView`], plain data: the daemons that are alive,
//! the engines, and the configuration in force. The crate finds the engines
//! that fall to this daemon, runs one task for each, compares what the engine
//! reports with the desired state, and sends the next order that is missing. Each
//! order goes to a callback as an [`OrderChange`].
//!
//! Neighbours: `upstream` carries the calls; the daemon joins the view from
//! `platform` and `peers` and takes the changes to `audit`. Requests are kept
//! away from a loading engine by `placement`, not here.
//!
//! A view is a lease: it is good for [`OrdersOptionsBuilder::view_lease`] after
//! it was handed in, and nothing is sent past that. `docs/design/orders.md`
//! tells why this is safe with engines that check fencing tokens and how far
//! with those that don't.

mod backoff;
mod change;
mod clock;
mod desired;
mod error;
mod exchange;
mod keeper;
mod message;
mod options;
mod orders;
mod responsible;
mod shared;
mod status;
mod survey;
mod token;
mod turn;
mod view;

pub use change::{OrderChange, OrderOutcome};
pub use desired::DesiredState;
pub use error::OrderError;
pub use message::{EngineReport, LoadState, Order, OrderKind};
pub use options::{OnChange, OrdersOptions, OrdersOptionsBuilder};
pub use orders::Orders;
pub use responsible::responsible;
pub use status::{EngineStatus, OrdersStatus, Phase};
pub use token::{FencingToken, Outdated};
pub use turn::{Condition, Standing, TurnLimits, may_start};
pub use view::{EngineRole, OrdersDaemon, OrdersEngine, OrdersView};
