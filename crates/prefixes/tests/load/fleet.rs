//! Engines with queues, slots and a cache that drops what was unused for longest.

use std::time::{Duration, Instant};

use mangofront_prefixes::{
    Beginning, Candidate, Engine as Published, PrefixTable, Prompt, PromptPart, TableLimits,
    beginnings,
};

const ENGINES: usize = 12;
const REQUESTS: usize = 4_000;
const ANSWER_MS: f64 = 400.0;
const TARGET_MS: f64 = 150.0;
const RETENTION: Duration = Duration::from_secs(30);

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Policy {
    /// The shortest wait.
    Load,
    /// The most tokens believed to be held, whatever the wait.
    LongestMatch,
    /// The shortest wait less what is saved.
    Both,
}

/// A load; by default, sessions that resume prompts of 5,000 to 16,000 tokens.
#[derive(Debug, Clone)]
pub struct Pattern {
    pub sessions: u64,
    pub requests_per_s: f64,
    /// Part of every prompt.
    pub shared_tokens: u64,
    /// Part of one request alone.
    pub own_tokens: u64,
    pub memory_tokens: u64,
    pub slots: usize,
    /// Time between two restarts, each of the next engine.
    pub restart_period_s: f64,
    /// Engines without eligibility, others every second.
    pub excluded_engines: usize,
}

impl Default for Pattern {
    fn default() -> Self {
        Self {
            sessions: 60,
            requests_per_s: 110.0,
            shared_tokens: 1_000,
            own_tokens: 100,
            memory_tokens: 150_000,
            slots: 16,
            restart_period_s: f64::INFINITY,
            excluded_engines: 0,
        }
    }
}

#[derive(Debug, Clone, Copy)]
#[allow(dead_code, reason = "printed in snapshots")]
pub struct Outcome {
    pub in_time_permille: u64,
    pub mean_ms: u64,
    pub p95_ms: u64,
    /// Prompt tokens that were computed, of all.
    pub read_percent: u64,
}

#[derive(Debug, Clone, Copy)]
struct Cached {
    beginning: Beginning,
    /// Memory that it takes beyond the next shorter one.
    added_tokens: u64,
}

#[derive(Debug, Clone, Default)]
struct Engine {
    incarnation: u64,
    busy_until_ms: f64,
    /// Ends of the requests that run.
    ends_ms: Vec<f64>,
    /// Beginnings in memory, the oldest first.
    cache: Vec<Cached>,
}

pub struct Fleet {
    pattern: Pattern,
    policy: Policy,
    start: Instant,
    engines: Vec<Engine>,
    table: PrefixTable,
    random: u64,
}

fn prefill_ms(tokens: u64) -> f64 {
    let tokens = tokens as f64;
    tokens / 100.0 + tokens * tokens / 2.0 / 1e6 * 0.14
}

impl Fleet {
    pub fn new(pattern: &Pattern, policy: Policy) -> Self {
        let mut fleet = Self {
            pattern: pattern.clone(),
            policy,
            start: Instant::now(),
            engines: vec![Engine::default(); ENGINES],
            table: PrefixTable::new(TableLimits::default()),
            random: 0x9E37_79B9_7F4A_7C15,
        };
        fleet.publish();
        fleet
    }

    pub fn run(mut self) -> Outcome {
        let mut now_ms = 0.0;
        let mut next_restart_ms = self.pattern.restart_period_s * 1_000.0;
        let (mut first_events_ms, mut asked_tokens, mut read_tokens) = (Vec::new(), 0, 0);
        for number in 0..REQUESTS {
            now_ms -= self.uniform().ln() * 1_000.0 / self.pattern.requests_per_s;
            if now_ms >= next_restart_ms {
                next_restart_ms += self.pattern.restart_period_s * 1_000.0;
                let restarted = &mut self.engines[number % ENGINES];
                restarted.incarnation += 1;
                restarted.cache.clear();
                self.publish();
            }
            let parts = self.prompt(number as u128);
            let held = beginnings("assist", &parts);
            let tokens = held.last().map_or(0, |last| last.tokens);
            let chosen = self.choose(&held, tokens, now_ms);
            let key = self.key(chosen);
            let read = self.engines[chosen].read(&held, tokens, now_ms, &self.pattern);
            self.table.record_demand(key, tokens);
            let at = self.start + Duration::from_secs_f64(now_ms / 1_000.0);
            self.table.record_read(key, &held, at);
            first_events_ms.push(self.engines[chosen].busy_until_ms - now_ms);
            asked_tokens += tokens;
            read_tokens += read;
        }
        first_events_ms.sort_by(f64::total_cmp);
        let in_time = first_events_ms.partition_point(|time_ms| *time_ms <= TARGET_MS);
        Outcome {
            in_time_permille: (in_time * 1_000 / REQUESTS) as u64,
            mean_ms: (first_events_ms.iter().sum::<f64>() / REQUESTS as f64) as u64,
            p95_ms: first_events_ms[REQUESTS * 95 / 100] as u64,
            read_percent: read_tokens * 100 / asked_tokens,
        }
    }

