//! The view of the engines and the choice among them.

mod choice;
mod figures;
mod support;
mod view;
