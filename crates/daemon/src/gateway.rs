//! A daemon that serves published routes.
//!
//! The same process as [`crate::run`]'s, with the gateway in the place of the
//! own interface. All that the platform speaks comes from the adapter.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::runtime::{JoinHandle, spawn};
use futures_channel::mpsc;
use futures_util::FutureExt;
use http::{Response, StatusCode};
use mangofront_adapter::{HeaderDialect, StoreClient};
use mangofront_engines::Upstreams;
use mangofront_gateway::{
    Gateway, GatewayOptions, GatewayParts, Published, PublishedOptions, RetryLimit, StateExchange,
    StateExchangeOptions,
};
use mangofront_http::{Body, ServeLimits, Shutdown, empty, serve};
use mangofront_peers::{ListedPeer, MemberChange, Peers, Responder, Service};
use mangofront_settings::process::{DaemonSettings, GatewaySettings, read_daemon_settings};
use mangofront_telemetry::metrics::Metrics;
use mangofront_upstream::{Connections, ConnectionsOptions};
use xxhash_rust::xxh3::xxh3_64;

use crate::address_wait::AddressWait;
use crate::error::DaemonError;
use crate::run::{listen, signal, wait_for_stop};
use crate::{gateway_admin, lag, membership};

/// Number of the signal that says that the settings file has changed.
const SIGHUP: i32 = 1;

/// Longest time for which a caller may keep a connection open unused.
///
/// Callers rely on a published limit and stay below it; this only bounds what
/// connections that nobody uses can hold.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Time kept free before the process is killed.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Pause between looks at the requests in progress while stopping.
const DRAIN_PAUSE: Duration = Duration::from_millis(20);

/// Time for connections to close after the last answer.
const CLOSING_TIME: Duration = Duration::from_millis(300);

/// Unused connections kept for each upstream: what one daemon may need at once
/// of the slots of an upstream.
const IDLE_CONNECTIONS: usize = 24;

/// Time for which an unused connection is kept where its upstream names none: with
/// hundreds of upstreams a daemon comes back to one only after seconds.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a daemon that serves published routes until it is told to stop.
///
/// # Errors
/// [`DaemonError`] when it can't start.
pub(crate) async fn run(
    settings: DaemonSettings,
    path: PathBuf,
    own: GatewaySettings,
) -> Result<(), DaemonError> {
    let wait = AddressWait::for_predecessor(own.stop_grace());
    let balancer = wait.listen(|| listen(own.ready_address)).await?;
    let operators = wait.listen(|| listen(settings.admin_address)).await?;
    let metrics = Metrics::new()?;
    let (gateway, peers, background) = assemble(&settings, &own, &metrics, wait).await?;
    // Last, so that no caller is held while another address is waited for.
    let callers = wait.listen(|| listen(settings.caller_address)).await?;
    log::info!(
        instance = settings.instance.as_str(),
        availability_zone = settings.availability_zone.as_str(),
        callers = settings.caller_address.to_string().as_str();
        "daemon: started"
    );
    let limits = ServeLimits {
        header_timeout: IDLE_TIMEOUT,
        header_limit_bytes: settings.limits.header_limit_bytes as usize,
        write_timeout: settings.limits.stream_stall_timeout(),
    };
    let (stop_callers, callers_stopped) = Shutdown::new();
    let (_serve_on, never) = Shutdown::new();
    let asked = gateway.clone();
    let readiness = move |_request, _peer| ready_answer(asked.is_ready());
    spawn(serve(balancer, limits, readiness, never.clone())).detach();
    let asked = gateway.clone();
    let operator =
        move |request, _peer| gateway_admin::answer(asked.clone(), metrics.clone(), request);
    spawn(serve(operators, limits, operator, never)).detach();
    let answering = gateway.clone();
    let answer = move |request, peer| answering.clone().handle(request, peer);
    let serving = spawn(serve(callers, limits, answer, callers_stopped));
    let reloading = spawn(reload(path));
    wait_for_stop().await?;
    drain(&gateway, own.stop_grace()).await;
    peers.leave();
    stop_callers.trigger();
    // A caller that reads nothing must not hold the process.
    let _ = compio::time::timeout(CLOSING_TIME, serving).await;
    drop((background, reloading));
    log::info!(in_progress = gateway.in_progress(); "daemon: stopped");
    mangofront_telemetry::logs::flush();
    Ok(())
}

