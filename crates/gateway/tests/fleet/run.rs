//! One run of a fleet, and what is measured in it.

use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::time::sleep;
use mangofront_engines::{UpstreamKey, key_of};
use mangofront_gateway::Source;
use mangofront_routes::Upstream;

use crate::daemon::{CHANGE_BOUND, DAEMONS, Daemon, Network, Place, View, name};
use crate::script::{
    Departure, Expected, Number, SMALL_ROUTES, Script, Step, UPSTREAMS, table, upstream,
};
use crate::store::{Line, Store};

/// Time between two looks at all views.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Time for the fleet to meet and to know all that is published.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Faults that a report names one by one.
const NAMED_FAULTS: usize = 12;

/// A running fleet.
struct Fleet {
    store: Rc<Store>,
    daemons: Vec<Daemon>,
}

/// Lateness of one daemon with one departure.
#[derive(Debug, Clone, Copy)]
struct Learning {
    place: Place,
    number: Number,
    lateness: Duration,
    departure: Departure,
}

/// What was seen in a run.
#[derive(Debug)]
pub struct Report {
    title: String,
    learnings: Vec<Learning>,
    /// Longest time by which a look at the views was late.
    loop_lag: Duration,
    calls: u64,
    /// Time from the end of the script until all views were equal.
    settled_after: Option<Duration>,
    pub faults: Vec<String>,
}

/// What is watched of one upstream.
#[derive(Debug)]
struct Watched {
    number: Number,
    key: UpstreamKey,
    expected: Expected,
    /// By place, the last moment at which it took work there.
    worked_at: Vec<Duration>,
    /// By place, the first moment at which it took none.
    idle_at: Vec<Option<Duration>>,
}

/// Plays a script.
pub async fn play(script: Script) -> Report {
    let fleet = Fleet::start(&script).await;
    let mut watched: Vec<Watched> = script.expected.iter().map(Watched::new).collect();
    let calls_before = fleet.store.calls();
    let started = fleet.store.start_script();
    let mut steps = script.steps.iter().peekable();
    let mut loop_lag = Duration::ZERO;
    while started.elapsed() < script.end {
        while let Some((_, step)) = steps.next_if(|step| step.0 <= started.elapsed()) {
            fleet.carry_out(*step);
        }
        fleet.look(&mut watched, started);
        loop_lag = loop_lag.max(sleep_late().await);
    }
    let settled_after = fleet.settle(&mut watched, started).await;
    let mut report = Report {
        title: script.title,
        learnings: watched.iter().flat_map(Watched::learnings).collect(),
        loop_lag,
        calls: fleet.store.calls() - calls_before,
        settled_after,
        faults: Vec::new(),
    };
    report.judge(&watched, &fleet);
    for daemon in &fleet.daemons {
        daemon.stop();
    }
    report
}

/// Sleeps until the next look; how much later it ended.
async fn sleep_late() -> Duration {
    let until = Instant::now() + POLL_PERIOD;
    sleep(POLL_PERIOD).await;
    until.elapsed()
}

impl Fleet {
    /// Starts all daemons and waits until each has met the others and knows all.
    async fn start(script: &Script) -> Self {
        let store: Rc<Store> = Rc::default();
        store.configure(table(1, SMALL_ROUTES));
        for number in 0..UPSTREAMS {
            store.register(&upstream(number));
        }
        let network = Network::free();
        let mut daemons = Vec::with_capacity(DAEMONS);
        for (place, plan) in script.lines.iter().enumerate() {
            let store = Rc::clone(&store);
            let line = Line::new(store, plan.bytes_per_s, plan.stretches.clone());
            let source: Rc<dyn Source> = Rc::new(line);
            daemons.push(Daemon::start(network, place, source).await);
        }
        let fleet = Self { store, daemons };
        fleet.wait_for_start().await;
        fleet
    }

    async fn wait_for_start(&self) {
        let started = Instant::now();
        while !(self.daemons.iter().all(Daemon::sees_all) && self.differing().is_empty()) {
            assert!(started.elapsed() < START_TIMEOUT, "the fleet did not start");
            sleep(POLL_PERIOD).await;
        }
    }

    fn carry_out(&self, step: Step) {
        match step {
            Step::Configure { routes } => {
                let version = self.store.version().unwrap_or_default() + 1;
                self.store.configure(table(version, routes));
            }
            Step::Register(number) => self.store.register(&upstream(number)),
            Step::Leave(number) => self.store.register(&Upstream {
                leaving: true,
                ..upstream(number)
            }),
            Step::Remove(number) => self.store.remove(&upstream(number).id),
            Step::DropHistory => self.store.drop_history(),
        }
    }

