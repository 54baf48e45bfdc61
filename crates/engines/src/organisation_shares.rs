//! What each organisation uses of a service, over all daemons, and its fair share of it.
//!
//! The fair share is max-min: whoever needs less than an equal part gets all of it, and what it
//! leaves is lent to the others. Use is counted from the placements of all daemons that have not
//! ended, so that it needs no messages of its own and is forgotten with the work.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use mangofront_settings::process::ChoiceOptions;

use crate::precedence::{Caller, OrganisationHash};
use crate::work::{UpstreamKey, Work};

/// Time for which an organisation counts as having demand after it asked: longer than callers take
/// to return after a refusal.
const DEMAND_WINDOW: Duration = Duration::from_secs(5);

/// Maximum number of organisations whose demand is remembered, over all services.
const MAX_REMEMBERED: usize = 1_024;

/// Standard deviations by which numbers of requests are expected to fluctuate.
const DEVIATIONS: f64 = 2.0;

/// What a service can be short of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resource {
    /// Slots of the engines.
    Slots,
    /// Time to prefill prompts, in milliseconds.
    PrefillMs,
}

impl Resource {
    /// Stable code for logs.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Slots => "slots",
            Self::PrefillMs => "prefill_ms",
        }
    }
}

/// Use of an organisation above its fair share of a contended service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverShare {
    /// What the service is short of.
    pub resource: Resource,
    /// What the organisation has of it in use.
    pub in_use: u32,
    /// Its fair share.
    pub fair_share: u32,
}

/// Open work on a service.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Use {
    pub(crate) slots: f64,
    pub(crate) prefill_ms: f64,
}

impl Use {
    const fn of(&self, resource: Resource) -> f64 {
        match resource {
            Resource::Slots => self.slots,
            Resource::PrefillMs => self.prefill_ms,
        }
    }

    fn add(&mut self, other: Self) {
        self.slots += other.slots;
        self.prefill_ms += other.prefill_ms;
    }
}

/// What the engines of a service have, and how much of it is in use.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Supply {
    pub(crate) slots: u32,
    pub(crate) running: u32,
    /// Prefill work that the engines do within the target of the request at hand, in milliseconds.
    pub(crate) prefill_ms: f64,
    pub(crate) backlog_ms: f64,
}

impl Supply {
    /// Slots that may be in use without a newcomer finding none: their number fluctuates by its
    /// square root.
    fn usable_slots(&self) -> f64 {
        let slots = f64::from(self.slots);
        (slots - DEVIATIONS * slots.sqrt()).max(0.0)
    }

    /// Whether a newcomer can't count on a free slot.
    pub(crate) fn is_short_of_slots(&self) -> bool {
        f64::from(self.running) >= self.usable_slots()
    }

    /// What is contended, and how much of it there is to share.
    fn contended(&self) -> impl Iterator<Item = (Resource, f64)> {
        let slots = self.is_short_of_slots();
        let prefill = self.backlog_ms > self.prefill_ms;
        let slots = slots.then(|| (Resource::Slots, self.usable_slots()));
        let prefill = prefill.then_some((Resource::PrefillMs, self.prefill_ms));
        slots.into_iter().chain(prefill)
    }

    /// Whether anything is contended.
    pub(crate) fn is_contended(&self) -> bool {
        self.contended().next().is_some()
    }
}

/// When organisations last asked for a service.
#[derive(Debug, Default)]
pub(crate) struct RecentDemand {
    asked: HashMap<(String, OrganisationHash), Instant>,
}

impl RecentDemand {
    /// Records that an organisation asks for a service.
    pub(crate) fn record(&mut self, service: &str, organisation: OrganisationHash, now: Instant) {
        if organisation == 0 {
            return;
        }
        let key = (service.to_owned(), organisation);
        if self.asked.len() >= MAX_REMEMBERED && !self.asked.contains_key(&key) {
            self.asked.retain(|_, at| is_recent(*at, now));
            if self.asked.len() >= MAX_REMEMBERED {
                return;
            }
        }
        self.asked.insert(key, now);
    }

