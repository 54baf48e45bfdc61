//! Configuration and instance list: read, watch, relay, revision floor.
