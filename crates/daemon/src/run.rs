//! The life of a daemon: listen, serve, drain, stop.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use compio::runtime::{JoinHandle, spawn};
use futures_util::FutureExt;
use mangofront_audit::AuditEvent;
use mangofront_configuration::Platform;
use mangofront_http::{ServeLimits, Shutdown, serve};
use mangofront_placement::Policy;
use mangofront_settings::process::DaemonSettings;
use mangofront_telemetry::invariants::{Invariant, check};

use crate::address_wait::AddressWait;
use crate::error::DaemonError;
use crate::parts::{Parts, assemble};
use crate::{admin, control, feeds, lag, orders, relay, views, watchers};

/// Time after which a caller may come back to a daemon that stops.
///
/// Another daemon can take the call at once; the balancer needs about a second
/// to leave this one out.
const RETRY_AFTER_STOP: Duration = Duration::from_secs(1);

/// Longest time for which a daemon that starts lets its callers wait until it
/// knows a configuration and an instance list.
const START_PATIENCE: Duration = Duration::from_secs(3);

/// Time for a predecessor to stop where no limit is set; classes, which would name one,
/// are not known yet.
const USUAL_STOP_TIME: Duration = Duration::from_secs(8);

/// Pause between looks at the requests in progress while draining.
const DRAIN_PAUSE: Duration = Duration::from_millis(10);

/// Runs a daemon until it is told to stop and has drained.
///
/// # Errors
/// [`DaemonError`] when it can't start.
pub(crate) async fn run(settings: DaemonSettings, policy: Policy) -> Result<(), DaemonError> {
    let wait = AddressWait::for_predecessor(predecessor_stop_limit(&settings));
    let operators = wait.listen(|| listen(settings.admin_address)).await?;
    let limits = serve_limits(&settings);
    let parts = assemble(settings, policy, wait).await?;
    // Last, so that no caller is held while another address is waited for.
    let callers = wait
        .listen(|| listen(parts.settings.caller_address))
        .await?;
    log::info!(
        "daemon: {} serves callers on {}",
        parts.settings.instance,
        parts.settings.caller_address
    );
    let (stop_admin, admin_stopped) = Shutdown::new();
    let (stop_entry, entry_stopped) = Shutdown::new();
    let admin_parts = parts.clone();
    let answer_operator = move |request, _peer| admin::handle(admin_parts.clone(), request);
    spawn(serve(operators, limits, answer_operator, admin_stopped)).detach();
    let entry = parts.entry.clone();
    let answer_caller = move |request, peer| entry.clone().handle(request, peer);
    let platform = parts.platform.clone();
    let serving = spawn(async move {
        // Until then the kernel keeps callers waiting, which spares them a
        // refusal in the first moments of a daemon that replaces another.
        let _ = compio::time::timeout(START_PATIENCE, wait_for_documents(&platform)).await;
        serve(callers, limits, answer_caller, entry_stopped).await;
    });
    let background = start_background(&parts);
    wait_for_stop().await?;
    drain(&parts).await;
    let handed_over = parts.once.hand_over().await;
    log::info!("daemon: {handed_over:?}");
    parts.peers.leave();
    stop_entry.trigger();
    // A connection left open by a caller that reads nothing must not hold the
    // process: its request has ended already.
    let _ = compio::time::timeout(RETRY_AFTER_STOP, serving).await;
    drop(background);
    stop_admin.trigger();
    log::info!("daemon: stopped");
    Ok(())
}

/// Waits until a configuration and an instance list are in force.
async fn wait_for_documents(platform: &Platform) {
    let mut seen = platform.revisions();
    while seen.configuration.is_none() || seen.instances.is_none() {
        seen = platform.changed(seen).await;
    }
}