    /// Organisations that asked for a service within the window.
    fn of_service(&self, service: &str, now: Instant) -> impl Iterator<Item = OrganisationHash> {
        let asked = self.asked.iter();
        let recent = asked.filter(move |((of, _), at)| of == service && is_recent(**at, now));
        recent.map(|((_, organisation), _)| *organisation)
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < DEMAND_WINDOW
}

/// Open work on a service by organisation.
#[derive(Debug, Default)]
pub(crate) struct OrganisationShares {
    /// Sorted, so that sums do not depend on the random order of a hash map.
    uses: BTreeMap<OrganisationHash, Use>,
    /// Work without an organisation.
    unowned: Use,
    /// Priority of the most urgent open work.
    most_urgent: Option<u8>,
    /// Priority of the least urgent open work.
    least_urgent: Option<u8>,
}

impl OrganisationShares {
    /// Sums up the work at the upstreams of a service.
    pub(crate) fn new<'a>(
        service: &str,
        demand: &RecentDemand,
        work: impl Iterator<Item = &'a Work>,
        is_of_service: impl Fn(UpstreamKey) -> bool,
        now: Instant,
    ) -> Self {
        let asked = demand.of_service(service, now);
        let mut shares = Self {
            uses: asked.map(|one| (one, Use::default())).collect(),
            ..Self::default()
        };
        for work in work {
            let Some(used) = use_of(work, &is_of_service) else {
                continue;
            };
            shares.add(work.caller, used);
        }
        shares
    }

    /// Adds open work.
    pub(crate) fn add(&mut self, caller: Caller, used: Use) {
        match caller.organisation {
            0 => self.unowned.add(used),
            organisation => self.uses.entry(organisation).or_default().add(used),
        }
        let urgent = self.most_urgent.unwrap_or(u8::MAX);
        self.most_urgent = Some(urgent.min(caller.priority));
        self.least_urgent = self.least_urgent.max(Some(caller.priority));
    }

    /// Whether there is open work that is less urgent than `priority`.
    pub(crate) fn has_less_urgent(&self, priority: u8) -> bool {
        self.least_urgent.is_some_and(|urgent| urgent > priority)
    }

    /// Whether there is open work that is more urgent than `priority`.
    pub(crate) fn has_more_urgent(&self, priority: u8) -> bool {
        self.most_urgent.is_some_and(|urgent| urgent < priority)
    }

    /// Use and fair share of an organisation that asks for `request`, if it is above its share of
    /// something that is contended.
    pub(crate) fn over_share(
        &self,
        organisation: OrganisationHash,
        request: Use,
        supply: &Supply,
        options: &ChoiceOptions,
    ) -> Option<OverShare> {
        let own = self.uses.get(&organisation)?;
        if self.uses.len() < 2 {
            return None;
        }
        let is_above = |(resource, there_is): (Resource, f64)| {
            let shared = (there_is - self.unowned.of(resource)).max(0.0);
            let uses: Vec<f64> = self.uses.values().map(|one| one.of(resource)).collect();
            let fair_share = fair_share(&uses, shared)?;
            let equal_part = shared / uses.len() as f64;
            let allowed = options.organisation_share_factor * equal_part;
            // Chance alone puts half of equal organisations above their part.
            let chance = DEVIATIONS * (equal_part * request.of(resource)).sqrt();
            let in_use = own.of(resource);
            (in_use >= fair_share && in_use > allowed + chance).then_some(OverShare {
                resource,
                in_use: in_use as u32,
                fair_share: fair_share as u32,
            })
        };
        supply.contended().find_map(is_above)
    }
}

/// What a request uses at the upstreams of a service; `None` if it uses none of them.
fn use_of(work: &Work, is_of_service: impl Fn(UpstreamKey) -> bool) -> Option<Use> {
    let mut used = None;
    for (position, share) in work.shares.iter().enumerate() {
        if !is_of_service(share.upstream) {
            continue;
        }
        let used = used.get_or_insert(Use::default());
        if position == 0 || work.is_prefilling {
            used.slots += 1.0;
        }
        if work.is_prefilling {
            used.prefill_ms += share.prefill_ms;
        }
    }
    used
}

/// The max-min fair share of `there_is`: the level at which the sum of all uses, each cut at the
/// level, is what there is. `None` if that is enough for all.
#[must_use]
pub fn fair_share(uses: &[f64], there_is: f64) -> Option<f64> {
    let mut sorted = uses.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut left = there_is;
    for (position, one) in sorted.iter().enumerate() {
        let level = left / (sorted.len() - position) as f64;
        if *one >= level {
            return Some(level);
        }
        left -= one;
    }
    None
}
