//! A fleet under a clock that stands still.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::time::{Duration, Instant};

use mangofront_placement::{
    Clock, EngineInfo, EngineRole, EngineState, EngineStatus, LoadReport, Placement,
    PlacementOptions, PlacementRequest, Policy,
};

pub const MODEL: &str = "assist-llm";
pub const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

pub struct Fleet {
    pub clock: Clock,
    pub start: Instant,
    pub placement: Placement,
}

/// A daemon before `count` idle engines spread over the zones.
pub fn fleet(count: usize) -> Fleet {
    daemon(
        "entry-1",
        count,
        Clock::manual(Instant::now()),
        Policy::LengthAware,
    )
}

pub fn daemon(name: &str, count: usize, clock: Clock, policy: Policy) -> Fleet {
    let options = PlacementOptions::new(name.to_owned(), "hall-a".to_owned())
        .policy(policy)
        .clock(clock.clone());
    let placement = Placement::new(options);
    placement.set_engines(engines(count));
    for index in 0..count {
        placement.apply_load_report(&format!("engine-{index}"), report(1));
    }
    let start = clock.now();
    Fleet {
        clock,
        start,
        placement,
    }
}

pub fn engines(count: usize) -> Vec<EngineInfo> {
    (0..count).map(engine).collect()
}

pub fn engine(index: usize) -> EngineInfo {
    EngineInfo {
        instance: format!("engine-{index}"),
        model: MODEL.to_owned(),
        availability_zone: ZONES[index % ZONES.len()].to_owned(),
        address: ([127, 0, 0, 1], 9_000 + index as u16).into(),
        leaving: false,
    }
}

/// An idle engine's report: 10,000 tokens a second, memory for 400,000 tokens.
pub fn report(sequence: u64) -> LoadReport {
    LoadReport {
        incarnation: 1,
        sequence,
        age_ms: 0,
        running: 0,
        waiting: 0,
        waiting_prefill_tokens: 0,
        kv_total_tokens: 400_000,
        kv_used_tokens: 0,
        prefill_tokens_per_s: 10_000.0,
        decode_step_ms: 20.0,
        state: EngineState::Live,
        role: EngineRole::Mixed,
    }
}

impl Fleet {
    /// A request of a class that starts within two seconds and ends within a minute.
    pub fn demand(&self, length_tokens: u64) -> PlacementRequest {
        PlacementRequest {
            model: MODEL.to_owned(),
            length_tokens,
            max_tokens: 64,
            blocks: Vec::new(),
            time_to_first_token: Duration::from_secs(2),
            deadline: self.clock.now() + Duration::from_secs(60),
        }
    }

    /// A request of a class that starts within minutes.
    pub fn patient(&self, length_tokens: u64) -> PlacementRequest {
        PlacementRequest {
            time_to_first_token: Duration::from_secs(300),
            deadline: self.clock.now() + Duration::from_secs(600),
            ..self.demand(length_tokens)
        }
    }

    /// Engines from the short end to the long end.
    pub fn order(&self) -> Vec<String> {
        let explanation = self.placement.explain(&self.demand(1_000));
        let considered = explanation.considered.into_iter();
        considered.map(|engine| engine.instance).collect()
    }

    pub fn status(&self, instance: &str) -> EngineStatus {
        let engines = self.placement.status().engines.into_iter();
        let mut found = engines.filter(|engine| engine.instance == instance);
        found.next().expect("known engine")
    }
}
