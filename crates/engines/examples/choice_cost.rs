//! Prints what a choice costs before 18, 78 and 195 engines that answer three requests
//! each in the mean, placed by another daemon.
//!
//! Run with `cargo run --release -p mangofront-engines --example choice_cost`.

use std::collections::{HashMap, HashSet};
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::mpsc::unbounded;
use mangofront_engines::{ChoiceOptions, Demand, NoUpstream, Placement, Upstreams};
use mangofront_routes::{EngineProfile, Upstream};

const SERVICE: &str = "assist-llm";

/// Choices that are timed together.
const ROUNDS: u32 = 2_000;

/// Requests that each engine answers.
const REQUESTS_PER_ENGINE: u16 = 3;

/// The daemon that placed them.
const OTHER: u64 = 2;

fn main() -> Result<(), Box<dyn Error>> {
    for engines in [18, 78, 195] {
        let (upstreams, _answered) = busy_fleet(engines)?;
        for (name, prompt_tokens, target_ms) in [
            ("5,000 tokens", 5_000, 300),
            ("45,000 tokens", 45_000, 1_500),
            ("300,000 tokens", 300_000, 4_000),
        ] {
            let demand = demand(prompt_tokens, target_ms);
            let mut sent = 0;
            let start = Instant::now();
            for _ in 0..ROUNDS {
                // What is placed ends at once, so that each choice finds the same load.
                sent += u32::from(upstreams.place(SERVICE, &demand, &[]).is_ok());
            }
            let each = start.elapsed() / ROUNDS;
            println!("{engines} engines, {name}: {each:?} a choice, {sent} of {ROUNDS} sent");
        }
    }
    Ok(())
}

/// A daemon that has heard of what another one has the engines answer, and that other one's
/// requests.
fn busy_fleet(engines: u16) -> Result<(Upstreams, Vec<Placement>), NoUpstream> {
    let speed = HashMap::from([(SERVICE.to_owned(), Rc::new(figures()))]);
    let (tell, mut news) = unbounded();
    let (tell_nobody, _) = unbounded();
    let [other, upstreams] = [(2, tell), (1, tell_nobody)].map(|(salt, tell)| {
        let daemon = Upstreams::new(ChoiceOptions::default(), "hall-a".to_owned(), salt, tell);
        daemon.set_published((0..engines).map(engine), &speed);
        daemon
    });
    let mut answered = Vec::new();
    for _ in 0..engines * REQUESTS_PER_ENGINE {
        let mut placed = other.place(SERVICE, &demand(5_000, 300), &[])?;
        placed.record_first_event();
        answered.push(placed);
    }
    while let Ok(told) = news.try_recv() {
        upstreams.apply_update(OTHER, told);
    }
    Ok((upstreams, answered))
}

fn engine(number: u16) -> Upstream {
    Upstream {
        id: format!("engine-{number}"),
        service: SERVICE.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 8_000 + number)),
        availability_zone: ["hall-a", "hall-b", "hall-c"][usize::from(number % 3)].to_owned(),
        slots: 12,
        started_at_ms: 0,
        registered_at: u64::from(number),
        leaving: false,
    }
}

fn figures() -> EngineProfile {
    EngineProfile {
        slots: 12,
        memory_tokens: 382_500,
        steps_per_pass: 52,
        step: Duration::from_micros(925),
        step_per_request_ms: 0.004_83,
        step_per_context_k_ms: 0.002_54,
        prefill_tokens_per_s: 256_000.0,
        prefill_per_pairs_m_ms: 0.091_7,
        prefill_chunk_tokens: 2_048,
        step_per_spread_prompt_ms: 0.1,
    }
}

fn demand(prompt_tokens: u64, target_ms: u64) -> Demand {
    Demand {
        prompt_tokens,
        answer_limit_tokens: 2_000,
        gap: Duration::from_millis(target_ms.min(800)),
        target: Duration::from_millis(target_ms),
        elapsed: Duration::ZERO,
        waited: Duration::ZERO,
        time_left: Duration::from_secs(10),
        request: 0,
        is_refusable: false,
        connected: HashSet::new(),
    }
}
