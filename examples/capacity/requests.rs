//! Costs of the request path, measured against the number of streams, tokens, requests and
//! orders, and against the length of prompts.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::{JoinHandle, spawn};
use serde_json::json;

use crate::client::HttpClient;
use crate::fit::Series;
use crate::fleet::{Fleet, FleetSpec, MODEL};
use crate::measure::{Usage, cpu, measure};
use crate::{BoxError, RunOptions};

/// Length of an answer that lasts longer than its measurement. The engines' memory still holds
/// all such answers at once.
const LONG_ANSWER_TOKENS: u32 = 3_000;

/// Delay after which added streams have begun.
const STREAMS_SETTLE: Duration = Duration::from_secs(1);

/// Number of engines behind the measured daemon.
const ENGINES: u16 = 8;

/// Number of daemons that vote on orders.
const ORDER_DAEMONS: u16 = 4;

/// Word that long prompts repeat; the daemon counts it as two tokens, at four bytes a token.
const PROMPT_WORD: &str = "archive ";

fn completion(prompt: &str, max_tokens: u32) -> String {
    json!({"model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": true}).to_string()
}

/// One daemon, and engines whose forward passes take `time_scale` times as long.
fn fleet_spec(time_scale: &str) -> FleetSpec {
    FleetSpec {
        daemons: 1,
        engines: ENGINES,
        engine_settings: vec![format!("time_scale={time_scale}")],
        ..FleetSpec::default()
    }
}

/// Varies the number of concurrent streams, each of ten tokens a second.
pub async fn streams(options: &RunOptions) -> Result<Vec<Series>, BoxError> {
    let points = stream_points(options, "4", &[50, 100, 200, 400]).await?;
    let memory = points
        .iter()
        .map(|point| [point.streams, point.usage.resident_mb]);
    Ok(vec![Series::fit(
        "streams",
        "concurrent streams",
        "resident memory, MB",
        memory.collect(),
    )])
}

/// Number of streams of each daemon while placements are gossiped.
const STREAMS_PER_DAEMON: u64 = 8;

/// Varies the number of daemons, each of which has requests and so broadcasts placements.
pub async fn placements(options: &RunOptions) -> Result<Vec<Series>, BoxError> {
    let sizes: &[u16] = if options.quick {
        &[2, 4, 8, 16]
    } else {
        &[2, 4, 8, 16, 32]
    };
    let (mut gossip, mut known) = (Vec::new(), Vec::new());
    for &daemons in sizes {
        let fleet = Fleet::start(
            options,
            FleetSpec {
                daemons,
                ..fleet_spec("4")
            },
        )
        .await?;
        let (events, ended) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        let mut tasks: Vec<JoinHandle<()>> = Vec::new();
        for number in 0..STREAMS_PER_DAEMON * u64::from(daemons) {
            let caller = fleet.caller_client(number as usize % usize::from(daemons))?;
            let stream = run_stream(caller, number, Rc::clone(&events), Rc::clone(&ended));
            tasks.push(spawn(stream));
        }
        // Idle daemons fill the token bucket that limits their gossip. It must be used up
        // before the measurement, or the measured rate is too high.
        let settle_time = options.settle_time() * if options.quick { 1 } else { 5 };
        compio::time::sleep(settle_time).await;
        let usage = measure(&fleet, options.measurement_window()).await?;
        if ended.get() > 0 {
            return Err(format!("{} streams ended early", ended.get()).into());
        }
        gossip.push([f64::from(daemons), usage.gossip_bytes_per_s]);
        known.push([f64::from(daemons), known_peers_share(&fleet).await?]);
    }
    let x = "daemons with requests";
    Ok(vec![
        Series::fit("placements", x, "gossip both ways, bytes/s", gossip),
        Series::fit(
            "placements",
            x,
            "others whose placements are known, share",
            known,
        ),
    ])
}

/// Share of the other daemons whose placements a daemon knows, as the mean over all daemons.
async fn known_peers_share(fleet: &Fleet) -> Result<f64, BoxError> {
    let mut known_peers = 0.0;
    for daemon in 0..fleet.daemon_count() {
        let status = fleet.admin_client(daemon)?.get_json("/status").await?;
        known_peers += status["placement"]["peers"].as_f64().unwrap_or_default();
    }
    let daemons = fleet.daemon_count() as f64;
    Ok(known_peers / daemons / (daemons - 1.0))
}

