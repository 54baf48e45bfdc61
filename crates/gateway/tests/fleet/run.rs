//! Plays a script with a fleet and measures the result.

use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::time::sleep;
use mangofront_engines::{UpstreamKey, key_of};
use mangofront_gateway::Source;
use mangofront_routes::Upstream;

use crate::daemon::{CHANGE_BOUND, DAEMONS, Daemon, DaemonIndex, Network, View, name, zone};
use crate::evacuation_check::EvacuationCheck;
use crate::script::{
    Departure, Expected, SMALL_ROUTES, Script, Step, UPSTREAMS, UpstreamNumber, table, upstream,
};
use crate::store::{Link, Store};

/// Time between two checks of all daemons.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Time for the daemons to find each other and learn all published values.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Faults that a report lists.
const LISTED_FAULTS: usize = 12;

/// A running fleet.
struct Fleet {
    store: Rc<Store>,
    daemons: Vec<Daemon>,
}

/// Time that one daemon took to learn of one departure.
#[derive(Debug, Clone, Copy)]
struct DepartureLag {
    index: DaemonIndex,
    number: UpstreamNumber,
    lateness: Duration,
    departure: Departure,
}

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    title: String,
    lags: Vec<DepartureLag>,
    /// Longest delay of a check.
    loop_lag: Duration,
    calls: u64,
    /// Time from the end of the script until all views were equal.
    settled_after: Option<Duration>,
    pub faults: Vec<String>,
}

/// Observations of one upstream.
#[derive(Debug)]
struct UpstreamObservation {
    number: UpstreamNumber,
    key: UpstreamKey,
    expected: Expected,
    /// For each daemon, the last moment at which it would select the upstream.
    last_selected_at: Vec<Duration>,
    /// For each daemon, the first moment at which it would not.
    first_unselected_at: Vec<Option<Duration>>,
}

/// Plays a script.
pub async fn play(script: Script) -> Report {
    let fleet = Fleet::start(&script).await;
    let mut observations: Vec<UpstreamObservation> = script
        .expected
        .iter()
        .map(UpstreamObservation::new)
        .collect();
    let calls_before = fleet.store.calls();
    let started = fleet.store.start_script();
    let mut steps = script.steps.iter().peekable();
    let mut loop_lag = Duration::ZERO;
    let mut evacuations = EvacuationCheck::new(&script.evacuations);
    while started.elapsed() < script.end {
        while let Some((_, step)) = steps.next_if(|step| step.0 <= started.elapsed()) {
            fleet.apply_step(*step);
        }
        fleet.observe(&mut observations, started);
        evacuations.observe(&fleet.daemons, started.elapsed());
        loop_lag = loop_lag.max(sleep_and_measure_delay().await);
    }
    let settled_after = fleet.settle(&mut observations, started).await;
    let mut report = Report {
        title: script.title,
        lags: observations
            .iter()
            .flat_map(UpstreamObservation::lags)
            .collect(),
        loop_lag,
        calls: fleet.store.calls() - calls_before,
        settled_after,
        faults: evacuations.faults(),
    };
    report.collect_faults(&observations, &fleet);
    for daemon in &fleet.daemons {
        daemon.stop();
    }
    report
}

/// Sleeps until the next check; returns how late it woke up.
async fn sleep_and_measure_delay() -> Duration {
    let until = Instant::now() + POLL_PERIOD;
    sleep(POLL_PERIOD).await;
    until.elapsed()
}

impl Fleet {
    /// Starts all daemons and waits until each one sees the others and knows all values.
    async fn start(script: &Script) -> Self {
        let store: Rc<Store> = Rc::default();
        store.configure(table(1, SMALL_ROUTES));
        for number in 0..UPSTREAMS {
            store.register(&upstream(number));
        }
        let network = Network::free();
        let mut daemons = Vec::with_capacity(DAEMONS);
        for (index, plan) in script.links.iter().enumerate() {
            let store = Rc::clone(&store);
            let link = Link::new(store, plan.bytes_per_s, plan.phases.clone());
            let source: Rc<dyn Source> = Rc::new(link);
            daemons.push(Daemon::start(network, index, source).await);
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

    fn apply_step(&self, step: Step) {
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
            Step::Evacuate(number) => self.store.evacuate(zone(number)),
            Step::EndEvacuation(number) => self.store.end_evacuation(zone(number)),
            Step::Restore => self.store.restore(),
        }
    }

    /// Records which daemons would select which upstreams.
    fn observe(&self, observations: &mut [UpstreamObservation], started: Instant) {
        for observation in observations {
            for (index, daemon) in self.daemons.iter().enumerate() {
                observation.record(
                    index,
                    daemon.accepts_work(observation.key),
                    started.elapsed(),
                );
            }
        }
    }

    /// Waits until all views are equal, for at most the bound.
    async fn settle(
        &self,
        observations: &mut [UpstreamObservation],
        started: Instant,
    ) -> Option<Duration> {
        let ended = Instant::now();
        while ended.elapsed() < CHANGE_BOUND {
            self.observe(observations, started);
            if self.differing().is_empty() {
                return Some(ended.elapsed());
            }
            sleep(POLL_PERIOD).await;
        }
        None
    }

    /// Daemons whose values in force differ from the published ones.
    fn differing(&self) -> Vec<DaemonIndex> {
        let upstreams = self.store.upstreams().into_iter();
        let published = View {
            version: self.store.version(),
            upstreams: upstreams
                .map(|upstream| (upstream.id, upstream.leaving))
                .collect(),
        };
        let differs = |index: &DaemonIndex| self.daemons[*index].view() != published;
        (0..DAEMONS).filter(differs).collect()
    }
}

impl UpstreamObservation {
    fn new((number, expected): &(UpstreamNumber, Expected)) -> Self {
        Self {
            number: *number,
            key: key_of(&upstream(*number)),
            expected: *expected,
            last_selected_at: vec![Duration::ZERO; DAEMONS],
            first_unselected_at: vec![None; DAEMONS],
        }
    }

