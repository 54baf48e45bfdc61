//! Model of the upstreams' time and memory, and the choice among them.
//!
//! Owns what a daemon thinks each upstream is doing: its own requests, those
//! that other daemons told of, and which upstreams failed lately. From the
//! published speed of the engines it predicts when a prompt's first event would
//! come, and chooses the engine that answers together with those that read
//! parts of the prompt ([`Upstreams::place`]). It also owns which requests upstreams
//! crashed under, and keeps those that crash every one from further ones.
//!
//! Long prompts are read by many engines at once, because the whole work stays
//! the same while each engine, and every short request on it, is held up for a
//! fraction of the time. Short prompts fill the engines from one end of an
//! order that all daemons share, long ones from the other, so that under mixed
//! load some engines stay free of long parts.
//!
//! Nothing in here does input or output. What other daemons should hear comes
//! out of a channel as [`LoadUpdate`], and goes in by [`Upstreams::apply_update`].

mod arrivals;
mod choose;
mod crashes;
mod health;
mod layout;
mod lives;
mod news;
mod placed;
mod shares;
mod state;
mod upstream;
mod upstreams;
mod verdict;
mod weigh;
mod work;

pub use choose::{Demand, NoUpstream, Share};
pub use crashes::{CrashStatus, QuarantineState};
pub use health::Failure;
pub use mangofront_settings::process::ChoiceOptions;
pub use news::{IncarnationId, LoadUpdate};
pub use placed::Placement;
pub use shares::{Progress, RequestFingerprint, SizeClass};
pub use upstreams::{Clock, UpstreamStatus, Upstreams};
pub use work::{UpstreamKey, WorkId, key_of};
