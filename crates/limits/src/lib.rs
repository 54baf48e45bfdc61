//! Rate limits of upstreams, kept by all daemons of a fleet together.
//!
//! An upstream under pressure names the requests per second that it takes from all daemons
//! together. The daemons keep that sum without a store: one daemon of an availability zone
//! coordinates the limits of the zone's upstreams, and a request to a limited upstream needs a
//! permit of it. Permits are scheduled like the cells of a generic cell rate algorithm, so a
//! request either gets a time at which it may be sent, or hears at once when its turn would
//! come.
//!
//! No daemon may grant by virtue of being coordinator alone: during a network partition there
//! are several. Every daemon of the fleet owns an equal share of each limit and lends it, by a
//! lease, to one coordinator at a time. A coordinator grants the sum of the shares that it
//! holds. The shares of all coordinators never exceed the whole, however the fleet is
//! partitioned and however much the daemons' views differ:
//!
//! - A lender counts its lease from the moment at which it replies, a coordinator from the
//!   moment at which it asked, and the lender's lease is longer by the time for which permits
//!   may still be used. So no share is counted twice, however late messages are.
//! - A daemon that has just started lends nothing until a lease of its previous incarnation
//!   must have ended.
//! - A daemon that is suspended finds on waking that its leases and permits have expired, as
//!   times are measured by a clock that goes on.
//! - Shares of daemons that can't be reached, or that are listed and have never answered, stay
//!   unused for a while, as these may be running behind a partition ([`FleetSize`]). A daemon
//!   that does not know yet how many there are lends nothing and grants nothing.
//!
//! An upstream that is cold takes fewer requests for a while, at a rate that its service publishes:
//! a limit like one that it names. [`WarmUps`] tells which are cold, and until when.
//!
//! [`LimitTable`] merges what daemons observe of limits, [`ShareLender`] and [`Coordinator`] keep
//! the leases and the schedules, [`Permits`] those that a daemon was granted. The crate does no
//! input or output. All methods take the current time as a [`Moment`].

mod coordinator;
mod fleet_size;
mod options;
mod permits;
mod rate;
mod schedule;
mod shares;
mod table;
mod warm_up;

use std::time::Duration;

pub use coordinator::{Coordinator, PermitDecision, PermitRequest};
pub use fleet_size::{FleetSize, FleetView};
pub use options::LimitOptions;
pub use permits::{Access, Permit, Permits};
pub use rate::{NamedLimit, RateLimit};
pub use shares::ShareLender;
pub use table::{LimitChange, LimitInForce, LimitObservation, LimitTable};
pub use warm_up::{ColdChange, ColdEvidence, ColdObservation, ColdUpstream, WarmUpTerms, WarmUps};

/// Time since the machine's boot, including the time for which it was suspended.
pub type Moment = Duration;

/// Hash that identifies an incarnation of an upstream.
pub type UpstreamKey = u64;

/// Hash that identifies a daemon over all its incarnations.
pub type DaemonId = u64;

/// Hash that identifies one incarnation of a daemon.
pub type IncarnationId = u64;

/// Name of an availability zone.
pub type ZoneName = String;

/// Name of the upstreams that have one coordinator: their availability zone.
pub type GroupName = ZoneName;