    fn record(&mut self, index: DaemonIndex, accepts_work: bool, at: Duration) {
        match accepts_work {
            true => self.last_selected_at[index] = at,
            false => {
                self.first_unselected_at[index].get_or_insert(at);
            }
        }
    }

    fn lags(&self) -> Vec<DepartureLag> {
        let Expected::Left(departure) = self.expected else {
            return Vec::new();
        };
        let lag = |(index, last_selected_at): (DaemonIndex, &Duration)| DepartureLag {
            index,
            number: self.number,
            lateness: last_selected_at.saturating_sub(departure.at),
            departure,
        };
        self.last_selected_at.iter().enumerate().map(lag).collect()
    }

    /// Daemons that stopped using an upstream although it was there all the time.
    fn wrongly_unused(&self) -> Vec<(DaemonIndex, Duration)> {
        match self.expected {
            Expected::Left(_) => Vec::new(),
            Expected::Kept => {
                let unused = self.first_unselected_at.iter().enumerate();
                unused
                    .filter_map(|(index, at)| Some((index, (*at)?)))
                    .collect()
            }
        }
    }
}

impl Report {
    /// Collects the violated bounds; departures are listed from the latest one on.
    fn collect_faults(&mut self, observations: &[UpstreamObservation], fleet: &Fleet) {
        if self.settled_after.is_none() {
            let differing: Vec<String> = fleet.differing().into_iter().map(name).collect();
            let differing = differing.join(", ");
            let fault =
                format!("values still differ {CHANGE_BOUND:?} after the script: {differing}");
            self.faults.push(fault);
        }
        for observation in observations {
            let unused = observation.wrongly_unused().into_iter();
            self.faults.extend(unused.map(|(index, at)| {
                let (daemon, number) = (name(index), observation.number);
                format!("{daemon} stopped using live upstream {number} at {at:.2?}")
            }));
        }
        let mut late: Vec<&DepartureLag> = self.lags.iter().filter(|lag| lag.is_late()).collect();
        late.sort_by_key(|lag| std::cmp::Reverse(lag.lateness));
        self.faults
            .extend(late.into_iter().map(DepartureLag::to_string));
    }

    /// Quantile of the lateness.
    fn quantile(&self, share: f64) -> Duration {
        let mut sorted: Vec<Duration> = self.lags.iter().map(|lag| lag.lateness).collect();
        sorted.sort();
        let rank = (sorted.len() as f64 * share).ceil() as usize;
        let index = rank.clamp(1, sorted.len().max(1)) - 1;
        sorted.get(index).copied().unwrap_or_default()
    }
}

impl DepartureLag {
    fn is_late(&self) -> bool {
        self.lateness > self.departure.bound
    }
}

impl fmt::Display for DepartureLag {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} used upstream {} for {:.2?} after its departure ({:?}, bound {:?})",
            name(self.index),
            self.number,
            self.lateness,
            self.departure.kind,
            self.departure.bound
        )
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{}: {} departures observed, lateness p99 {:.2?}, largest {:.2?}; {} faults; \
             settled after {:.2?}; {} calls; event loop late by {:.0?} at most",
            self.title,
            self.lags.len(),
            self.quantile(0.99),
            self.quantile(1.0),
            self.faults.len(),
            self.settled_after,
            self.calls,
            self.loop_lag,
        )?;
        for fault in self.faults.iter().take(LISTED_FAULTS) {
            writeln!(formatter, "    {fault}")?;
        }
        Ok(())
    }
}
