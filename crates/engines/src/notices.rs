//! What upstreams say of themselves in their answers: that they leave, or that they want rest.
//!
//! A notice is about one incarnation and outlasts its registration, which may lapse and come back
//! while the platform is away. What an upstream told this daemon binds it. What it told another
//! one makes this daemon prefer other upstreams, so that a wrong report can't take the last one of
//! a service away.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::work::UpstreamKey;

/// Time for which a notice is kept: an upstream that leaves is gone long before.
const RETENTION: Duration = Duration::from_secs(600);

/// Number of upstreams with notices from which on old ones are dropped.
const MAX_UPSTREAMS: usize = 4_096;

/// Time for which this daemon repeats to the others that an upstream leaves.
const REPEAT_FOR: Duration = Duration::from_secs(5);

/// Who told this daemon of a notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Source {
    /// Another daemon.
    Daemon,
    /// An answer that this daemon received.
    Answer,
}

/// The notices of one upstream.
#[derive(Debug, Clone, Copy)]
struct Notice {
    leaving: Option<Source>,
    rests_until: Option<Instant>,
    changed_at: Instant,
}

/// The notices of all upstreams.
#[derive(Debug, Default)]
pub(crate) struct Notices(HashMap<UpstreamKey, Notice>);

impl Notices {
    /// Records that an upstream leaves; returns whether that was unknown from this source.
    pub(crate) fn record_leaving(
        &mut self,
        upstream: UpstreamKey,
        source: Source,
        now: Instant,
    ) -> bool {
        let notice = self.notice_mut(upstream, now);
        let is_new = notice.leaving < Some(source);
        if is_new {
            notice.leaving = Some(source);
            notice.changed_at = now;
        }
        is_new
    }

    /// Records that an upstream wants no request of this daemon until `until`; an earlier notice
    /// of a longer rest holds.
    pub(crate) fn record_rest(&mut self, upstream: UpstreamKey, until: Instant, now: Instant) {
        let notice = self.notice_mut(upstream, now);
        if notice.rests_until < Some(until) {
            notice.rests_until = Some(until);
            notice.changed_at = now;
        }
    }

    /// Whether the upstream told this daemon that it leaves.
    pub(crate) fn is_leaving(&self, upstream: UpstreamKey) -> bool {
        self.leaving(upstream) == Some(Source::Answer)
    }

    /// Whether another daemon says that the upstream leaves.
    pub(crate) fn is_said_to_leave(&self, upstream: UpstreamKey) -> bool {
        self.leaving(upstream) == Some(Source::Daemon)
    }

    /// Time until the upstream takes requests of this daemon again, if it rests.
    pub(crate) fn rest(&self, upstream: UpstreamKey, now: Instant) -> Option<Duration> {
        let until = self.0.get(&upstream)?.rests_until?;
        until
            .checked_duration_since(now)
            .filter(|rest| !rest.is_zero())
    }

    /// Upstreams of which this daemon learned a moment ago that they leave.
    pub(crate) fn newly_leaving(&self, now: Instant) -> Vec<UpstreamKey> {
        let is_new = |notice: &Notice| {
            notice.leaving == Some(Source::Answer)
                && now.saturating_duration_since(notice.changed_at) < REPEAT_FOR
        };
        let new = self.0.iter().filter(|(_, notice)| is_new(notice));
        let mut keys: Vec<UpstreamKey> = new.map(|(key, _)| *key).collect();
        keys.sort_unstable();
        keys
    }

    fn leaving(&self, upstream: UpstreamKey) -> Option<Source> {
        self.0.get(&upstream)?.leaving
    }

    fn notice_mut(&mut self, upstream: UpstreamKey, now: Instant) -> &mut Notice {
        if self.0.len() >= MAX_UPSTREAMS {
            self.drop_old(now);
        }
        self.0.entry(upstream).or_insert(Notice {
            leaving: None,
            rests_until: None,
            changed_at: now,
        })
    }

    fn drop_old(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RETENTION;
        self.0.retain(|_, notice| is_recent(notice.changed_at));
        let oldest = self.0.iter().min_by_key(|(_, notice)| notice.changed_at);
        if let Some((oldest, _)) = oldest.filter(|_| self.0.len() >= MAX_UPSTREAMS) {
            let oldest = *oldest;
            self.0.remove(&oldest);
        }
    }
}
