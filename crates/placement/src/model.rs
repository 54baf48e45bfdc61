//! Engines of one model in their stable order.
//!
//! Engines are sorted by a hash of their instances' names (rendezvous hashing),
//! so that every daemon has the same order, and adding or removing an engine
//! doesn't reorder the others.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_settings::ids::ModelName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::decayed::{DecayedSum, SmoothedMean};
use crate::engine::Engine;
use crate::length_class::{DemandByLength, Interval};
use crate::own_work::BANDS;
use crate::peer_views::{NameHash, name_hash};
use crate::prefill::PrefillLine;

/// Time between two refreshes of the medians.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Samples from which an engine's observed prefill line is used.
const MIN_SAMPLES: u32 = 5;

/// Number of engines with an observed line from which slow ones are ejected.
const MIN_COMPARED_ENGINES: usize = 3;

/// Multiple of the median prefill time from which an engine is ejected.
const SLOW_FACTOR: f64 = 4.0;

/// Prompt length at which engines are compared, in tokens.
const REFERENCE_TOKENS: f64 = 8_192.0;

/// Half-life of the recorded mix of priorities.
const PRIORITY_MIX_HALF_LIFE: Duration = Duration::from_secs(30);

/// An engine, shared by the state and the guards of its requests.
pub(crate) type SharedEngine = Rc<RefCell<Engine>>;

/// Medians of observed and reported values over the engines of a model.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ModelMedians {
    pub(crate) line: Option<PrefillLine>,
    pub(crate) decode_step_s: Option<f64>,
    pub(crate) kv_total_tokens: Option<u64>,
}

/// Statistics learned from a model's requests.
#[derive(Debug, Default)]
pub(crate) struct LearnedStats {
    /// Length of answers as a fraction of the maximum.
    pub(crate) answer_share: SmoothedMean,
    /// Delay of short prefills by less urgent work in progress, in seconds.
    pub(crate) interference_s: SmoothedMean,
    /// Ratio of measured to predicted time to first token of groups.
    pub(crate) group_time_ratio: SmoothedMean,
}

/// State of one model.
#[derive(Debug)]
pub(crate) struct Model {
    pub(crate) name_hash: NameHash,
    /// Listed engines, from the short end to the long end.
    pub(crate) order: Vec<SharedEngine>,
    pub(crate) learned: Rc<RefCell<LearnedStats>>,
    pub(crate) demand: DemandByLength,
    pub(crate) medians: ModelMedians,
    pub(crate) round_robin_index: usize,
    priority_mix: [DecayedSum; BANDS],
    refreshed_at: Option<Instant>,
}

impl Model {
    pub(crate) fn new(name: &ModelName) -> Self {
        Self {
            name_hash: name_hash(name),
            order: Vec::new(),
            learned: Rc::default(),
            demand: DemandByLength::new(),
            medians: ModelMedians::default(),
            round_robin_index: 0,
            priority_mix: [DecayedSum::new(PRIORITY_MIX_HALF_LIFE); BANDS],
            refreshed_at: None,
        }
    }

    /// Replaces the listed engines and sorts them.
    pub(crate) fn set_order(&mut self, mut engines: Vec<SharedEngine>) {
        let seed = u64::from(self.name_hash);
        engines.sort_by_cached_key(|engine| {
            let instance = engine.borrow().info.instance.clone();
            (xxh3_64_with_seed(instance.as_bytes(), seed), instance)
        });
        engines.dedup_by(|one, other| Rc::ptr_eq(one, other));
        for (index, engine) in engines.iter().enumerate() {
            engine.borrow_mut().order_interval = Interval::of_engine(index, engines.len());
        }
        self.order = engines;
        self.refreshed_at = None;
    }

    /// Records the priority band of placed work.
    pub(crate) fn record_priority(&mut self, band: usize, tokens: f64, now: Instant) {
        self.priority_mix[band].add(tokens, now);
    }

    /// Share of recent work in each priority band and all more urgent ones.
    pub(crate) fn ahead_share(&self, now: Instant) -> [f64; BANDS] {
        let priority_mix = self.priority_mix.map(|sum| sum.at(now));
        let total: f64 = priority_mix.iter().sum();
        let mut ahead = 0.0;
        priority_mix.map(|tokens| {
            ahead += tokens;
            if total > 0.0 { ahead / total } else { 1.0 }
        })
    }

