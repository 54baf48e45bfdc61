//! What the table believes, and how a belief is weighed.

use std::time::{Duration, Instant};

use mangofront_prefixes::{
    Beginning, Candidate, Engine, PrefixTable, Prompt, PromptPart, TableLimits, beginnings,
};
use quickcheck::quickcheck;

const SERVICE: &str = "assist";
const MEMORY_TOKENS: u64 = 100_000;
const RETENTION: Duration = Duration::from_secs(100);

fn engine(key: u64) -> Engine {
    Engine {
        key,
        memory_tokens: MEMORY_TOKENS,
        retention: RETENTION,
    }
}

fn parts(parts: &[(u128, u64)]) -> Vec<Beginning> {
    let parts = parts.iter().map(|(id, tokens)| PromptPart {
        id: *id,
        tokens: *tokens,
    });
    beginnings(SERVICE, &parts.collect::<Vec<_>>())
}

/// A table of three engines, the first of which read `held`.
fn table(held: &[Beginning], now: Instant) -> PrefixTable {
    let mut table = PrefixTable::new(TableLimits::default());
    table.set_engines((0..3).map(engine));
    table.record_read(0, held, now);
    table
}

/// Quadratic, as attention is.
fn prefill_ms(tokens: u64) -> f64 {
    let tokens = tokens as f64;
    tokens / 100.0 + tokens * tokens / 2.0 / 1e6 * 0.2
}

fn prompt(beginnings: &[Beginning]) -> Prompt<'_> {
    Prompt {
        beginnings,
        tokens: beginnings.last().map_or(0, |last| last.tokens),
        prefill_ms: &prefill_ms,
    }
}

fn candidates(waits_ms: [f64; 3]) -> Vec<Candidate> {
    let candidate = |(engine, wait_ms)| Candidate {
        engine,
        wait_ms,
        has_room: true,
    };
    (0..).zip(waits_ms).map(candidate).collect()
}

/// Guards against a saving for parts in another order, after another part, or of another service.
#[test]
fn only_a_common_beginning_counts() {
    let now = Instant::now();
    let table = table(&parts(&[(1, 8_000), (2, 500), (3, 60)]), now);
    let correction = |of: &[(u128, u64)]| {
        let of = parts(of);
        table.corrections(prompt(&of), &candidates([0.0; 3]), now)[0]
    };
    let foreign = beginnings(
        "other",
        &[PromptPart {
            id: 1,
            tokens: 8_000,
        }],
    );
    insta::assert_debug_snapshot!([
        ("whole prompt", correction(&[(1, 8_000), (2, 500), (3, 60)])),
        (
            "resumed",
            correction(&[(1, 8_000), (2, 500), (3, 60), (4, 90)])
        ),
        ("two parts", correction(&[(1, 8_000), (2, 500), (4, 60)])),
        ("one part", correction(&[(1, 8_000), (3, 60)])),
        ("other order", correction(&[(2, 500), (1, 8_000)])),
        ("later part", correction(&[(9, 1), (1, 8_000)])),
        ("other length", correction(&[(1, 7_999), (2, 500)])),
        (
            "other service",
            table.corrections(prompt(&foreign), &candidates([0.0; 3]), now)[0]
        ),
    ]);
}

/// Guards against belief in what was evicted for age or for memory.
#[test]
fn belief_falls_with_age_and_with_memory_asked_for() {
    let now = Instant::now();
    let held = parts(&[(1, 8_000)]);
    let belief = |age_s: u64, asked_tokens: u64| {
        let mut table = table(&held, now);
        table.record_demand(0, asked_tokens);
        table.record_demand(1, MEMORY_TOKENS);
        table.belief(0, held[0].hash, now + Duration::from_secs(age_s))
    };
    insta::assert_debug_snapshot!([
        belief(0, 0),
        belief(50, 0),
        belief(100, 0),
        belief(101, 0),
        belief(0, 25_000),
        belief(50, 50_000),
        belief(0, MEMORY_TOKENS),
        belief(0, u64::MAX),
    ]);
}

/// Guards against a belief that stays low although the engine has just used the beginning again.
#[test]
fn a_beginning_that_is_used_again_is_believed_again() {
    let now = Instant::now();
    let held = parts(&[(1, 8_000)]);
    let mut table = table(&held, now);
    table.record_demand(0, MEMORY_TOKENS);
    let later = now + RETENTION;
    assert_eq!(table.belief(0, held[0].hash, later), 0.0);
    table.record_read(0, &held, later);
    assert_eq!(table.belief(0, held[0].hash, later), 1.0);
    assert_eq!(table.len(), 1);
}

