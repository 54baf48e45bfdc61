//! A daemon that serves published routes.
//!
//! Like [`crate::run`], but with the gateway instead of the project's request
//! interface. The adapter implements the protocols of the platform.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::runtime::{JoinHandle, spawn};
use futures_channel::mpsc;
use futures_util::FutureExt;
use futures_util::future::join;
use http::{HeaderValue, Response, StatusCode, header};
use mangofront_adapter::{HeaderDialect, StoreClient};
use mangofront_bodies::BodyMemory;
use mangofront_engines::Upstreams;
use mangofront_gateway::{
    Fleet, Gateway, GatewayOptions, GatewayParts, Published, PublishedOptions, RateLimits,
    RateLimitsParts, RetryLimit, StateExchange, StateExchangeOptions, StateExchangeParts, Trials,
    TrialsParts, UNCONFIGURED_BODY_LIMIT_BYTES, peer_messages,
};
use mangofront_http::{
    Acceptance, Body, ServeLimits, Shutdown, StopSignals, empty, serve, serve_abortable,
    serve_while_on_time,
};
use mangofront_peers::{ListedPeer, MemberChange, Peers, Responder, Service};
use mangofront_settings::process::{DaemonSettings, GatewaySettings};
use mangofront_telemetry::metrics::Metrics;
use mangofront_upstream::{Connections, ConnectionsOptions};
use xxhash_rust::xxh3::xxh3_64;

use crate::address_wait::AddressWait;
use crate::error::DaemonError;
use crate::run::listen;
use crate::settings_watch::SettingsWatch;
use crate::signals::StopSignalListener;
use crate::{body_memory, build, event_loop_lag, gateway_admin, membership};

/// Time after which an idle connection of a caller is closed.
///
/// Callers know a published limit and stay below it; this timeout only bounds the
/// resources held by abandoned connections.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Part of the stop grace that the drain leaves unused, so that the process exits
/// before it is killed.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Interval at which the number of requests in progress is polled while draining.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for caller connections to close after the drain.
const CONNECTION_CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for the remaining connections to be dropped.
const CONNECTION_ABORT_TIMEOUT: Duration = Duration::from_millis(100);

/// Idle connections kept for each upstream: as many of an upstream's slots as one
/// daemon may use at the same time.
const MAX_IDLE_CONNECTIONS: usize = 24;

