//! The engines of one model, in their stable order.
//!
//! The order is by the hash of the instances' names (rendezvous hashing), so
//! that every daemon has the same one and an engine that comes or goes moves
//! no other past its neighbours.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_settings::ids::ModelName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::border::{DemandByLength, Interval};
use crate::decayed::{DecayedSum, SmoothedMean};
use crate::engine::Engine;
use crate::gossip::{NameKey, name_key};
use crate::rates::PrefillLine;
use crate::work::BANDS;

/// Time between two reviews of what is typical.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);

/// Samples that an engine needs before its rate counts.
const MIN_SAMPLES: u32 = 5;

/// Engines with a known rate that it takes to call one of them slow.
const MIN_COMPARED: usize = 3;

/// An engine that needs this many times the median is ejected.
const SLOW_FACTOR: f64 = 4.0;

/// Prompt by which engines are compared, in tokens.
const REFERENCE_TOKENS: f64 = 8_192.0;

/// Time in which the mix of priorities loses half its weight.
const MIX_HALF_LIFE: Duration = Duration::from_secs(30);

/// An engine shared between the view and the guards of its requests.
pub(crate) type SharedEngine = Rc<RefCell<Engine>>;

/// What the engines of a model have in common; medians of what was observed.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Typical {
    pub(crate) line: Option<PrefillLine>,
    pub(crate) step_s: Option<f64>,
    pub(crate) kv_total_tokens: Option<u64>,
}

/// What was learned of a model's requests.
#[derive(Debug, Default)]
pub(crate) struct Learned {
    /// Length of the answer as a share of the longest allowed.
    pub(crate) answer_share: SmoothedMean,
    /// Delay of short work by less urgent work in progress, in seconds.
    pub(crate) interference_s: SmoothedMean,
    /// Measured over predicted time to first token of groups.
    pub(crate) group_stretch: SmoothedMean,
}

/// View of one model.
#[derive(Debug)]
pub(crate) struct Model {
    pub(crate) key: NameKey,
    /// Listed engines, from the short end to the long end.
    pub(crate) order: Vec<SharedEngine>,
    pub(crate) learned: Rc<RefCell<Learned>>,
    pub(crate) demand: DemandByLength,
    pub(crate) typical: Typical,
    pub(crate) next_round: usize,
    mix: [DecayedSum; BANDS],
    reviewed_at: Option<Instant>,
}

impl Model {
    pub(crate) fn new(name: &ModelName) -> Self {
        Self {
            key: name_key(name),
            order: Vec::new(),
            learned: Rc::default(),
            demand: DemandByLength::new(),
            typical: Typical::default(),
            next_round: 0,
            mix: [DecayedSum::new(MIX_HALF_LIFE); BANDS],
            reviewed_at: None,
        }
    }

    /// Puts the listed engines in order.
    pub(crate) fn set_order(&mut self, mut engines: Vec<SharedEngine>) {
        let seed = u64::from(self.key);
        engines.sort_by_cached_key(|engine| {
            let instance = engine.borrow().info.instance.clone();
            (xxh3_64_with_seed(instance.as_bytes(), seed), instance)
        });
        engines.dedup_by(|one, other| Rc::ptr_eq(one, other));
        for (index, engine) in engines.iter().enumerate() {
            engine.borrow_mut().position = Interval::of_engine(index, engines.len());
        }
        self.order = engines;
        self.reviewed_at = None;
    }

    /// Notes the priority of placed work.
    pub(crate) fn add_to_mix(&mut self, band: usize, tokens: f64, now: Instant) {
        self.mix[band].add(tokens, now);
    }

    /// Share of recent work that is as urgent as each band, or more.
    pub(crate) fn ahead_share(&self, now: Instant) -> [f64; BANDS] {
        let mix = self.mix.map(|sum| sum.at(now));
        let total: f64 = mix.iter().sum();
        let mut ahead = 0.0;
        mix.map(|tokens| {
            ahead += tokens;
            if total > 0.0 { ahead / total } else { 1.0 }
        })
    }

    /// Asks for a review at the next decision.
    pub(crate) fn review_soon(&mut self) {
        self.reviewed_at = None;
    }

    /// Ejects an engine, unless too many are out already.
    pub(crate) fn eject(&self, engine: &SharedEngine, reason: &str, now: Instant) {
        let mut staying = 0;
        let mut ejected = 0;
        for other in &self.order {
            let other = other.borrow();
            staying += usize::from(!other.is_leaving(now));
            ejected += usize::from(other.health.is_ejected());
        }
        let mut engine = engine.borrow_mut();
        let instance = &engine.info.instance;
        if 2 * (ejected + 1) > staying {
            log::debug!("placement: {instance} {reason}; kept, as too many are ejected");
            return;
        }
        log::warn!("placement: {instance} {reason}; ejected");
        engine.health.eject(now);
    }

    /// Renews what is typical and looks for slow engines, once in a while.
    pub(crate) fn review(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REVIEW_INTERVAL;
        if self.reviewed_at.is_some_and(is_recent) {
            return;
        }
        self.reviewed_at = Some(now);
        self.end_ejections(now);
        let lines = self.known_lines(now);
        self.typical = Typical {
            line: typical_line(&lines),
            step_s: self.median(|engine| engine.step_s.mean()),
            kv_total_tokens: self
                .median(|engine| engine.kv_total_tokens().map(|tokens| tokens as f64))
                .map(|tokens| tokens as u64),
        };
        self.eject_slow(&lines, now);
    }

    fn end_ejections(&self, now: Instant) {
        for engine in &self.order {
            let mut engine = engine.borrow_mut();
            if engine.health.review(now) {
                log::info!("placement: {} is probed", engine.info.instance);
                // What it did before the ejection says nothing of it now.
                engine.fit = Default::default();
                engine.step_s = Default::default();
            }
        }
    }

    fn known_lines(&self, now: Instant) -> Vec<(SharedEngine, PrefillLine)> {
        let known = self.order.iter().filter(|engine| {
            let engine = engine.borrow();
            engine.fit.samples() >= MIN_SAMPLES && !engine.health.is_ejected()
        });
        known
            .map(|engine| {
                let prior = self.typical.line;
                let prior = prior.unwrap_or_else(|| engine.borrow().reported_line());
                (Rc::clone(engine), engine.borrow().fit.line(prior, now))
            })
            .collect()
    }

    fn eject_slow(&self, lines: &[(SharedEngine, PrefillLine)], now: Instant) {
        let Some(typical) = self.typical.line else {
            return;
        };
        if lines.len() < MIN_COMPARED {
            return;
        }
        let limit_s = SLOW_FACTOR * typical.time_s(REFERENCE_TOKENS);
        for (engine, line) in lines {
            if line.time_s(REFERENCE_TOKENS) > limit_s {
                self.eject(engine, "is far slower than its peers", now);
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

fn typical_line(lines: &[(SharedEngine, PrefillLine)]) -> Option<PrefillLine> {
    let base_s = median(lines.iter().map(|(_, line)| line.base_s).collect())?;
    let token_s = median(lines.iter().map(|(_, line)| line.token_s).collect())?;
    Some(PrefillLine { base_s, token_s })
}

/// Lower median, so that of two values the less one counts.
fn median(mut values: Vec<f64>) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    values.sort_by(f64::total_cmp);
    Some(values[(values.len() - 1) / 2])
}
