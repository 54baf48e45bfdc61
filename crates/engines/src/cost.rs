//! What it costs to have an engine read a prompt or a part of it.
//!
//! Costs are in milliseconds of a request's first event: the time until it comes, and
//! what the reading does to the answers that the engine writes.

use std::cmp::Ordering;

use mangofront_settings::process::ChoiceOptions;

use crate::choose::{Candidate, Circumstances, Demand};

/// Most that an engine may cost beyond the cheapest to be taken for the sake of
/// spreading, in milliseconds: about what three more short prompts cost that meet there.
const SPREAD_LIMIT_MS: f64 = 100.0;

/// What is the same for all candidates.
#[derive(Clone, Copy)]
pub(crate) struct Weighing<'a> {
    options: &'a ChoiceOptions,
    availability_zone: &'a str,
    count: usize,
    /// Whether the answer allows only pauses about as short as any.
    is_brisk: bool,
    /// Longest pause that the request's own answer allows, in milliseconds.
    gap_ms: f64,
    /// Cost of each answer whose pause would get too long, in milliseconds.
    broken_gap_cost_ms: f64,
    /// Share in which other daemons' unknown requests count.
    crowd_share: f64,
    /// Difference in cost up to which engines count as equal, in milliseconds.
    tie_ms: f64,
    /// Engines among which one is drawn, as others may take any of them meanwhile.
    spread: usize,
}

impl<'a> Weighing<'a> {
    /// Weighs for one request among `count` candidates.
    pub(crate) fn new(
        count: usize,
        demand: &Demand,
        options: &'a ChoiceOptions,
        circumstances: Circumstances<'a>,
    ) -> Self {
        let crowd_share = options.crowd_share(circumstances.daemons);
        Self {
            options,
            availability_zone: circumstances.availability_zone,
            count,
            is_brisk: demand.gap <= circumstances.shortest_gap.mul_f64(options.brisk_factor),
            gap_ms: demand.gap.as_secs_f64() * 1_000.0,
            broken_gap_cost_ms: options.broken_gap_cost_ms(demand.target),
            crowd_share,
            spread: 1 + (options.unheard_spread * circumstances.unheard) as usize,
            tie_ms: match circumstances.is_settling {
                true => options.settling_tie_ms,
                false => options.tie_ms * crowd_share,
            },
        }
    }

