//! Script of one run, drawn from a seed.

mod evacuations;

use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use http::StatusCode;
use mangofront_routes::{
    AllowedRegions, CallerLimits, Position, RetrySafety, Route, RouteTable, RouteTableParts,
    Service, Split, Upstream,
};
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};

use crate::daemon::{CHANGE_BOUND, DAEMONS, DaemonIndex, ZONES};
use crate::store::{CallOutcome, Phase};

/// Routes of a small configuration.
pub const SMALL_ROUTES: usize = 40;

/// Routes of a large configuration.
const LARGE_ROUTES: usize = 1_250;

/// Upstreams at the start.
pub const UPSTREAMS: usize = 30;

/// Daemons that the store serves throughout while it rejects others.
const SERVED_DAEMONS: usize = 2;

/// Usual bandwidth of a link, in bytes per second.
const LINK_BYTES_PER_S: f64 = 2_500_000.0;

/// Bandwidths of slow links, in bytes per second.
const NARROW_BYTES_PER_S: Range<f64> = 150_000.0..2_000_000.0;

/// Bursts in which upstreams leave.
const BURSTS: usize = 3;

/// Time range in which upstreams leave, in milliseconds.
const DEPARTURES_MS: Range<u64> = 1_500..4_000;

/// Time after the bound for which lateness is still measured.
const OBSERVED_AFTER: Duration = Duration::from_millis(300);

/// Time range of an outage of the store, in milliseconds.
const OUTAGE_MS: Range<u64> = 1_000..4_000;

/// Time from the store's recovery until live upstreams register again.
const RETURN_DELAY: Duration = Duration::from_secs(1);

/// Time from the store's recovery after which an upstream that did not register again must
/// be out of use.
const LAPSE_BOUND: Duration = Duration::from_millis(2_500);

/// Start of the first incarnation of every upstream, in Unix milliseconds.
const FIRST_INCARNATION_MS: u64 = 1_790_000_000_000;

/// Number of an upstream in its run.
pub type UpstreamNumber = usize;

/// Kinds of runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Family {
    /// The store rejects some daemons and serves the others.
    TurnedAway,
    /// The store rejects all daemons but one.
    OneServed,
    /// Links are slow or answers late, and no daemon is rejected.
    Narrow,
    /// All calls fail for a while.
    Outage,
    /// Zones are evacuated, while the store rejects daemons, is away, or is restored.
    Evacuation,
    /// Zones are evacuated right after the store was restored.
    EvacuationAfterRestore,
}

/// One action of an operator, the store or an upstream.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// Publishes the next version of the configuration.
    Configure { routes: usize },
    /// Registers an upstream.
    Register(UpstreamNumber),
    /// An upstream announces its shutdown.
    Leave(UpstreamNumber),
    /// Removes a registration.
    Remove(UpstreamNumber),
    /// The store drops its history.
    DropHistory,
    /// Has upstreams of a zone get no new work.
    Evacuate(usize),
    /// Has them get it again.
    EndEvacuation(usize),
    /// The store comes back from a copy that is older than any evacuation.
    Restore,
}

/// Properties of one daemon's link to the store.
#[derive(Debug)]
pub struct LinkPlan {
    pub bytes_per_s: f64,
    pub phases: Vec<Phase>,
}

/// How an upstream leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DepartureKind {
    /// It announces its shutdown.
    Announced,
    /// Its registration is removed without an announcement.
    Removed,
    /// Its registration lapses during an outage of the store.
    Lapsed,
}

/// Expected use of an upstream by every daemon.
#[derive(Debug, Clone, Copy)]
pub enum Expected {
    /// Not used once the bound after its departure has passed.
    Left(Departure),
    /// Used all the time.
    Kept,
}

/// The departure of an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Departure {
    pub kind: DepartureKind,
    pub at: Duration,
    /// Time after which no daemon may use it.
    pub bound: Duration,
}

/// Script of one run; times count from its start.
#[derive(Debug)]
pub struct Script {
    /// Description for the report.
    pub title: String,
    /// The steps, ordered by time.
    pub steps: Vec<(Duration, Step)>,
    pub links: Vec<LinkPlan>,
    /// Expectations for upstreams that were registered at the start.
    pub expected: Vec<(UpstreamNumber, Expected)>,
    pub evacuations: Vec<EvacuatedSpan>,
    /// When the store serves all daemons again and the script ends.
    pub end: Duration,
}

