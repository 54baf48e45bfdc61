//! View of the upstreams, and the choice among them.

mod choice;
mod crashes;
mod notices;
mod profile;
mod steep_rises;
mod support;
mod view;