/// Varies the tokens a second, by the number of streams from engines at their default speed.
pub async fn tokens(options: &RunOptions) -> Result<Vec<Series>, BoxError> {
    let points = stream_points(options, "1", &[25, 50, 100, 200]).await?;
    let cpu = points
        .iter()
        .map(|point| [point.tokens_per_s, point.usage.cpu_ms_per_s]);
    Ok(vec![Series::fit(
        "tokens",
        "tokens relayed, 1/s",
        "processor time, ms/s",
        cpu.collect(),
    )])
}

/// Measurement with a number of concurrent streams.
struct StreamPoint {
    streams: f64,
    tokens_per_s: f64,
    usage: Usage,
}

async fn stream_points(
    options: &RunOptions,
    time_scale: &str,
    sizes: &[u64],
) -> Result<Vec<StreamPoint>, BoxError> {
    let fleet = Fleet::start(options, fleet_spec(time_scale)).await?;
    let caller = fleet.caller_client(0)?;
    compio::time::sleep(options.settle_time()).await;
    let events = Rc::new(Cell::new(0));
    let ended = Rc::new(Cell::new(0));
    let mut tasks: Vec<JoinHandle<()>> = Vec::new();
    let mut points = Vec::new();
    for streams in sizes {
        for number in tasks.len() as u64..*streams {
            let stream = run_stream(
                caller.clone(),
                number,
                Rc::clone(&events),
                Rc::clone(&ended),
            );
            tasks.push(spawn(stream));
        }
        compio::time::sleep(STREAMS_SETTLE).await;
        let (events_before, started) = (events.get(), Instant::now());
        let usage = measure(&fleet, options.measurement_window()).await?;
        let tokens_per_s = (events.get() - events_before) as f64 / started.elapsed().as_secs_f64();
        if ended.get() > 0 {
            return Err(format!("{} of {streams} streams ended early", ended.get()).into());
        }
        points.push(StreamPoint {
            streams: *streams as f64,
            tokens_per_s,
            usage,
        });
    }
    Ok(points)
}

async fn run_stream(caller: HttpClient, number: u64, events: Rc<Cell<u64>>, ended: Rc<Cell<u64>>) {
    let body = completion(&format!("Copier {number} shows E-045."), LONG_ANSWER_TOKENS);
    if let Err(error) = caller.stream(body, &events).await {
        eprintln!("stream {number}: {error}");
    }
    ended.set(ended.get() + 1);
}

/// Varies the requests a second, each with an answer of one token.
pub async fn requests(options: &RunOptions) -> Result<Vec<Series>, BoxError> {
    let fleet = Fleet::start(options, fleet_spec("0.01")).await?;
    compio::time::sleep(options.settle_time()).await;
    let caller = fleet.caller_client(0)?;
    let mut points = Vec::new();
    for rate_per_s in [20_u32, 50, 100, 200] {
        let events = Rc::new(Cell::new(0));
        let call = |number: u64| {
            let (caller, events) = (caller.clone(), Rc::clone(&events));
            async move {
                let body = completion(&format!("Copier {rate_per_s}-{number} shows E-045."), 1);
                caller.stream(body, &events).await
            }
        };
        let run = run_paced(options, &fleet, rate_per_s, call).await?;
        points.push([run.done_per_s, run.usage.cpu_ms_per_s]);
    }
    Ok(vec![Series::fit(
        "requests",
        "requests of one token, 1/s",
        "processor time, ms/s",
        points,
    )])
}

/// Varies the length of the prompt, with one request after the other.
pub async fn prompts(options: &RunOptions) -> Result<Vec<Series>, BoxError> {
    let fleet = Fleet::start(options, fleet_spec("0.0001")).await?;
    compio::time::sleep(options.settle_time()).await;
    let caller = fleet.caller_client(0)?;
    let requests = if options.quick { 3 } else { 10 };
    let mut times = Vec::new();
    for words in [5_000_usize, 25_000, 75_000, 150_000] {
        let events = Rc::new(Cell::new(0));
        let before = cpu(fleet.pid(0))?;
        let mut body_bytes = 0;
        for number in 0..requests {
            let body = completion(&format!("{number} {}", PROMPT_WORD.repeat(words)), 1);
            body_bytes = body.len();
            caller.stream(body, &events).await?;
        }
        let spent = cpu(fleet.pid(0))?.saturating_sub(before);
        let request_ms = spent.as_secs_f64() * 1000.0 / f64::from(requests);
        times.push([body_bytes as f64, request_ms]);
    }
    Ok(vec![Series::fit(
        "prompts",
        "bytes of the request",
        "processor time of a request, ms",
        times,
    )])
}