/// Time in which a zone is evacuated.
#[derive(Debug, Clone, Copy)]
pub struct EvacuatedSpan {
    pub zone: usize,
    pub from: Duration,
    pub until: Duration,
}

/// Which daemons the store rejects.
#[derive(Debug, Clone, Copy)]
enum RejectionPattern {
    Zone,
    Scattered,
    AllButFew,
}

/// When a large configuration is published, relative to the bursts.
#[derive(Debug, Clone, Copy)]
enum ConfigurationTiming {
    Before,
    Between,
    After,
}

impl Script {
    /// Draws the script of a seed.
    pub fn draw(family: Family, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        match family {
            Family::TurnedAway => departures(&mut random, draw_turned_away),
            Family::OneServed => departures(&mut random, draw_one_served),
            Family::Narrow => departures(&mut random, draw_narrow),
            Family::Outage => outage(&mut random),
            Family::Evacuation => evacuations::draw(&mut random),
            Family::EvacuationAfterRestore => evacuations::draw_after_restore(&mut random),
        }
    }
}

/// An upstream as it registers itself.
pub fn upstream(number: UpstreamNumber) -> Upstream {
    let service = ["assist-llm", "fleet-ops"][number % 2];
    let host = u8::try_from(number + 1).expect("a run has few upstreams");
    Upstream {
        id: format!("i-{number:03}"),
        started_at_ms: FIRST_INCARNATION_MS,
        service: service.to_owned(),
        address: SocketAddr::from(([10, 2, 64, host], 8168)),
        availability_zone: crate::daemon::zone(number % ZONES),
        slots: 16,
        registered_at: Position::default(),
        leaving: false,
        cold_left: None,
    }
}

/// A configuration with the given number of routes.
pub fn table(version: u64, routes: usize) -> RouteTable {
    let service = |name: &str| Service {
        probe_path: None,
        warm_up: None,
        name: name.to_owned(),
        connections_limit: 96,
        engine: None,
    };
    RouteTable::new(RouteTableParts {
        version,
        routes: (0..routes).map(route).collect(),
        services: vec![service("assist-llm"), service("fleet-ops")],
        limits: CallerLimits {
            body_limit_bytes: 100_000,
            idle_timeout: Duration::from_secs(15),
        },
        organisations: None,
    })
}

fn route(number: usize) -> Route {
    Route {
        name: format!("route-{number}"),
        host: format!("hall{}.example", number % 50),
        prefix: format!("/readings/{number}/"),
        safety: RetrySafety::Idempotent,
        timeout: Duration::from_secs(4),
        target: Duration::from_millis(300),
        priority: 1,
        splits: vec![Split {
            service: "fleet-ops".to_owned(),
            weight: 1,
        }],
        attempts: 2,
        needs_no_key: true,
        allowed_regions: AllowedRegions::Any,
    }
}

/// A run in which upstreams leave.
fn departures(
    random: &mut StdRng,
    draw_links: fn(&mut StdRng, Duration) -> (String, Vec<LinkPlan>),
) -> Script {
    let bursts = draw_bursts(random);
    let mut steps = Vec::new();
    let mut expected = Vec::new();
    let mut numbers: Vec<UpstreamNumber> = (0..UPSTREAMS).collect();
    numbers.shuffle(random);
    let mut next_new = UPSTREAMS;
    for burst in &bursts {
        for _ in 0..random.random_range(2..=4) {
            let number = numbers.pop().expect("more upstreams than leave");
            let departure = leave(random, number, *burst, &mut steps);
            expected.push((number, Expected::Left(departure)));
            steps.push((*burst, Step::Register(next_new)));
            next_new += 1;
        }
    }
    let timing = draw_configurations(random, &bursts, &mut steps);
    let last = bursts.last().copied().unwrap_or_default();
    let end = last + CHANGE_BOUND + OBSERVED_AFTER;
    let (links_title, links) = draw_links(random, end);
    steps.sort_by_key(|step| step.0);
    Script {
        title: format!(
            "{links_title}, {} leave, large configuration {timing:?}",
            expected.len()
        ),
        steps,
        links,
        expected,
        evacuations: Vec::new(),
        end,
    }
}

