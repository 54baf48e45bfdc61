//! The paths to all upstreams.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::options::PathOptions;
use crate::path::{Path, PathFault, PathState, Route};

/// Identifies an upstream.
pub type PathKey = u64;

/// Identifies the upstreams of one service.
pub type PathGroup = u64;

/// An upstream to which there may be a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownUpstream {
    /// The upstream.
    pub key: PathKey,
    /// Upstreams that may lie behind a cut of their own.
    pub group: PathGroup,
}

/// Paths that are judged together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    All,
    Group(PathGroup),
}

impl Scope {
    fn contains(self, path: &Path) -> bool {
        match self {
            Self::All => true,
            Self::Group(group) => path.group == Some(group),
        }
    }
}

/// Number of paths that failed and that were proven in an episode.
#[derive(Debug, Clone, Copy)]
struct EpisodeCounts {
    failing: usize,
    proven: usize,
}

impl EpisodeCounts {
    /// Whether so many paths fail that the unproven ones are expected to.
    fn is_widespread(self) -> bool {
        self.failing >= WIDESPREAD_PATHS
            && self.proven <= self.failing * WIDESPREAD_PROVEN_PER_FAILING
    }

    /// Whether so many paths were proven that the failures have no common cause.
    fn is_refuted(self) -> bool {
        self.proven > self.failing.max(WIDESPREAD_PATHS) * WIDESPREAD_PROVEN_PER_FAILING
    }
}

/// Failing paths from which on more are expected to fail.
const WIDESPREAD_PATHS: usize = 2;

/// Paths proven during an episode, for each failing one, up to which the failures count as
/// widespread.
const WIDESPREAD_PROVEN_PER_FAILING: usize = 3;

/// Upstreams at which connections were lost from which on a common cause is possible.
const DOUBTED_UPSTREAMS: usize = 2;

/// Time in which connections have to be lost for that.
const LOST_CONNECTIONS_TIME: Duration = Duration::from_secs(3);

/// Time for which failures raise doubts about other paths: until a survey has probed them.
const DOUBT_TIME: Duration = Duration::from_secs(1);

/// Time without a new failure after which the next one begins another episode.
const EPISODE_GAP: Duration = Duration::from_secs(2);

/// Upstreams with pending attempts from which on their common silence is examined; a single
/// one may merely be slow.
const SILENT_UPSTREAMS: usize = 2;

/// Attempts at one upstream that wait for its answer.
#[derive(Debug, Clone, Copy)]
struct Pending {
    attempts: usize,
    /// Start of the first of them.
    since: Instant,
}

/// Number of paths by state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PathSummary {
    /// Paths on which another process reached the upstream and this one did not.
    pub lost: usize,
    /// Paths of which a probe failed.
    pub suspected: usize,
    /// Paths that were not found to fail, and are avoided until a probe shows that they work.
    pub avoided: usize,
    /// Duration of the longest current outage.
    pub longest_outage: Option<Duration>,
}

/// Failures that may have a common cause, as each followed soon after the one before.
///
/// A proof counts against the common cause only if it is younger than the first failure. The
/// failure of a path that was proven meanwhile shows that the proofs before it are out of date, so
/// it begins another episode.
#[derive(Debug, Clone, Copy)]
struct Episode {
    since: Instant,
    last_failure: Instant,
    /// Paths in use that were probed.
    surveyed: usize,
}

/// The paths of one process to its upstreams.
#[derive(Debug, Default)]
pub struct PathTable {
    options: PathOptions,
    paths: HashMap<PathKey, Path>,
    pending: HashMap<PathKey, Pending>,
    /// When the last byte arrived from any upstream.
    last_received: Option<Instant>,
    /// The latest failures.
    episode: Option<Episode>,
    silence_examined_at: Option<Instant>,
    /// When connections to upstreams were last lost with an attempt in progress.
    lost_connections: HashMap<PathKey, Instant>,
}

