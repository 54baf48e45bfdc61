//! Emulators of engines, services, platform and weight store.

pub mod platform;
pub mod service;
