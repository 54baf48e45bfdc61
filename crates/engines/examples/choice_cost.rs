//! Prints the time per placement for 18, 78 and 195 engines, each of which answers three requests
//! on average that another daemon placed.
//!
//! Run with `cargo run --release -p mangofront-engines --example choice_cost`.

use std::collections::{HashMap, HashSet};
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::mpsc::unbounded;
use mangofront_engines::{Caller, ChoiceOptions, Demand, NoUpstream, Placement, Upstreams};
use mangofront_routes::{AllowedRegions, EngineProfile, Position, Upstream};

const SERVICE: &str = "assist-llm";

/// Placements per timed run.
const ROUNDS: u32 = 2_000;

/// Requests that each engine answers.
const REQUESTS_PER_ENGINE: u16 = 3;

/// Incarnation id of the daemon that placed them.
const OTHER: u64 = 2;

fn main() -> Result<(), Box<dyn Error>> {
    for engines in [18, 78, 195] {
        let (upstreams, _placements) = busy_fleet(engines)?;
        for (name, prompt_tokens, target_ms) in [
            ("5,000 tokens", 5_000, 300),
            ("45,000 tokens", 45_000, 1_500),
            ("300,000 tokens", 300_000, 4_000),
        ] {
            let demand = demand(prompt_tokens, target_ms);
            let mut sent = 0;
            let start = Instant::now();
            for _ in 0..ROUNDS {
                // Each placement is dropped at once, so that all of them see the same load.
                sent += u32::from(upstreams.place(SERVICE, &demand, &[]).is_ok());
            }
            let each = start.elapsed() / ROUNDS;
            println!("{engines} engines, {name}: {each:?} per choice, {sent} of {ROUNDS} sent");
        }
    }
    Ok(())
}

/// A daemon that received the updates of another one whose requests occupy the engines, and the
/// placements of that other daemon.
fn busy_fleet(engines: u16) -> Result<(Upstreams, Vec<Placement>), NoUpstream> {
    let profiles = HashMap::from([(SERVICE.to_owned(), Rc::new(engine_profile()))]);
    let (sender, mut updates) = unbounded();
    let (ignored, _) = unbounded();
    let [other, upstreams] = [(2, sender), (1, ignored)].map(|(salt, sender)| {
        let daemon = Upstreams::new(ChoiceOptions::default(), "hall-a".to_owned(), salt, sender);
        daemon.set_published((0..engines).map(engine), &profiles, |_| false);
        daemon
    });
    let mut placements = Vec::new();
    for _ in 0..engines * REQUESTS_PER_ENGINE {
        let mut placed = other.place(SERVICE, &demand(5_000, 300), &[])?;
        placed.record_first_event();
        placements.push(placed);
    }
    while let Ok(update) = updates.try_recv() {
        upstreams.apply_update(OTHER, update);
    }
    Ok((upstreams, placements))
}

fn engine(number: u16) -> Upstream {
    Upstream {
        id: format!("engine-{number}"),
        service: SERVICE.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 8_000 + number)),
        availability_zone: ["hall-a", "hall-b", "hall-c"][usize::from(number % 3)].to_owned(),
        slots: 12,
        started_at_ms: 0,
        registered_at: Position::new(0, u64::from(number)),
        leaving: false,
        cold_left: None,
    }
}

fn engine_profile() -> EngineProfile {
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
        caller: Caller::default(),
        request: 0,
        is_refusable: false,
        connected: HashSet::new(),
        prompt_parts: Rc::default(),
        allowed_regions: AllowedRegions::Any,
    }
}
