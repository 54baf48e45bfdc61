//! Assembly of the daemon: parts, admin listener, shutdown.
