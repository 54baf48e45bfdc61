//! What this daemon knows of one engine.

use std::time::{Duration, Instant};

use crate::border::Interval;
use crate::cache::CacheView;
use crate::decayed::SmoothedMean;
use crate::demand::EngineInfo;
use crate::gossip::{EngineWork, NameKey, name_key};
use crate::health::Health;
use crate::peer_work::PeerWork;
use crate::rates::{PrefillFit, PrefillLine};
use crate::report::{EngineState, LoadReport};
use crate::work::OwnWork;

/// Oldest age believed of a report.
const MAX_REPORT_AGE: Duration = Duration::from_secs(60);

/// A report without new numbers for this long is replaced by any other one.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// Longest queue believed of a report, in tokens: four of the longest prompts.
const MAX_REPORTED_QUEUE_TOKENS: u64 = 4_000_000;

/// Largest memory believed of a report, in tokens.
const MAX_REPORTED_KV_TOKENS: u64 = 64_000_000;

/// State kept for one engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) info: EngineInfo,
    pub(crate) key: NameKey,
    /// Its part of the model's stable order.
    pub(crate) position: Interval,
    pub(crate) report: Option<Reported>,
    pub(crate) own: OwnWork,
    pub(crate) peers: PeerWork,
    pub(crate) cache: CacheView,
    pub(crate) fit: PrefillFit,
    /// Time of a decoding step, in seconds.
    pub(crate) step_s: SmoothedMean,
    /// Time for which a request holds its memory, in seconds.
    pub(crate) hold_s: SmoothedMean,
    pub(crate) health: Health,
}

/// A load report, clamped to what can be.
#[derive(Debug)]
pub(crate) struct Reported {
    pub(crate) load: LoadReport,
    pub(crate) measured_at: Instant,
    received_at: Instant,
}

impl Engine {
    pub(crate) fn new(info: EngineInfo, health: Health) -> Self {
        Self {
            key: name_key(&info.instance),
            info,
            position: Interval::default(),
            report: None,
            own: OwnWork::default(),
            peers: PeerWork::default(),
            cache: CacheView::default(),
            fit: PrefillFit::default(),
            step_s: SmoothedMean::default(),
            hold_s: SmoothedMean::default(),
            health,
        }
    }

    pub(crate) fn is_leaving(&self, now: Instant) -> bool {
        let reported = self.report.as_ref().map(|reported| reported.load.state);
        self.info.leaving
            || reported == Some(EngineState::Leaving)
            || self.health.refuses_as_leaving(now)
    }

    /// Takes in a report, unless a newer one is known.
    pub(crate) fn take_report(&mut self, report: LoadReport, now: Instant) {
        self.health.report_arrived();
        if !self.is_news(&report, now) {
            return;
        }
        let age = Duration::from_millis(report.age_ms).min(MAX_REPORT_AGE);
        let measured_at = now.checked_sub(age).unwrap_or(now);
        self.own.report_measured(measured_at);
        if report.state == EngineState::Live {
            self.health.reported_live(measured_at);
        }
        self.report = Some(Reported {
            load: clamped(report),
            measured_at,
            received_at: now,
        });
    }

    /// Memory of the engine as it reports it, in tokens.
    pub(crate) fn kv_total_tokens(&self) -> Option<u64> {
        let total = self.report.as_ref()?.load.kv_total_tokens;
        (total > 0).then_some(total)
    }

    /// What the engine itself says of its prefill rate.
    pub(crate) fn reported_line(&self) -> PrefillLine {
        let rate = self
            .report
            .as_ref()
            .map(|reported| reported.load.prefill_tokens_per_s);
        PrefillLine::reported(rate)
    }

    /// Own and peers' requests that have not ended.
    pub(crate) fn outstanding(&self) -> u32 {
        self.own
            .outstanding()
            .saturating_add(self.peers.outstanding)
    }

    /// Least work that may still overtake a long prompt waiting here.
    pub(crate) fn overtaking_left_tokens(&self, priority: u8) -> Option<i64> {
        let own = self.own.most_overtaken(priority);
        let peers = self.peers.most_overtaken();
        peers
            .filter(|overtakable| overtakable.priority > priority)
            .chain(own)
            .map(|overtakable| overtakable.left_tokens)
            .min()
    }

    /// The own outstanding work, as peers are told of it.
    pub(crate) fn own_work(&self) -> EngineWork {
        let waiting = self.own.waiting_tokens().iter().enumerate();
        EngineWork {
            engine: self.key,
            outstanding: self.own.outstanding(),
            waiting_tokens: waiting
                .filter(|(_, tokens)| **tokens > 0)
                .map(|(band, tokens)| (band as u8, *tokens))
                .collect(),
            since_report_tokens: self.own.since_report_tokens().iter().sum(),
            most_overtaken: self.own.most_overtaken(0),
        }
    }

    fn is_news(&self, report: &LoadReport, now: Instant) -> bool {
        let Some(known) = &self.report else {
            return true;
        };
        // A nonsense number must not shut out all later reports.
        if now - known.received_at > REPORT_LIFETIME {
            return true;
        }
        let newest = (known.load.incarnation, known.load.sequence);
        (report.incarnation, report.sequence) > newest
    }
}

fn clamped(mut report: LoadReport) -> LoadReport {
    report.waiting_prefill_tokens = report.waiting_prefill_tokens.min(MAX_REPORTED_QUEUE_TOKENS);
    report.kv_total_tokens = report.kv_total_tokens.min(MAX_REPORTED_KV_TOKENS);
    report.kv_used_tokens = report.kv_used_tokens.min(report.kv_total_tokens);
    report
}
