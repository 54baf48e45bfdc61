//! Cost parameters for the choice among engines.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::ServiceName;

/// Cost parameters for the choice among engines; each mechanism can be disabled by its
/// own parameter.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ChoiceOptions {
    /// Cost of each additional engine that prefills a share of the prompt, in milliseconds;
    /// 12 by default.
    ///
    /// A prompt that takes `r` ms on one engine is prefilled by about `sqrt(r / 12)`
    /// engines: five for 45,000 tokens, twelve for 133,000, seventeen for 300,000. A lower
    /// cost would split short prompts too, for which the risk that one more engine fails
    /// outweighs the few milliseconds saved.
    pub helper_cost_ms: f64,
    /// Cost of each rank in the shared order of engines, in milliseconds; 1.5 by default.
    ///
    /// This is about the time by which one more short answer lengthens a forward pass, so
    /// that an engine gets the next request when the engine ranked before it has one or two
    /// more.
    pub rank_cost_ms: f64,
    /// Maximum cost of the last rank in that order, in milliseconds; 35 by default, the
    /// cost of the last rank of 24 engines.
    ///
    /// Without the limit, the last ranks of two hundred engines would cost as much as a
    /// missed target: 0.2 ms per rank instead of 1.5 ms raised the in-time score of a
    /// simulated load, with load updates 25 ms old, from 67 to 89 of 100.
    pub order_limit_ms: f64,
    /// Cost of placing a short request on an engine that runs no answer with as short a
    /// gap limit, in milliseconds; 50 by default.
    ///
    /// From then on, long shares have to avoid that engine. An engine without answers
    /// starts at once, which saves up to half a forward pass of about 60 ms: without this
    /// cost, short requests would occupy every engine that becomes idle.
    pub opening_cost_ms: f64,
    /// Prompts that one engine prefills within this time are not split, in milliseconds;
    /// 100 by default, a third of the shortest usual target.
    pub unsplit_read_ms: f64,
    /// Limit on the queue in front of engines multiplied by the prefill time of the
    /// prompt, in square milliseconds; 200,000 by default.
    ///
    /// A prompt of 45,000 tokens (0.36 s) is queued behind up to 0.6 s of others, one of
    /// 133,000 (1.9 s) behind 0.1 s, one of 300,000 (7.7 s) behind 26 ms. Longer queues put
    /// more shares into one forward pass, which exceeds gap limits: with 700,000, the score
    /// of five loads was 0.020 lower with 18 engines and equal within 0.002 with 78 engines,
    /// eight seeds each.
    pub queue_read_ms2: f64,
    /// Time for which a prompt, together with everything already placed, may keep all
    /// engines prefilling, in milliseconds; 1,000 by default.
    ///
    /// Beyond it, the largest of the prompts that would have to wait are refused at once:
    /// with few engines, one such prompt takes a third of a second from every other request.
    /// Without the limit, a low load on 18 engines with alternating peaks lost a tenth of
    /// its score, because prompts deferred in one peak delayed the short prompts of the
    /// next; with 600 ms, 78 engines lost 0.01 to 0.02 in simulated loads.
    pub overrun_ms: f64,
    /// Time, as a multiple of its target, for which a prompt that doesn't fit into memory
    /// waits before it is placed in an engine's own queue; 0.5 by default, which leaves the
    /// other half for its prefill.
    pub wait_targets: f64,
    /// Time, as a multiple of its target, within which the first event of a prompt has to be
    /// predicted for it to keep waiting for a shorter queue; 0.9 by default, because the
    /// prediction may be a forward pass or two too early.
    pub in_time_targets: f64,
    /// Time, as a multiple of its target, for which a prompt that can no longer meet its
    /// target and is not refused waits for a shorter queue; 2 by default, which leaves time
    /// to prefill it before its caller gives up after four.
    pub late_targets: f64,
    /// Share of the callers with prompts of a given size, among the largest sizes, that are
    /// served, in percent; 60 by default. The others may be refused if they can't meet their
    /// target.
    pub served_percent: u64,
    /// Served share of these callers below which prompts of that size are deferred only as
    /// long as they can still meet their target, in percent; 50 by default, because the
    /// largest prompts are guaranteed to be served at least half as often as all.
    pub promised_percent: u64,
    /// Answers whose gap limit is up to this multiple of the shortest one fill the engines
    /// from the start of the order, all others from its end; 1.5 by default.
    pub brisk_factor: f64,
    /// Share of an answer's gap limit up to which a predicted forward pass is safe; 0.6 by
    /// default, because short prompts that arrive later are prefilled in the same pass.
    ///
    /// 0.6 and 1.0 instead of 0.4 and 0.8 for this and `broken_gap_share` raised the score
    /// of days with faults by 0.028 in one deployment, 0.6 and 0.8 by 0.015 in another,
    /// three seeds each: long prompts are prefilled by more of the engines that run short
    /// answers, in shares small enough for these.
    pub safe_gap_share: f64,
    /// Share of the gap limit from which on a predicted forward pass certainly exceeds it;
    /// 1.0 by default.
    pub broken_gap_share: f64,
    /// Minimum cost of each answer whose gap limit would be exceeded, in milliseconds; 600
    /// by default, twice the shortest usual target.
    pub broken_gap_cost_ms: f64,
    /// The same cost as a multiple of the target of the request to be placed; the higher of
    /// the two applies; 0.9 by default.
    ///
    /// A request with seconds left loses nothing if it is prefilled elsewhere or later, while
    /// the answer is certain to be late. With 600 ms for all requests, long prompts exceeded
    /// the gap limits of short answers in order to finish seconds before their own target:
    /// this factor raised the score of three sets of simulated loads by 0.008 to 0.048, eight
    /// seeds each.
    pub broken_gap_targets: f64,
    /// Cost of an engine in another availability zone, in milliseconds; 15 by default.
    ///
    /// A round trip takes a tenth of that. The rest accounts for the risk of a request there:
    /// an availability zone that is cut off blocks it for more than a second. Compared with
    /// 3 ms, this raised the score of days with faults by 0.008, three seeds.
    pub other_zone_cost_ms: f64,
    /// Cost of opening a connection to an upstream, in milliseconds; 30 by default.
    ///
    /// The handshake itself takes a few milliseconds. The rest accounts for the upstream,
    /// whose number of connections is limited, and has to exceed `tie_ms`, as otherwise
    /// engines with an open connection would not be preferred.
    pub connect_cost_ms: f64,
    /// Cost of a request that has to wait for a slot, in milliseconds; 400 by default, a
    /// third of the duration of a short answer.
    pub full_cost_ms: f64,
    /// Share of an engine's slots that may be in use before each further request costs
    /// `crowding_cost_ms`; 0.75 by default.
    pub roomy_share: f64,
    /// Cost of each request beyond that share, in milliseconds; 15 by default.
    ///
    /// The latest requests of other daemons are not known yet, and a request that finds the
    /// last slot taken waits for a second. The cost applies in full from `crowd_daemons`
    /// daemons on: with six daemons, filled engines leave more of them to long prompts.
    pub crowding_cost_ms: f64,
    /// Difference in cost up to which engines count as equal, in milliseconds; 12 by default,
    /// less than half of the prefill time of a short prompt. It applies in full from
    /// `crowd_daemons` daemons on.
    pub tie_ms: f64,
    /// Number of engines among which the engine for a short prompt is drawn, per request that
    /// other daemons are expected to have placed without a load update having arrived; 1.5 by
    /// default.
    ///
    /// If all daemons chose the cheapest engine, they would choose the same one until they
    /// receive each other's load updates. With 195 engines at peak load and load updates
    /// 25 ms old, drawing among 20 to 40 engines raised the in-time score of a simulated load
    /// from 89 to 92 of 100.
    pub unheard_spread: f64,
    /// Number of daemons from which on many place requests at the same moment; 40 by default.
    pub crowd_daemons: usize,
    /// Time after its start in which a daemon spreads short prompts widely, in milliseconds;
    /// 3,000 by default: well over a few heartbeats, within which daemons that start together
    /// discover each other.
    pub settling_time_ms: u64,
    /// Difference in cost that counts as equal during that time, in milliseconds; 100 by
    /// default, so that any idle engine may be chosen.
    ///
    /// After a power failure all daemons start at once, their callers return at the same
    /// moment, and no daemon knows the requests of the others yet: all would fill the same
    /// few engines.
    pub settling_tie_ms: f64,
    /// Number of requests that may wait for a slot of an engine; 1 by default.
    ///
    /// If every engine has as many, a further request would be late and delay others: a slot
    /// is occupied for seconds, while the first event is due within tenths of a second.
    pub queued_requests: u32,
    /// Share of an engine's memory that may be planned; 0.96 by default, because memory is
    /// allocated in blocks and answers grow.
    pub memory_share: f64,
    /// Maximum number of helpers that prefill one prompt together with the engine that
    /// answers; 16 by default, the maximum that engines accept.
    pub helpers_limit: usize,
    /// Time for which an upstream is ejected after its first failure, in milliseconds; 500 by
    /// default. It doubles with each consecutive failure.
    pub first_ejection_ms: u64,
    /// Maximum time for which an upstream is ejected, in milliseconds; 6,000 by default.
    pub longest_ejection_ms: u64,
    /// Part of a contended service above which an organisation's requests are refused first, as a
    /// multiple of an equal part; 0 by default, by which requests are placed without regard to
    /// whose they are.
    ///
    /// Organisations that are usually larger than others need a factor above their usual size.
    pub organisation_share_factor: f64,
    /// Services whose engines retain prompts after their requests, with the longest time for
    /// which they do, in milliseconds; none by default.
    ///
    /// A prompt then costs less at an engine that still holds its beginning, by the prefill
    /// time saved.
    pub prompt_retention_ms: BTreeMap<ServiceName, u64>,
}

