//! Upstreams as one daemon sees them, and requests for them.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use futures_channel::mpsc::{UnboundedReceiver, unbounded};
use mangofront_engines::{
    Caller, ChoiceOptions, Clock, Demand, LoadUpdate, NoUpstream, Placement, Upstreams,
};
use mangofront_routes::{AllowedRegions, Position, Upstream};

use crate::profile::engine_profile;

pub const SERVICE: &str = "assist-llm";

/// Salt of the daemon under test.
const SALT: u64 = 0x9E37_79B9_7F4A_7C15;

fn fixed_clock() -> Instant {
    static NOW: OnceLock<Instant> = OnceLock::new();
    *NOW.get_or_init(Instant::now)
}

pub fn upstream(number: usize, service: &str, zone: &str) -> Upstream {
    Upstream {
        id: format!("i-{number}"),
        started_at_ms: 1_000,
        service: service.to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 8_000 + number as u16)),
        availability_zone: zone.to_owned(),
        slots: 6,
        registered_at: Position::new(0, number as u64),
        leaving: false,
        cold_left: None,
    }
}

pub struct Fleet {
    pub upstreams: Upstreams,
    pub updates: UnboundedReceiver<LoadUpdate>,
    pub listed: Vec<Upstream>,
}

impl Fleet {
    pub fn new(count: usize) -> Self {
        let listed = (0..count).map(|number| upstream(number, SERVICE, "hall-a"));
        Self::of(listed.collect())
    }

    /// A daemon whose settling time is over.
    pub fn of(listed: Vec<Upstream>) -> Self {
        let options = ChoiceOptions {
            settling_time_ms: 0,
            organisation_share_factor: 1.0,
            ..ChoiceOptions::default()
        };
        Self::with_options(listed, options)
    }

    pub fn with_options(listed: Vec<Upstream>, options: ChoiceOptions) -> Self {
        let (sender, updates) = unbounded();
        let upstreams = Upstreams::new(options, "hall-a".to_owned(), SALT, sender);
        let fleet = Self {
            upstreams,
            updates,
            listed,
        };
        fleet.publish(&fleet.listed);
        fleet
    }

    /// A daemon with a clock that stands still, so that the engines' backlog does not depend on how
    /// long the test runs.
    pub fn with_fixed_clock(count: usize) -> Self {
        let options = ChoiceOptions {
            settling_time_ms: 0,
            organisation_share_factor: 1.0,
            ..ChoiceOptions::default()
        };
        Self::with_fixed_clock_and_options(count, options)
    }

    /// A daemon whose settling time is over, with another clock.
    pub fn with_clock(count: usize, clock: Clock) -> Self {
        let options = ChoiceOptions {
            settling_time_ms: 0,
            ..ChoiceOptions::default()
        };
        Self::with_clock_and_options(count, options, clock)
    }

    pub fn with_fixed_clock_and_options(count: usize, options: ChoiceOptions) -> Self {
        Self::with_clock_and_options(count, options, fixed_clock)
    }

    fn with_clock_and_options(count: usize, options: ChoiceOptions, clock: Clock) -> Self {
        let (sender, updates) = unbounded();
        let zone = "hall-a".to_owned();
        let upstreams = Upstreams::with_clock(options, zone, SALT, sender, clock);
        let listed = (0..count).map(|number| upstream(number, SERVICE, "hall-a"));
        let fleet = Self {
            upstreams,
            updates,
            listed: listed.collect(),
        };
        fleet.publish(&fleet.listed);
        fleet
    }

    pub fn publish(&self, listed: &[Upstream]) {
        self.publish_unconfirmed(listed, &[]);
    }

    /// Publishes upstreams, of which those in `unconfirmed` may have left.
    pub fn publish_unconfirmed(&self, listed: &[Upstream], unconfirmed: &[usize]) {
        let engine = HashMap::from([(SERVICE.to_owned(), Rc::new(engine_profile()))]);
        let unconfirmed: Vec<&String> = unconfirmed.iter().map(|one| &listed[*one].id).collect();
        let is_unconfirmed = |id: &String| unconfirmed.contains(&id);
        self.upstreams
            .set_published(listed.iter().cloned(), &engine, is_unconfirmed);
    }

    pub fn place(&self, demand: &Demand) -> Result<Placement, NoUpstream> {
        self.upstreams.place(SERVICE, demand, &[])
    }

    pub fn sent_updates(&mut self) -> Vec<LoadUpdate> {
        let mut sent = Vec::new();
        while let Ok(update) = self.updates.try_recv() {
            sent.push(update);
        }
        sent
    }
}

pub fn demand(prompt_tokens: u64, gap_ms: u64, target_ms: u64) -> Demand {
    Demand {
        prompt_tokens,
        answer_limit_tokens: 1_000,
        gap: Duration::from_millis(gap_ms),
        target: Duration::from_millis(target_ms),
        elapsed: Duration::ZERO,
        waited: Duration::ZERO,
        time_left: Duration::from_secs(10),
        caller: Caller::default(),
        request: 0,
        is_refusable: false,
        connected: HashSet::new(),
        prompt_parts: Rc::default(),
        allowed_regions: AllowedRegions::Any,
    }
}

pub fn short_request() -> Demand {
    demand(5_000, 250, 300)
}

pub fn long_request(prompt_tokens: u64) -> Demand {
    demand(prompt_tokens, 1_000, 2_500)
}

/// The same request after being held for `time_ms`.
pub fn after_waiting(demand: &Demand, time_ms: u64) -> Demand {
    Demand {
        elapsed: Duration::from_millis(time_ms),
        waited: Duration::from_millis(time_ms),
        ..demand.clone()
    }
}