/// Guards against belief in an incarnation that is gone, exited, or said otherwise.
#[test]
fn nothing_is_believed_after_restart_exit_or_eviction() {
    let now = Instant::now();
    let held = parts(&[(1, 8_000), (2, 500)]);
    let beliefs = |change: &dyn Fn(&mut PrefixTable)| {
        let mut table = table(&held, now);
        table.record_read(1, &held, now);
        change(&mut table);
        let belief = |engine, index: usize| table.belief(engine, held[index].hash, now);
        let beliefs = [belief(0, 0), belief(0, 1), belief(1, 0), belief(7, 0)];
        (beliefs, table.len())
    };
    insta::assert_debug_snapshot!([
        ("unchanged", beliefs(&|_| ())),
        (
            "restarted as 7",
            beliefs(&|table| {
                table.set_engines([1, 2, 7].map(engine));
                table.record_read(0, &held, now);
            })
        ),
        ("exited", beliefs(&|table| table.forget_engine(0))),
        (
            "evicted",
            beliefs(&|table| table.record_evicted(0, held[1].hash))
        ),
        (
            "published again",
            beliefs(&|table| table.set_engines((0..3).map(engine)))
        ),
        (
            "unknown engine",
            beliefs(&|table| table.record_read(7, &held, now))
        ),
    ]);
}

/// Guards against a saving that sends work into a longer queue than it is worth, or to an engine
/// without room.
#[test]
fn a_saving_counts_only_where_it_exceeds_the_longer_wait() {
    let now = Instant::now();
    let held = parts(&[(1, 8_000)]);
    let weigh = |candidates: &[Candidate]| {
        let mut table = table(&held, now);
        table.record_demand(0, MEMORY_TOKENS / 2);
        table.corrections(prompt(&held), candidates, now)
    };
    let without_room = |engine: usize| {
        let mut candidates = candidates([90.0, 0.0, 80.0]);
        candidates[engine].has_room = false;
        candidates
    };
    insta::assert_debug_snapshot!([
        ("idle", weigh(&candidates([0.0, 0.0, 0.0]))),
        ("wait of 40 ms", weigh(&candidates([40.0, 0.0, 80.0]))),
        ("wait of 45 ms", weigh(&candidates([45.0, 0.0, 80.0]))),
        ("all wait", weigh(&candidates([1_040.0, 1_000.0, 1_001.0]))),
        ("no room there", weigh(&without_room(0))),
        ("no room elsewhere", weigh(&without_room(1))),
        ("alone", weigh(&candidates([1_000.0, 0.0, 0.0])[..1])),
    ]);
}

/// Guards against a table that grows with traffic, or that drops what is in use.
#[test]
fn the_table_is_bounded_and_the_oldest_go_first() {
    let now = Instant::now();
    let limited = |entries, bytes| {
        let mut table = PrefixTable::new(TableLimits { entries, bytes });
        table.set_engines([engine(0)]);
        let first = parts(&[(0, 10)]);
        for id in 0..1_000 {
            table.record_read(0, &parts(&[(id, 10)]), now);
            table.record_read(0, &first, now);
        }
        let believed = |id| table.belief(0, parts(&[(id, 10)])[0].hash, now) > 0.0;
        let oldest = (0..1_000).skip(1).find(|id| believed(*id));
        (table.len(), table.bytes() <= bytes, believed(0), oldest)
    };
    insta::assert_debug_snapshot!([
        limited(100, usize::MAX),
        limited(usize::MAX, 10_000),
        limited(0, usize::MAX),
    ]);
    let many: Vec<(u128, u64)> = (0..64).map(|id| (id, 10)).collect();
    assert_eq!(parts(&many).len(), 8);
    assert_eq!(parts(&many)[7].tokens, 640);
}

quickcheck! {
    /// Guards against a correction that makes an engine dearer, or that saves more than the prompt.
    fn a_correction_is_between_nothing_and_the_prefill_time(
        reads: Vec<(u8, u8, u16)>, waits_ms: (u16, u16, u16), own_tokens: u16, age_s: u8
    ) -> bool {
        let now = Instant::now();
        let mut table = PrefixTable::new(TableLimits { entries: 16, bytes: usize::MAX });
        table.set_engines((0..3).map(engine));
        for (engine, part, tokens) in reads {
            table.record_demand(u64::from(engine % 4), u64::from(tokens));
            let read = parts(&[(u128::from(part % 3), 100), (7, u64::from(tokens))]);
            table.record_read(u64::from(engine % 4), &read, now);
        }
        let asked = parts(&[(0, 100), (7, u64::from(own_tokens))]);
        let asked = Prompt { tokens: u64::from(own_tokens), ..prompt(&asked) };
        let waits_ms = [waits_ms.0, waits_ms.1, waits_ms.2].map(f64::from);
        let at = now + Duration::from_secs(u64::from(age_s));
        let corrections = table.corrections(asked, &candidates(waits_ms), at);
        let least_ms = -prefill_ms(u64::from(own_tokens));
        table.len() <= 16 && corrections.iter().all(|one| (least_ms..=0.0).contains(one))
    }
}
