//! View of the upstreams, and the choice among them.

mod choice;
mod crashes;
mod eligibility;
mod notices;
mod profile;
mod support;
mod view;
