//! State of one engine as this daemon knows it.

use std::time::{Duration, Instant};

use crate::cache::CacheView;
use crate::decayed::SmoothedMean;
use crate::health::Health;
use crate::length_class::Interval;
use crate::own_work::OwnWork;
use crate::peer_views::{EngineWork, NameHash, name_hash};
use crate::peer_work::PeerWork;
use crate::prefill::{PrefillFit, PrefillLine};
use crate::report::{EngineState, LoadReport};
use crate::request::EngineInfo;

/// Limit on the age that a report may state.
const MAX_REPORT_AGE: Duration = Duration::from_secs(60);

/// Age from which a report is replaced by any other, whatever its sequence
/// number.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// Limit on the reported queue, in tokens: four prompts of the maximum length.
const MAX_REPORTED_QUEUE_TOKENS: u64 = 4_000_000;

/// Limit on the reported KV memory, in tokens.
const MAX_REPORTED_KV_TOKENS: u64 = 64_000_000;

/// Reports, placed work, cache contents and health of one engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) info: EngineInfo,
    pub(crate) name_hash: NameHash,
    /// Interval of the model's stable order that the engine covers.
    pub(crate) order_interval: Interval,
    pub(crate) report: Option<Reported>,
    pub(crate) own: OwnWork,
    pub(crate) peers: PeerWork,
    pub(crate) cache: CacheView,
    pub(crate) fit: PrefillFit,
    /// Duration of a decoding step, in seconds.
    pub(crate) decode_step_s: SmoothedMean,
    /// Time for which a request holds KV memory, in seconds.
    pub(crate) memory_hold_s: SmoothedMean,
    pub(crate) health: Health,
}

/// A load report with its values clamped to plausible ranges.
#[derive(Debug)]
pub(crate) struct Reported {
    pub(crate) load: LoadReport,
    pub(crate) measured_at: Instant,
    received_at: Instant,
}

impl Engine {
    pub(crate) fn new(info: EngineInfo, health: Health) -> Self {
        Self {
            name_hash: name_hash(&info.instance),
            info,
            order_interval: Interval::default(),
            report: None,
            own: OwnWork::default(),
            peers: PeerWork::default(),
            cache: CacheView::default(),
            fit: PrefillFit::default(),
            decode_step_s: SmoothedMean::default(),
            memory_hold_s: SmoothedMean::default(),
            health,
        }
    }

    pub(crate) fn is_leaving(&self, now: Instant) -> bool {
        let reported = self.report.as_ref().map(|reported| reported.load.state);
        self.info.leaving
            || reported == Some(EngineState::Leaving)
            || self.health.refuses_as_leaving(now)
    }

    /// Stores a report unless a newer one is known.
    pub(crate) fn apply_load_report(&mut self, report: LoadReport, now: Instant) {
        self.health.record_report();
        if !self.is_newer(&report, now) {
            return;
        }
        let age = Duration::from_millis(report.age_ms).min(MAX_REPORT_AGE);
        let measured_at = now.checked_sub(age).unwrap_or(now);
        self.own.set_report_time(measured_at);
        if report.state == EngineState::Live {
            self.health.record_live_report(measured_at);
        }
        self.report = Some(Reported {
            load: clamped(report),
            measured_at,
            received_at: now,
        });
    }

    /// Reported KV memory in tokens; `None` if unknown or zero.
    pub(crate) fn kv_total_tokens(&self) -> Option<u64> {
        let total = self.report.as_ref()?.load.kv_total_tokens;
        (total > 0).then_some(total)
    }

    /// Prefill time as a line derived from the reported rate alone.
    pub(crate) fn reported_line(&self) -> PrefillLine {
        let rate = self
            .report
            .as_ref()
            .map(|reported| reported.load.prefill_tokens_per_s);
        PrefillLine::reported(rate)
    }

    /// Outstanding requests of this daemon and its peers.
    pub(crate) fn outstanding(&self) -> u32 {
        self.own
            .outstanding()
            .saturating_add(self.peers.outstanding)
    }

    /// Smallest remaining overtaking budget, in tokens, among the waiting long
    /// prompts that are less urgent than `priority`.
    pub(crate) fn smallest_overtaking_budget(&self, priority: u8) -> Option<i64> {
        let own = self.own.smallest_overtaking_budget(priority);
        let peers = self.peers.overtaking_budgets();
        peers
            .filter(|budget| budget.priority > priority)
            .chain(own)
            .map(|budget| budget.left_tokens)
            .min()
    }

    /// This daemon's outstanding work, as published to peers.
    pub(crate) fn own_work(&self) -> EngineWork {
        let waiting = self.own.waiting_tokens().iter().enumerate();
        EngineWork {
            engine: self.name_hash,
            outstanding: self.own.outstanding(),
            waiting_tokens: waiting
                .filter(|(_, tokens)| **tokens > 0)
                .map(|(band, tokens)| (band as u8, *tokens))
                .collect(),
            since_report_tokens: self.own.since_report_tokens().iter().sum(),
            most_overtaken: self.own.smallest_overtaking_budget(0),
        }
    }

    fn is_newer(&self, report: &LoadReport, now: Instant) -> bool {
        let Some(known) = &self.report else {
            return true;
        };
        // A bogus sequence number must not block all later reports.
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
