//! Crash history of one suspect.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::suspect::{IncarnationKey, OrganisationKey};

/// Duration of the first quarantine that no early trial ends: long compared to the seconds in
/// which a caller retries, short compared to the time in which upstreams are repaired.
const FIRST_QUARANTINE: Duration = Duration::from_secs(60);

/// Longest quarantine.
const LONGEST_QUARANTINE: Duration = Duration::from_secs(3_600);

/// Pauses from the last crash to each of the first trials of a prompt part.
///
/// The first one leaves time for what ran at the crashes to be cleared. All of them lie in the
/// seconds in which upstreams end anyway; after them the part is certainly at fault, even if other
/// upstreams crash from other causes meanwhile.
const EARLY_TRIAL_PAUSES: [Duration; 3] = [
    Duration::from_millis(100),
    Duration::from_millis(500),
    Duration::from_secs(1),
];

/// Time allowed for the trial of a request; no other trial begins before it is over.
const REQUEST_TRIAL_TIME: Duration = Duration::from_secs(20);

/// Time allowed for the trial of a prompt part, which ends with the start of an answer.
const PART_TRIAL_TIME: Duration = Duration::from_secs(3);

/// Maximum number of crashes stored per suspect; further ones would not prolong its quarantine.
const MAX_CRASHES: usize = 32;

/// Whether a suspect may be sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineState {
    /// Upstreams may run it.
    Open {
        /// Crashes that nothing else explains.
        crashes: usize,
    },
    /// It must not be sent to any upstream.
    Quarantined {
        /// Time until it may be tried again.
        remaining: Duration,
    },
    /// One daemon may try it.
    TrialAllowed,
}

/// The organisations whose requests ran at the crashes of a suspect.
///
/// What a caller says of its own prompts must not affect others, so a part that only one
/// organisation's requests brought to crashes is quarantined for that organisation alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Organisations {
    /// Requests of one organisation.
    One(OrganisationKey),
    /// Requests of several.
    Several,
}

impl Organisations {
    /// The organisations of both.
    fn join(self, other: Self) -> Self {
        match self == other {
            true => self,
            false => Self::Several,
        }
    }

    /// Whether requests of `organisation` are among them, or of so many that it does not matter.
    pub(crate) fn include(self, organisation: OrganisationKey) -> bool {
        match self {
            Self::One(only) => only == organisation,
            Self::Several => true,
        }
    }
}

/// Crash history of one suspect as daemons exchange it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Incarnations of upstreams that ended while they ran it.
    pub crashed: Vec<IncarnationKey>,
    /// Those of them for which it was cleared later.
    pub cleared: Vec<IncarnationKey>,
    /// Time since the last of them ended, in milliseconds.
    pub since_ms: u32,
    /// Trials that crashed their upstream.
    pub failed_trials: u8,
    /// Organisations whose requests ran it.
    pub organisations: Option<Organisations>,
}

/// Crash history of one suspect.
#[derive(Debug, Clone, Default)]
pub(crate) struct CrashHistory {
    crashed: BTreeSet<IncarnationKey>,
    cleared: BTreeSet<IncarnationKey>,
    organisations: Option<Organisations>,
    failed_trials: u8,
    /// When the last upstream crashed under it.
    last_crash: Option<Instant>,
    /// End of a running trial; no other trial begins before.
    trial_until: Option<Instant>,
    /// Whether an upstream crashed under an attempt of this daemon.
    pub(crate) is_observed_here: bool,
}

impl CrashHistory {
    /// Records that an upstream crashed while it ran the suspect.
    pub(crate) fn record_crash(
        &mut self,
        incarnation: IncarnationKey,
        organisation: OrganisationKey,
        now: Instant,
    ) {
        self.is_observed_here = true;
        self.compact();
        self.add_organisations(Organisations::One(organisation));
        if self.crashed.len() < MAX_CRASHES && self.crashed.insert(incarnation) {
            self.last_crash = Some(now);
        }
    }

    /// Records that a trial crashed its upstream.
    pub(crate) fn record_failed_trial(&mut self) {
        self.failed_trials = self.failed_trials.saturating_add(1);
        self.trial_until = None;
    }

    /// Clears the suspect of its crashes so far; returns whether there were any.
    pub(crate) fn clear(&mut self) -> bool {
        let had_any = self.uncleared_count() > 0;
        self.cleared.extend(&self.crashed);
        self.trial_until = None;
        self.failed_trials = 0;
        had_any
    }