    /// Notes which upstreams take work at which daemon.
    fn look(&self, watched: &mut [Watched], started: Instant) {
        for one in watched {
            for (place, daemon) in self.daemons.iter().enumerate() {
                one.note(place, daemon.takes_work(one.key), started.elapsed());
            }
        }
    }

    /// Waits until all views are equal, and the bound at most.
    async fn settle(&self, watched: &mut [Watched], started: Instant) -> Option<Duration> {
        let ended = Instant::now();
        while ended.elapsed() < CHANGE_BOUND {
            self.look(watched, started);
            if self.differing().is_empty() {
                return Some(ended.elapsed());
            }
            sleep(POLL_PERIOD).await;
        }
        None
    }

    /// Daemons that have something else in force than what is published.
    fn differing(&self) -> Vec<Place> {
        let upstreams = self.store.upstreams().into_iter();
        let published = View {
            version: self.store.version(),
            upstreams: upstreams
                .map(|upstream| (upstream.id, upstream.leaving))
                .collect(),
        };
        let differs = |place: &Place| self.daemons[*place].view() != published;
        (0..DAEMONS).filter(differs).collect()
    }
}

impl Watched {
    fn new((number, expected): &(Number, Expected)) -> Self {
        Self {
            number: *number,
            key: key_of(&upstream(*number)),
            expected: *expected,
            worked_at: vec![Duration::ZERO; DAEMONS],
            idle_at: vec![None; DAEMONS],
        }
    }

    fn note(&mut self, place: Place, takes_work: bool, at: Duration) {
        match takes_work {
            true => self.worked_at[place] = at,
            false => {
                self.idle_at[place].get_or_insert(at);
            }
        }
    }

    fn learnings(&self) -> Vec<Learning> {
        let Expected::Left(departure) = self.expected else {
            return Vec::new();
        };
        let learning = |(place, worked_at): (Place, &Duration)| Learning {
            place,
            number: self.number,
            lateness: worked_at.saturating_sub(departure.at),
            departure,
        };
        self.worked_at.iter().enumerate().map(learning).collect()
    }

    /// Daemons that left out an upstream that was there all the time.
    fn wrongly_idle(&self) -> Vec<(Place, Duration)> {
        match self.expected {
            Expected::Left(_) => Vec::new(),
            Expected::Kept => {
                let idle = self.idle_at.iter().enumerate();
                idle.filter_map(|(place, at)| Some((place, (*at)?)))
                    .collect()
            }
        }
    }
}

impl Report {
    /// Notes what broke a bound; of departures the latest ones first.
    fn judge(&mut self, watched: &[Watched], fleet: &Fleet) {
        if self.settled_after.is_none() {
            let differing: Vec<String> = fleet.differing().into_iter().map(name).collect();
            let differing = differing.join(", ");
            let fault = format!("out of step {CHANGE_BOUND:?} after all were served: {differing}");
            self.faults.push(fault);
        }
        for one in watched {
            let idle = one.wrongly_idle().into_iter();
            self.faults.extend(idle.map(|(place, at)| {
                let (daemon, number) = (name(place), one.number);
                format!("{daemon} left out live upstream {number} at {at:.2?}")
            }));
        }
        let mut late: Vec<&Learning> = self.learnings.iter().filter(|one| one.is_late()).collect();
        late.sort_by_key(|learning| std::cmp::Reverse(learning.lateness));
        self.faults
            .extend(late.into_iter().map(Learning::to_string));
    }

    /// Lateness that a share of the learnings does not exceed.
    fn quantile(&self, share: f64) -> Duration {
        let mut sorted: Vec<Duration> = self.learnings.iter().map(|one| one.lateness).collect();
        sorted.sort();
        let rank = (sorted.len() as f64 * share).ceil() as usize;
        let index = rank.clamp(1, sorted.len().max(1)) - 1;
        sorted.get(index).copied().unwrap_or_default()
    }
}

impl Learning {
    fn is_late(&self) -> bool {
        self.lateness > self.departure.bound
    }
}

impl fmt::Display for Learning {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} used upstream {} for {:.2?} after its departure ({:?}, bound {:?})",
            name(self.place),
            self.number,
            self.lateness,
            self.departure.farewell,
            self.departure.bound
        )
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{}: {} learnings, lateness p99 {:.2?}, largest {:.2?}; {} faults; \
             settled after {:.2?}; {} calls; event loop late by {:.0?} at most",
            self.title,
            self.learnings.len(),
            self.quantile(0.99),
            self.quantile(1.0),
            self.faults.len(),
            self.settled_after,
            self.calls,
            self.loop_lag,
        )?;
        for fault in self.faults.iter().take(NAMED_FAULTS) {
            writeln!(formatter, "    {fault}")?;
        }
        Ok(())
    }
}
