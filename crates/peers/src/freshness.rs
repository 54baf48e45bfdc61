//! Detects pauses of this process and whether its view has been refreshed since.
//!
//! After a pause the view is stale. It becomes fresh again when a neighbour that isn't
//! stale itself has sent all it knows, or when the own heartbeats have had the time to
//! detect every failure anew. The queries read the clocks themselves, so that they are
//! correct before any timer has fired.

use std::time::{Duration, Instant, SystemTime};

use crate::options::PeersOptions;

/// Pauses of this process and the state of its view after them.
#[derive(Debug)]
pub(crate) struct Freshness {
    /// Lateness of a tick that counts as a pause.
    pause_threshold: Duration,
    /// Longest time between two ticks of a running process.
    period: Duration,
    /// Time in which the own heartbeats detect the failure of any neighbour.
    detection_time: Duration,
    last_tick: Instant,
    last_tick_wall: SystemTime,
    pauses: u64,
    /// When the process resumed, as long as its view hasn't been refreshed since.
    stale_since: Option<Instant>,
    /// Last answer of any daemon.
    last_answer: Option<Instant>,
}

impl Freshness {
    /// State of a process that has just started.
    pub(crate) fn new(options: &PeersOptions, now: Instant) -> Self {
        Self {
            pause_threshold: options.pause_threshold,
            period: options.heartbeat_period,
            detection_time: options.suspect_after + options.dead_after,
            last_tick: now,
            last_tick_wall: SystemTime::now(),
            pauses: 0,
            stale_since: None,
            last_answer: None,
        }
    }

    /// Records that the process runs; returns the length of the pause if there was one.
    pub(crate) fn tick(&mut self, now: Instant) -> Option<Duration> {
        let gap = self.gap(now);
        self.last_tick = now;
        self.last_tick_wall = SystemTime::now();
        let detected = |since: Instant| now.saturating_duration_since(since) >= self.detection_time;
        if self.stale_since.is_some_and(detected) {
            self.stale_since = None;
        }
        if gap <= self.period + self.pause_threshold {
            return None;
        }
        self.pauses += 1;
        self.stale_since = Some(now);
        Some(gap)
    }

    /// Time since the last tick, by the clock that advanced further.
    fn gap(&self, now: Instant) -> Duration {
        // The monotonic clock stops while a whole machine is suspended.
        let wall = SystemTime::now().duration_since(self.last_tick_wall);
        let monotonic = now.saturating_duration_since(self.last_tick);
        monotonic.max(wall.unwrap_or_default())
    }

    /// Records an answer of any daemon.
    pub(crate) fn record_answer(&mut self, now: Instant) {
        self.last_answer = Some(now);
    }

    /// Returns to the state before the first answer.
    pub(crate) fn forget_answers(&mut self) {
        self.last_answer = None;
    }

    /// Whether any daemon has answered.
    pub(crate) fn has_joined(&self) -> bool {
        self.last_answer.is_some()
    }

    /// Records that a neighbour sent all it knows, in answer to a heartbeat sent at `sent_at`.
    pub(crate) fn record_refresh(&mut self, sent_at: Instant) {
        if self.stale_since.is_some_and(|since| sent_at >= since) {
            self.stale_since = None;
        }
    }

    /// Whether the process was paused and hasn't refreshed its view since.
    pub(crate) fn is_stale(&self, now: Instant) -> bool {
        self.stale_since.is_some() || self.gap(now) > self.period + self.pause_threshold
    }

    /// Whether the view is reliable: not stale, and alone or with a recent answer.
    pub(crate) fn is_fresh(&self, alone: bool, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= self.detection_time;
        !self.is_stale(now) && (alone || self.last_answer.is_some_and(is_recent))
    }

    /// Number of pauses detected.
    pub(crate) fn pauses(&self) -> u64 {
        self.pauses
    }
}
