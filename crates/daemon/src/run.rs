//! The life of a daemon: listen, serve, drain, stop.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use compio::runtime::{JoinHandle, spawn};
use futures_util::FutureExt;
use mangofront_http::{ServeLimits, Shutdown, serve};
use mangofront_placement::Policy;
use mangofront_settings::process::DaemonSettings;

use crate::error::DaemonError;
use crate::parts::{Parts, assemble};
use crate::{admin, control, feeds, orders, relay, views, watchers};

/// Time after which a caller may come back to a daemon that stops.
///
/// Another daemon can take the call at once; the balancer needs about a second
/// to leave this one out.
const RETRY_AFTER_STOP: Duration = Duration::from_secs(1);

/// Pause between looks at the requests in progress while draining.
const DRAIN_PAUSE: Duration = Duration::from_millis(10);

/// Runs a daemon until it is told to stop and has drained.
///
/// # Errors
/// [`DaemonError`] when it can't start.
pub(crate) async fn run(settings: DaemonSettings, policy: Policy) -> Result<(), DaemonError> {
    let callers = listen(settings.caller_address).await?;
    let operators = listen(settings.admin_address).await?;
    let limits = serve_limits(&settings);
    let parts = assemble(settings, policy)?;
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
    let serving = spawn(serve(callers, limits, answer_caller, entry_stopped));
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
    ]
}

/// Refuses new work and waits until every request in progress has ended.
async fn drain(parts: &Parts) {
    let started = Instant::now();
    log::info!("daemon: draining {} requests", parts.entry.in_progress());
    parts.entry.stop(RETRY_AFTER_STOP);
    while parts.entry.in_progress() > 0 {
        if stop_limit(parts).is_some_and(|limit| started.elapsed() >= limit) {
            log::warn!(
                "daemon: stop limit reached with {} requests",
                parts.entry.in_progress()
            );
            return;
        }
        compio::time::sleep(DRAIN_PAUSE).await;
    }
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

async fn wait_for_stop() -> Result<(), DaemonError> {
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

async fn signal(number: i32) -> Result<(), DaemonError> {
    compio::signal::unix::signal(number)
        .await
        .map_err(|cause| DaemonError::Io {
            step: "wait for a signal",
            cause,
        })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| DaemonError::Listen { address, cause })
}

fn serve_limits(settings: &DaemonSettings) -> ServeLimits {
    ServeLimits {
        header_timeout: settings.limits.header_timeout(),
        header_limit_bytes: settings.limits.header_limit_bytes as usize,
    }
}
