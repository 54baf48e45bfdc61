//! The crash histories that a daemon knows, and what follows from them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::BLAMED_CRASHES;
use crate::history::{CrashHistory, CrashRecord, QuarantineState};
use crate::suspect::{IncarnationKey, OrganisationKey, Suspect};
use crate::verdicts::Verdicts;

/// Time for which the crashes under a suspect are retained.
const RETENTION: Duration = Duration::from_secs(2 * 3_600);

/// Maximum number of suspects with a crash history.
const MAX_SUSPECTS: usize = 2_048;

/// A request that was lost when its upstream crashed.
#[derive(Debug, Clone, Copy)]
pub struct LostRequest<'a> {
    /// The request itself, and the parts of its prompt if its answer had not started.
    pub suspects: &'a [Suspect],
    /// Organisation that sent it.
    pub organisation: OrganisationKey,
    /// Whether it was the trial of a suspect.
    pub is_trial: bool,
}

/// Crash status of a suspect, for a status page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectStatus {
    /// The suspect.
    pub suspect: Suspect,
    /// Crashes of which it was not cleared.
    pub crashes: usize,
    /// Whether it may be sent.
    pub quarantine: QuarantineState,
    /// Trials that crashed their upstream.
    pub failed_trials: u8,
}

/// Crash histories by suspect.
#[derive(Debug, Default)]
pub struct CrashTracker {
    histories: HashMap<Suspect, CrashHistory>,
    /// Computed when needed, dropped when a history changes.
    verdicts: RefCell<Option<Rc<Verdicts>>>,
}

impl CrashTracker {
    /// Records that an upstream crashed while it ran a request of this daemon.
    pub fn record_crash(
        &mut self,
        lost: LostRequest<'_>,
        incarnation: IncarnationKey,
        now: Instant,
    ) {
        let verdicts = self.verdicts();
        for suspect in lost.suspects {
            let was_tried = lost.is_trial && verdicts.blamed_for(*suspect).is_some();
            let history = self.history_mut(*suspect, now);
            history.record_crash(incarnation, lost.organisation, now);
            if was_tried {
                history.record_failed_trial();
            }
        }
    }

    /// Clears a suspect of its crashes so far; returns whether there were any.
    pub fn clear(&mut self, suspect: Suspect) -> bool {
        let Some(history) = self.histories.get_mut(&suspect) else {
            return false;
        };
        let had_any = history.clear();
        if had_any {
            self.verdicts.take();
        }
        had_any
    }

    /// Merges a record received from another daemon.
    pub fn merge(&mut self, suspect: Suspect, record: &CrashRecord, now: Instant) {
        self.history_mut(suspect, now).merge(record, now);
    }

    /// Whether the suspect was cleared here of crashes that the sender of `record` still counts,
    /// which means that the sender missed an update.
    #[must_use]
    pub fn has_newer_clearing(&self, suspect: Suspect, record: &CrashRecord) -> bool {
        let history = self.histories.get(&suspect);
        history.is_some_and(|history| history.has_newer_clearing(record))
    }

    /// The record of a suspect to send to other daemons.
    #[must_use]
    pub fn record(&self, suspect: Suspect, now: Instant) -> Option<CrashRecord> {
        let history = self.histories.get(&suspect)?;
        Some(history.record(now))
    }

    /// Whether upstreams crashed under a suspect of which it was not cleared.
    #[must_use]
    pub fn is_suspected(&self, suspect: Suspect) -> bool {
        let history = self.histories.get(&suspect);
        history.is_some_and(|history| history.uncleared_count() > 0)
    }

    /// Whether requests of an organisation with a suspect may be sent.
    #[must_use]
    pub fn quarantine_state(
        &self,
        suspect: Suspect,
        organisation: OrganisationKey,
        now: Instant,
    ) -> QuarantineState {
        let Some(history) = self.histories.get(&suspect) else {
            return QuarantineState::Open { crashes: 0 };
        };
        match suspect {
            Suspect::PromptPart { .. } if !history.concerns(organisation) => {
                QuarantineState::Open { crashes: 0 }
            }
            _ => self.state_of(suspect, history, now),
        }
    }

    fn state_of(&self, suspect: Suspect, history: &CrashHistory, now: Instant) -> QuarantineState {
        let verdicts = self.verdicts();
        let Some(blamed) = verdicts.blamed_for(suspect) else {
            let crashes = verdicts.unexplained(history.uncleared());
            return QuarantineState::Open { crashes };
        };
        match suspect {
            Suspect::Request(_) => history.request_quarantine(blamed - BLAMED_CRASHES, now),
            Suspect::PromptPart { .. } => history.part_quarantine(now),
        }
    }

    /// Whether a suspect is quarantined and no trial has shown yet that it is at fault.
    #[must_use]
    pub fn awaits_first_trial(&self, suspect: Suspect) -> bool {
        let is_blamed = self.verdicts().blamed_for(suspect).is_some();
        let history = self.histories.get(&suspect);
        is_blamed && history.is_some_and(|history| history.failed_trials() == 0)
    }

