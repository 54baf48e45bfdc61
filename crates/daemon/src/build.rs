//! Names this process's build where operators look for it.

use mangofront_build_info::Build;
use mangofront_telemetry::metrics::{BuildLabels, Metrics};

/// Logs the build.
pub(crate) fn log() {
    let Build {
        version,
        commit,
        target,
    } = Build::current();
    log::info!(
        version = version,
        commit = commit.id(),
        sources = commit.state(),
        target = target;
        "daemon: build"
    );
}

/// Adds the build to the metrics.
pub(crate) fn observe(metrics: &Metrics) {
    let build = Build::current();
    metrics.build_info(BuildLabels {
        version: build.version,
        commit: build.commit.id(),
        sources: build.commit.state(),
        target: build.target,
    });
}
