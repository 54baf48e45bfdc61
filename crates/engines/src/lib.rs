//! Load model of the upstreams, and the placement of requests on them.
//!
//! Tracks the load that a daemon assumes on each upstream: its own requests, those that other
//! daemons reported, and recent failures. From the published engine profiles it predicts the time
//! to first event of a prompt, and chooses the engine that answers together with the helpers that
//! prefill shares of the prompt ([`Upstreams::place`]). It also keeps the record of what crashes
//! upstreams ([`mangofront_quarantine`]), and exchanges it with the other daemons.
//!
//! Long prompts are split over many engines: the total work stays the same, while each engine, and
//! every short request on it, is blocked for only a fraction of the time. Short prompts fill the
//! engines from one end of an order that all daemons share and long ones from the other end, so
//! that under mixed load some engines stay free of long prefills.
//!
//! This crate does no input or output. Updates for other daemons are sent into a channel as
//! [`LoadUpdate`]; those received are applied by [`Upstreams::apply_update`].

mod arrivals;
mod choose;
mod cost;
mod decision;
mod eligibility;
mod health;
mod incarnations;
mod large_prompts;
mod layout;
mod load_update;
mod notices;
mod organisation_shares;
mod placement;
mod precedence;
mod state;
mod upstream_state;
mod upstreams;
mod work;

pub use choose::{Demand, NoUpstream, ORGANISATION_OVER_SHARE, Share};
pub use eligibility::Eligibility;
pub use health::Failure;
pub use large_prompts::{Progress, SizeClass};
pub use load_update::{IncarnationId, LoadUpdate};
pub use mangofront_prefixes::{Beginning, PromptPart};
pub use mangofront_quarantine::RequestFingerprint;
pub use mangofront_settings::process::ChoiceOptions;
pub use organisation_shares::{OverShare, Resource, fair_share};
pub use placement::Placement;
pub use precedence::{Caller, OrganisationHash, Precedence};
pub use upstreams::{Clock, UpstreamStatus, Upstreams};
pub use work::{UpstreamKey, WorkId, key_of};
