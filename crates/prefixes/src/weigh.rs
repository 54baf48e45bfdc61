//! Weighs what is saved at an engine against the wait there.

use std::collections::HashMap;
use std::time::Instant;

use crate::beginning::Beginning;
use crate::table::{EngineKey, PrefixTable};

/// A prompt to be placed.
#[derive(Clone, Copy)]
pub struct Prompt<'a> {
    /// Its beginnings.
    pub beginnings: &'a [Beginning],
    /// Its length.
    pub tokens: u64,
    /// Time in which one idle engine prefills a prompt of some length from its start, in
    /// milliseconds.
    pub prefill_ms: &'a dyn Fn(u64) -> f64,
}

impl std::fmt::Debug for Prompt<'_> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Prompt")
            .field("beginnings", &self.beginnings)
            .field("tokens", &self.tokens)
            .finish_non_exhaustive()
    }
}

/// An engine that may take the prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The engine.
    pub engine: EngineKey,
    /// Time until it would begin to prefill, in milliseconds.
    pub wait_ms: f64,
    /// Whether it has a free slot and memory for the request, and is warm.
    pub has_room: bool,
}

impl PrefixTable {
    /// Corrections of the candidates' costs, in milliseconds, in the same order.
    ///
    /// A correction is never positive, and never larger than the time to prefill the tokens held.
    /// It is zero where the engine has no room, and where the wait beyond the shortest one
    /// elsewhere takes as long as is saved.
    ///
    /// That longer wait is taken off what is saved, although the cost contains it too: whoever joins
    /// a queue also delays those that come after. Counted once, it would let the few engines that
    /// hold a popular beginning fill up to the whole time saved before another engine reads it.
    #[must_use]
    pub fn corrections(
        &self,
        prompt: Prompt<'_>,
        candidates: &[Candidate],
        now: Instant,
    ) -> Vec<f64> {
        let saved_ms = self.saved_ms(prompt, now);
        if saved_ms.is_empty() {
            return vec![0.0; candidates.len()];
        }
        let (shortest, second_shortest) = shortest_waits(candidates);
        let correction = |candidate: &Candidate| {
            let saved_ms = saved_ms.get(&candidate.engine).copied().unwrap_or(0.0);
            let elsewhere = match shortest {
                Some((engine, _)) if engine == candidate.engine => second_shortest,
                Some((_, wait_ms)) => Some(wait_ms),
                None => None,
            };
            let longer_ms = elsewhere.map_or(0.0, |wait_ms| candidate.wait_ms - wait_ms);
            let net_ms = saved_ms - longer_ms.max(0.0);
            match candidate.has_room && net_ms > 0.0 {
                true => -net_ms,
                false => 0.0,
            }
        };
        candidates.iter().map(correction).collect()
    }

    /// Time that each engine is believed to save, in milliseconds.
    fn saved_ms(&self, prompt: Prompt<'_>, now: Instant) -> HashMap<EngineKey, f64> {
        let mut saved: HashMap<EngineKey, f64> = HashMap::new();
        // The last token is always computed: its output is the first token of the answer.
        let reusable_tokens = prompt.tokens.saturating_sub(1);
        for beginning in prompt.beginnings {
            for (engine, tokens, belief) in self.holders(beginning.hash, now) {
                let held_ms = (prompt.prefill_ms)(tokens.min(reusable_tokens));
                let best_ms = saved.entry(engine).or_insert(0.0);
                *best_ms = best_ms.max(held_ms * belief);
            }
        }
        saved
    }
}

/// The candidate with room whose wait is the shortest, and the second shortest wait.
fn shortest_waits(candidates: &[Candidate]) -> (Option<(EngineKey, f64)>, Option<f64>) {
    let mut shortest: Option<(EngineKey, f64)> = None;
    let mut second: Option<f64> = None;
    for candidate in candidates.iter().filter(|candidate| candidate.has_room) {
        let wait_ms = candidate.wait_ms;
        if shortest.is_none_or(|(_, shortest_ms)| wait_ms < shortest_ms) {
            second = shortest.map(|(_, shortest_ms)| shortest_ms);
            shortest = Some((candidate.engine, wait_ms));
        } else if second.is_none_or(|second_ms| wait_ms < second_ms) {
            second = Some(wait_ms);
        }
    }
    (shortest, second)
}