impl PathTable {
    /// Creates a table in which no path was used yet.
    #[must_use]
    pub fn new(options: PathOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// How the next attempt should reach an upstream.
    #[must_use]
    pub fn route(&self, key: PathKey) -> Route {
        let is_in_use = match self.paths.get(&key) {
            Some(path) => path.outage().is_none(),
            None => !self.is_widespread(),
        };
        match is_in_use {
            true => Route::Direct,
            false => Route::Proxied,
        }
    }

    /// How an attempt that may not be repeated should reach an upstream.
    ///
    /// Soon after a failure, or connections lost at several upstreams, it avoids each path that
    /// was not proven since: if that one fails too, the attempt is lost.
    #[must_use]
    pub fn route_unrepeatable(&self, key: PathKey, now: Instant) -> Route {
        let is_doubted = self.doubted_since(now).is_some_and(|since| {
            let path = self.paths.get(&key);
            !path.is_some_and(|path| path.is_proven_since(since))
        });
        match is_doubted {
            true => Route::Proxied,
            false => self.route(key),
        }
    }

    /// Whether recent failures raise doubts about all paths.
    #[must_use]
    pub fn has_doubt(&self, now: Instant) -> bool {
        self.doubted_since(now).is_some()
    }

    /// Since when recent failures raise doubts about all paths.
    fn doubted_since(&self, now: Instant) -> Option<Instant> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < DOUBT_TIME;
        let episode = self.episode.filter(|one| is_recent(one.last_failure));
        let lost = self.lost_connections.values().copied();
        let is_counted = |at: &Instant| now.saturating_duration_since(*at) < LOST_CONNECTIONS_TIME;
        let lost: Vec<Instant> = lost.filter(is_counted).collect();
        let lost_since = match lost.len() >= DOUBTED_UPSTREAMS {
            true if lost.iter().any(|at| is_recent(*at)) => lost.into_iter().min(),
            true | false => None,
        };
        let failing_since = episode.map(|episode| episode.since);
        failing_since.into_iter().chain(lost_since).max()
    }

    /// Records that a direct connection was lost while an attempt waited on it.
    pub fn lose_connection(&mut self, key: PathKey, now: Instant) {
        self.lost_connections
            .retain(|_, at| now.saturating_duration_since(*at) < LOST_CONNECTIONS_TIME);
        self.lost_connections.insert(key, now);
    }

    /// Whether so many paths to all upstreams fail that unproven ones are avoided.
    #[must_use]
    pub fn is_widespread(&self) -> bool {
        self.is_widespread_in(Scope::All)
    }

    /// Whether the paths to the service of an upstream, or to all, fail in common.
    #[must_use]
    pub fn is_common(&self, key: PathKey) -> bool {
        let group = self.paths.get(&key).and_then(|path| path.group);
        self.is_widespread()
            || group.is_some_and(|group| self.is_widespread_in(Scope::Group(group)))
    }

    fn is_widespread_in(&self, scope: Scope) -> bool {
        let counts = self.episode_counts(scope);
        counts.is_some_and(EpisodeCounts::is_widespread)
    }

    /// Paths of `scope` that failed in the current episode, and those that were proven in it.
    fn episode_counts(&self, scope: Scope) -> Option<EpisodeCounts> {
        let since = self.episode?.since;
        let paths = || self.paths.values().filter(|path| scope.contains(path));
        let is_failing =
            |path: &&Path| path.failure().is_some_and(|failure| failure.since >= since);
        let is_proven = |path: &&Path| path.outage().is_none() && path.is_proven_since(since);
        Some(EpisodeCounts {
            failing: paths().filter(is_failing).count(),
            proven: paths().filter(is_proven).count(),
        })
    }

    /// Groups with a path that failed in the current episode.
    fn failing_groups(&self) -> BTreeSet<PathGroup> {
        let failing = self.paths.values().filter(|path| path.failure().is_some());
        failing.filter_map(|path| path.group).collect()
    }

