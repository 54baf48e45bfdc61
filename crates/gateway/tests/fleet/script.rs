//! What happens in one run, drawn from a seed.

use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use http::StatusCode;
use mangofront_routes::{
    CallerLimits, RetrySafety, Route, RouteTable, RouteTableParts, Service, Split, Upstream,
};
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};

use crate::daemon::{CHANGE_BOUND, DAEMONS, Place, ZONES};
use crate::store::{Stretch, Way};

/// Routes of a small configuration.
pub const SMALL_ROUTES: usize = 40;

/// Routes of a large configuration.
const LARGE_ROUTES: usize = 1_250;

/// Upstreams at the start.
pub const UPSTREAMS: usize = 30;

/// Daemons that the store serves throughout where it turns others away.
const SOUND_DAEMONS: usize = 2;

/// Speed of a usual link, in bytes per second.
const LINK_BYTES_PER_S: f64 = 2_500_000.0;

/// Speeds of narrow links, in bytes per second.
const NARROW_BYTES_PER_S: Range<f64> = 150_000.0..2_000_000.0;

/// Bursts in which upstreams leave.
const BURSTS: usize = 3;

/// Beginning and end of the time in which upstreams leave, in milliseconds.
const LEAVING_MS: Range<u64> = 1_500..4_000;

/// Time after the bound for which lateness is still watched.
const WATCHED_AFTER: Duration = Duration::from_millis(300);

/// Beginning and end of an outage of the store, in milliseconds.
const OUTAGE_MS: Range<u64> = 1_000..4_000;

/// Time from the store's return until live upstreams are registered again.
const RETURN_DELAY: Duration = Duration::from_secs(1);

/// Time from the store's return after which an upstream that has not returned is unused.
const LAPSE_BOUND: Duration = Duration::from_millis(2_500);

/// When the first life of every upstream started, in Unix milliseconds.
const FIRST_LIFE_MS: u64 = 1_790_000_000_000;

/// Number of an upstream in its run.
pub type Number = usize;

/// Kinds of runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Family {
    /// The store turns away some daemons and serves the others.
    TurnedAway,
    /// The store turns away all daemons but one.
    OneServed,
    /// Links are narrow or late, and nobody is turned away.
    Narrow,
    /// All calls fail for a while.
    Outage,
}

/// One step of the operators, the store or the upstreams.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// Publishes the next version of the configuration.
    Configure { routes: usize },
    /// Registers an upstream.
    Register(Number),
    /// An upstream says that it leaves.
    Leave(Number),
    /// A registration ends.
    Remove(Number),
    /// The store drops its history.
    DropHistory,
}

/// One daemon's line.
#[derive(Debug)]
pub struct LinePlan {
    pub bytes_per_s: f64,
    pub stretches: Vec<Stretch>,
}

/// How an upstream goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Farewell {
    /// It says that it leaves.
    Announced,
    /// Its registration is removed without a word.
    Removed,
    /// Its registration lapses while the store is away.
    Lapsed,
}

/// Use of an upstream that every daemon has to keep to.
#[derive(Debug, Clone, Copy)]
pub enum Expected {
    /// Used no more from the bound after its departure on.
    Left(Departure),
    /// Used all the time.
    Kept,
}

/// The departure of an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Departure {
    pub farewell: Farewell,
    pub at: Duration,
    /// Time after which no daemon uses it.
    pub bound: Duration,
}

/// One run; times count from its start.
#[derive(Debug)]
pub struct Script {
    /// What it is, for a report.
    pub title: String,
    /// Steps, in the order of their times.
    pub steps: Vec<(Duration, Step)>,
    pub lines: Vec<LinePlan>,
    /// What is expected of upstreams that were there at the start.
    pub expected: Vec<(Number, Expected)>,
    /// When the store serves everyone again, and the script ends.
    pub end: Duration,
}

/// Which daemons are turned away.
#[derive(Debug, Clone, Copy)]
enum Pattern {
    Zone,
    Scattered,
    AllButFew,
}

/// When a large configuration is published.
#[derive(Debug, Clone, Copy)]
enum Moment {
    Before,
    Between,
    After,
}

impl Script {
    /// Draws a run.
    pub fn draw(family: Family, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        match family {
            Family::TurnedAway => departures(&mut random, draw_turned_away),
            Family::OneServed => departures(&mut random, draw_one_served),
            Family::Narrow => departures(&mut random, draw_narrow),
            Family::Outage => outage(&mut random),
        }
    }
}

