//! Costs of the request path: streams, tokens, requests, prompts, orders.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::{JoinHandle, spawn};
use serde_json::json;

use crate::callers::Caller;
use crate::fit::Series;
use crate::fleet::{Fleet, MODEL, Shape};
use crate::measure::{Use, cpu, measure};
use crate::{Failure, Plan};

/// Answer that outlasts its measurement, in tokens; short enough for the
/// memory of the engines to hold all of them.
const LONG_ANSWER_TOKENS: u32 = 3_000;

/// Time for added streams to begin.
const STREAMS_SETTLE: Duration = Duration::from_secs(1);

/// Engines before which the request path is measured.
const ENGINES: u16 = 8;

/// Daemons that decide orders between them.
const ORDER_DAEMONS: u16 = 4;

/// Characters of a token, as the daemon counts a prompt of plain words.
const WORD: &str = "archive ";

fn completion(prompt: &str, max_tokens: u32) -> String {
    json!({"model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": true}).to_string()
}

/// One daemon before engines that step `scale` times as slowly.
fn shape(scale: &str) -> Shape {
    Shape {
        daemons: 1,
        engines: ENGINES,
        engine_settings: vec![format!("time_scale={scale}")],
        ..Shape::default()
    }
}

/// Concurrent streams of ten tokens a second each.
pub async fn streams(plan: &Plan) -> Result<Vec<Series>, Failure> {
    let points = stream_points(plan, "4", &[50, 100, 200, 400]).await?;
    let memory = points.iter().map(|one| [one.streams, one.used.resident_mb]);
    Ok(vec![Series::fit(
        "streams",
        "concurrent streams",
        "resident memory, MB",
        memory.collect(),
    )])
}

/// Streams of each daemon while placements are gossiped.
const STREAMS_EACH: u64 = 8;

