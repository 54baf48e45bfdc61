//! The view of the engines and the choice among them.

mod choice;
mod support;
mod view;
