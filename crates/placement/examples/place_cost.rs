//! Prints what decisions and peers' views cost for 25 engines and prompts of up
//! to a million tokens.
//!
//! Run with `cargo run --release -p mangofront-placement --example place_cost`.

use std::time::{Duration, Instant};

use mangofront_placement::{
    CacheSnapshot, EngineInfo, EngineRole, EngineState, LoadReport, Placement, PlacementOptions,
    PlacementRequest,
};

const ENGINES: usize = 25;
const BLOCKS: u64 = 4_000;
const ROUNDS: u32 = 2_000;
const PEERS: u32 = 140;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let options = PlacementOptions::new("entry-1".to_owned(), "hall-a".to_owned());
    let placement = Placement::new(options);
    placement.set_engines((0..ENGINES).map(engine).collect());
    // Each engine holds another part of the prompt, beside as much of others.
    let blocks: Vec<u64> = (1..=BLOCKS).map(spread).collect();
    for index in 0..ENGINES {
        let instance = format!("engine-{index}");
        placement.apply_load_report(&instance, report());
        let cached = blocks.len() * index / ENGINES;
        let other = (1..=BLOCKS).map(|block| spread(block + BLOCKS * (index as u64 + 1)));
        let all = blocks[..cached].iter().copied().chain(other);
        let snapshot = CacheSnapshot {
            incarnation: 1,
            sequence: 0,
            blocks: all.map(|block| format!("{block:016x}")).collect(),
        };
        placement.apply_cache_snapshot(&instance, snapshot);
    }
    for (name, length_tokens, blocks) in [
        ("1,000 tokens, no block", 1_000, Vec::new()),
        ("1,000,000 tokens, 4,000 blocks", 1_000_000, blocks),
    ] {
        let demand = demand(length_tokens, blocks);
        let mut held = Vec::new();
        let start = Instant::now();
        for round in 0..ROUNDS {
            held.push(placement.place(&demand, &[])?);
            if round >= 200 {
                held.swap_remove(round as usize % 200);
            }
        }
        let place = start.elapsed() / ROUNDS;
        let start = Instant::now();
        for _ in 0..ROUNDS {
            placement.estimate(&demand)?;
        }
        let estimate = start.elapsed() / ROUNDS;
        println!("{name}: place and drop {place:?}, estimate {estimate:?}");
    }
    views(&placement)
}

/// Has many peers with work on every engine tell of it, ten times each.
fn views(placement: &Placement) -> Result<(), Box<dyn std::error::Error>> {
    let peer = Placement::new(PlacementOptions::new(
        "entry-2".to_owned(),
        "hall-b".to_owned(),
    ));
    peer.set_engines((0..ENGINES).map(engine).collect());
    let held: Result<Vec<_>, _> = (0..200)
        .map(|index| peer.place(&demand(500 << (index % 10), Vec::new()), &[]))
        .collect();
    let held = held?;
    let mut size_bytes = 0;
    let mut taken = Duration::ZERO;
    for _ in 0..10 {
        let view = peer.own_view();
        size_bytes = view.len();
        let start = Instant::now();
        for number in 0..PEERS {
            placement.apply_peer_view(&format!("entry-{}", number + 2), 1, view.clone());
        }
        taken += start.elapsed();
    }
    let each = taken / (10 * PEERS);
    println!(
        "view of {} requests on {ENGINES} engines: {size_bytes} bytes, taken in in {each:?} \
         beside {PEERS} peers",
        held.len()
    );
    Ok(())
}

fn demand(length_tokens: u64, blocks: Vec<u64>) -> PlacementRequest {
    PlacementRequest {
        model: "assist-llm".to_owned(),
        length_tokens,
        max_tokens: 256,
        blocks,
        time_to_first_token: Duration::from_secs(60),
        deadline: Instant::now() + Duration::from_secs(600),
    }
}

/// Spreads numbers as hashes are spread.
fn spread(number: u64) -> u64 {
    let mixed = (number ^ (number >> 31)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xBF58_476D_1CE4_E5B9)
}

fn engine(index: usize) -> EngineInfo {
    EngineInfo {
        instance: format!("engine-{index}"),
        model: "assist-llm".to_owned(),
        availability_zone: ["hall-a", "hall-b", "hall-c"][index % 3].to_owned(),
        address: ([127, 0, 0, 1], 9_000 + index as u16).into(),
        leaving: false,
    }
}

fn report() -> LoadReport {
    LoadReport {
        incarnation: 1,
        sequence: 1,
        age_ms: 500,
        running: 8,
        waiting: 2,
        waiting_prefill_tokens: 20_000,
        kv_total_tokens: 2_000_000,
        kv_used_tokens: 100_000,
        prefill_tokens_per_s: 10_000.0,
        decode_step_ms: 20.0,
        state: EngineState::Live,
        role: EngineRole::Mixed,
    }
}
