//! Emulators of engines, services, platform and weight store.
