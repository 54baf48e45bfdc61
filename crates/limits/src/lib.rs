//! Rate limits of upstreams, as the daemons of a fleet observe them.
//!
//! An upstream under pressure names the requests per second that it takes from all daemons
//! together, in its answers. [`LimitTable`] merges what this daemon and the others observe. The
//! crate does no input or output. All methods take the current time as a [`Moment`].

mod rate;
mod table;

use std::time::Duration;

pub use rate::{NamedLimit, RateLimit};
pub use table::{LimitChange, LimitInForce, LimitObservation, LimitTable};

/// Time since the machine's boot, including the time for which it was suspended.
pub type Moment = Duration;

/// Hash that identifies an incarnation of an upstream.
pub type UpstreamKey = u64;
