//! Upstreams in one daemon's view, and requests for them.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use futures_channel::mpsc::{UnboundedReceiver, unbounded};
use mangofront_engines::{ChoiceOptions, Demand, LoadUpdate, NoUpstream, Placement, Upstreams};
use mangofront_routes::Upstream;

use crate::figures::figures;

pub const SERVICE: &str = "assist-llm";

/// Salt of the daemon under test.
const SALT: u64 = 0x9E37_79B9_7F4A_7C15;

fn one_moment() -> Instant {
    static MOMENT: OnceLock<Instant> = OnceLock::new();
    *MOMENT.get_or_init(Instant::now)
}

pub fn upstream(number: usize, service: &str, zone: &str) -> Upstream {
    Upstream {
        id: format!("i-{number}"),
        started_at_ms: 1_000,
        service: service.to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 8_000 + number as u16)),
        availability_zone: zone.to_owned(),
        slots: 6,
        registered_at: number as u64,
        leaving: false,
    }
}

pub struct Fleet {
    pub upstreams: Upstreams,
    pub news: UnboundedReceiver<LoadUpdate>,
    pub listed: Vec<Upstream>,
}

impl Fleet {
    pub fn new(count: usize) -> Self {
        let listed = (0..count).map(|number| upstream(number, SERVICE, "hall-a"));
        Self::of(listed.collect())
    }

    /// A daemon that has run for a while.
    pub fn of(listed: Vec<Upstream>) -> Self {
        let options = ChoiceOptions {
            settling_time_ms: 0,
            ..ChoiceOptions::default()
        };
        Self::with_options(listed, options)
    }

    pub fn with_options(listed: Vec<Upstream>, options: ChoiceOptions) -> Self {
        let (tell, news) = unbounded();
        let upstreams = Upstreams::new(options, "hall-a".to_owned(), SALT, tell);
        let fleet = Self {
            upstreams,
            news,
            listed,
        };
        fleet.list(&fleet.listed);
        fleet
    }

    /// A daemon for which no time passes, so that what engines have to read stays the same
    /// however late the test runs.
    pub fn at_one_moment(count: usize) -> Self {
        let (tell, news) = unbounded();
        let options = ChoiceOptions {
            settling_time_ms: 0,
            ..ChoiceOptions::default()
        };
        let zone = "hall-a".to_owned();
        let upstreams = Upstreams::with_clock(options, zone, SALT, tell, one_moment);
        let listed = (0..count).map(|number| upstream(number, SERVICE, "hall-a"));
        let fleet = Self {
            upstreams,
            news,
            listed: listed.collect(),
        };
        fleet.list(&fleet.listed);
        fleet
    }

    pub fn list(&self, listed: &[Upstream]) {
        let engine = HashMap::from([(SERVICE.to_owned(), Rc::new(figures()))]);
        self.upstreams
            .set_published(listed.iter().cloned(), &engine);
    }

    pub fn place(&self, demand: &Demand) -> Result<Placement, NoUpstream> {
        self.upstreams.place(SERVICE, demand, &[])
    }

    pub fn told(&mut self) -> Vec<LoadUpdate> {
        let mut told = Vec::new();
        while let Ok(news) = self.news.try_recv() {
            told.push(news);
        }
        told
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
        request: 0,
        is_refusable: false,
        connected: HashSet::new(),
    }
}

pub fn question() -> Demand {
    demand(5_000, 250, 300)
}

pub fn review(prompt_tokens: u64) -> Demand {
    demand(prompt_tokens, 1_000, 2_500)
}

/// The same request once it has waited for engines with less to do.
pub fn after(demand: &Demand, time_ms: u64) -> Demand {
    Demand {
        elapsed: Duration::from_millis(time_ms),
        waited: Duration::from_millis(time_ms),
        ..demand.clone()
    }
}
