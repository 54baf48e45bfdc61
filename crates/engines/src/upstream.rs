//! What is known of one upstream.

use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_routes::{EngineProfile, Upstream};

use crate::health::Health;
use crate::work::{Part, UpstreamKey, Work, key_of};

/// Lateness of a first event from which an upstream counts as held up.
const LATE_AFTER: Duration = Duration::from_millis(150);

/// Most that a late first event counts for, in milliseconds: enough to prefer
/// another upstream, little enough for one that is only slow to stay in use.
const LATE_LIMIT_MS: f64 = 500.0;

/// One upstream and the work on it.
#[derive(Debug)]
pub(crate) struct Known {
    pub(crate) key: UpstreamKey,
    pub(crate) info: Upstream,
    pub(crate) figures: Option<Rc<EngineProfile>>,
    pub(crate) health: Health,
    /// When it has read all that was placed on it, by the published speed.
    busy_until: Instant,
}

/// The work on one upstream, added up.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Load {
    /// Time until all that was placed is read, in milliseconds.
    pub(crate) backlog_ms: f64,
    /// Requests that it answers, reading or writing.
    pub(crate) answering: u32,
    /// Requests of others of which it reads a part.
    pub(crate) helping: u32,
    /// Requests that write.
    pub(crate) writers: u32,
    /// Context of the requests that write, in tokens.
    pub(crate) context_tokens: u64,
    /// Memory set aside, in tokens.
    pub(crate) memory_tokens: u64,
    /// Shortest pause that an answer of this upstream allows, in milliseconds.
    pub(crate) least_gap_ms: Option<f64>,
}

impl Known {
    pub(crate) fn new(info: Upstream, figures: Option<Rc<EngineProfile>>, now: Instant) -> Self {
        Self {
            key: key_of(&info),
            info,
            figures,
            health: Health::default(),
            busy_until: now,
        }
    }

    /// The same upstream as it is published now.
    pub(crate) fn renewed(self, info: Upstream, figures: Option<Rc<EngineProfile>>) -> Self {
        Self {
            info,
            figures,
            ..self
        }
    }

    /// Requests that run at once.
    pub(crate) fn slots(&self) -> u32 {
        self.figures
            .as_ref()
            .map_or(self.info.slots, |figures| figures.slots)
    }

    /// Puts a part's reading behind what is to be read already.
    pub(crate) fn add_reading(&mut self, read_ms: f64, now: Instant) {
        let starts = self.busy_until.max(now);
        self.busy_until = starts + Duration::from_secs_f64(read_ms.max(0.0) / 1_000.0);
    }

    /// The load out of what was added up of this upstream.
    fn finish(&self, tally: Tally, now: Instant) -> Load {
        let Tally {
            mut load,
            unread_ms,
            late_ms,
        } = tally;
        if unread_ms > 0.0 {
            // Work that was refused, cancelled or read sooner than planned is
            // still in the plan, but no more among what is unread.
            let planned = self.busy_until.saturating_duration_since(now);
            let planned_ms = planned.as_secs_f64() * 1_000.0;
            load.backlog_ms = planned_ms.min(unread_ms) + late_ms;
        }
        load
    }
}

/// Work on one upstream that is being added up.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    load: Load,
    /// Time to read all that is unread, in milliseconds.
    unread_ms: f64,
    /// Lateness of the first event that is most overdue, in milliseconds.
    late_ms: f64,
}

/// The loads of `known`, which is sorted by key, in the same order.
///
/// One pass over the work for all upstreams: there are hundreds of requests at dozens
/// of engines, and each request is chosen for anew.
pub(crate) fn loads<'a>(
    known: &[Known],
    works: impl Iterator<Item = &'a Work>,
    now: Instant,
) -> Vec<Load> {
    let mut tallies = vec![Tally::default(); known.len()];
    for work in works {
        for (place, part) in work.parts.iter().enumerate() {
            // A part of an upstream that is gone counts nowhere.
            let Ok(index) = known.binary_search_by_key(&part.upstream, |one| one.key) else {
                continue;
            };
            let tally = &mut tallies[index];
            tally.load.add(work, part, place == 0);
            if work.is_reading {
                tally.unread_ms += part.read_ms;
                tally.late_ms = tally.late_ms.max(lateness_ms(work, now));
            }
        }
    }
    let finished = known.iter().zip(tallies);
    finished
        .map(|(one, tally)| one.finish(tally, now))
        .collect()
}

impl Load {
    /// Requests that hold a slot: a part that is read for another upstream holds
    /// one like a request of its own.
    pub(crate) fn running(&self) -> u32 {
        self.answering + self.helping
    }

    fn add(&mut self, work: &Work, part: &Part, answers: bool) {
        if answers {
            self.answering += 1;
            let least = self.least_gap_ms.unwrap_or(f64::INFINITY);
            self.least_gap_ms = Some(least.min(work.gap_ms));
        } else if work.is_reading {
            self.helping += 1;
        }
        self.memory_tokens += part.memory_tokens;
        if !work.is_reading && part.context_tokens > 0 {
            self.writers += 1;
            self.context_tokens += part.context_tokens;
        }
    }
}

/// How much later than expected a first event is, in milliseconds.
fn lateness_ms(work: &Work, now: Instant) -> f64 {
    let late = now.saturating_duration_since(work.expected_at + LATE_AFTER);
    (late.as_secs_f64() * 1_000.0).min(LATE_LIMIT_MS)
}
