//! Open-loop load generation from a schedule.
//!
//! One task starts requests at the scheduled times, and a task for each request
//! reads its answer, so a slow answer delays no other request. A request that
//! can't be sent because too many are in flight counts as a failure of the
//! generator, never of the daemon. The body of the next arrival is built before
//! it is due, so that building it does not add to its measured times.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use cyper::Client;

use crate::exchange::{ExchangeResult, OutgoingRequest, exchange};
use crate::requests::RequestFactory;
use crate::sample::{End, Sample, SampleKind};
use crate::schedule::{Arrival, Work};
use crate::times::LatencyHistogram;

/// Interval at which the number of requests in flight is polled at the end.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Raw measurements of a run.
#[derive(Debug)]
pub struct RunRecord {
    /// One sample for each request.
    pub samples: Vec<Sample>,
    /// Times between consecutive tokens, over all streams.
    pub inter_token_times: LatencyHistogram,
    /// Maximum number of requests in flight.
    pub in_flight_max: usize,
    /// Time from the start to the last answer.
    pub elapsed: Duration,
}

impl Default for RunRecord {
    fn default() -> Self {
        Self {
            samples: Vec::new(),
            inter_token_times: LatencyHistogram::new(),
            in_flight_max: 0,
            elapsed: Duration::ZERO,
        }
    }
}

/// State shared by the tasks of a run.
struct Run {
    client: Client,
    requests: RequestFactory,
    record: RefCell<RunRecord>,
    in_flight: Cell<usize>,
}

/// Sends `arrivals` with at most `concurrency_cap` requests in flight.
pub async fn generate(
    client: Client,
    requests: RequestFactory,
    concurrency_cap: usize,
    arrivals: impl Iterator<Item = Arrival>,
) -> RunRecord {
    let run = Rc::new(Run {
        client,
        requests,
        record: RefCell::default(),
        in_flight: Cell::new(0),
    });
    let start = Instant::now();
    for arrival in arrivals {
        let outgoing = run.requests.outgoing(&arrival);
        let due = start + arrival.at;
        sleep_until(due).await;
        let lateness = due.elapsed();
        if run.in_flight.get() >= concurrency_cap {
            run.record_not_sent(&arrival, lateness);
            continue;
        }
        let guard = InFlight::new(&run);
        let run = Rc::clone(&run);
        compio::runtime::spawn(async move {
            run.send(arrival, outgoing, lateness).await;
            drop(guard);
        })
        .detach();
    }
    while run.in_flight.get() > 0 {
        compio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    let mut record = run.record.take();
    record.elapsed = start.elapsed();
    record
}

async fn sleep_until(due: Instant) {
    let left = due.saturating_duration_since(Instant::now());
    if !left.is_zero() {
        compio::time::sleep(left).await;
    }
}

/// Guard that counts one request in flight until it is dropped.
struct InFlight(Rc<Run>);

impl InFlight {
    fn new(run: &Rc<Run>) -> Self {
        let in_flight = run.in_flight.get() + 1;
        run.in_flight.set(in_flight);
        let mut record = run.record.borrow_mut();
        record.in_flight_max = record.in_flight_max.max(in_flight);
        Self(Rc::clone(run))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

impl Run {
    async fn send(&self, arrival: Arrival, outgoing: OutgoingRequest, lateness: Duration) {
        let repetition = match &arrival.work {
            Work::Service(work) if work.repeat => Some(self.requests.repeat(&arrival, &outgoing)),
            Work::Service(_) | Work::Model(_) => None,
        };
        let exchanged = exchange(&self.client, outgoing).await;
        self.record_result(&arrival, exchanged, lateness, false);
        if let Some(outgoing) = repetition {
            let exchanged = exchange(&self.client, outgoing).await;
            self.record_result(&arrival, exchanged, Duration::ZERO, true);
        }
    }

    fn record_result(
        &self,
        arrival: &Arrival,
        exchanged: ExchangeResult,
        lateness: Duration,
        repeat: bool,
    ) {
        let kind = match &arrival.work {
            Work::Model(work) => SampleKind::Model {
                length_tokens: work.length_tokens,
            },
            Work::Service(_) => SampleKind::Service {
                key: self.requests.key(arrival),
                repeat,
                executions: exchanged.executions,
            },
        };
        let mut record = self.record.borrow_mut();
        for time in exchanged.inter_token_times {
            record.inter_token_times.add(time);
        }
        record.samples.push(Sample {
            class: arrival.class.clone(),
            organisation: arrival.organisation.clone(),
            kind,
            due: arrival.at,
            lateness,
            request_id: exchanged.request_id,
            first_token: exchanged.first_token,
            total: exchanged.total,
            tokens: exchanged.tokens,
            end: exchanged.end,
        });
    }

    fn record_not_sent(&self, arrival: &Arrival, lateness: Duration) {
        let exchanged = ExchangeResult {
            request_id: None,
            first_token: None,
            total: Duration::ZERO,
            inter_token_times: Vec::new(),
            tokens: 0,
            executions: None,
            end: End::GeneratorFailure {
                cause: "concurrency_cap",
            },
        };
        self.record_result(arrival, exchanged, lateness, false);
    }
}