/// Starts the tasks that carry news between the parts.
fn start_background(parts: &Parts) -> Vec<JoinHandle<()>> {
    let (platform, peers) = (&parts.platform, &parts.peers);
    let placement = &parts.placement;
    let own = parts.settings.instance.clone();
    vec![
        spawn(feeds::follow_platform(parts.clone())),
        spawn(watchers::follow(
            platform.clone(),
            peers.clone(),
            Rc::clone(&parts.settings),
        )),
        spawn(relay::publish(platform.clone(), peers.clone())),
        spawn(relay::fetch(platform.clone(), peers.clone())),
        spawn(views::publish(placement.clone(), peers.clone())),
        spawn(views::receive(placement.clone(), peers.clone(), own)),
        spawn(parts.once.maintain()),
        spawn(orders::follow(parts.clone())),
        spawn(control::follow(parts.clone())),
        spawn(lag::watch(parts.metrics.clone())),
    ]
}

/// Refuses new work and waits until every request in progress has ended.
async fn drain(parts: &Parts) {
    let started = Instant::now();
    parts.audit.record(AuditEvent::DrainStarted {
        in_flight_requests: parts.entry.in_progress() as u64,
    });
    parts.entry.stop(RETRY_AFTER_STOP);
    let limit = stop_limit(parts);
    while parts.entry.in_progress() > 0 && limit.is_none_or(|limit| started.elapsed() < limit) {
        compio::time::sleep(DRAIN_PAUSE).await;
    }
    let cut_requests = parts.entry.in_progress() as u64;
    check(Invariant::StopCutsNothing, cut_requests == 0, || {
        format!("the stop limit cut off {cut_requests} requests")
    });
    check_memory_returned(parts, cut_requests);
    parts.audit.record(AuditEvent::DrainFinished {
        cut_requests,
        took_ms: u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX),
    });
}

/// Checks that no request's place at an engine outlived the request.
fn check_memory_returned(parts: &Parts, cut_requests: u64) {
    let engines = parts.placement.status().engines;
    let held: u32 = engines.iter().map(|engine| engine.outstanding).sum();
    let holds = u64::from(held) <= cut_requests;
    check(Invariant::MemoryReturned, holds, || {
        format!("{held} requests still count at engines")
    });
}

/// Longest drain: as set, else the longest time of any class.
fn stop_limit(parts: &Parts) -> Option<Duration> {
    if let Some(limit_ms) = parts.settings.stop_limit_ms {
        return Some(Duration::from_millis(limit_ms));
    }
    let accepted = parts.platform.configuration()?;
    accepted
        .configuration
        .classes
        .values()
        .map(|class| class.time_limit())
        .max()
}

/// Time that a predecessor may take to stop: as set, else what it takes as a rule.
fn predecessor_stop_limit(settings: &DaemonSettings) -> Duration {
    settings
        .stop_limit_ms
        .map_or(USUAL_STOP_TIME, Duration::from_millis)
}

pub(crate) async fn wait_for_stop() -> Result<(), DaemonError> {
    let mut terminate = std::pin::pin!(signal(SIGTERM).fuse());
    let mut interrupt = std::pin::pin!(signal(SIGINT).fuse());
    futures_util::select! {
        received = terminate => received,
        received = interrupt => received,
    }
}

/// Number of the signal that asks for a graceful stop.
const SIGTERM: i32 = 15;

/// Number of the signal of an interrupt key.
const SIGINT: i32 = 2;

pub(crate) async fn signal(number: i32) -> Result<(), DaemonError> {
    compio::signal::unix::signal(number)
        .await
        .map_err(|cause| DaemonError::Io {
            step: "wait for a signal",
            cause,
        })
}

pub(crate) async fn listen(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| DaemonError::Listen { address, cause })
}

fn serve_limits(settings: &DaemonSettings) -> ServeLimits {
    ServeLimits {
        header_timeout: settings.limits.header_timeout(),
        header_limit_bytes: settings.limits.header_limit_bytes as usize,
        write_timeout: settings.limits.stream_stall_timeout(),
    }
}