    /// Merges what another daemon knows.
    pub(crate) fn merge(&mut self, record: &CrashRecord, now: Instant) {
        self.compact();
        let room = MAX_CRASHES.saturating_sub(self.crashed.len());
        let unknown: Vec<IncarnationKey> = record
            .crashed
            .iter()
            .filter(|incarnation| !self.crashed.contains(incarnation))
            .take(room)
            .copied()
            .collect();
        self.crashed.extend(unknown);
        self.cleared.extend(record.cleared.iter().take(MAX_CRASHES));
        if let Some(organisations) = record.organisations {
            self.add_organisations(organisations);
        }
        let since = Duration::from_millis(u64::from(record.since_ms));
        self.last_crash = self.last_crash.max(now.checked_sub(since));
        if self.uncleared_count() == 0 {
            self.failed_trials = 0;
            self.trial_until = None;
        } else if record.failed_trials > self.failed_trials {
            self.failed_trials = record.failed_trials;
            self.trial_until = None;
        }
    }

    /// What other daemons should know.
    pub(crate) fn record(&self, now: Instant) -> CrashRecord {
        let since = self.time_since_crash(now);
        CrashRecord {
            crashed: self.crashed.iter().copied().collect(),
            cleared: self.cleared.iter().copied().collect(),
            since_ms: u32::try_from(since.as_millis()).unwrap_or(u32::MAX),
            failed_trials: self.failed_trials,
            organisations: self.organisations,
        }
    }

    /// Whether the suspect was cleared here of crashes that the sender of `record` still counts,
    /// which means that the sender missed an update.
    pub(crate) fn has_newer_clearing(&self, record: &CrashRecord) -> bool {
        self.cleared.iter().any(|incarnation| {
            record.crashed.contains(incarnation) && !record.cleared.contains(incarnation)
        })
    }

    /// Crashes of which it was not cleared.
    pub(crate) fn uncleared(&self) -> impl Iterator<Item = IncarnationKey> {
        self.crashed.difference(&self.cleared).copied()
    }

    pub(crate) fn uncleared_count(&self) -> usize {
        self.crashed.difference(&self.cleared).count()
    }

    /// Whether quarantine concerns the requests of an organisation.
    pub(crate) fn concerns(&self, organisation: OrganisationKey) -> bool {
        let organisations = self.organisations;
        organisations.is_none_or(|organisations| organisations.include(organisation))
    }

    pub(crate) fn failed_trials(&self) -> u8 {
        self.failed_trials
    }

    /// Starts a trial, during which no other one may begin.
    pub(crate) fn begin_trial(&mut self, is_prompt_part: bool, now: Instant) {
        let time = match is_prompt_part {
            true => PART_TRIAL_TIME,
            false => REQUEST_TRIAL_TIME,
        };
        self.block_trials(time, now);
    }

    /// Ends a trial.
    pub(crate) fn end_trial(&mut self) {
        self.trial_until = None;
    }

    /// Lets no trial begin for some time.
    pub(crate) fn block_trials(&mut self, time: Duration, now: Instant) {
        self.trial_until = self.trial_until.max(Some(now + time));
    }

    pub(crate) fn time_since_crash(&self, now: Instant) -> Duration {
        let last_crash = self.last_crash;
        last_crash.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// State of the quarantine of a prompt part that is blamed.
    pub(crate) fn part_quarantine(&self, now: Instant) -> QuarantineState {
        let failed = usize::from(self.failed_trials);
        let early = EARLY_TRIAL_PAUSES.get(failed).copied();
        let pause = early.unwrap_or_else(|| quarantine_time(failed - EARLY_TRIAL_PAUSES.len()));
        self.quarantine(pause, now)
    }

    /// State of the quarantine of a request that is blamed for one crash more than `doublings`
    /// beyond the first ones.
    pub(crate) fn request_quarantine(&self, doublings: usize, now: Instant) -> QuarantineState {
        self.quarantine(quarantine_time(doublings), now)
    }

    fn quarantine(&self, time: Duration, now: Instant) -> QuarantineState {
        let remaining = time.saturating_sub(self.time_since_crash(now));
        let trial_remaining = self
            .trial_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        match remaining.max(trial_remaining) {
            Duration::ZERO => QuarantineState::TrialAllowed,
            remaining => QuarantineState::Quarantined { remaining },
        }
    }

    fn add_organisations(&mut self, organisations: Organisations) {
        let known = self.organisations;
        self.organisations = Some(known.map_or(organisations, |known| known.join(organisations)));
    }

    /// Drops the incarnations for which the suspect was cleared, once there are many: updates
    /// about them that still arrive are outdated.
    fn compact(&mut self) {
        if self.crashed.len() >= MAX_CRASHES && self.uncleared_count() == 0 {
            self.crashed.clear();
            self.cleared.clear();
            self.organisations = None;
        }
    }
}

/// Duration of a quarantine after `doublings` earlier ones.
fn quarantine_time(doublings: usize) -> Duration {
    let doublings = u32::try_from(doublings).unwrap_or(u32::MAX);
    let factor = 2_u32.saturating_pow(doublings);
    let time = FIRST_QUARANTINE.saturating_mul(factor);
    time.min(LONGEST_QUARANTINE)
}