    /// Makes the next decision refresh the medians.
    pub(crate) fn request_refresh(&mut self) {
        self.refreshed_at = None;
    }

    /// Ejects an engine unless that would eject more than half of those that are
    /// not draining.
    pub(crate) fn eject(&self, engine: &SharedEngine, reason: &str, now: Instant) {
        let mut not_leaving = 0;
        let mut ejected = 0;
        for other in &self.order {
            let other = other.borrow();
            not_leaving += usize::from(!other.is_leaving(now));
            ejected += usize::from(other.health.is_ejected());
        }
        let mut engine = engine.borrow_mut();
        let instance = &engine.info.instance;
        if 2 * (ejected + 1) > not_leaving {
            log::debug!(
                "placement: {instance} {reason}; not ejected: too many engines are ejected already"
            );
            return;
        }
        log::warn!("placement: {instance} {reason}; ejected");
        engine.health.eject(now);
    }

    /// Updates the medians, ends due ejections and ejects slow engines, at most
    /// once per `REFRESH_INTERVAL`.
    pub(crate) fn refresh(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REFRESH_INTERVAL;
        if self.refreshed_at.is_some_and(is_recent) {
            return;
        }
        self.refreshed_at = Some(now);
        self.start_probes(now);
        let lines = self.observed_lines(now);
        self.medians = ModelMedians {
            line: median_line(&lines),
            decode_step_s: self.median(|engine| engine.decode_step_s.mean()),
            kv_total_tokens: self
                .median(|engine| engine.kv_total_tokens().map(|tokens| tokens as f64))
                .map(|tokens| tokens as u64),
        };
        self.eject_slow(&lines, now);
    }

    fn start_probes(&self, now: Instant) {
        for engine in &self.order {
            let mut engine = engine.borrow_mut();
            if engine.health.start_probe_if_due(now) {
                log::info!(
                    "placement: probing {} after its ejection",
                    engine.info.instance
                );
                // Samples from before the ejection may no longer apply.
                engine.fit = Default::default();
                engine.decode_step_s = Default::default();
            }
        }
    }

    fn observed_lines(&self, now: Instant) -> Vec<(SharedEngine, PrefillLine)> {
        let known = self.order.iter().filter(|engine| {
            let engine = engine.borrow();
            engine.fit.samples() >= MIN_SAMPLES && !engine.health.is_ejected()
        });
        known
            .map(|engine| {
                let prior = self.medians.line;
                let prior = prior.unwrap_or_else(|| engine.borrow().reported_line());
                (Rc::clone(engine), engine.borrow().fit.line(prior, now))
            })
            .collect()
    }

    fn eject_slow(&self, lines: &[(SharedEngine, PrefillLine)], now: Instant) {
        let Some(median) = self.medians.line else {
            return;
        };
        if lines.len() < MIN_COMPARED_ENGINES {
            return;
        }
        let limit_s = SLOW_FACTOR * median.time_s(REFERENCE_TOKENS);
        for (engine, line) in lines {
            if line.time_s(REFERENCE_TOKENS) > limit_s {
                self.eject(engine, "is much slower than the model's other engines", now);
            }
        }
    }

    fn median(&self, value: impl Fn(&Engine) -> Option<f64>) -> Option<f64> {
        let values = self.order.iter();
        median(
            values
                .filter_map(|engine| value(&engine.borrow()))
                .collect(),
        )
    }
}

fn median_line(lines: &[(SharedEngine, PrefillLine)]) -> Option<PrefillLine> {
    let base_s = median(lines.iter().map(|(_, line)| line.base_s).collect())?;
    let token_s = median(lines.iter().map(|(_, line)| line.token_s).collect())?;
    Some(PrefillLine { base_s, token_s })
}

/// Lower median: of two values, the smaller one.
fn median(mut values: Vec<f64>) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    values.sort_by(f64::total_cmp);
    Some(values[(values.len() - 1) / 2])
}