    /// The fault and start of a suspected outage, if a path has one.
    #[must_use]
    pub fn suspicion(&self, key: PathKey) -> Option<(PathFault, Instant)> {
        match self.paths.get(&key)?.state {
            PathState::Suspect(outage) => Some((outage.fault, outage.since)),
            PathState::Open | PathState::Avoided(_) | PathState::Lost(_) => None,
        }
    }

    /// Records bytes that an upstream sent on a direct connection.
    pub fn receive(&mut self, key: PathKey, now: Instant) {
        self.last_received = Some(now);
        self.path_mut(key).receive(now);
    }

    /// Records that an upstream answered on a new direct connection; returns the duration of
    /// the outage that this ended.
    pub fn prove(&mut self, key: PathKey, now: Instant) -> Option<Duration> {
        self.last_received = Some(now);
        let options = self.options.clone();
        let ended = self.path_mut(key).prove(now, &options);
        if ended.is_some() {
            // The others may work again too.
            for path in self.paths.values_mut() {
                path.probe_by(now);
            }
        }
        let group = self.path_mut(key).group;
        self.release_refuted(group);
        self.end_episode();
        ended
    }

    /// Records that another process reached an upstream that this one did not reach `since`;
    /// returns whether that was unknown.
    pub fn lose(&mut self, key: PathKey, fault: PathFault, since: Instant, now: Instant) -> bool {
        let options = self.options.clone();
        let path = self.path_mut(key);
        let was_in_use = path.failure().is_none();
        let is_new = path.lose(fault, since, now, &options);
        if was_in_use {
            self.record_failure(key, since, now);
        }
        is_new
    }

    /// Records that an upstream was not reached `since`, and that no other process could tell
    /// whether it works; returns whether that was unknown.
    pub fn suspect(
        &mut self,
        key: PathKey,
        fault: PathFault,
        since: Instant,
        now: Instant,
    ) -> bool {
        let options = self.options.clone();
        let is_new = self.path_mut(key).suspect(fault, since, now, &options);
        if is_new {
            self.record_failure(key, since, now);
        }
        is_new
    }

    /// Records that a path has begun to fail.
    fn record_failure(&mut self, key: PathKey, since: Instant, now: Instant) {
        let path = self.paths.get(&key);
        let was_proven = |since| path.is_some_and(|path| path.is_proven_since(since));
        let is_recent = |at| now.saturating_duration_since(at) <= EPISODE_GAP;
        let current = self
            .episode
            .filter(|episode| is_recent(episode.last_failure) && !was_proven(episode.since));
        self.episode = Some(match current {
            Some(episode) => Episode {
                since: episode.since.min(since),
                last_failure: now,
                ..episode
            },
            None => Episode {
                since,
                last_failure: now,
                surveyed: 0,
            },
        });
        self.avoid_unproven(now);
    }

    /// Has unproven paths avoided if many fail, of all or of their group.
    fn avoid_unproven(&mut self, now: Instant) {
        let Some(episode) = self.episode else {
            return;
        };
        if self.is_widespread() {
            return self.avoid_unproven_in(Scope::All, episode, now);
        }
        for group in self.failing_groups() {
            let scope = Scope::Group(group);
            if self.is_widespread_in(scope) {
                self.avoid_unproven_in(scope, episode, now);
            }
        }
    }

    fn avoid_unproven_in(&mut self, scope: Scope, episode: Episode, now: Instant) {
        let paths = self.paths.values_mut();
        for path in paths.filter(|path| scope.contains(path)) {
            path.avoid_unproven(episode.since, now, &self.options);
        }
    }

    /// Uses avoided paths of a group again if most of them were proven.
    fn release_refuted(&mut self, group: Option<PathGroup>) {
        let scope = group.map_or(Scope::All, Scope::Group);
        let counts = self.episode_counts(scope);
        if counts.is_some_and(EpisodeCounts::is_refuted) {
            let paths = self.paths.values_mut();
            paths
                .filter(|path| scope.contains(path))
                .for_each(Path::release);
        }
    }

    /// Records that an upstream does not answer other processes either.
    pub fn excuse(&mut self, key: PathKey) {
        if let Some(path) = self.paths.get_mut(&key) {
            path.state = PathState::Open;
        }
        self.end_episode();
    }

