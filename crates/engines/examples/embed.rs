//! Chooses engines using only this crate and its types.
//!
//! Runs two daemons in one process: each avoids the engines that are busy with the other's
//! requests.

use std::collections::{HashMap, HashSet};
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_channel::mpsc::unbounded;
use mangofront_engines::{Caller, ChoiceOptions, Demand, Upstreams};
use mangofront_routes::{AllowedRegions, EngineProfile, Position, Upstream};

const SERVICE: &str = "assist-llm";

fn main() -> Result<(), Box<dyn Error>> {
    let (sender, mut updates) = unbounded();
    let (ignored, _) = unbounded();
    let one = Upstreams::new(ChoiceOptions::default(), "hall-a".to_owned(), 1, sender);
    let other = Upstreams::new(ChoiceOptions::default(), "hall-b".to_owned(), 2, ignored);
    let profiles = HashMap::from([(SERVICE.to_owned(), Rc::new(engine_profile()))]);
    for daemon in [&one, &other] {
        daemon.set_published((0..8).map(engine), &profiles, |_| false);
    }
    let short = one.place(SERVICE, &demand(5_000, 300), &[])?;
    let long = one.place(SERVICE, &demand(150_000, 2_500), &[])?;
    println!(
        "a short prompt goes to {}, a long one to {} engines, first event in {:?}",
        short.answering().id,
        long.shares.len(),
        long.expected_first_event
    );
    while let Ok(update) = updates.try_recv() {
        other.apply_update(1, update);
    }
    let busy = other
        .status()
        .iter()
        .filter(|one| one.backlog_ms > 0.0)
        .count();
    println!("the other daemon knows of {busy} busy engines");
    drop((short, long));
    while let Ok(update) = updates.try_recv() {
        other.apply_update(1, update);
    }
    let busy = other
        .status()
        .iter()
        .filter(|one| one.answering > 0)
        .count();
    println!("and of {busy} after all requests have ended");
    Ok(())
}

fn engine(number: u16) -> Upstream {
    Upstream {
        id: format!("engine-{number}"),
        service: SERVICE.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 8_000 + number)),
        availability_zone: "hall-a".to_owned(),
        slots: 16,
        started_at_ms: 0,
        registered_at: Position::new(0, u64::from(number)),
        leaving: false,
        cold_left: None,
    }
}

fn engine_profile() -> EngineProfile {
    EngineProfile {
        slots: 16,
        memory_tokens: 232_000,
        steps_per_pass: 43,
        step: Duration::from_micros(1_020),
        step_per_request_ms: 0.002,
        step_per_context_k_ms: 0.004,
        prefill_tokens_per_s: 206_000.0,
        prefill_per_pairs_m_ms: 0.138,
        prefill_chunk_tokens: 2_048,
        step_per_spread_prompt_ms: 0.075,
    }
}

fn demand(prompt_tokens: u64, target_ms: u64) -> Demand {
    Demand {
        prompt_tokens,
        answer_limit_tokens: 1_000,
        gap: Duration::from_millis(target_ms),
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