/// Time for which an idle connection is kept if its upstream specifies none. With
/// hundreds of upstreams, a daemon may reuse a connection only after several seconds.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a daemon that serves published routes until it receives a stop signal and has
/// drained.
///
/// # Errors
/// [`DaemonError`] if the daemon can't start.
pub(crate) async fn run(
    settings: DaemonSettings,
    settings_path: PathBuf,
    gateway_settings: GatewaySettings,
) -> Result<(), DaemonError> {
    let settings_watch = SettingsWatch::new(settings_path)?;
    let wait = AddressWait::for_predecessor(gateway_settings.stop_grace());
    let readiness_listener = wait
        .listen(|| listen(gateway_settings.ready_address))
        .await?;
    let admin_listener = wait.listen(|| listen(settings.admin_address)).await?;
    let proxy_listener = wait
        .listen(|| listen(gateway_settings.news_address))
        .await?;
    let metrics = Metrics::new()?;
    build::observe(&metrics);
    let (gateway, peers, mut background_tasks) =
        assemble(&settings, &gateway_settings, &metrics, wait).await?;
    let acceptance = Acceptance::default();
    let lag = event_loop_lag::measure(metrics.clone(), acceptance.clone());
    background_tasks.push(spawn(lag));
    // Bound last, so that no caller waits while another address is still in use.
    let caller_listener = wait.listen(|| listen(settings.caller_address)).await?;
    let mut stop_signals = StopSignalListener::new()?;
    log::info!(
        instance = settings.instance.as_str(),
        availability_zone = settings.availability_zone.as_str(),
        callers = settings.caller_address.to_string().as_str();
        "daemon: started"
    );
    let limits = ServeLimits {
        header_timeout: CALLER_IDLE_TIMEOUT,
        header_limit_bytes: settings.limits.header_limit_bytes as usize,
        write_timeout: settings.limits.stream_stall_timeout(),
        body_memory: gateway.body_memory().clone(),
    };
    let (stop_callers, callers_stopped) = Shutdown::new();
    let (abort_servers, servers_aborted) = Shutdown::new();
    let (_never_triggered, no_shutdown) = Shutdown::new();
    let ready_gateway = gateway.clone();
    let readiness = move |_request, _peer| readiness_response(ready_gateway.is_ready());
    spawn(serve(
        readiness_listener,
        limits.clone(),
        readiness,
        no_shutdown.clone(),
    ))
    .detach();
    let (stop_proxy, proxy_stopped) = Shutdown::new();
    let proxy_gateway = gateway.clone();
    let handle_proxied = move |request, peer| {
        let response = proxy_gateway.clone().handle_proxied(request, peer);
        async move { Ok(response.await) }
    };
    let proxy_signals = StopSignals {
        shutdown: proxy_stopped,
        abort: servers_aborted.clone(),
    };
    let proxy_server = spawn(serve_abortable(
        proxy_listener,
        limits.clone(),
        handle_proxied,
        proxy_signals,
    ));
    let admin_gateway = gateway.clone();
    let handle_admin = move |request, _peer| {
        gateway_admin::handle(admin_gateway.clone(), metrics.clone(), request)
    };
    spawn(serve(
        admin_listener,
        limits.clone(),
        handle_admin,
        no_shutdown,
    ))
    .detach();
    let caller_gateway = gateway.clone();
    let caller_acceptance = acceptance.clone();
    let handle_caller = move |request, peer| {
        let response = caller_gateway.clone().handle(request, peer);
        let acceptance = caller_acceptance.clone();
        async move { close_while_late(response.await, &acceptance) }
    };
    let server = spawn(serve_while_on_time(
        caller_listener,
        limits,
        acceptance,
        handle_caller,
        StopSignals {
            shutdown: callers_stopped,
            abort: servers_aborted,
        },
    ));
    let (watched_gateway, watched_peers) = (gateway.clone(), peers.clone());
    let apply = move |settings: &DaemonSettings| {
        if let Some(gateway_settings) = &settings.gateway {
            watched_peers.set_listed(&listed_peers(settings, gateway_settings));
            watched_gateway.set_zone_regions(gateway_settings.zone_regions.clone());
        }
    };
    spawn(settings_watch.follow(settings, apply)).detach();
    stop_signals.next().await?;
    spawn(stop_signals.ignore()).detach();
    drain(&gateway, gateway_settings.stop_grace()).await;
    gateway.hand_over();
    peers.leave();
    stop_callers.trigger();
    stop_proxy.trigger();
    let mut servers = std::pin::pin!(join(server, proxy_server));
    let closing = compio::time::timeout(CONNECTION_CLOSE_TIMEOUT, servers.as_mut());
    if closing.await.is_err() {
        // A connection whose caller does not read must not keep the process alive.
        abort_servers.trigger();
        let _ = compio::time::timeout(CONNECTION_ABORT_TIMEOUT, servers).await;
    }
    drop(background_tasks);
    log::info!(
        in_progress = gateway.in_progress(),
        refused_unsent = gateway.refused_unsent(),
        cut_off = gateway.cut_off();
        "daemon: stopped"
    );
    mangofront_telemetry::logs::flush();
    Ok(())
}

