//! Whom a daemon asks for what is published, and when.
//!
//! In each zone a few daemons watch the source. The others ask one of these by
//! datagram how far it knows, which renews their lease too, and have it hand over what
//! has changed. They call the source only where no watcher answers who is in touch
//! itself. While the source fails, the daemons of a zone take turns in calling it, so
//! that a large zone presses it no more than a small one; whoever gets through is asked
//! by nobody, but each that hears of a watcher in touch again stops calling.

use std::rc::Rc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use crate::boot_clock::BootInstant;
use crate::copies::CopyRequest;
use crate::datagram::{Confirmation, Relayed};
use crate::dialect::{Change, Changes, Entry, Position, Snapshot, Source, SourceError};
use crate::horizon::Horizon;
use crate::provenance::Provenance;
use crate::published::{Published, upstream_changes};
use crate::sharing::{Sharing, Watcher};
use crate::trace;

/// Mean time between two calls of the daemons of a zone to a source that fails.
///
/// A return is noticed by the zone within a quarter of a second, as by a single daemon
/// that waits the longest pause, and a zone of forty makes 16 calls a second in place of
/// 80. Watchers call on their own beside it.
const ZONE_RETRY_PERIOD: Duration = Duration::from_millis(60);

/// What a neighbour's answer led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Heard {
    /// Nobody answered who is in touch.
    Nothing,
    /// All that is published is in force here.
    Current,
    /// The source has to be read.
    Behind,
}

impl Published {
    /// Follows `source`, for ever; neighbours confirm by `sharing`.
    pub async fn follow(self, source: Rc<dyn Source>, sharing: Rc<Sharing>) {
        let options = self.options();
        let mut pause = options.first_pause;
        loop {
            match self.follow_once(source.as_ref(), &sharing).await {
                Ok(()) => {
                    if pause > options.first_pause {
                        trace::dependency_regained("platform");
                    }
                    pause = options.first_pause;
                    self.0.is_out_of_touch.set(false);
                    self.note_contact(true);
                }
                Err(error) => {
                    if pause == options.first_pause {
                        trace::dependency_lost("platform", &error.to_string());
                    }
                    self.0.is_out_of_touch.set(true);
                    match error {
                        // It was there all the while, so nothing has lapsed.
                        SourceError::HistoryGone => self.change_horizon(Horizon::lose),
                        SourceError::Failed(_) | SourceError::Refused(_) => {
                            self.note_contact(false);
                        }
                    }
                    self.wait_after_failure(pause, &sharing).await;
                    pause = (pause * 2).min(options.longest_pause);
                }
            }
        }
    }

    fn note_contact(&self, has_answered: bool) {
        if !has_answered && !self.has_upstreams() {
            // A daemon that has only started knows of no registration that could lapse.
            return;
        }
        let mut contact = self.0.contact.get();
        contact.note(has_answered, Instant::now());
        self.0.contact.set(contact);
    }

    async fn follow_once(&self, source: &dyn Source, sharing: &Sharing) -> Result<(), SourceError> {
        let Some(after) = self.horizon().position() else {
            return self.read(source).await;
        };
        // After a failure, what is in force is confirmed before anything is waited for.
        let wait = match self.0.is_out_of_touch.get() {
            true => Duration::ZERO,
            false => self.options().watch_wait,
        };
        if sharing.is_watcher() {
            return self.watch(source, after, wait, sharing).await;
        }
        match self.hear_neighbour(sharing).await {
            Heard::Current => {
                self.wait_for_nudge().await;
                Ok(())
            }
            heard => {
                // Changes may have been relayed meanwhile.
                let after = self.horizon().position().unwrap_or(after);
                let wait = match heard {
                    Heard::Behind => Duration::ZERO,
                    _ => wait,
                };
                self.watch(source, after, wait, sharing).await
            }
        }
    }

    /// Asks a watcher of the zone how far it knows, and fetches from it what is new.
    async fn hear_neighbour(&self, sharing: &Sharing) -> Heard {
        let asked = BootInstant::now();
        let Some((watcher, known)) = sharing.ask().await else {
            return Heard::Nothing;
        };
        let age = known.age();
        if age >= self.options().relayed_age_limit {
            return Heard::Nothing;
        }
        let position = self.horizon().position();
        if position.is_some_and(|position| known.last_change <= position) {
            self.change_horizon(|horizon| horizon.confirm(known.position));
            self.0.lease.confirm(asked.before(age));
            return Heard::Current;
        }
        match self.fetch(sharing, &watcher, known).await {
            true => Heard::Current,
            false => Heard::Behind,
        }
    }