/// An upstream as it registers itself.
pub fn upstream(number: Number) -> Upstream {
    let service = ["assist-llm", "fleet-ops"][number % 2];
    let host = u8::try_from(number + 1).expect("a run has few upstreams");
    Upstream {
        id: format!("i-{number:03}"),
        started_at_ms: FIRST_LIFE_MS,
        service: service.to_owned(),
        address: SocketAddr::from(([10, 2, 64, host], 8168)),
        availability_zone: crate::daemon::zone(number % ZONES),
        slots: 16,
        registered_at: 0,
        leaving: false,
    }
}

/// A configuration of so many routes.
pub fn table(version: u64, routes: usize) -> RouteTable {
    let service = |name: &str| Service {
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
    }
}

/// A run in which upstreams leave.
fn departures(
    random: &mut StdRng,
    draw_lines: fn(&mut StdRng, Duration) -> (String, Vec<LinePlan>),
) -> Script {
    let bursts = draw_bursts(random);
    let mut steps = Vec::new();
    let mut expected = Vec::new();
    let mut numbers: Vec<Number> = (0..UPSTREAMS).collect();
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
    let moment = draw_configurations(random, &bursts, &mut steps);
    let last = bursts.last().copied().unwrap_or_default();
    let end = last + CHANGE_BOUND + WATCHED_AFTER;
    let (lines_title, lines) = draw_lines(random, end);
    steps.sort_by_key(|step| step.0);
    Script {
        title: format!(
            "{lines_title}, {} leave, large configuration {moment:?}",
            expected.len()
        ),
        steps,
        lines,
        expected,
        end,
    }
}

/// Times at which upstreams leave, in order.
fn draw_bursts(random: &mut StdRng) -> Vec<Duration> {
    let mut bursts: Vec<Duration> = (0..BURSTS)
        .map(|_| Duration::from_millis(random.random_range(LEAVING_MS)))
        .collect();
    bursts.sort();
    bursts
}

/// An upstream says that it leaves and goes later, or goes without a word.
fn leave(
    random: &mut StdRng,
    number: Number,
    at: Duration,
    steps: &mut Vec<(Duration, Step)>,
) -> Departure {
    let farewell = match random.random_bool(0.7) {
        true => Farewell::Announced,
        false => Farewell::Removed,
    };
    let gone_at = match farewell {
        Farewell::Announced => {
            steps.push((at, Step::Leave(number)));
            at + Duration::from_millis(random.random_range(1_500..3_000))
        }
        Farewell::Removed | Farewell::Lapsed => at,
    };
    steps.push((gone_at, Step::Remove(number)));
    Departure {
        farewell,
        at,
        bound: CHANGE_BOUND,
    }
}

/// A large configuration, and at times another version soon after it.
fn draw_configurations(
    random: &mut StdRng,
    bursts: &[Duration],
    steps: &mut Vec<(Duration, Step)>,
) -> Moment {
    let moments = [Moment::Before, Moment::Between, Moment::After];
    let moment = *moments.choose(random).expect("there are moments");
    let distance = Duration::from_millis(random.random_range(100..600));
    let at = match moment {
        Moment::Before => bursts[0] - distance,
        Moment::Between => (bursts[0] + bursts[1]) / 2,
        Moment::After => bursts[BURSTS - 1] + distance,
    };
    let large = Step::Configure {
        routes: LARGE_ROUTES,
    };
    steps.push((at, large));
    if random.random_bool(0.5) {
        let later = at + Duration::from_millis(random.random_range(200..1_000));
        steps.push((later, large));
    }
    moment
}

