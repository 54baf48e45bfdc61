//! Cost of prefilling a prompt, or a share of it, on an engine.
//!
//! Costs are in milliseconds of time to first event: the time until the share is prefilled, plus a
//! penalty for the delay that the prefill causes to the answers being decoded there.

use std::cmp::Ordering;

use mangofront_settings::process::ChoiceOptions;

use crate::choose::{Candidate, ChoiceContext, Demand};

/// Largest cost above the cheapest engine's at which an engine is still eligible for spreading, in
/// milliseconds: about the cost of three more short prompts on the same engine.
const MAX_SPREAD_COST_MS: f64 = 100.0;

/// Cost parameters common to all candidates.
#[derive(Clone, Copy)]
pub(crate) struct CostModel<'a> {
    options: &'a ChoiceOptions,
    availability_zone: &'a str,
    count: usize,
    /// Whether the allowed gap is close to the shortest of any request.
    has_short_gap: bool,
    /// Longest gap that the request's own answer allows, in milliseconds.
    gap_ms: f64,
    /// Cost of each answer whose gap limit would be exceeded, in milliseconds.
    broken_gap_cost_ms: f64,
    /// Time to prefill the whole prompt, in milliseconds.
    prefill_ms: f64,
    /// Weight of other daemons' requests that are not known here.
    crowd_share: f64,
    /// Cost difference up to which engines count as equal, in milliseconds.
    tie_ms: f64,
    /// Number of engines to pick among, as other daemons may choose any of them concurrently.
    spread_engines: usize,
}

impl<'a> CostModel<'a> {
    /// Cost model of one request with `count` candidates.
    pub(crate) fn new(
        count: usize,
        demand: &Demand,
        prefill_ms: f64,
        options: &'a ChoiceOptions,
        context: ChoiceContext<'a>,
    ) -> Self {
        let crowd_share = options.crowd_share(context.daemons);
        Self {
            options,
            availability_zone: context.availability_zone,
            count,
            has_short_gap: demand.gap <= context.shortest_gap.mul_f64(options.brisk_factor),
            gap_ms: demand.gap.as_secs_f64() * 1_000.0,
            broken_gap_cost_ms: options.broken_gap_cost_ms(demand.target),
            prefill_ms,
            crowd_share,
            spread_engines: 1
                + (options.unheard_spread * context.unreported_short_prompts) as usize,
            tie_ms: match context.is_settling {
                true => options.settling_tie_ms,
                false => options.tie_ms * crowd_share,
            },
        }
    }