/// Times at which upstreams leave, in order.
fn draw_bursts(random: &mut StdRng) -> Vec<Duration> {
    let mut bursts: Vec<Duration> = (0..BURSTS)
        .map(|_| Duration::from_millis(random.random_range(DEPARTURES_MS)))
        .collect();
    bursts.sort();
    bursts
}

/// An upstream announces its shutdown and leaves later, or leaves without an announcement.
fn leave(
    random: &mut StdRng,
    number: UpstreamNumber,
    at: Duration,
    steps: &mut Vec<(Duration, Step)>,
) -> Departure {
    let kind = match random.random_bool(0.7) {
        true => DepartureKind::Announced,
        false => DepartureKind::Removed,
    };
    let gone_at = match kind {
        DepartureKind::Announced => {
            steps.push((at, Step::Leave(number)));
            at + Duration::from_millis(random.random_range(1_500..3_000))
        }
        DepartureKind::Removed | DepartureKind::Lapsed => at,
    };
    steps.push((gone_at, Step::Remove(number)));
    Departure {
        kind,
        at,
        bound: CHANGE_BOUND,
    }
}

/// Publishes a large configuration, and in some runs another version soon after it.
fn draw_configurations(
    random: &mut StdRng,
    bursts: &[Duration],
    steps: &mut Vec<(Duration, Step)>,
) -> ConfigurationTiming {
    let timings = [
        ConfigurationTiming::Before,
        ConfigurationTiming::Between,
        ConfigurationTiming::After,
    ];
    let timing = *timings.choose(random).expect("there are timings");
    let distance = Duration::from_millis(random.random_range(100..600));
    let at = match timing {
        ConfigurationTiming::Before => bursts[0] - distance,
        ConfigurationTiming::Between => (bursts[0] + bursts[1]) / 2,
        ConfigurationTiming::After => bursts[BURSTS - 1] + distance,
    };
    let large = Step::Configure {
        routes: LARGE_ROUTES,
    };
    steps.push((at, large));
    if random.random_bool(0.5) {
        let later = at + Duration::from_millis(random.random_range(200..1_000));
        steps.push((later, large));
    }
    timing
}

/// Links of a fleet of which the store rejects some daemons.
fn draw_turned_away(random: &mut StdRng, end: Duration) -> (String, Vec<LinkPlan>) {
    let patterns = [
        RejectionPattern::Zone,
        RejectionPattern::Scattered,
        RejectionPattern::AllButFew,
    ];
    let pattern = *patterns.choose(random).expect("there are patterns");
    let zone = random.random_range(0..ZONES);
    let mut indices: Vec<DaemonIndex> = (0..DAEMONS).collect();
    indices.shuffle(random);
    let is_of_zone = |index: &DaemonIndex| index % ZONES == zone;
    match pattern {
        RejectionPattern::Zone => indices.retain(|index| !is_of_zone(index)),
        RejectionPattern::Scattered | RejectionPattern::AllButFew => {}
    }
    let served: Vec<DaemonIndex> = indices.into_iter().take(SERVED_DAEMONS).collect();
    let mut links = Vec::new();
    let mut turned_away = 0;
    for index in 0..DAEMONS {
        let share = match pattern {
            RejectionPattern::Zone if is_of_zone(&index) => 1.0,
            RejectionPattern::Zone => 0.2,
            RejectionPattern::Scattered => 0.35,
            RejectionPattern::AllButFew => 1.0,
        };
        let is_turned_away = !served.contains(&index) && random.random_bool(share);
        turned_away += usize::from(is_turned_away);
        links.push(draw_link(random, end, is_turned_away));
    }
    (format!("{turned_away} turned away ({pattern:?})"), links)
}

/// Links of a fleet of which the store rejects all daemons but one.
fn draw_one_served(random: &mut StdRng, end: Duration) -> (String, Vec<LinkPlan>) {
    let served = random.random_range(0..DAEMONS);
    let links = (0..DAEMONS).map(|index| draw_link(random, end, index != served));
    ("all turned away but one".to_owned(), links.collect())
}

