//! Weighs a prompt's beginning at one engine against the wait, using only this crate.

use std::time::{Duration, Instant};

use mangofront_prefixes::{
    Candidate, Engine, PrefixTable, Prompt, PromptPart, TableLimits, beginnings,
};

fn main() {
    let mut table = PrefixTable::new(TableLimits::default());
    table.set_engines([1, 2].map(|key| Engine {
        key,
        memory_tokens: 200_000,
        retention: Duration::from_secs(60),
    }));

    // Engine 1 has read a prompt of two parts.
    let now = Instant::now();
    let parts = [(0x5c1e, 8_000), (0x91bd, 400)].map(|(id, tokens)| PromptPart { id, tokens });
    table.record_demand(1, 9_000);
    table.record_read(1, &beginnings("assist", &parts), now);

    // The next prompt shares the first part; the engine's queue grows.
    let next = [parts[0], PromptPart { id: 7, tokens: 300 }];
    let prompt = Prompt {
        beginnings: &beginnings("assist", &next),
        tokens: 8_300,
        prefill_ms: &|tokens| tokens as f64 / 100.0,
    };
    for wait_ms in [0.0, 50.0, 100.0] {
        let candidates = [(1, wait_ms), (2, 0.0)].map(|(engine, wait_ms)| Candidate {
            engine,
            wait_ms,
            has_room: true,
        });
        let corrections = table.corrections(prompt, &candidates, now);
        println!("wait of {wait_ms} ms at the engine that holds it: corrections {corrections:?}");
    }
}
