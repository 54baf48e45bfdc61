//! Options of the reader, and the budget of calls that their defaults keep.
//!
//! The platform serves about 2,000 calls a second to all its readers together,
//! and a waiting watch counts as one call. A daemon that watches makes, of each
//! of the two values, 20 watches and one plain read a minute while nothing
//! changes; one that learns by relay makes the plain read alone. A change adds
//! one watch. The short wait is on purpose: a watch that hangs in silence is
//! found within the wait and its margin, well inside the five seconds in which
//! a change must be in force.
//!
//! Measured with the example `fleet`, 1,000 readers that all watch, one run:
//! 40 calls a minute and reader while nothing changes, at most 1,003 calls in
//! a second; 2,043 in the second in which the service fell, 859 in the one of
//! its return, and a change everywhere 4.9 s after it. When all start in the
//! same second they make 2,415, past the budget; those that get 429 pause and
//! come again. Who watches is the
//! embedder's choice, [`Platform::set_watching`](crate::Platform::set_watching).

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::change::PlatformChange;
use crate::check::{Checker, check_configuration};

/// Largest value that is accepted, in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1024 * 1024;

/// Time that a watch asks the service to wait.
pub const DEFAULT_WAIT: Duration = Duration::from_secs(3);

/// Time past its wait after which a watch counts as hung.
const DEFAULT_WATCH_MARGIN: Duration = Duration::from_secs(1);

/// Longest time of a plain read.
const DEFAULT_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Mean time between plain reads of one value.
pub const DEFAULT_PLAIN_INTERVAL: Duration = Duration::from_secs(60);

/// First pause after a failure; so long that daemons that fail in the same
/// moment make about one call of each value in the second after it.
const DEFAULT_BACKOFF_BASE: Duration = Duration::from_secs(1);

/// Longest pause after failures; with it 1,000 watching daemons call a service
/// that is down some 530 times a second by computation, and have a change 5 s
/// after its return.
const DEFAULT_BACKOFF_CAP: Duration = Duration::from_secs(5);

/// Published values: configuration and instance list.
const VALUES: u64 = 2;

/// Steady calls a minute of a daemon that watches, both values together.
pub const CALLS_PER_MINUTE_WATCHING: u64 =
    VALUES * (60 / DEFAULT_WAIT.as_secs() + 60 / DEFAULT_PLAIN_INTERVAL.as_secs());

/// Steady calls a minute of a daemon that learns by relay, both values together.
pub const CALLS_PER_MINUTE_RELAYED: u64 = VALUES * 60 / DEFAULT_PLAIN_INTERVAL.as_secs();

/// Callback that is told each change.
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
    /// Options for the service at `address`, with every default.
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

/// Sets options one by one; see [`PlatformOptions::builder`].
#[derive(Debug, Clone)]
#[must_use]
pub struct PlatformOptionsBuilder(PlatformOptions);

impl PlatformOptionsBuilder {
    /// Time that a watch asks the service to wait; 3 s by default.
    pub fn wait(mut self, wait: Duration) -> Self {
        self.0.wait = wait;
        self
    }

    /// Time past its wait after which a watch counts as hung; 1 s by default.
    pub fn watch_margin(mut self, margin: Duration) -> Self {
        self.0.watch_margin = margin;
        self
    }

    /// Longest time of a plain read; 2 s by default.
    pub fn read_timeout(mut self, timeout: Duration) -> Self {
        self.0.read_timeout = timeout;
        self
    }

    /// Mean time between plain reads of one value; 60 s by default.
    pub fn plain_interval(mut self, interval: Duration) -> Self {
        self.0.plain_interval = interval;
        self
    }

    /// First and longest pause after failures; 1 s and 5 s by default.
    pub fn backoff(mut self, base: Duration, cap: Duration) -> Self {
        self.0.backoff_base = base;
        self.0.backoff_cap = cap;
        self
    }

    /// Whether to hold watches from the start; true by default.
    pub fn watching(mut self, watching: bool) -> Self {
        self.0.watching = watching;
        self
    }

    /// Checks of a configuration; [`check_configuration`] by default.
    pub fn checker(mut self, checker: Checker) -> Self {
        self.0.checker = checker;
        self
    }

    /// Callback that is told each change; one that logs by default.
    ///
    /// It runs on the calling thread between two steps, and may call the
    /// [`Platform`](crate::Platform).
    pub fn on_change(mut self, on_change: impl Fn(PlatformChange) + 'static) -> Self {
        self.0.on_change = Rc::new(on_change);
        self
    }

    /// The options.
    #[must_use]
    pub fn build(self) -> PlatformOptions {
        self.0
    }
}