    /// Records a failed probe.
    ///
    /// During an outage the path is avoided from then on; otherwise the upstream may have
    /// failed, and the state of the path does not change.
    pub fn fail_probe(&mut self, key: PathKey, fault: PathFault, now: Instant) {
        let options = self.options.clone();
        self.path_mut(key).fail_probe(now, &options);
        if self.has_outage() {
            self.suspect(key, fault, now, now);
        }
    }

    /// Records a probe that shows nothing about the path, as other upstreams are heard.
    pub fn postpone_probe(&mut self, key: PathKey, now: Instant) {
        let options = self.options.clone();
        self.path_mut(key).fail_probe(now, &options);
    }

    /// Counts an attempt that waits for its upstream's answer on a direct connection.
    pub fn begin_attempt(&mut self, key: PathKey, now: Instant) {
        let pending = self.pending.entry(key).or_insert(Pending {
            attempts: 0,
            since: now,
        });
        pending.attempts += 1;
    }

    /// Ends what [`Self::begin_attempt`] began.
    pub fn end_attempt(&mut self, key: PathKey) {
        if let Some(pending) = self.pending.get_mut(&key) {
            pending.attempts = pending.attempts.saturating_sub(1);
            if pending.attempts == 0 {
                self.pending.remove(&key);
            }
        }
    }

    /// Has silence examined again without a pause, as the last examination explained nothing.
    pub fn examine_again(&mut self) {
        self.silence_examined_at = None;
    }

    /// Upstreams whose paths should be probed, as nothing arrives from any upstream although
    /// several have attempts pending.
    pub fn silent(&mut self, now: Instant) -> Vec<PathKey> {
        let is_older = |at: Instant, age| now.saturating_duration_since(at) >= age;
        let is_old = |at| is_older(at, self.options.silence);
        let examined_at = self.silence_examined_at;
        if self.last_received.is_some_and(|at| !is_old(at))
            || examined_at.is_some_and(|at| !is_older(at, self.options.silence_pause))
        {
            return Vec::new();
        }
        let mut silent: Vec<PathKey> = self
            .pending
            .iter()
            .filter(|(key, pending)| is_old(pending.since) && self.route(**key) == Route::Direct)
            .map(|(key, _)| *key)
            .collect();
        if silent.len() < SILENT_UPSTREAMS {
            return Vec::new();
        }
        self.silence_examined_at = Some(now);
        silent.sort_unstable();
        silent.truncate(SILENT_UPSTREAMS);
        silent
    }

    /// Paths of `known` upstreams to probe now: those that may work again, and, once one is
    /// lost, some of the others.
    pub fn due_probes(&mut self, known: &[KnownUpstream], now: Instant) -> Vec<PathKey> {
        self.retain(known);
        let Some(mut episode) = self.episode else {
            return Vec::new();
        };
        self.avoid_unproven(now);
        let failing_groups = self.failing_groups();
        let mut due: Vec<(Instant, PathKey)> = Vec::new();
        let mut unproven = Vec::new();
        for KnownUpstream { key, group } in known {
            let path = self.path_mut(*key);
            match path.outage() {
                Some(outage) if outage.next_probe <= now => due.push((outage.next_probe, *key)),
                None if !path.is_proven_since(episode.since) => unproven.push((*key, *group)),
                Some(_) | None => {}
            }
        }
        due.sort_unstable();
        let mut probes: Vec<PathKey> = due.into_iter().map(|(_, key)| key).collect();
        let room = self.options.probes_at_once.saturating_sub(probes.len());
        let room = room.min(self.options.survey_limit.saturating_sub(episode.surveyed));
        // The order differs between episodes, so that no path is always examined last.
        let age = now.saturating_duration_since(episode.since);
        let first = age.subsec_nanos() as usize % unproven.len().max(1);
        unproven.rotate_left(first);
        unproven.sort_by_key(|(_, group)| !failing_groups.contains(group));
        unproven.truncate(room);
        episode.surveyed += unproven.len();
        self.episode = Some(episode);
        probes.extend(unproven.into_iter().map(|(key, _)| key));
        probes.truncate(self.options.probes_at_once);
        for key in &probes {
            self.path_mut(*key).begin_probe(now);
        }
        probes
    }