/// Lines of a fleet of which some daemons are turned away.
fn draw_turned_away(random: &mut StdRng, end: Duration) -> (String, Vec<LinePlan>) {
    let patterns = [Pattern::Zone, Pattern::Scattered, Pattern::AllButFew];
    let pattern = *patterns.choose(random).expect("there are patterns");
    let zone = random.random_range(0..ZONES);
    let mut places: Vec<Place> = (0..DAEMONS).collect();
    places.shuffle(random);
    let is_of_zone = |place: &Place| place % ZONES == zone;
    match pattern {
        Pattern::Zone => places.retain(|place| !is_of_zone(place)),
        Pattern::Scattered | Pattern::AllButFew => {}
    }
    let sound: Vec<Place> = places.into_iter().take(SOUND_DAEMONS).collect();
    let mut lines = Vec::new();
    let mut turned_away = 0;
    for place in 0..DAEMONS {
        let share = match pattern {
            Pattern::Zone if is_of_zone(&place) => 1.0,
            Pattern::Zone => 0.2,
            Pattern::Scattered => 0.35,
            Pattern::AllButFew => 1.0,
        };
        let is_turned_away = !sound.contains(&place) && random.random_bool(share);
        turned_away += usize::from(is_turned_away);
        lines.push(draw_line(random, end, is_turned_away));
    }
    (format!("{turned_away} turned away ({pattern:?})"), lines)
}

/// Lines of a fleet of which all daemons but one are turned away.
fn draw_one_served(random: &mut StdRng, end: Duration) -> (String, Vec<LinePlan>) {
    let served = random.random_range(0..DAEMONS);
    let lines = (0..DAEMONS).map(|place| draw_line(random, end, place != served));
    ("all turned away but one".to_owned(), lines.collect())
}

/// The line of a daemon that is turned away for a while, or served throughout.
fn draw_line(random: &mut StdRng, end: Duration, is_turned_away: bool) -> LinePlan {
    let stretches = match is_turned_away {
        true => vec![draw_stretch(random, end)],
        false => Vec::new(),
    };
    LinePlan {
        bytes_per_s: LINK_BYTES_PER_S,
        stretches,
    }
}

/// A time in which one daemon's calls go badly.
fn draw_stretch(random: &mut StdRng, end: Duration) -> Stretch {
    let from = Duration::from_millis(random.random_range(100..1_500));
    let length = Duration::from_millis(random.random_range(4_000..8_000));
    Stretch {
        from,
        until: (from + length).min(end),
        way: draw_bad_way(random),
    }
}

fn draw_bad_way(random: &mut StdRng) -> Way {
    match random.random_range(0..4) {
        0 => Way::Refused(StatusCode::SERVICE_UNAVAILABLE),
        1 => Way::Refused(StatusCode::TOO_MANY_REQUESTS),
        2 => Way::Failed,
        _ => Way::Silent,
    }
}

/// Lines of a fleet with narrow links, some of them late for a while.
fn draw_narrow(random: &mut StdRng, end: Duration) -> (String, Vec<LinePlan>) {
    let lines = (0..DAEMONS).map(|_| LinePlan {
        bytes_per_s: LINK_BYTES_PER_S,
        stretches: vec![Stretch {
            from: Duration::ZERO,
            until: end,
            way: match random.random_bool(0.8) {
                true => Way::Slow {
                    bytes_per_s: random.random_range(NARROW_BYTES_PER_S),
                },
                false => Way::Late {
                    delay_ms: random.random_range(50..650),
                },
            },
        }],
    });
    ("narrow links".to_owned(), lines.collect())
}

/// A run in which the store is away for everyone.
fn outage(random: &mut StdRng) -> Script {
    let from = Duration::from_millis(OUTAGE_MS.start);
    let until = Duration::from_millis(OUTAGE_MS.end);
    let mut numbers: Vec<Number> = (0..UPSTREAMS).collect();
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
    let mut expected: Vec<(Number, Expected)> =
        kept.map(|number| (*number, Expected::Kept)).collect();
    let lapsed = Expected::Left(Departure {
        farewell: Farewell::Lapsed,
        at: until,
        bound: LAPSE_BOUND,
    });
    expected.extend(gone.iter().map(|number| (*number, lapsed)));
    let is_uniform = random.random_bool(0.5);
    let way = draw_bad_way(random);
    let mut line = |_| LinePlan {
        bytes_per_s: LINK_BYTES_PER_S,
        stretches: vec![Stretch {
            from,
            until,
            way: match is_uniform {
                true => way,
                false => draw_bad_way(random),
            },
        }],
    };
    let lines = (0..DAEMONS).map(&mut line).collect();
    let ways = match is_uniform {
        true => format!("{way:?}"),
        false => "drawn for each daemon".to_owned(),
    };
    Script {
        title: format!("outage, calls: {ways}, history kept: {has_history}"),
        steps,
        lines,
        expected,
        end: until + LAPSE_BOUND + WATCHED_AFTER,
    }
}