    pub(crate) fn options(&self) -> &'a ChoiceOptions {
        self.options
    }

    /// The engines that together have read a prompt first, at least cost.
    ///
    /// There is always one: `candidates` is not empty.
    pub(crate) fn cheapest(
        &self,
        candidates: &[Candidate<'_>],
        read_ms: f64,
        draw: u64,
    ) -> Vec<usize> {
        if read_ms <= self.options.unsplit_read_ms {
            return self.any_of_cheapest(candidates, read_ms, draw);
        }
        let most = candidates.len().min(self.options.helpers_limit + 1);
        let mut best = (f64::INFINITY, Vec::new());
        for count in 1..=most {
            let part_ms = read_ms / count as f64;
            let mut costs: Vec<(f64, usize)> = candidates
                .iter()
                .enumerate()
                .map(|(index, candidate)| (self.cost_ms(candidate, part_ms), index))
                .collect();
            // Only the cheapest few of hundreds have to be in order.
            costs.select_nth_unstable_by(count - 1, |one, other| cheaper(*one, *other));
            costs.truncate(count);
            costs.sort_by(|one, other| cheaper(*one, *other));
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

    /// One of the engines that cost about as little as the cheapest.
    ///
    /// Daemons hear of each other's requests only after some milliseconds; if all
    /// took the cheapest, several would meet there.
    fn any_of_cheapest(&self, candidates: &[Candidate<'_>], read_ms: f64, draw: u64) -> Vec<usize> {
        let cost_ms = |candidate: &Candidate<'_>| match candidate.has_slot(self.options) {
            true => self.cost_ms(candidate, read_ms) + candidate.connect_cost_ms(self.options),
            false => f64::INFINITY,
        };
        let costs: Vec<f64> = candidates.iter().map(cost_ms).collect();
        let least_ms = costs.iter().copied().fold(f64::INFINITY, f64::min);
        let limit_ms = self.tie_ms.max(self.spread_ms(&costs, least_ms));
        let is_cheap = |cost_ms: f64| cost_ms <= least_ms + limit_ms;
        let cheap: Vec<usize> = (0..costs.len())
            .filter(|index| is_cheap(costs[*index]))
            .collect();
        let chosen = draw as usize % cheap.len().max(1);
        cheap.get(chosen).copied().into_iter().collect()
    }

    /// Difference in cost up to which there are as many engines as requests should
    /// spread over, in milliseconds.
    fn spread_ms(&self, costs: &[f64], least_ms: f64) -> f64 {
        let mut sorted = costs.to_vec();
        sorted.sort_by(f64::total_cmp);
        let last = self.spread.min(sorted.len()).saturating_sub(1);
        let costliest_ms = sorted.get(last).copied().unwrap_or(least_ms);
        (costliest_ms - least_ms).min(SPREAD_LIMIT_MS)
    }

    /// Answers of a candidate whose pause gets too long because it reads a part.
    ///
    /// Those that are lost already, by what it has to read without the part, don't
    /// count: passing such an engine over sent short prompts to others that had no
    /// slot left.
    fn broken_answers(&self, candidate: &Candidate<'_>, part_ms: f64) -> f64 {
        let load = &candidate.load;
        let Some(gap_ms) = load.least_gap_ms else {
            return 0.0;
        };
        let pass_ms = pass_ms(candidate, load.writers, load.context_tokens);
        let without_ms = pass_ms + load.backlog_ms;
        let share = |pause_ms: f64| self.broken_share(pause_ms / gap_ms.max(1.0));
        (share(without_ms + part_ms) - share(without_ms)) * f64::from(load.answering)
    }

    /// Time until a part is read here, with what it does to others, in milliseconds.
    pub(crate) fn cost_ms(&self, candidate: &Candidate<'_>, part_ms: f64) -> f64 {
        let load = &candidate.load;
        let mut cost_ms = read_after_ms(candidate, part_ms);
        cost_ms += self.broken_gap_cost_ms * self.broken_answers(candidate, part_ms);
        if self.is_brisk && load.least_gap_ms.is_none_or(|gap_ms| gap_ms > self.gap_ms) {
            cost_ms += self.options.opening_cost_ms;
        }
        let place = if self.is_brisk {
            candidate.rank
        } else {
            self.count - 1 - candidate.rank
        };
        let last = self.count.saturating_sub(1).max(1);
        let rank_cost_ms = self.options.order_limit_ms / last as f64;
        cost_ms += rank_cost_ms.min(self.options.rank_cost_ms) * place as f64;
        if candidate.known.info.availability_zone != self.availability_zone {
            cost_ms += self.options.other_zone_cost_ms;
        }
        let slots = candidate.known.slots();
        if load.running() >= slots {
            cost_ms += self.options.full_cost_ms;
        }
        if self.is_brisk {
            let roomy = f64::from(slots) * self.options.roomy_share;
            let crowding = (f64::from(load.running() + 1) - roomy).max(0.0);
            cost_ms += self.options.crowding_cost_ms * self.crowd_share * crowding;
        }
        cost_ms
    }

    /// Share of the answers whose pause gets too long, when the next pass is
    /// predicted to take this share of the pause.
    ///
    /// Grows with the square from the one bound to the other, as more parts may
    /// come into the same pass.
    fn broken_share(&self, pause_share: f64) -> f64 {
        let (safe, broken) = (self.options.safe_gap_share, self.options.broken_gap_share);
        let share = (pause_share - safe) / (broken - safe);
        share.clamp(0.0, 1.0).powi(2)
    }
}

/// Order by cost; the one that comes first goes before another that costs the same.
fn cheaper(one: (f64, usize), other: (f64, usize)) -> Ordering {
    one.0.total_cmp(&other.0).then(one.1.cmp(&other.1))
}

/// Time until a part is read by a candidate, in milliseconds.
pub(crate) fn read_after_ms(candidate: &Candidate<'_>, part_ms: f64) -> f64 {
    let load = &candidate.load;
    let pass_ms = pass_ms(candidate, load.writers, load.context_tokens);
    pass_ms / 2.0 + load.backlog_ms + part_ms
}

/// Time of one pass of a candidate's engine, in milliseconds.
pub(crate) fn pass_ms(candidate: &Candidate<'_>, writers: u32, context_tokens: u64) -> f64 {
    let figures = candidate.known.figures.as_ref();
    figures.map_or(0.0, |figures| figures.pass_ms(writers, context_tokens))
}
