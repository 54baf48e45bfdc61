//! Weights of the choice among engines.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Weights of the choice among engines; each mechanism can be switched off by its own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ChoiceOptions {
    /// Cost of each further engine that reads a part, in milliseconds; 12 by default.
    ///
    /// A prompt that takes `r` ms on one engine is read by about `sqrt(r / 12)`:
    /// five engines for 45,000 tokens, twelve for 133,000, seventeen for
    /// 300,000. Less would split short prompts too, for which the risk that one
    /// more engine fails outweighs the few milliseconds.
    pub helper_cost_ms: f64,
    /// Cost of each place in the shared order, in milliseconds; 1.5 by default.
    ///
    /// About the time by which one more short answer lengthens a pass, so that
    /// an engine gets the next request when the one before it has one or two more.
    pub rank_cost_ms: f64,
    /// Most that the last place in that order costs, in milliseconds; 35 by default,
    /// what it costs before 24 engines.
    ///
    /// The far end of two hundred engines would else cost as much as a broken target:
    /// there 0.2 ms a place in place of 1.5 took the worth in time of a simulated load,
    /// with news 25 ms old, from 67 to 89 of 100.
    pub order_limit_ms: f64,
    /// Cost of putting a short request on an engine that answers none with as
    /// short a pause, in milliseconds; 50 by default.
    ///
    /// From then on long parts have to stay away from that engine. An engine that
    /// answers nobody begins at once, which saves up to half a pass of some 60 ms:
    /// without this cost short requests would take each engine that falls idle.
    pub opening_cost_ms: f64,
    /// Prompts that one engine reads within this time are not split, in
    /// milliseconds; 100 by default, a third of the shortest usual target.
    pub unsplit_read_ms: f64,
    /// Longest queue before engines, times the time that a prompt takes to read, in
    /// square milliseconds; 200,000 by default.
    ///
    /// A prompt of 45,000 tokens (0.36 s) is put behind up to 0.6 s of others, one of
    /// 133,000 (1.9 s) behind 0.1 s, one of 300,000 (7.7 s) behind 26 ms. Longer queues put
    /// more parts into one pass, which breaks pauses: with 700,000, the worth of five loads
    /// of 18 engines was 0.020 lower and of 78 engines equal within 0.002, eight seeds each.
    pub queue_read_ms2: f64,
    /// Time for which a prompt and all that was placed may keep all engines reading, in
    /// milliseconds; 1,000 by default.
    ///
    /// Beyond it, the largest of those that would have to wait are refused at once: before
    /// few engines one such prompt is a third of a second of everybody's time. Without it,
    /// a calm day of 18 engines with peaks by turns lost a tenth of its worth, as what was
    /// held back in one peak met the short prompts of the next; with 600 a fleet of 78
    /// engines lost 0.01 to 0.02 in simulated loads.
    pub overrun_ms: f64,
    /// Targets for which a prompt that finds no room in memory waits before it is put
    /// into an engine's own queue; 0.5 by default, as the other half is for reading it.
    pub wait_targets: f64,
    /// Targets within which a first event has to be expected for a prompt to wait on for a
    /// shorter queue; 0.9 by default, as the expectation may be a pass or two short.
    pub in_time_targets: f64,
    /// Targets for which a prompt that can't be in time any more, and is not refused, waits
    /// for a shorter queue; 2 by default, which leaves time to read it before its caller
    /// leaves after four.
    pub late_targets: f64,
    /// Share of the callers with prompts of a size among the largest that are served, in
    /// percent; 60 by default. The others may be refused when they can't be in time.
    pub served_percent: u64,
    /// Share of them below which prompts of that size are held back no more than they can
    /// be in time, in percent; 50 by default, as the largest are promised to be served at
    /// least half as often as all.
    pub promised_percent: u64,
    /// Answers with pauses of up to this many times the shortest fill the engines
    /// from the near end, all others from the far end; 1.5 by default.
    pub brisk_factor: f64,
    /// Share of an answer's longest pause up to which a predicted pass is safe;
    /// 0.6 by default, as short prompts that come later read in the same pass.
    ///
    /// 0.6 and 1.0 in place of 0.4 and 0.8 bought 0.028 of the worth of days with faults
    /// at one deployment, 0.6 and 0.8 bought 0.015 at another, three seeds each: long
    /// prompts are read by more engines that answer short ones, in parts that these bear.
    pub safe_gap_share: f64,
    /// Share from which a predicted pass breaks the pause for certain; 1.0 by default.
    pub broken_gap_share: f64,
    /// Least cost of each answer whose pause would get too long, in milliseconds; 600 by
    /// default, twice the shortest usual target.
    pub broken_gap_cost_ms: f64,
    /// The same in targets of the request that chooses, which counts where it is more;
    /// 0.9 by default.
    ///
    /// A request with seconds to go loses nothing by reading elsewhere or later, while
    /// the answer is late for certain. With 600 ms for all, long prompts broke the pauses
    /// of short answers to be seconds ahead of their own target: this bought 0.008 to 0.048
    /// of the worth of three sets of simulated loads, eight seeds each.
    pub broken_gap_targets: f64,
    /// Cost of an engine in another availability zone, in milliseconds; 15 by default.
    ///
    /// A round trip is a tenth of that. The rest is for what a request there risks: a
    /// zone that is cut off holds it for more than a second. Bought 0.008 of the worth
    /// of days with faults against 3, three seeds.
    pub other_zone_cost_ms: f64,
    /// Cost of opening a connection to an upstream, in milliseconds; 30 by default.
    ///
    /// The handshake itself takes a few. The rest is what it costs the upstream, all of
    /// whose connections are bounded, and it is more than `tie_ms`, or nothing would
    /// prefer the engines to which a connection is open already.
    pub connect_cost_ms: f64,
    /// Cost of a request that has to wait for a slot, in milliseconds; 400 by
    /// default, a third of a short answer's time.
    pub full_cost_ms: f64,
    /// Share of an engine's slots up to which it counts as roomy; 0.75 by default.
    pub roomy_share: f64,
    /// Cost of each request beyond that, in milliseconds; 15 by default.
    ///
    /// Other daemons' latest requests are not known yet; a request that finds the
    /// last slot taken waits for a second. It counts in full from `crowd_daemons`
    /// on: with six daemons, filled engines leave more of them to long prompts.
    pub crowding_cost_ms: f64,
    /// Difference in cost up to which engines count as equal, in milliseconds; 12
    /// by default, less than half of the time that a short prompt takes to read. It
    /// counts in full from `crowd_daemons` on.
    pub tie_ms: f64,
    /// Engines among which a short prompt's is drawn, for each request that other
    /// daemons are expected to have placed without being heard of yet; 1.5 by default.
    ///
    /// Taking the cheapest, all daemons would meet there until they hear of each other.
    /// Before 195 engines at a peak with news 25 ms old, drawing among 20 to 40 took
    /// the worth in time of a simulated load from 89 to 92 of 100.
    pub unheard_spread: f64,
    /// Daemons from which on many choose at the same moment; 40 by default.
    pub crowd_daemons: usize,
    /// Time from its start in which a daemon spreads short prompts widely, in
    /// milliseconds; 3,000 by default. Chosen, not measured: well over a few heartbeats, by which daemons
    /// that start together find each other.
    pub settling_time_ms: u64,
    /// The difference in cost that counts as equal during that time, in
    /// milliseconds; 100 by default, so that any idle engine will do.
    ///
    /// After a loss of power all daemons start at once, their callers come back in
    /// the same moment, and none knows yet of the others' requests: all would fill
    /// the same few engines.
    pub settling_tie_ms: f64,
    /// Requests that may wait for a slot of an engine; 1 by default.
    ///
    /// When every engine has as many, a further request would be late and make
    /// others late: a slot is held for seconds, a first event is due in tenths.
    pub queued_requests: u32,
    /// Share of an engine's memory that is planned with; 0.96 by default, as
    /// memory comes in blocks and answers grow.
    pub memory_share: f64,
    /// Most engines that read one prompt with the one that answers; 16 by
    /// default, the most that engines take.
    pub helpers_limit: usize,
    /// How long a failed upstream is left out at first, in milliseconds; 500 by
    /// default, and twice as long with each failure in a row.
    pub first_ejection_ms: u64,
    /// Longest time for which it is left out, in milliseconds; 6,000 by default.
    pub longest_ejection_ms: u64,
}

