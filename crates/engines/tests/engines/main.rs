//! View of the upstreams, and the choice among them.

mod choice;
mod cold;
mod crashes;
mod eligibility;
mod notices;
mod prefixes;
mod profile;
mod shares;
mod steep_rises;
mod support;
mod view;
