//! Lifecycle of a daemon: listen, serve, drain, stop.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use compio::runtime::{JoinHandle, spawn};
use mangofront_audit::AuditEvent;
use mangofront_bodies::BodyMemory;
use mangofront_configuration::Platform;
use mangofront_http::{Acceptance, ServeLimits, Shutdown, StopSignals, serve, serve_while_on_time};
use mangofront_placement::Policy;
use mangofront_settings::process::DaemonSettings;
use mangofront_telemetry::invariants::{Invariant, check};

use crate::address_wait::AddressWait;
use crate::components::{Components, assemble};
use crate::error::DaemonError;
use crate::settings_watch::SettingsWatch;
use crate::signals::StopSignalListener;
use crate::{
    admin, body_memory, control_metrics, event_loop_lag, orders, placement_views, platform_updates,
    relay, watchers,
};

/// Retry delay sent to callers while the daemon is stopping.
///
/// Another daemon can serve the request at once; the load balancer needs about
/// a second to stop routing to this one.
const RETRY_AFTER_STOP: Duration = Duration::from_secs(1);

/// Longest time that callers wait after the start until a configuration and an
/// instance list have been accepted.
const STARTUP_WAIT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time allowed for a predecessor to stop if the settings have no limit. The classes,
/// whose time limits would give one, are not known yet at this point.
const DEFAULT_PREDECESSOR_STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// Interval at which the number of requests in progress is polled while draining.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Longest time for callers to accept the errors of requests that were cut off.
const CUT_OFF_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs a daemon until it receives a stop signal and has drained.
///
/// # Errors
/// [`DaemonError`] if the daemon can't start.
pub(crate) async fn run(
    settings: DaemonSettings,
    settings_path: PathBuf,
    policy: Policy,
) -> Result<(), DaemonError> {
    let settings_watch = SettingsWatch::new(settings_path)?;
    let in_force = settings.clone();
    let wait = AddressWait::for_predecessor(predecessor_stop_limit(&settings));
    let admin_listener = wait.listen(|| listen(settings.admin_address)).await?;
    let components = assemble(settings, policy, wait).await?;
    let limits = serve_limits(&components.settings, &components.body_memory);
    // Bound last, so that no caller waits while another address is still in use.
    let caller_listener = wait
        .listen(|| listen(components.settings.caller_address))
        .await?;
    let mut stop_signals = StopSignalListener::new()?;
    log::info!(
        "daemon: {} serves callers on {}",
        components.settings.instance,
        components.settings.caller_address
    );
    let (stop_admin, admin_stopped) = Shutdown::new();
    let (stop_entry, entry_stopped) = Shutdown::new();
    let (abort_entry, entry_aborted) = Shutdown::new();
    let admin_components = components.clone();
    let handle_admin = move |request, _peer| admin::handle(admin_components.clone(), request);
    spawn(serve(
        admin_listener,
        limits.clone(),
        handle_admin,
        admin_stopped,
    ))
    .detach();
    let entry = components.entry.clone();
    let handle_caller = move |request, peer| entry.clone().handle(request, peer);
    let platform = components.platform.clone();
    let acceptance = Acceptance::default();
    let caller_acceptance = acceptance.clone();
    let server = spawn(async move {
        // Until then callers wait in the kernel's accept queue. Otherwise a daemon
        // that has just replaced another would refuse their requests.
        let _ = compio::time::timeout(STARTUP_WAIT_TIMEOUT, wait_until_configured(&platform)).await;
        let acceptance = caller_acceptance;
        serve_while_on_time(
            caller_listener,
            limits,
            acceptance,
            handle_caller,
            StopSignals {
                shutdown: entry_stopped,
                abort: entry_aborted,
            },
        )
        .await;
    });
    let mut background_tasks = start_background_tasks(&components, acceptance);
    background_tasks.push(spawn(settings_watch.follow(in_force, |_settings| ())));
    stop_signals.next().await?;
    spawn(stop_signals.ignore()).detach();
    drain(&components).await;
    let handover = components.once.hand_over().await;
    log::info!("daemon: idempotency records handed over: {handover:?}");
    components.peers.leave();
    stop_entry.trigger();
    // A connection whose caller does not read must not keep the process alive:
    // its request has already ended.
    let _ = compio::time::timeout(RETRY_AFTER_STOP, server).await;
    abort_entry.trigger();
    drop(background_tasks);
    stop_admin.trigger();
    log::info!("daemon: stopped");
    Ok(())
}

