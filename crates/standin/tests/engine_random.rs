//! Random sequences of calls, after which all memory of the engine must be free.

#![allow(clippy::unwrap_used, reason = "a helper that fails ends its test")]

mod support;

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use serde_json::{Value, json};
use support::{Completion, TestEngine, events, frames, settings};

/// Number of random cases; each takes some tens of milliseconds.
const CASES: u64 = 40;

#[derive(Debug, Clone)]
enum Call {
    Submit {
        tokens: u16,
        answer: u8,
        priority: u8,
        shared: bool,
        reserved: bool,
    },
    Cancel {
        index: usize,
    },
    StopReading {
        index: usize,
    },
    ReadOne {
        index: usize,
    },
    Reserve {
        tokens: u16,
        lease_ms: u8,
    },
    Release,
    Segment {
        tokens: u16,
    },
    Import,
    Pause {
        ms: u8,
    },
}

impl Arbitrary for Call {
    fn arbitrary(g: &mut Gen) -> Self {
        let index = usize::arbitrary(g) % 16;
        let tokens = u16::arbitrary(g) % 4000;
        match u8::arbitrary(g) % 12 {
            0..=3 => Self::Submit {
                tokens,
                answer: u8::arbitrary(g) % 60,
                priority: u8::arbitrary(g) % 4,
                shared: bool::arbitrary(g),
                reserved: u8::arbitrary(g) % 4 == 0,
            },
            4 => Self::Cancel { index },
            5 => Self::StopReading { index },
            6 => Self::ReadOne { index },
            7 => Self::Reserve {
                tokens,
                lease_ms: u8::arbitrary(g),
            },
            8 => Self::Release,
            9 => Self::Segment { tokens },
            10 => Self::Import,
            _ => Self::Pause {
                ms: u8::arbitrary(g) % 8,
            },
        }
    }
}

/// State of one case; `streams` is indexed by request number, with `None` for
/// streams that are no longer read.
struct Run {
    engine: TestEngine,
    streams: Vec<Option<support::Events>>,
}

impl Run {
    async fn apply(&mut self, call: &Call) {
        match call {
            Call::Submit {
                tokens,
                answer,
                priority,
                shared,
                reserved,
            } => {
                let name = format!("request {}", self.streams.len());
                let prompt = if *shared { "shared" } else { name.as_str() };
                let completion = Completion {
                    request: name.clone(),
                    priority: *priority,
                    reservation: reserved.then(|| "r".to_owned()),
                    ..Completion::new(prompt, usize::from(*tokens), u32::from(*answer) + 1)
                };
                let response = self.engine.submit(&completion).await;
                let is_open = response.status().is_success();
                self.streams.push(is_open.then(|| events(response)));
            }
            Call::Cancel { index } => self.engine.cancel(&format!("request {index}"), 1).await,
            Call::StopReading { index } => drop(self.streams.get_mut(*index).map(Option::take)),
            Call::ReadOne { index } => {
                if let Some(Some(stream)) = self.streams.get_mut(*index) {
                    let _ = futures_util::StreamExt::next(stream).await;
                }
            }
            Call::Reserve { tokens, lease_ms } => {
                let body = json!({"reservation": "r", "tokens": tokens, "lease_ms": lease_ms});
                self.engine.call("POST", "/v1/reservations", body).await;
            }
            Call::Release => {
                self.engine
                    .call("DELETE", "/v1/reservations/r", Value::Null)
                    .await;
            }
            Call::Segment { tokens } => {
                let body = json!({"reservation": "r", "request": "s", "attempt": 1,
                    "tokens": tokens, "priority": 1});
                self.engine.call("POST", "/v1/segments", body).await;
            }
            Call::Import => {
                let blocks = self.engine.get("/v1/cache").await["blocks"].clone();
                let body = json!({"blocks": blocks});
                let (_, export) = self.engine.call("POST", "/v1/kv/export", body).await;
                self.engine.call("POST", "/v1/kv/import", export).await;
            }
            Call::Pause { ms } => {
                compio::time::sleep(Duration::from_millis(u64::from(*ms))).await;
            }
        }
    }
}

fn all_memory_is_freed(calls: Vec<Call>) -> bool {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let mut settings = settings();
        settings.kv_total_tokens = 6000;
        settings.max_running = 4;
        settings.time_scale = 0.005;
        settings.resume_window_ms = 30;
        settings.tombstone_ms = 50;
        let engine = TestEngine::start(settings).await;
        let streams = Vec::new();
        let mut run = Run { engine, streams };
        for call in &calls {
            run.apply(call).await;
        }
        // Every other caller disconnects; the rest keep their streams open.
        for index in (0..run.streams.len()).step_by(2) {
            run.streams[index] = None;
        }
        run.engine.wait_until_idle().await;
    });
    true
}

#[test]
fn all_memory_is_freed_after_random_calls() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 20_260))
        .tests(CASES)
        .quickcheck(all_memory_is_freed as fn(Vec<Call>) -> bool);
}

#[compio::test]
async fn answers_continue_while_memory_is_short() {
    let mut settings = settings();
    settings.kv_total_tokens = 1200;
    let engine = TestEngine::start(settings).await;
    let mut open = Vec::new();
    for index in 0..20 {
        let mut completion = Completion::new(&format!("request {index}"), 500, 30);
        completion.priority = 20 - index;
        open.push((events(engine.submit(&completion).await), completion));
    }
    for (mut stream, completion) in open {
        let length = mangofront_standin::answer::length_tokens(completion.digest(), 30);
        let frames = frames(&mut stream, length as usize).await;
        assert_eq!(support::joined_text(&frames, 0), completion.answer());
    }
    engine.wait_until_idle().await;
}