/// Daemons of which each has requests, so that all have placements to tell.
pub async fn placements(plan: &Plan) -> Result<Vec<Series>, Failure> {
    let sizes: &[u16] = if plan.quick {
        &[2, 4, 8, 16]
    } else {
        &[2, 4, 8, 16, 32]
    };
    let (mut gossip, mut known) = (Vec::new(), Vec::new());
    for &daemons in sizes {
        let fleet = Fleet::start(
            plan,
            Shape {
                daemons,
                ..shape("4")
            },
        )
        .await?;
        let (events, ended) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        let mut tasks: Vec<JoinHandle<()>> = Vec::new();
        for number in 0..STREAMS_EACH * u64::from(daemons) {
            let caller = fleet.caller(number as usize % usize::from(daemons))?;
            let stream = one_stream(caller, number, Rc::clone(&events), Rc::clone(&ended));
            tasks.push(spawn(stream));
        }
        // What daemons saved up of their allowance for news must be spent first.
        let settle = plan.settle() * if plan.quick { 1 } else { 5 };
        compio::time::sleep(settle).await;
        let used = measure(&fleet, plan.window()).await?;
        if ended.get() > 0 {
            return Err(format!("{} streams ended early", ended.get()).into());
        }
        gossip.push([f64::from(daemons), used.gossip_bytes_per_s]);
        known.push([f64::from(daemons), views_known(&fleet).await?]);
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

/// Share of the other daemons whose placements a daemon knows, the mean of all.
async fn views_known(fleet: &Fleet) -> Result<f64, Failure> {
    let mut views = 0.0;
    for daemon in 0..fleet.daemon_count() {
        let status = fleet.operator(daemon)?.get_json("/status").await?;
        views += status["placement"]["peers"].as_f64().unwrap_or_default();
    }
    let daemons = fleet.daemon_count() as f64;
    Ok(views / daemons / (daemons - 1.0))
}

/// Tokens a second, by streams at the engine's ordinary pace.
pub async fn tokens(plan: &Plan) -> Result<Vec<Series>, Failure> {
    let points = stream_points(plan, "1", &[25, 50, 100, 200]).await?;
    let cpu = points
        .iter()
        .map(|one| [one.tokens_per_s, one.used.cpu_ms_per_s]);
    Ok(vec![Series::fit(
        "tokens",
        "tokens relayed, 1/s",
        "processor time, ms/s",
        cpu.collect(),
    )])
}

struct StreamPoint {
    streams: f64,
    tokens_per_s: f64,
    used: Use,
}

async fn stream_points(
    plan: &Plan,
    scale: &str,
    sizes: &[u64],
) -> Result<Vec<StreamPoint>, Failure> {
    let fleet = Fleet::start(plan, shape(scale)).await?;
    let caller = fleet.caller(0)?;
    compio::time::sleep(plan.settle()).await;
    let events = Rc::new(Cell::new(0));
    let ended = Rc::new(Cell::new(0));
    let mut tasks: Vec<JoinHandle<()>> = Vec::new();
    let mut points = Vec::new();
    for streams in sizes {
        for number in tasks.len() as u64..*streams {
            let stream = one_stream(
                caller.clone(),
                number,
                Rc::clone(&events),
                Rc::clone(&ended),
            );
            tasks.push(spawn(stream));
        }
        compio::time::sleep(STREAMS_SETTLE).await;
        let (began, since) = (events.get(), Instant::now());
        let used = measure(&fleet, plan.window()).await?;
        let tokens_per_s = (events.get() - began) as f64 / since.elapsed().as_secs_f64();
        if ended.get() > 0 {
            return Err(format!("{} of {streams} streams ended early", ended.get()).into());
        }
        points.push(StreamPoint {
            streams: *streams as f64,
            tokens_per_s,
            used,
        });
    }
    Ok(points)
}

async fn one_stream(caller: Caller, number: u64, events: Rc<Cell<u64>>, ended: Rc<Cell<u64>>) {
    let body = completion(&format!("Copier {number} shows E-045."), LONG_ANSWER_TOKENS);
    if let Err(error) = caller.stream(body, &events).await {
        eprintln!("stream {number}: {error}");
    }
    ended.set(ended.get() + 1);
}

/// Requests a second with an answer of one token.
pub async fn requests(plan: &Plan) -> Result<Vec<Series>, Failure> {
    let fleet = Fleet::start(plan, shape("0.01")).await?;
    compio::time::sleep(plan.settle()).await;
    let caller = fleet.caller(0)?;
    let mut points = Vec::new();
    for per_s in [20_u32, 50, 100, 200] {
        let events = Rc::new(Cell::new(0));
        let call = |number: u64| {
            let (caller, events) = (caller.clone(), Rc::clone(&events));
            async move {
                let body = completion(&format!("Copier {per_s}-{number} shows E-045."), 1);
                caller.stream(body, &events).await
            }
        };
        let paced = paced(plan, &fleet, per_s, call).await?;
        points.push([paced.done_per_s, paced.used.cpu_ms_per_s]);
    }
    Ok(vec![Series::fit(
        "requests",
        "requests of one token, 1/s",
        "processor time, ms/s",
        points,
    )])
}

/// Length of the prompt, one request after the other.
pub async fn prompts(plan: &Plan) -> Result<Vec<Series>, Failure> {
    let fleet = Fleet::start(plan, shape("0.0001")).await?;
    compio::time::sleep(plan.settle()).await;
    let caller = fleet.caller(0)?;
    let requests = if plan.quick { 3 } else { 10 };
    let mut times = Vec::new();
    for words in [5_000_usize, 25_000, 75_000, 150_000] {
        let events = Rc::new(Cell::new(0));
        let before = cpu(fleet.pid(0))?;
        let mut body_bytes = 0;
        for number in 0..requests {
            let body = completion(&format!("{number} {}", WORD.repeat(words)), 1);
            body_bytes = body.len();
            caller.stream(body, &events).await?;
        }
        let spent = cpu(fleet.pid(0))?.saturating_sub(before);
        let each_ms = spent.as_secs_f64() * 1000.0 / f64::from(requests);
        times.push([body_bytes as f64, each_ms]);
    }
    Ok(vec![Series::fit(
        "prompts",
        "bytes of the request",
        "processor time of a request, ms",
        times,
    )])
}

/// Orders a second that may not repeat, with plain keys.
pub async fn orders(plan: &Plan) -> Result<Vec<Series>, Failure> {
    let fleet = Fleet::start(
        plan,
        Shape {
            daemons: ORDER_DAEMONS,
            ..Shape::default()
        },
    )
    .await?;
    compio::time::sleep(plan.settle()).await;
    let callers: Vec<Caller> = (0..fleet.daemon_count())
        .map(|daemon| fleet.caller(daemon))
        .collect::<Result<_, _>>()?;
    let (mut cpu, mut bytes) = (Vec::new(), Vec::new());
    for per_s in [20_u32, 40, 80, 160] {
        let call = |number: u64| {
            let caller = callers[number as usize % callers.len()].clone();
            async move {
                let key = format!("toner-{per_s}-{number}-{}", std::process::id());
                let headers = [
                    ("idempotency-key", key.as_str()),
                    ("mangofront-organisation", "organisation-00000"),
                ];
                let path = "/v1/services/fleet-ops/orders";
                caller.post(path, &headers, "{}".to_owned()).await
            }
        };
        let paced = paced(plan, &fleet, per_s, call).await?;
        let each = paced.done_per_s / f64::from(ORDER_DAEMONS);
        cpu.push([each, paced.used.cpu_ms_per_s]);
        bytes.push([each, paced.used.calls_bytes_per_s]);
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

struct Paced {
    done_per_s: f64,
    used: Use,
}

/// Calls at a steady rate, whatever the answers do, while the fleet is measured.
async fn paced<F>(
    plan: &Plan,
    fleet: &Fleet,
    per_s: u32,
    call: impl Fn(u64) -> F,
) -> Result<Paced, Failure>
where
    F: Future<Output = Result<(), Failure>> + 'static,
{
    let done = Rc::new(Cell::new(0_u64));
    let failed = Rc::new(Cell::new(0_u64));
    let measuring = measure(fleet, plan.window());
    let sending = async {
        let started = Instant::now();
        let mut tasks = Vec::new();
        for number in 0.. {
            let due = started + Duration::from_secs(1) * number / per_s;
            compio::time::sleep_until(due).await;
            let (calling, done) = (call(u64::from(number)), Rc::clone(&done));
            let failed = Rc::clone(&failed);
            tasks.push(spawn(async move {
                match calling.await {
                    Ok(()) => done.set(done.get() + 1),
                    Err(error) => {
                        if failed.replace(failed.get() + 1) == 0 {
                            eprintln!("first failure at {per_s}/s: {error}");
                        }
                    }
                }
            }));
        }
    };
    let sending = std::pin::pin!(sending);
    let measuring = std::pin::pin!(measuring);
    let started = Instant::now();
    let used = match futures_util::future::select(measuring, sending).await {
        futures_util::future::Either::Left((used, _)) => used?,
        futures_util::future::Either::Right(((), _)) => return Err("sending ended".into()),
    };
    if failed.get() > 0 {
        let all = failed.get() + done.get();
        return Err(format!("{} of {all} calls failed at {per_s}/s", failed.get()).into());
    }
    Ok(Paced {
        done_per_s: done.get() as f64 / started.elapsed().as_secs_f64(),
        used,
    })
}