    pub(crate) fn options(&self) -> &'a ChoiceOptions {
        self.options
    }

    /// The set of engines that prefills a prompt at the lowest cost.
    ///
    /// It is never empty, as `candidates` is not.
    pub(crate) fn cheapest(
        &self,
        candidates: &[Candidate<'_>],
        prefill_ms: f64,
        draw: u64,
    ) -> Vec<usize> {
        if prefill_ms <= self.options.unsplit_read_ms {
            return self.pick_among_cheapest(candidates, prefill_ms, draw);
        }
        let max_engines = candidates.len().min(self.options.helpers_limit + 1);
        let mut best = (f64::INFINITY, Vec::new());
        for count in 1..=max_engines {
            let share_ms = prefill_ms / count as f64;
            let mut costs: Vec<(f64, usize)> = candidates
                .iter()
                .enumerate()
                .map(|(index, candidate)| (self.cost_ms(candidate, share_ms), index))
                .collect();
            // Only the cheapest `count` of hundreds need sorting.
            costs.select_nth_unstable_by(count - 1, |one, other| by_cost_then_index(*one, *other));
            costs.truncate(count);
            costs.sort_by(|one, other| by_cost_then_index(*one, *other));
            let slowest_ms = costs.last().map_or(0.0, |(cost_ms, _)| *cost_ms);
            let total_ms = slowest_ms + self.options.helper_cost_ms * count as f64;
            if total_ms < best.0 {
                best = (
                    total_ms,
                    costs.into_iter().map(|(_, index)| index).collect(),
                );
            }
        }
        best.1
    }

    /// One of the engines whose cost is close to the lowest.
    ///
    /// Daemons learn of each other's requests with a delay of some milliseconds; if all chose the
    /// cheapest engine, several requests would meet there.
    fn pick_among_cheapest(
        &self,
        candidates: &[Candidate<'_>],
        prefill_ms: f64,
        draw: u64,
    ) -> Vec<usize> {
        let cost_ms = |candidate: &Candidate<'_>| match candidate.has_slot(self.options) {
            true => {
                let connect_cost_ms = candidate.connect_cost_ms(self.options);
                self.unsplit_cost_ms(candidate, prefill_ms) + connect_cost_ms
            }
            false => f64::INFINITY,
        };
        let costs: Vec<f64> = candidates.iter().map(cost_ms).collect();
        let lowest_ms = costs.iter().copied().fold(f64::INFINITY, f64::min);
        let limit_ms = self.tie_ms.max(self.spread_ms(&costs, lowest_ms));
        let is_cheap = |cost_ms: f64| cost_ms <= lowest_ms + limit_ms;
        let cheap: Vec<usize> = (0..costs.len())
            .filter(|index| is_cheap(costs[*index]))
            .collect();
        let chosen = draw as usize % cheap.len().max(1);
        cheap.get(chosen).copied().into_iter().collect()
    }

    /// Cost difference within which there are `spread_engines` engines, in milliseconds.
    fn spread_ms(&self, costs: &[f64], lowest_ms: f64) -> f64 {
        let mut sorted = costs.to_vec();
        sorted.sort_by(f64::total_cmp);
        let last = self.spread_engines.min(sorted.len()).saturating_sub(1);
        let highest_ms = sorted.get(last).copied().unwrap_or(lowest_ms);
        (highest_ms - lowest_ms).min(MAX_SPREAD_COST_MS)
    }

    /// Number of a candidate's answers whose gap limit is exceeded because of this share.
    ///
    /// Answers that exceed it even without the share don't count: counting them made the choice
    /// avoid such engines and send short prompts to engines that had no free slot.
    fn added_gap_violations(&self, candidate: &Candidate<'_>, share_ms: f64) -> f64 {
        let load = &candidate.load;
        let Some(gap_ms) = load.shortest_gap_ms else {
            return 0.0;
        };
        let pass_ms = pass_ms(candidate, load.decoding, load.context_tokens);
        let without_ms = pass_ms + load.backlog_ms;
        let violations =
            |next_pass_ms: f64| self.gap_violation_share(next_pass_ms / gap_ms.max(1.0));
        (violations(without_ms + share_ms) - violations(without_ms)) * f64::from(load.answering)
    }

    /// Cost of a prompt that one engine prefills alone, in milliseconds.
    ///
    /// It waits for this engine only, so lateness that others may have caused counts in part.
    pub(crate) fn unsplit_cost_ms(&self, candidate: &Candidate<'_>, prefill_ms: f64) -> f64 {
        self.cost_ms(candidate, prefill_ms) - candidate.load.shared_lateness_ms
    }

    /// Time until a share is prefilled here plus penalties, in milliseconds.
    pub(crate) fn cost_ms(&self, candidate: &Candidate<'_>, share_ms: f64) -> f64 {
        let load = &candidate.load;
        let mut cost_ms = prefilled_after_ms(candidate, share_ms);
        cost_ms += self.broken_gap_cost_ms * self.added_gap_violations(candidate, share_ms);
        if self.has_short_gap
            && load
                .shortest_gap_ms
                .is_none_or(|gap_ms| gap_ms > self.gap_ms)
        {
            cost_ms += self.options.opening_cost_ms;
        }
        let position = if self.has_short_gap {
            candidate.rank
        } else {
            self.count - 1 - candidate.rank
        };
        let last = self.count.saturating_sub(1).max(1);
        let rank_cost_ms = self.options.order_limit_ms / last as f64;
        cost_ms += rank_cost_ms.min(self.options.rank_cost_ms) * position as f64;
        if candidate.upstream.registration.availability_zone != self.availability_zone {
            cost_ms += self.options.other_zone_cost_ms;
        }
        let slots = candidate.upstream.slots();
        if load.running() >= slots {
            cost_ms += self.options.full_cost_ms;
        }
        if self.has_short_gap {
            let roomy_slots = f64::from(slots) * self.options.roomy_share;
            let crowding = (f64::from(load.running() + 1) - roomy_slots).max(0.0);
            cost_ms += self.options.crowding_cost_ms * self.crowd_share * crowding;
        }
        // A share of a prompt may lie anywhere in it.
        if share_ms >= self.prefill_ms {
            cost_ms += candidate.prefix_correction_ms;
        }
        cost_ms
    }

    /// Expected share of answers that exceed their gap limit if the next pass is predicted to take
    /// `gap_usage` of it.
    ///
    /// Grows quadratically between the two bounds, as further prefills may join the same pass.
    fn gap_violation_share(&self, gap_usage: f64) -> f64 {
        let (safe, broken) = (self.options.safe_gap_share, self.options.broken_gap_share);
        let share = (gap_usage - safe) / (broken - safe);
        share.clamp(0.0, 1.0).powi(2)
    }
}

/// Orders by cost, then by index.
fn by_cost_then_index(one: (f64, usize), other: (f64, usize)) -> Ordering {
    one.0.total_cmp(&other.0).then(one.1.cmp(&other.1))
}

/// Time until a candidate has prefilled a share, in milliseconds.
pub(crate) fn prefilled_after_ms(candidate: &Candidate<'_>, share_ms: f64) -> f64 {
    let load = &candidate.load;
    let pass_ms = pass_ms(candidate, load.decoding, load.context_tokens);
    pass_ms / 2.0 + load.backlog_ms + share_ms
}

/// Duration of one forward pass of a candidate's engine, in milliseconds.
pub(crate) fn pass_ms(candidate: &Candidate<'_>, decoding: u32, context_tokens: u64) -> f64 {
    let profile = candidate.upstream.profile.as_ref();
    profile.map_or(0.0, |profile| profile.pass_ms(decoding, context_tokens))
}