/// Starts the parts and the tasks that carry news between them.
async fn assemble(
    settings: &DaemonSettings,
    own: &GatewaySettings,
    metrics: &Metrics,
    wait: AddressWait,
) -> Result<(Gateway, Peers, Vec<JoinHandle<()>>), DaemonError> {
    let (tell, told) = mpsc::unbounded();
    let zone = settings.availability_zone.clone();
    let salt = xxh3_64(settings.instance.as_bytes());
    let upstreams = Upstreams::new(own.choice.clone(), zone.clone(), salt, tell);
    let connections = connections(settings);
    let published = Published::new(
        PublishedOptions::for_bounds(own.key_lease(), own.change_bound()),
        upstreams.clone(),
        connections.clone(),
    );
    let store = StoreClient::new(connections.clone(), settings.platform_address);
    let sharing_cell: Rc<std::cell::OnceCell<Rc<StateExchange>>> = Rc::default();
    let start = async || start_peers(settings, own, &published, &sharing_cell);
    let peers = wait.listen(start).await?;
    let sharing_options = StateExchangeOptions {
        address: own.news_address,
        instance: settings.instance.clone(),
        zone,
        relay_from_daemons: own.relay_from_daemons as usize,
    };
    let start = async || {
        let (options, peers) = (sharing_options.clone(), peers.clone());
        let sharing = StateExchange::start(options, peers, upstreams.clone(), published.clone());
        Ok(sharing.await?)
    };
    let sharing = wait.listen(start).await?;
    // Set once, right here.
    let _ = sharing_cell.set(Rc::clone(&sharing));
    let options = GatewayOptions::builder(settings.instance.clone())
        .key_lease(own.key_lease())
        .retry_limit(RetryLimit {
            ratio: own.second_send_ratio,
            slack: own.second_send_slack_requests,
            window: own.second_send_window(),
        })
        .stall_timeout(own.engine_stall())
        .build();
    let gateway = Gateway::new(GatewayParts {
        options,
        dialect: Rc::new(HeaderDialect),
        connections,
        upstreams,
        published: published.clone(),
        peers: peers.clone(),
        metrics: metrics.clone(),
    });
    let background = vec![
        spawn(published.follow(Rc::new(store), Rc::clone(&sharing))),
        spawn(Rc::clone(&sharing).broadcast(told)),
        spawn(Rc::clone(&sharing).rebroadcast_running()),
        spawn(sharing.receive()),
        spawn(gateway.clone().watch_zones()),
        spawn(lag::watch(metrics.clone())),
    ];
    Ok((gateway, peers, background))
}

fn connections(settings: &DaemonSettings) -> Connections {
    Connections::new(ConnectionsOptions {
        connect_timeout: settings.limits.connect_timeout(),
        idle_limit: IDLE_CONNECTIONS,
        idle_timeout: IDLE_CONNECTION_TIMEOUT,
    })
}

fn start_peers(
    settings: &DaemonSettings,
    own: &GatewaySettings,
    published: &Published,
    sharing: &Rc<std::cell::OnceCell<Rc<StateExchange>>>,
) -> Result<Peers, DaemonError> {
    let options = membership::options(settings)
        .capacity_percent(own.processor_percent())
        .build();
    let sharing = Rc::clone(sharing);
    let on_change = Rc::new(move |change: MemberChange| {
        let member = &change.member;
        if let Some(sharing) = sharing.get().filter(|_| !member.state.is_responsive()) {
            sharing.remove_daemon(&member.instance);
        }
    });
    let published = published.clone();
    let responder: Responder = Rc::new(move |_from, service, request| {
        let answer = match service {
            Service::Platform => published.answer_copy_request(&request),
            Service::Once | Service::Placement => Bytes::new(),
        };
        async move { answer }.boxed_local()
    });
    let peers = Peers::start(options, on_change, responder)?;
    let seeds = own
        .seeds
        .iter()
        .filter(|seed| **seed != settings.peer_address);
    let listed: Vec<ListedPeer> = seeds.map(|seed| seed_peer(settings, *seed)).collect();
    peers.set_listed(&listed);
    Ok(peers)
}

/// A daemon of which only the address is known; what it says of itself replaces this.
fn seed_peer(settings: &DaemonSettings, address: SocketAddr) -> ListedPeer {
    ListedPeer {
        instance: address.ip().to_string(),
        region: settings.region.clone(),
        availability_zone: settings.availability_zone.clone(),
        address,
        leaving: false,
    }
}

async fn ready_answer(is_ready: bool) -> Response<Body> {
    let mut response = Response::new(empty());
    if !is_ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Serves on for a while, and then waits until all that is in progress has ended.
async fn drain(gateway: &Gateway, grace: Duration) {
    let started = Instant::now();
    log::info!(in_progress = gateway.in_progress(); "daemon: stopping");
    gateway.begin_drain();
    let limit = grace.saturating_sub(STOP_MARGIN + CLOSING_TIME);
    while started.elapsed() < limit {
        if gateway.is_refusing() && gateway.in_progress() == 0 {
            return;
        }
        compio::time::sleep(DRAIN_PAUSE).await;
    }
}

/// Reads the settings file again at each SIGHUP.
///
/// What a running process can't change (its addresses) stays until a restart;
/// a file that can't be read is told and changes nothing.
async fn reload(path: PathBuf) {
    loop {
        if let Err(error) = signal(SIGHUP).await {
            log::warn!("daemon: no more reloads: {error}");
            return;
        }
        match read_daemon_settings(&path) {
            Ok(_) => log::info!("daemon: settings read again; nothing in them changes at run time"),
            Err(error) => log::error!("daemon: settings not taken: {error}"),
        }
    }
}
