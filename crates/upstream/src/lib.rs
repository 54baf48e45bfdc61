//! HTTP towards engines and services.