    /// A shared part, the part of a session, and the request's own.
    fn prompt(&mut self, number: u128) -> [PromptPart; 3] {
        let session = (self.uniform() * self.pattern.sessions as f64) as u64;
        [
            (1, self.pattern.shared_tokens),
            (1_000 + u128::from(session), 4_000 + 200 * (session % 60)),
            (1_000_000 + number, self.pattern.own_tokens),
        ]
        .map(|(id, tokens)| PromptPart { id, tokens })
    }

    fn choose(&self, held: &[Beginning], tokens: u64, now_ms: f64) -> usize {
        let candidates: Vec<Candidate> = (0..ENGINES)
            .map(|index| Candidate {
                engine: self.key(index),
                wait_ms: self.engines[index].wait_ms(now_ms, &self.pattern),
                has_room: self.engines[index].free_slots(now_ms, &self.pattern) > 0
                    && !self.is_excluded(index, now_ms),
            })
            .collect();
        let now = self.start + Duration::from_secs_f64(now_ms / 1_000.0);
        let prompt = Prompt {
            beginnings: held,
            tokens,
            prefill_ms: &prefill_ms,
        };
        let corrections = self.table.corrections(prompt, &candidates, now);
        let matched = |candidate: &Candidate| {
            let longest = held
                .iter()
                .rev()
                .find(|one| self.table.belief(candidate.engine, one.hash, now) > 0.0);
            longest.map_or(0, |one| one.tokens)
        };
        let cost_ms = |index: &usize| {
            let candidate = &candidates[*index];
            match self.policy {
                Policy::Load => candidate.wait_ms,
                Policy::LongestMatch => candidate.wait_ms - matched(candidate) as f64 * 1e6,
                Policy::Both => candidate.wait_ms + corrections[*index],
            }
        };
        let eligible = (0..ENGINES).filter(|index| !self.is_excluded(*index, now_ms));
        eligible
            .min_by(|one, other| cost_ms(one).total_cmp(&cost_ms(other)))
            .expect("some engine is eligible")
    }

    fn is_excluded(&self, index: usize, now_ms: f64) -> bool {
        let turn = (now_ms / 1_000.0) as usize;
        (index + turn * 5) % ENGINES < self.pattern.excluded_engines
    }

    fn key(&self, index: usize) -> u64 {
        self.engines[index].incarnation * 1_000 + index as u64
    }

    fn publish(&mut self) {
        let engines: Vec<Published> = (0..ENGINES)
            .map(|index| Published {
                key: self.key(index),
                memory_tokens: self.pattern.memory_tokens,
                retention: RETENTION,
            })
            .collect();
        self.table.set_engines(engines);
    }

    fn uniform(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        ((self.random >> 11) as f64 + 1.0) / (1_u64 << 53) as f64
    }
}

impl Engine {
    fn free_slots(&self, now_ms: f64, pattern: &Pattern) -> usize {
        let running = self.ends_ms.iter().filter(|end_ms| **end_ms > now_ms);
        pattern.slots.saturating_sub(running.count())
    }

    /// Time until its queue is read and a slot is free.
    fn wait_ms(&self, now_ms: f64, pattern: &Pattern) -> f64 {
        let mut ends_ms = self.ends_ms.clone();
        ends_ms.sort_by(|one, other| other.total_cmp(one));
        let slot_ms = ends_ms.get(pattern.slots - 1).copied().unwrap_or(0.0);
        self.busy_until_ms.max(slot_ms).max(now_ms) - now_ms
    }

    /// Reads a prompt after the queue; returns the tokens that were not in memory.
    fn read(&mut self, held: &[Beginning], tokens: u64, now_ms: f64, pattern: &Pattern) -> u64 {
        let is_cached =
            |one: &&Beginning| self.cache.iter().any(|cached| cached.beginning == **one);
        let cached = held.iter().rev().find(is_cached);
        let cached_tokens = cached.map_or(0, |one| one.tokens);
        let start_ms = now_ms + self.wait_ms(now_ms, pattern);
        self.busy_until_ms = start_ms + prefill_ms(tokens) - prefill_ms(cached_tokens);
        self.ends_ms.retain(|end_ms| *end_ms > now_ms);
        self.ends_ms.push(self.busy_until_ms + ANSWER_MS);
        self.cache
            .retain(|cached| !held.contains(&cached.beginning));
        // The longest beginning is dropped first, as an engine's blocks are.
        let shorter_tokens = std::iter::once(0).chain(held.iter().map(|one| one.tokens));
        let stored: Vec<Cached> = held
            .iter()
            .zip(shorter_tokens)
            .map(|(beginning, shorter_tokens)| Cached {
                beginning: *beginning,
                added_tokens: beginning.tokens - shorter_tokens,
            })
            .collect();
        self.cache.extend(stored.into_iter().rev());
        let stored_tokens =
            |cache: &[Cached]| cache.iter().map(|one| one.added_tokens).sum::<u64>();
        while stored_tokens(&self.cache) > pattern.memory_tokens {
            self.cache.remove(0);
        }
        tokens - cached_tokens
    }
}