impl ChoiceOptions {
    /// Whether it matters whose a request is while engines are contended.
    #[must_use]
    pub fn shares_engines(&self) -> bool {
        self.organisation_share_factor > 0.0
    }

    /// Time after its start in which a daemon spreads short prompts widely.
    #[must_use]
    pub fn settling_time(&self) -> Duration {
        Duration::from_millis(self.settling_time_ms)
    }

    /// Time for which an upstream is ejected after its first failure.
    #[must_use]
    pub fn first_ejection(&self) -> Duration {
        Duration::from_millis(self.first_ejection_ms)
    }

    /// Maximum time for which an upstream is ejected.
    #[must_use]
    pub fn longest_ejection(&self) -> Duration {
        Duration::from_millis(self.longest_ejection_ms)
    }

    /// Cost of each answer whose gap limit would be exceeded, for a request with this
    /// target, in milliseconds.
    #[must_use]
    pub fn broken_gap_cost_ms(&self, target: Duration) -> f64 {
        let target_ms = target.as_secs_f64() * 1_000.0;
        self.broken_gap_cost_ms
            .max(self.broken_gap_targets * target_ms)
    }

    /// Factor from 0 to 1 for costs that account for unknown requests of other daemons.
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
            organisation_share_factor: 0.0,
            prompt_retention_ms: BTreeMap::new(),
        }
    }
}