    /// Begins the trial of suspects, if one is allowed for all of them.
    ///
    /// # Errors
    /// The time until a trial may begin.
    pub fn begin_trial(&mut self, suspects: &[Suspect], now: Instant) -> Result<(), Duration> {
        let remaining = |suspect: &Suspect| {
            let history = self.histories.get(suspect)?;
            match self.state_of(*suspect, history, now) {
                QuarantineState::Quarantined { remaining } => Some(remaining),
                QuarantineState::Open { .. } | QuarantineState::TrialAllowed => None,
            }
        };
        if let Some(longest) = suspects.iter().filter_map(remaining).max() {
            return Err(longest);
        }
        for suspect in suspects {
            if let Some(history) = self.histories.get_mut(suspect) {
                history.begin_trial(suspect.is_prompt_part(), now);
            }
        }
        Ok(())
    }

    /// Ends the trial of suspects, whatever it showed; another one may begin after the pause since
    /// the last crash.
    pub fn end_trial(&mut self, suspects: &[Suspect]) {
        for suspect in suspects {
            if let Some(history) = self.histories.get_mut(suspect) {
                history.end_trial();
            }
        }
    }

    /// Lets no trial of suspects begin for some time, as another daemon has one.
    pub fn block_trials(&mut self, suspects: &[Suspect], time: Duration, now: Instant) {
        for suspect in suspects {
            if let Some(history) = self.histories.get_mut(suspect) {
                history.block_trials(time, now);
            }
        }
    }

    /// The `count` suspects with the most crashes: those observed by this daemon only, or all of
    /// them.
    #[must_use]
    pub fn with_most_crashes(&self, count: usize, only_observed_here: bool) -> Vec<Suspect> {
        let is_listed = |history: &&CrashHistory| {
            history.uncleared_count() > 0 && (history.is_observed_here || !only_observed_here)
        };
        let mut ranked: Vec<(usize, Suspect)> = self
            .histories
            .iter()
            .filter(|(_, history)| is_listed(history))
            .map(|(suspect, history)| (history.uncleared_count(), *suspect))
            .collect();
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        ranked.truncate(count);
        ranked.into_iter().map(|(_, suspect)| suspect).collect()
    }

    /// Suspects that are quarantined, or may be tried, but are not cleared.
    #[must_use]
    pub fn quarantined(&self, now: Instant) -> Vec<SuspectStatus> {
        let verdicts = self.verdicts();
        let status = |suspect: Suspect| {
            let history = self.histories.get(&suspect)?;
            Some(SuspectStatus {
                suspect,
                crashes: history.uncleared_count(),
                quarantine: self.state_of(suspect, history, now),
                failed_trials: history.failed_trials(),
            })
        };
        let mut quarantined: Vec<SuspectStatus> = verdicts.blamed().filter_map(status).collect();
        quarantined.sort_by_key(|one| one.suspect);
        quarantined
    }

    /// Number of prompt parts with crashes of which they were not cleared.
    #[must_use]
    pub fn suspected_parts(&self) -> usize {
        let parts = self.histories.iter();
        parts
            .filter(|(suspect, history)| suspect.is_prompt_part() && history.uncleared_count() > 0)
            .count()
    }

    fn verdicts(&self) -> Rc<Verdicts> {
        let mut verdicts = self.verdicts.borrow_mut();
        let current = verdicts.get_or_insert_with(|| {
            let suspects = self.histories.iter();
            let suspects =
                suspects.filter(|(_, history)| history.uncleared_count() >= BLAMED_CRASHES);
            let crashes =
                suspects.map(|(suspect, history)| (*suspect, history.uncleared().collect()));
            Rc::new(Verdicts::compute(crashes))
        });
        Rc::clone(current)
    }

    /// The history of a suspect, which is about to change.
    fn history_mut(&mut self, suspect: Suspect, now: Instant) -> &mut CrashHistory {
        self.evict(suspect, now);
        self.verdicts.take();
        self.histories.entry(suspect).or_default()
    }

    /// Makes room for a suspect: removes outdated histories, and if that is not enough the one
    /// with the fewest crashes.
    fn evict(&mut self, suspect: Suspect, now: Instant) {
        if self.histories.len() < MAX_SUSPECTS || self.histories.contains_key(&suspect) {
            return;
        }
        self.histories
            .retain(|_, history| history.time_since_crash(now) < RETENTION);
        if self.histories.len() < MAX_SUSPECTS {
            return;
        }
        let fewest = self.histories.iter().min_by_key(|(_, history)| {
            (
                history.uncleared_count(),
                std::cmp::Reverse(history.time_since_crash(now)),
            )
        });
        if let Some(suspect) = fewest.map(|(suspect, _)| *suspect) {
            self.histories.remove(&suspect);
        }
    }
}
