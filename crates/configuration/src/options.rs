//! Options of [`Platform`](crate::Platform), whose defaults keep to a budget of calls.
//!
//! The platform serves about 2,000 calls a second to all daemons together, and a pending
//! watch counts as one call. For each of the two values, a daemon that watches makes 20
//! watches and one plain read per minute while nothing changes; a daemon that receives
//! values from its peers makes only the plain read. A change adds one watch. The wait of
//! a watch is short so that a hung watch is detected within the wait and its margin, well
//! within the five seconds in which a change has to be in force.
//!
//! With 1,000 daemons that all watch, one run of the example `fleet` counted 40 calls per
//! minute and daemon while nothing changed, at most 1,003 calls in a second; 2,043 in the
//! second in which the service failed and 859 in the second of its return, with a change
//! in force everywhere 4.9 s after that. If all start in the same second they make 2,415
//! calls, which exceeds the budget; those that get status 429 pause and retry. Which
//! daemons watch is decided by the embedder, see
//! [`Platform::set_watching`](crate::Platform::set_watching).

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::change::PlatformChange;
use crate::check::{Checker, check_configuration};

/// Maximum length of a value, in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1024 * 1024;

/// Time for which a watch asks the service to wait for a change.
pub const DEFAULT_WAIT: Duration = Duration::from_secs(3);

/// Time after the end of its wait at which a watch counts as hung.
const DEFAULT_WATCH_MARGIN: Duration = Duration::from_secs(1);

/// Time limit of a plain read.
const DEFAULT_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Mean time between plain reads of one value.
pub const DEFAULT_PLAIN_INTERVAL: Duration = Duration::from_secs(60);

/// First pause after a failure; long enough that daemons that fail at the same moment
/// make about one call for each value in the following second.
const DEFAULT_BACKOFF_BASE: Duration = Duration::from_secs(1);

/// Maximum pause after failures; with it, 1,000 watching daemons make a calculated 530
/// calls a second to a service that is down, and get a change within 5 s of its return.
const DEFAULT_BACKOFF_CAP: Duration = Duration::from_secs(5);

/// Number of published values: configuration and instance list.
const PUBLISHED_VALUES: u64 = 2;

/// Calls per minute for both values by a daemon that watches, while nothing changes.
pub const CALLS_PER_MINUTE_WATCHING: u64 =
    PUBLISHED_VALUES * (60 / DEFAULT_WAIT.as_secs() + 60 / DEFAULT_PLAIN_INTERVAL.as_secs());

/// Calls per minute for both values by a daemon that doesn't watch.
pub const CALLS_PER_MINUTE_RELAYED: u64 = PUBLISHED_VALUES * 60 / DEFAULT_PLAIN_INTERVAL.as_secs();

/// Callback that receives each change.
pub type OnChange = Rc<dyn Fn(PlatformChange)>;

/// Options of a [`Platform`](crate::Platform).
#[derive(Clone)]
pub struct PlatformOptions {
    pub(crate) address: SocketAddr,
    pub(crate) wait: Duration,
    pub(crate) watch_margin: Duration,
    pub(crate) read_timeout: Duration,
    pub(crate) plain_interval: Duration,
    pub(crate) backoff_base: Duration,
    pub(crate) backoff_cap: Duration,
    pub(crate) watching: bool,
    pub(crate) checker: Checker,
    pub(crate) on_change: OnChange,
}

impl PlatformOptions {
    /// Returns a builder for the service at `address`, with every option at its default.
    pub fn builder(address: SocketAddr) -> PlatformOptionsBuilder {
        PlatformOptionsBuilder(Self {
            address,
            wait: DEFAULT_WAIT,
            watch_margin: DEFAULT_WATCH_MARGIN,
            read_timeout: DEFAULT_READ_TIMEOUT,
            plain_interval: DEFAULT_PLAIN_INTERVAL,
            backoff_base: DEFAULT_BACKOFF_BASE,
            backoff_cap: DEFAULT_BACKOFF_CAP,
            watching: true,
            checker: check_configuration,
            on_change: Rc::new(|change| log::info!("platform: {change}")),
        })
    }
}

impl fmt::Debug for PlatformOptions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PlatformOptions")
            .field("address", &self.address)
            .field("wait", &self.wait)
            .field("plain_interval", &self.plain_interval)
            .field("watching", &self.watching)
            .finish_non_exhaustive()
    }
}

/// Builder of [`PlatformOptions`].
#[derive(Debug, Clone)]
#[must_use]
pub struct PlatformOptionsBuilder(PlatformOptions);

impl PlatformOptionsBuilder {
    /// Sets the time for which a watch asks the service to wait for a change; 3 s by
    /// default.
    pub fn wait(mut self, wait: Duration) -> Self {
        self.0.wait = wait;
        self
    }

    /// Sets the time after the end of its wait at which a watch counts as hung; 1 s by
    /// default.
    pub fn watch_margin(mut self, margin: Duration) -> Self {
        self.0.watch_margin = margin;
        self
    }

    /// Sets the time limit of a plain read; 2 s by default.
    pub fn read_timeout(mut self, timeout: Duration) -> Self {
        self.0.read_timeout = timeout;
        self
    }

    /// Sets the mean time between plain reads of one value; 60 s by default.
    pub fn plain_interval(mut self, interval: Duration) -> Self {
        self.0.plain_interval = interval;
        self
    }

    /// Sets the first and the maximum pause after failures; 1 s and 5 s by default.
    pub fn backoff(mut self, base: Duration, cap: Duration) -> Self {
        self.0.backoff_base = base;
        self.0.backoff_cap = cap;
        self
    }

    /// Sets whether to watch from the start; true by default.
    pub fn watching(mut self, watching: bool) -> Self {
        self.0.watching = watching;
        self
    }

    /// Sets the checker of a configuration; [`check_configuration`] by default.
    pub fn checker(mut self, checker: Checker) -> Self {
        self.0.checker = checker;
        self
    }

    /// Sets the callback that receives each change; one that logs by default.
    ///
    /// It runs on the thread that uses the [`Platform`](crate::Platform), at a point where
    /// no state is borrowed, and may call the platform's methods.
    pub fn on_change(mut self, on_change: impl Fn(PlatformChange) + 'static) -> Self {
        self.0.on_change = Rc::new(on_change);
        self
    }

    /// Returns the options.
    #[must_use]
    pub fn build(self) -> PlatformOptions {
        self.0
    }
}