    /// Whether a byte arrived from any upstream within the last `time`.
    #[must_use]
    pub fn has_received_within(&self, time: Duration, now: Instant) -> bool {
        let last_received = self.last_received;
        last_received.is_some_and(|at| now.saturating_duration_since(at) < time)
    }

    /// Whether a byte arrived within the last `time` from another upstream than `except`, of the same
    /// group if `is_same_group`.
    #[must_use]
    pub fn has_received_from_another(
        &self,
        except: PathKey,
        is_same_group: bool,
        time: Duration,
        now: Instant,
    ) -> bool {
        let group = self.paths.get(&except).and_then(|path| path.group);
        let is_counted = |path: &Path| !is_same_group || (group.is_some() && path.group == group);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < time;
        let mut others = self.paths.iter().filter(|(key, _)| **key != except);
        others.any(|(_, path)| is_counted(path) && path.last_received.is_some_and(is_recent))
    }

    /// Whether a byte arrived from an upstream after `since`.
    #[must_use]
    pub fn has_received_since(&self, key: PathKey, since: Instant) -> bool {
        let path = self.paths.get(&key);
        let last_received = path.and_then(|path| path.last_received);
        last_received.is_some_and(|at| at > since)
    }

    /// Whether any path is not in use.
    #[must_use]
    pub fn has_outage(&self) -> bool {
        self.episode.is_some()
    }

    /// Whether a path is lost, and nothing has arrived on it for some time.
    #[must_use]
    pub fn is_silent(&self, key: PathKey, now: Instant) -> bool {
        let path = self.paths.get(&key);
        path.is_some_and(|path| match path.state {
            PathState::Lost(outage) => {
                let is_old = |at| now.saturating_duration_since(at) >= self.options.silence;
                outage.fault == PathFault::Silent && path.last_received.is_none_or(is_old)
            }
            PathState::Open | PathState::Avoided(_) | PathState::Suspect(_) => false,
        })
    }

    /// When an upstream last answered on a new direct connection.
    #[must_use]
    pub fn last_proof(&self, key: PathKey) -> Option<Instant> {
        self.paths.get(&key)?.last_proof
    }

    /// Number of paths by state.
    #[must_use]
    pub fn summary(&self, now: Instant) -> PathSummary {
        let count = |is_counted: fn(&PathState) -> bool| {
            let states = self.paths.values().map(|path| &path.state);
            states.filter(|state| is_counted(state)).count()
        };
        let failures = self.paths.values().filter_map(Path::failure);
        let first = failures.map(|failure| failure.since).min();
        PathSummary {
            lost: count(|state| matches!(state, PathState::Lost(_))),
            suspected: count(|state| matches!(state, PathState::Suspect(_))),
            avoided: count(|state| matches!(state, PathState::Avoided(_))),
            longest_outage: first.map(|at| now.saturating_duration_since(at)),
        }
    }

    /// Drops the paths to upstreams that are not `known`.
    pub fn retain(&mut self, known: &[KnownUpstream]) {
        for upstream in known {
            self.path_mut(upstream.key).group = Some(upstream.group);
        }
        if self.paths.len() > known.len() {
            let known: HashSet<PathKey> = known.iter().map(|upstream| upstream.key).collect();
            self.paths.retain(|key, _| known.contains(key));
        }
        self.end_episode();
    }

    /// Ends the episode once no path fails.
    fn end_episode(&mut self) {
        if self.paths.values().all(|path| path.failure().is_none()) {
            self.paths.values_mut().for_each(Path::release);
            self.episode = None;
        }
    }

    fn path_mut(&mut self, key: PathKey) -> &mut Path {
        self.paths.entry(key).or_insert_with(Path::new)
    }
}