/// Has the caller close its connection while this daemon falls behind, so that callers spread.
fn close_while_late(mut response: Response<Body>, acceptance: &Acceptance) -> Response<Body> {
    if acceptance.closes_connections(Instant::now()) {
        let headers = response.headers_mut();
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Starts the components and the tasks that pass updates between them.
async fn assemble(
    settings: &DaemonSettings,
    gateway_settings: &GatewaySettings,
    metrics: &Metrics,
    wait: AddressWait,
) -> Result<(Gateway, Peers, Vec<JoinHandle<()>>), DaemonError> {
    let (updates_sender, updates) = mpsc::unbounded();
    let dialect = Rc::new(HeaderDialect);
    let zone = settings.availability_zone.clone();
    let salt = xxh3_64(settings.instance.as_bytes());
    let upstreams = Upstreams::new(
        gateway_settings.choice.clone(),
        zone.clone(),
        salt,
        updates_sender.clone(),
    );
    upstreams.set_zone_regions(gateway_settings.zone_regions.clone());
    let largest_body_bytes = UNCONFIGURED_BODY_LIMIT_BYTES as u64;
    let body_memory = body_memory::set_aside(&settings.limits, largest_body_bytes)?;
    body_memory::observe(&body_memory, metrics);
    let connections = connections(settings, &body_memory);
    let published = Published::new(
        PublishedOptions::for_bounds(
            gateway_settings.key_lease(),
            gateway_settings.change_bound(),
        ),
        upstreams.clone(),
        connections.clone(),
    );
    let source = StoreClient::new(connections.clone(), settings.platform_address);
    let exchange_cell: Rc<std::cell::OnceCell<Rc<StateExchange>>> = Rc::default();
    let start_links = async || start_peers(settings, gateway_settings, &published, &exchange_cell);
    let peers = wait.listen(start_links).await?;
    let (message_sender, messages) = peer_messages();
    let fleet = Fleet::new(&settings.instance, peers.clone(), upstreams.clone());
    let rate_limits = RateLimits::new(RateLimitsParts {
        instance: settings.instance.clone(),
        upstreams: upstreams.clone(),
        cold_upstreams: published.cold_upstreams().clone(),
        peers: peers.clone(),
        fleet: fleet.clone(),
        updates: updates_sender,
        messages: message_sender.clone(),
        metrics: metrics.clone(),
    });
    let trials = Trials::new(TrialsParts {
        instance: settings.instance.clone(),
        peers: peers.clone(),
        upstreams: upstreams.clone(),
        messages: message_sender,
    });
    let exchange_options = StateExchangeOptions {
        address: gateway_settings.news_address,
        instance: settings.instance.clone(),
        zone,
        relay_from_daemons: gateway_settings.relay_from_daemons as usize,
    };
    let start_exchange = async || {
        let (options, peers) = (exchange_options.clone(), peers.clone());
        let parts = StateExchangeParts {
            peers,
            upstreams: upstreams.clone(),
            published: published.clone(),
            limits: rate_limits.clone(),
            trials: trials.clone(),
        };
        Ok(StateExchange::start(options, parts).await?)
    };
    let exchange = wait.listen(start_exchange).await?;
    // The cell is set only here, so this can't fail.
    let _ = exchange_cell.set(Rc::clone(&exchange));
    let options = GatewayOptions::builder(settings.instance.clone())
        .key_lease(gateway_settings.key_lease())
        .retry_limit(RetryLimit {
            ratio: gateway_settings.second_send_ratio,
            slack: gateway_settings.second_send_slack_requests,
            window: gateway_settings.second_send_window(),
        })
        .stall_timeout(gateway_settings.engine_stall())
        .proxied_limit(gateway_settings.proxied_limit_requests as usize)
        .proxied_bodies_limit_bytes(gateway_settings.proxied_bodies_limit_bytes as usize)
        .build();
    let gateway = Gateway::new(GatewayParts {
        options,
        dialect,
        connections,
        peer_connections: peer_connections(settings, &body_memory),
        proxy_port: gateway_settings.news_address.port(),
        availability_zone: settings.availability_zone.clone(),
        upstreams,
        published: published.clone(),
        peers: peers.clone(),
        fleet,
        rate_limits: rate_limits.clone(),
        trials: trials.clone(),
        metrics: metrics.clone(),
        body_memory,
    });
    let background_tasks = vec![
        spawn(body_memory::warn_of_lack(gateway.body_memory().clone())),
        spawn(published.follow(Rc::new(source), Rc::clone(&exchange))),
        spawn(Rc::clone(&exchange).broadcast(updates)),
        spawn(Rc::clone(&exchange).rebroadcast_running()),
        spawn(Rc::clone(&exchange).send_messages(messages)),
        spawn(exchange.receive()),
        spawn(rate_limits.coordinate()),
        spawn(gateway.clone().watch_zones()),
        spawn(gateway.clone().watch_paths()),
        spawn(gateway.clone().watch_fleet()),
        spawn(gateway.clone().keep_time()),
    ];
    Ok((gateway, peers, background_tasks))
}

fn connections(settings: &DaemonSettings, body_memory: &BodyMemory) -> Connections {
    Connections::new(ConnectionsOptions {
        connect_timeout: settings.limits.connect_timeout(),
        idle_limit: MAX_IDLE_CONNECTIONS,
        idle_timeout: IDLE_CONNECTION_TIMEOUT,
        body_memory: body_memory.clone(),
        ..ConnectionsOptions::default()
    })
}

/// Connections to other daemons, which know this one by the address it connects from.
fn peer_connections(settings: &DaemonSettings, body_memory: &BodyMemory) -> Connections {
    let own_ip = settings.peer_address.ip();
    Connections::new(ConnectionsOptions {
        connect_timeout: settings.limits.connect_timeout(),
        idle_limit: MAX_IDLE_CONNECTIONS,
        idle_timeout: IDLE_CONNECTION_TIMEOUT,
        local_ip: Some(own_ip).filter(|ip| !ip.is_unspecified()),
        body_memory: body_memory.clone(),
    })
}

fn start_peers(
    settings: &DaemonSettings,
    gateway_settings: &GatewaySettings,
    published: &Published,
    exchange: &Rc<std::cell::OnceCell<Rc<StateExchange>>>,
) -> Result<Peers, DaemonError> {
    let options = membership::options(settings)
        .capacity_percent(gateway_settings.processor_percent())
        .build();
    let exchange = Rc::clone(exchange);
    let on_change = Rc::new(move |change: MemberChange| {
        let member = &change.member;
        if let Some(exchange) = exchange.get().filter(|_| !member.state.is_responsive()) {
            exchange.remove_daemon(&member.instance);
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
    peers.set_listed(&listed_peers(settings, gateway_settings));
    Ok(peers)
}

/// The seeds other than this daemon.
fn listed_peers(settings: &DaemonSettings, gateway_settings: &GatewaySettings) -> Vec<ListedPeer> {
    let seeds = gateway_settings.seeds.iter();
    let others = seeds.filter(|seed| **seed != settings.peer_address);
    others.map(|seed| seed_peer(settings, *seed)).collect()
}

/// A seed, of which only the address is known until the daemon there identifies itself.
fn seed_peer(settings: &DaemonSettings, address: SocketAddr) -> ListedPeer {
    ListedPeer {
        instance: address.ip().to_string(),
        region: settings.region.clone(),
        availability_zone: settings.availability_zone.clone(),
        address,
        leaving: false,
    }
}

async fn readiness_response(is_ready: bool) -> Response<Body> {
    let mut response = Response::new(empty());
    if !is_ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Begins the drain, during which the gateway first keeps accepting requests for a while,
/// and waits until it refuses new ones and those in progress have ended, or until the
/// grace is nearly over.
async fn drain(gateway: &Gateway, grace: Duration) {
    let started = Instant::now();
    log::info!(in_progress = gateway.in_progress(); "daemon: stopping");
    let limit = grace.saturating_sub(STOP_MARGIN + CONNECTION_CLOSE_TIMEOUT);
    gateway.begin_drain(limit);
    while started.elapsed() < limit {
        if gateway.is_refusing() && gateway.in_progress() == 0 {
            return;
        }
        compio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
