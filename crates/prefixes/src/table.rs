//! Which engine read which beginnings, and how far it is believable that they are still there.
//!
//! Holdings are sorted by beginning: a request looks up its few beginnings, however many engines
//! there are.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::beginning::{Beginning, BeginningHash};

/// Identifies an incarnation of an engine; another incarnation has another key.
pub type EngineKey = u64;

/// An engine that retains prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Engine {
    /// Its key.
    pub key: EngineKey,
    /// Memory for prompts and answers, in tokens.
    pub memory_tokens: u64,
    /// Longest time for which it retains a prompt after its request.
    pub retention: Duration,
}

/// Limits on the size of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableLimits {
    /// Maximum number of holdings: pairs of an engine and a beginning.
    pub entries: usize,
    /// Maximum memory of the holdings, in bytes.
    pub bytes: usize,
}

impl Default for TableLimits {
    fn default() -> Self {
        Self {
            entries: 65_536,
            bytes: 8 * 1024 * 1024,
        }
    }
}

/// Position in the order of use; the lowest is the oldest.
type UseNumber = u64;

type HoldingKey = (BeginningHash, EngineKey);

/// A beginning that an engine read.
#[derive(Debug, Clone, Copy)]
struct Holding {
    tokens: u64,
    used_at: Instant,
    /// Memory that had been asked for at the engine when it was last used, in tokens.
    asked_before_tokens: u64,
    use_number: UseNumber,
}

/// Bytes of one holding in both maps; their nodes are at least half full.
const ENTRY_BYTES: usize = 2
    * (size_of::<HoldingKey>()
        + size_of::<Holding>()
        + size_of::<UseNumber>()
        + size_of::<HoldingKey>());

#[derive(Debug, Clone, Copy)]
struct EngineMemory {
    memory_tokens: u64,
    retention: Duration,
    /// Memory asked for since the engine is known, in tokens.
    asked_tokens: u64,
}

/// Beginnings of prompts that engines hold, as far as known.
///
/// Invariants: `by_use` has exactly the keys of `holdings`, by their use numbers; every holding
/// belongs to an engine in `engines`.
#[derive(Debug)]
pub struct PrefixTable {
    max_entries: usize,
    engines: HashMap<EngineKey, EngineMemory>,
    holdings: BTreeMap<HoldingKey, Holding>,
    by_use: BTreeMap<UseNumber, HoldingKey>,
    next_use: UseNumber,
}

impl PrefixTable {
    /// Creates a table without engines.
    #[must_use]
    pub fn new(limits: TableLimits) -> Self {
        Self {
            max_entries: limits.entries.min(limits.bytes / ENTRY_BYTES),
            engines: HashMap::new(),
            holdings: BTreeMap::new(),
            by_use: BTreeMap::new(),
            next_use: 0,
        }
    }

    /// Replaces the engines; what those that are gone held is forgotten.
    pub fn set_engines(&mut self, engines: impl IntoIterator<Item = Engine>) {
        let mut previous = std::mem::take(&mut self.engines);
        for engine in engines {
            let before = previous.remove(&engine.key);
            let memory = EngineMemory {
                memory_tokens: engine.memory_tokens,
                retention: engine.retention,
                asked_tokens: before.map_or(0, |before| before.asked_tokens),
            };
            self.engines.insert(engine.key, memory);
        }
        for gone in previous.into_keys() {
            self.forget_engine(gone);
        }
    }

    /// Records that a request asked for memory of an engine, which may evict what it holds.
    pub fn record_demand(&mut self, engine: EngineKey, tokens: u64) {
        if let Some(memory) = self.engines.get_mut(&engine) {
            memory.asked_tokens = memory.asked_tokens.saturating_add(tokens);
        }
    }

    /// Records that an engine has read these beginnings of one prompt.
    pub fn record_read(&mut self, engine: EngineKey, beginnings: &[Beginning], now: Instant) {
        let Some(memory) = self.engines.get(&engine) else {
            return;
        };
        let asked_before_tokens = memory.asked_tokens;
        for beginning in beginnings {
            let key = (beginning.hash, engine);
            let use_number = self.next_use;
            self.next_use += 1;
            let holding = Holding {
                tokens: beginning.tokens,
                used_at: now,
                asked_before_tokens,
                use_number,
            };
            if let Some(before) = self.holdings.insert(key, holding) {
                self.by_use.remove(&before.use_number);
            }
            self.by_use.insert(use_number, key);
        }
        while self.holdings.len() > self.max_entries
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.holdings.remove(&oldest);
        }
    }

    /// Records that an engine no longer holds a beginning.
    pub fn record_evicted(&mut self, engine: EngineKey, beginning: BeginningHash) {
        if let Some(holding) = self.holdings.remove(&(beginning, engine)) {
            self.by_use.remove(&holding.use_number);
        }
    }

    /// Forgets what an engine holds: it has exited, or reports that it holds nothing.
    pub fn forget_engine(&mut self, engine: EngineKey) {
        let by_use = &mut self.by_use;
        self.holdings.retain(|(_, holder), holding| {
            let is_kept = *holder != engine;
            if !is_kept {
                by_use.remove(&holding.use_number);
            }
            is_kept
        });
    }

    /// Number of pairs of an engine and a beginning.
    #[must_use]
    pub fn len(&self) -> usize {
        self.holdings.len()
    }

    /// Whether nothing is known to be held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holdings.is_empty()
    }

    /// Memory of the holdings, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.holdings.len() * ENTRY_BYTES
    }

    /// Belief from 0 to 1 that an engine still holds a beginning.
    #[must_use]
    pub fn belief(&self, engine: EngineKey, beginning: BeginningHash, now: Instant) -> f64 {
        let holding = self.holdings.get(&(beginning, engine));
        holding.map_or(0.0, |holding| self.belief_in(engine, holding, now))
    }

    /// Engines that may hold a beginning, with its length and the belief.
    pub(crate) fn holders(
        &self,
        beginning: BeginningHash,
        now: Instant,
    ) -> impl Iterator<Item = (EngineKey, u64, f64)> {
        let all = (beginning, EngineKey::MIN)..=(beginning, EngineKey::MAX);
        self.holdings
            .range(all)
            .map(move |((_, engine), holding)| {
                let belief = self.belief_in(*engine, holding, now);
                (*engine, holding.tokens, belief)
            })
            .filter(|(_, _, belief)| *belief > 0.0)
    }

    /// Falls with age, and with the memory asked for since: an engine evicts what was unused for
    /// longest, at the latest when its whole memory was asked for.
    fn belief_in(&self, engine: EngineKey, holding: &Holding, now: Instant) -> f64 {
        let Some(memory) = self.engines.get(&engine) else {
            return 0.0;
        };
        let age = now.saturating_duration_since(holding.used_at);
        let asked_tokens = memory.asked_tokens - holding.asked_before_tokens;
        belief_after(age.as_secs_f64(), memory.retention.as_secs_f64())
            * belief_after(asked_tokens as f64, memory.memory_tokens as f64)
    }
}

/// Belief that falls evenly to 0 as `used` reaches `limit`.
fn belief_after(used: f64, limit: f64) -> f64 {
    if used >= limit {
        return 0.0;
    }
    1.0 - used / limit
}