/// Link of a daemon that the store rejects for a while, or serves throughout.
fn draw_link(random: &mut StdRng, end: Duration, is_turned_away: bool) -> LinkPlan {
    let phases = match is_turned_away {
        true => vec![draw_failing_phase(random, end)],
        false => Vec::new(),
    };
    LinkPlan {
        bytes_per_s: LINK_BYTES_PER_S,
        phases,
    }
}

/// A period in which the calls of one daemon fail.
fn draw_failing_phase(random: &mut StdRng, end: Duration) -> Phase {
    let from = Duration::from_millis(random.random_range(100..1_500));
    let length = Duration::from_millis(random.random_range(4_000..8_000));
    Phase {
        from,
        until: (from + length).min(end),
        outcome: draw_failure(random),
    }
}

pub(crate) fn draw_failure(random: &mut StdRng) -> CallOutcome {
    match random.random_range(0..4) {
        0 => CallOutcome::Refused(StatusCode::SERVICE_UNAVAILABLE),
        1 => CallOutcome::Refused(StatusCode::TOO_MANY_REQUESTS),
        2 => CallOutcome::Failed,
        _ => CallOutcome::Silent,
    }
}

/// Links of a fleet with low bandwidth or late answers.
fn draw_narrow(random: &mut StdRng, end: Duration) -> (String, Vec<LinkPlan>) {
    let links = (0..DAEMONS).map(|_| LinkPlan {
        bytes_per_s: LINK_BYTES_PER_S,
        phases: vec![Phase {
            from: Duration::ZERO,
            until: end,
            outcome: match random.random_bool(0.8) {
                true => CallOutcome::Slow {
                    bytes_per_s: random.random_range(NARROW_BYTES_PER_S),
                },
                false => CallOutcome::Late {
                    delay_ms: random.random_range(50..650),
                },
            },
        }],
    });
    ("narrow links".to_owned(), links.collect())
}

/// A run in which the store is unavailable to every daemon.
fn outage(random: &mut StdRng) -> Script {
    let from = Duration::from_millis(OUTAGE_MS.start);
    let until = Duration::from_millis(OUTAGE_MS.end);
    let mut numbers: Vec<UpstreamNumber> = (0..UPSTREAMS).collect();
    numbers.shuffle(random);
    let (lapsing, lasting) = numbers.split_at(10);
    let (returning, gone) = lapsing.split_at(6);
    let mut steps = Vec::new();
    for number in lapsing {
        let at = Duration::from_millis(random.random_range(OUTAGE_MS.start + 500..OUTAGE_MS.end));
        steps.push((at, Step::Remove(*number)));
    }
    for number in returning {
        steps.push((until + RETURN_DELAY, Step::Register(*number)));
    }
    let has_history = random.random_bool(0.7);
    if !has_history {
        steps.push((until, Step::DropHistory));
    }
    steps.sort_by_key(|step| step.0);
    let kept = lasting.iter().chain(returning);
    let mut expected: Vec<(UpstreamNumber, Expected)> =
        kept.map(|number| (*number, Expected::Kept)).collect();
    let lapsed = Expected::Left(Departure {
        kind: DepartureKind::Lapsed,
        at: until,
        bound: LAPSE_BOUND,
    });
    expected.extend(gone.iter().map(|number| (*number, lapsed)));
    let is_uniform = random.random_bool(0.5);
    let outcome = draw_failure(random);
    let mut link = |_| LinkPlan {
        bytes_per_s: LINK_BYTES_PER_S,
        phases: vec![Phase {
            from,
            until,
            outcome: match is_uniform {
                true => outcome,
                false => draw_failure(random),
            },
        }],
    };
    let links = (0..DAEMONS).map(&mut link).collect();
    let outcomes = match is_uniform {
        true => format!("{outcome:?}"),
        false => "drawn for each daemon".to_owned(),
    };
    Script {
        title: format!("outage, calls: {outcomes}, history kept: {has_history}"),
        steps,
        links,
        expected,
        evacuations: Vec::new(),
        end: until + LAPSE_BOUND + OBSERVED_AFTER,
    }
}
