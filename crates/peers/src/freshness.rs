//! Whether this process slept, and whether its view has been refreshed since.
//!
//! After a pause nothing that was believed before counts until a neighbour that
//! did not sleep has told all it knows, or until the own heartbeats had the time
//! to judge everyone anew. The questions look at the clocks themselves, so that
//! the answers are right before any timer has fired.

use std::time::{Duration, Instant, SystemTime};

use crate::options::PeersOptions;

/// Pauses of this process.
#[derive(Debug)]
pub(crate) struct Freshness {
    /// Lateness of a tick that counts as a pause.
    pause_threshold: Duration,
    /// Longest time between two ticks of a process that runs.
    period: Duration,
    /// Time in which the own heartbeats judge every neighbour.
    judging_time: Duration,
    last_tick: Instant,
    last_tick_wall: SystemTime,
    woke: u64,
    /// When the process woke, while its view has not been refreshed since.
    stale_since: Option<Instant>,
    /// Last answer of anyone.
    last_contact: Option<Instant>,
}

impl Freshness {
    /// Of a process that just began.
    pub(crate) fn new(options: &PeersOptions, now: Instant) -> Self {
        Self {
            pause_threshold: options.pause_threshold,
            period: options.heartbeat_period,
            judging_time: options.suspect_after + options.dead_after,
            last_tick: now,
            last_tick_wall: SystemTime::now(),
            woke: 0,
            stale_since: None,
            last_contact: None,
        }
    }

    /// Notes that the process runs; the length of the pause when there was one.
    pub(crate) fn tick(&mut self, now: Instant) -> Option<Duration> {
        let gap = self.gap(now);
        self.last_tick = now;
        self.last_tick_wall = SystemTime::now();
        let judged = |since: Instant| now.saturating_duration_since(since) >= self.judging_time;
        if self.stale_since.is_some_and(judged) {
            self.stale_since = None;
        }
        if gap <= self.period + self.pause_threshold {
            return None;
        }
        self.woke += 1;
        self.stale_since = Some(now);
        Some(gap)
    }

    /// Time since the last tick, by the clock that went further.
    fn gap(&self, now: Instant) -> Duration {
        // The monotonic clock stands still while a whole machine is suspended.
        let wall = SystemTime::now().duration_since(self.last_tick_wall);
        let monotonic = now.saturating_duration_since(self.last_tick);
        monotonic.max(wall.unwrap_or_default())
    }

    /// Takes note that someone answered.
    pub(crate) fn heard(&mut self, now: Instant) {
        self.last_contact = Some(now);
    }

    /// Begins as if nobody had ever answered.
    pub(crate) fn forget_contact(&mut self) {
        self.last_contact = None;
    }

    /// Whether anyone ever answered.
    pub(crate) fn joined(&self) -> bool {
        self.last_contact.is_some()
    }

    /// Takes note that a neighbour told all it knows, in answer to a question after the wake.
    pub(crate) fn refreshed(&mut self, asked: Instant) {
        if self.stale_since.is_some_and(|since| asked >= since) {
            self.stale_since = None;
        }
    }

    /// Whether the process woke from a pause and has not refreshed its view.
    pub(crate) fn is_stale(&self, now: Instant) -> bool {
        self.stale_since.is_some() || self.gap(now) > self.period + self.pause_threshold
    }

    /// Whether the view can be relied upon, alone or with an answer of late.
    pub(crate) fn is_fresh(&self, alone: bool, now: Instant) -> bool {
        let heard = |at: Instant| now.saturating_duration_since(at) <= self.judging_time;
        !self.is_stale(now) && (alone || self.last_contact.is_some_and(heard))
    }

    /// How many pauses were seen.
    pub(crate) fn woke(&self) -> u64 {
        self.woke
    }
}