impl ChoiceOptions {
    /// Time from its start in which a daemon spreads short prompts widely.
    #[must_use]
    pub fn settling_time(&self) -> Duration {
        Duration::from_millis(self.settling_time_ms)
    }

    /// How long a failed upstream is left out at first.
    #[must_use]
    pub fn first_ejection(&self) -> Duration {
        Duration::from_millis(self.first_ejection_ms)
    }

    /// Longest time for which it is left out.
    #[must_use]
    pub fn longest_ejection(&self) -> Duration {
        Duration::from_millis(self.longest_ejection_ms)
    }

    /// Cost of each answer whose pause would get too long, to a request with this target,
    /// in milliseconds.
    #[must_use]
    pub fn broken_gap_cost_ms(&self, target: Duration) -> f64 {
        let target_ms = target.as_secs_f64() * 1_000.0;
        self.broken_gap_cost_ms
            .max(self.broken_gap_targets * target_ms)
    }

    /// Share in which costs count that stand for other daemons' unknown requests.
    #[must_use]
    pub fn crowd_share(&self, daemons: usize) -> f64 {
        (daemons as f64 / self.crowd_daemons.max(1) as f64).min(1.0)
    }
}

impl Default for ChoiceOptions {
    fn default() -> Self {
        Self {
            helper_cost_ms: 12.0,
            rank_cost_ms: 1.5,
            order_limit_ms: 35.0,
            opening_cost_ms: 50.0,
            unsplit_read_ms: 100.0,
            queue_read_ms2: 200_000.0,
            overrun_ms: 1_000.0,
            wait_targets: 0.5,
            in_time_targets: 0.9,
            late_targets: 2.0,
            served_percent: 60,
            promised_percent: 50,
            brisk_factor: 1.5,
            safe_gap_share: 0.6,
            broken_gap_share: 1.0,
            broken_gap_cost_ms: 600.0,
            broken_gap_targets: 0.9,
            other_zone_cost_ms: 15.0,
            connect_cost_ms: 30.0,
            full_cost_ms: 400.0,
            roomy_share: 0.75,
            crowding_cost_ms: 15.0,
            tie_ms: 12.0,
            unheard_spread: 1.5,
            crowd_daemons: 40,
            settling_time_ms: 3_000,
            settling_tie_ms: 100.0,
            queued_requests: 1,
            memory_share: 0.96,
            helpers_limit: 16,
            first_ejection_ms: 500,
            longest_ejection_ms: 6_000,
        }
    }
}