/// Waits until a configuration and an instance list have been accepted.
async fn wait_until_configured(platform: &Platform) {
    let mut seen = platform.revisions();
    while seen.configuration.is_none() || seen.instances.is_none() {
        seen = platform.changed(seen).await;
    }
}

/// Starts the tasks that pass updates between the components.
fn start_background_tasks(components: &Components, acceptance: Acceptance) -> Vec<JoinHandle<()>> {
    let (platform, peers) = (&components.platform, &components.peers);
    let placement = &components.placement;
    let own_instance = components.settings.instance.clone();
    vec![
        spawn(platform_updates::apply_changes(components.clone())),
        spawn(watchers::update_watching(
            platform.clone(),
            peers.clone(),
            Rc::clone(&components.settings),
        )),
        spawn(relay::publish(platform.clone(), peers.clone())),
        spawn(relay::fetch(platform.clone(), peers.clone())),
        spawn(placement_views::publish(placement.clone(), peers.clone())),
        spawn(placement_views::receive(
            placement.clone(),
            peers.clone(),
            own_instance,
        )),
        spawn(components.once.maintain()),
        spawn(orders::update_view(components.clone())),
        spawn(control_metrics::record(components.clone())),
        spawn(body_memory::warn_of_lack(components.body_memory.clone())),
        spawn(event_loop_lag::measure(
            components.metrics.clone(),
            acceptance,
        )),
    ]
}

/// Refuses new requests and waits until those in progress have ended; cuts them off when
/// the stop limit has passed.
async fn drain(components: &Components) {
    let started = Instant::now();
    components.audit.record(AuditEvent::DrainStarted {
        in_flight_requests: components.entry.in_progress() as u64,
    });
    components.entry.stop(RETRY_AFTER_STOP);
    let limit = stop_limit(components);
    while components.entry.in_progress() > 0 && limit.is_none_or(|limit| started.elapsed() < limit)
    {
        compio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    let cut_requests = components.entry.in_progress() as u64;
    if cut_requests > 0 {
        components.entry.cut_off();
        let cut_off_at = Instant::now();
        while components.entry.in_progress() > 0 && cut_off_at.elapsed() < CUT_OFF_TIMEOUT {
            compio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
    check(Invariant::StopCutsNothing, cut_requests == 0, || {
        format!("{cut_requests} requests were cut off at the stop limit")
    });
    check_engine_slots_released(components, cut_requests);
    components.audit.record(AuditEvent::DrainFinished {
        cut_requests,
        took_ms: u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX),
    });
}

/// Checks that no engine still counts a request that has ended.
fn check_engine_slots_released(components: &Components, cut_requests: u64) {
    let engines = components.placement.status().engines;
    let outstanding: u32 = engines.iter().map(|engine| engine.outstanding).sum();
    let holds = u64::from(outstanding) <= cut_requests;
    check(Invariant::MemoryReturned, holds, || {
        format!("engines still count {outstanding} outstanding requests")
    });
}

/// Longest duration of a drain: the limit of the settings, or else the longest time
/// limit of any class.
fn stop_limit(components: &Components) -> Option<Duration> {
    if let Some(limit_ms) = components.settings.stop_limit_ms {
        return Some(Duration::from_millis(limit_ms));
    }
    let accepted = components.platform.configuration()?;
    accepted
        .configuration
        .classes
        .values()
        .map(|class| class.time_limit())
        .max()
}

/// Time that a predecessor may take to stop: the limit of the settings, or else a default.
fn predecessor_stop_limit(settings: &DaemonSettings) -> Duration {
    settings
        .stop_limit_ms
        .map_or(DEFAULT_PREDECESSOR_STOP_TIMEOUT, Duration::from_millis)
}

pub(crate) async fn listen(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| DaemonError::Listen { address, cause })
}

fn serve_limits(settings: &DaemonSettings, body_memory: &BodyMemory) -> ServeLimits {
    ServeLimits {
        header_timeout: settings.limits.header_timeout(),
        header_limit_bytes: settings.limits.header_limit_bytes as usize,
        write_timeout: settings.limits.stream_stall_timeout(),
        body_memory: body_memory.clone(),
    }
}