    /// Has a watcher hand over what it has in force; whether that is all that `known`
    /// tells of.
    async fn fetch(&self, sharing: &Sharing, watcher: &Watcher, known: Confirmation) -> bool {
        let asked = BootInstant::now();
        let request = CopyRequest {
            version: self.table().map(|table| table.version()),
            after: self.horizon().position(),
        };
        let Some(copy) = sharing.fetch(watcher, &request).await else {
            return false;
        };
        let age = copy.known.age();
        if copy.known.position < known.last_change || !self.take_copy(copy, watcher) {
            return false;
        }
        self.0.lease.confirm(asked.before(age));
        true
    }

    /// Waits before the source is called again; ends early once a neighbour has
    /// confirmed what is in force.
    async fn wait_after_failure(&self, pause: Duration, sharing: &Sharing) {
        let is_watcher = sharing.is_watcher();
        let pause = match is_watcher {
            true => pause,
            false => pause.max(turn_pause(sharing)),
        };
        let until = Instant::now() + pause;
        while let Some(left) = until.checked_duration_since(Instant::now()) {
            compio::time::sleep(left.min(self.options().ask_period)).await;
            if !is_watcher && self.hear_neighbour(sharing).await == Heard::Current {
                self.note_contact(true);
                return;
            }
        }
    }

    /// Waits until it is time to ask again, or something has changed.
    async fn wait_for_nudge(&self) {
        let nudged = self.next_nudge();
        // Both the time and a nudge lead to the next question.
        let _ = compio::time::timeout(self.options().ask_period, nudged).await;
    }

    async fn read(&self, source: &dyn Source) -> Result<(), SourceError> {
        let asked = BootInstant::now();
        let timeout = self.options().read_timeout;
        let Snapshot { position, entries } = source.read(timeout).await?;
        if !self.horizon().accepts(position) {
            let reason =
                format!("what was read is of position {position}, older than what is known");
            return Err(SourceError::Failed(reason));
        }
        self.take_all(entries, &Provenance::read(position, asked.elapsed()));
        self.0.lease.confirm(asked);
        self.change_horizon(|horizon| horizon.advance(position, true));
        Ok(())
    }

    async fn watch(
        &self,
        source: &dyn Source,
        after: Position,
        wait: Duration,
        sharing: &Sharing,
    ) -> Result<(), SourceError> {
        let asked = BootInstant::now();
        let timeout = self.options().answer_timeout;
        let Changes {
            position,
            changes,
            may_be_cut,
        } = source.watch(after, wait, timeout).await?;
        if !self.horizon().accepts(position) {
            // Later changes were relayed meanwhile; these would undo them.
            return Ok(());
        }
        if changes.is_empty() {
            // It waited the whole time and nothing had changed by its end.
            self.change_horizon(|horizon| horizon.confirm(position));
            self.0.lease.confirm(asked.after(wait.min(asked.elapsed())));
            return Ok(());
        }
        let upstreams = upstream_changes(&changes);
        let of_upstreams = changes.iter().any(is_of_upstream);
        self.take_changes(changes, &Provenance::watched(position, asked.elapsed()));
        self.change_horizon(|horizon| horizon.advance(position, of_upstreams));
        if may_be_cut {
            // What followed is not known, so nothing is confirmed; and reading
            // what is published now is sooner done than the rest of its history.
            trace::changes_may_be_cut(position);
            self.change_horizon(Horizon::lose);
        } else {
            self.0.lease.confirm(asked);
        }
        if sharing.is_watcher() {
            let relayed = Relayed {
                after,
                position,
                upstreams,
            };
            sharing.tell_changed(relayed).await;
        }
        if !may_be_cut {
            compio::time::sleep(self.options().change_pause).await;
        }
        Ok(())
    }

    /// Takes in changes in the order in which they were written.
    fn take_changes(&self, changes: Vec<Change>, provenance: &Provenance) {
        for change in changes {
            match change {
                Change::Written(entry) => self.take_entry(entry, provenance),
                Change::UpstreamGone(id) => self.take_missing(id, provenance),
            }
        }
        self.pass_on_upstreams();
    }
}

fn is_of_upstream(change: &Change) -> bool {
    !matches!(
        change,
        Change::Written(Entry::Configuration(_) | Entry::Other)
    )
}

/// Time until it is this daemon's turn again to call a source that fails.
///
/// Drawn anew each time from half to one and a half times the mean, so that the
/// daemons of a zone don't call at the same moment.
fn turn_pause(sharing: &Sharing) -> Duration {
    let daemons = u32::try_from(sharing.zone_daemons()).unwrap_or(u32::MAX);
    let mean = ZONE_RETRY_PERIOD.saturating_mul(daemons);
    let drawn = xxh3_64(&sharing.next_draw().to_le_bytes());
    mean.mul_f64(0.5 + drawn as f64 / u64::MAX as f64)
}