/// Varies the non-repeatable orders a second, with idempotency keys that carry no time.
pub async fn orders(options: &RunOptions) -> Result<Vec<Series>, BoxError> {
    let fleet = Fleet::start(
        options,
        FleetSpec {
            daemons: ORDER_DAEMONS,
            ..FleetSpec::default()
        },
    )
    .await?;
    compio::time::sleep(options.settle_time()).await;
    let callers: Vec<HttpClient> = (0..fleet.daemon_count())
        .map(|daemon| fleet.caller_client(daemon))
        .collect::<Result<_, _>>()?;
    let (mut cpu, mut bytes) = (Vec::new(), Vec::new());
    for rate_per_s in [20_u32, 40, 80, 160] {
        let call = |number: u64| {
            let caller = callers[number as usize % callers.len()].clone();
            async move {
                let key = format!("toner-{rate_per_s}-{number}-{}", std::process::id());
                let headers = [
                    ("idempotency-key", key.as_str()),
                    ("mangofront-organisation", "organisation-00000"),
                ];
                let path = "/v1/services/fleet-ops/orders";
                caller.post(path, &headers, "{}".to_owned()).await
            }
        };
        let run = run_paced(options, &fleet, rate_per_s, call).await?;
        let daemon_rate_per_s = run.done_per_s / f64::from(ORDER_DAEMONS);
        cpu.push([daemon_rate_per_s, run.usage.cpu_ms_per_s]);
        bytes.push([daemon_rate_per_s, run.usage.calls_bytes_per_s]);
    }
    let x = "orders that enter at a daemon, 1/s";
    Ok(vec![
        Series::fit("orders", x, "processor time, ms/s", cpu),
        Series::fit(
            "orders",
            x,
            "calls between daemons both ways, bytes/s",
            bytes,
        ),
    ])
}

/// Measurement while calls are sent at a constant rate.
struct PacedRun {
    done_per_s: f64,
    usage: Usage,
}

/// Sends calls at a constant rate, without waiting for their answers, while the fleet is
/// measured. Fails if any call fails.
async fn run_paced<F>(
    options: &RunOptions,
    fleet: &Fleet,
    rate_per_s: u32,
    call: impl Fn(u64) -> F,
) -> Result<PacedRun, BoxError>
where
    F: Future<Output = Result<(), BoxError>> + 'static,
{
    let done = Rc::new(Cell::new(0_u64));
    let failed = Rc::new(Cell::new(0_u64));
    let measuring = measure(fleet, options.measurement_window());
    let sending = async {
        let started = Instant::now();
        let mut tasks = Vec::new();
        for number in 0.. {
            let due = started + Duration::from_secs(1) * number / rate_per_s;
            compio::time::sleep_until(due).await;
            let (call, done) = (call(u64::from(number)), Rc::clone(&done));
            let failed = Rc::clone(&failed);
            tasks.push(spawn(async move {
                match call.await {
                    Ok(()) => done.set(done.get() + 1),
                    Err(error) => {
                        if failed.replace(failed.get() + 1) == 0 {
                            eprintln!("first failure at {rate_per_s}/s: {error}");
                        }
                    }
                }
            }));
        }
    };
    let sending = std::pin::pin!(sending);
    let measuring = std::pin::pin!(measuring);
    let started = Instant::now();
    let usage = match futures_util::future::select(measuring, sending).await {
        futures_util::future::Either::Left((usage, _)) => usage?,
        futures_util::future::Either::Right(((), _)) => return Err("the load ended early".into()),
    };
    if failed.get() > 0 {
        let finished = failed.get() + done.get();
        return Err(format!(
            "{} of {finished} calls failed at {rate_per_s}/s",
            failed.get()
        )
        .into());
    }
    Ok(PacedRun {
        done_per_s: done.get() as f64 / started.elapsed().as_secs_f64(),
        usage,
    })
}
