//! Options of [`crate::Orders`].

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use mangofront_upstream::Connections;

use crate::change::OrderChange;
use crate::turn::LoadLimits;

/// Callback for every order that was sent; called while no internal state is
/// borrowed.
pub type OnChange = Rc<dyn Fn(OrderChange)>;

/// Options of [`crate::Orders::new`].
#[derive(Clone)]
pub struct OrdersOptions {
    pub(crate) connections: Connections,
    pub(crate) on_change: OnChange,
    pub(crate) view_lease: Duration,
    pub(crate) order_timeout: Duration,
    pub(crate) takeover_wait: Duration,
    pub(crate) poll_interval: Duration,
    pub(crate) backoff_base: Duration,
    pub(crate) backoff_cap: Duration,
    pub(crate) loading_limit: Duration,
    pub(crate) limits: LoadLimits,
}

impl fmt::Debug for OrdersOptions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OrdersOptions")
            .field("view_lease", &self.view_lease)
            .field("order_timeout", &self.order_timeout)
            .field("takeover_wait", &self.takeover_wait)
            .field("poll_interval", &self.poll_interval)
            .field("limits", &self.limits)
            .finish_non_exhaustive()
    }
}

impl OrdersOptions {
    /// Default options, with which changes are logged.
    pub fn builder(connections: Connections) -> OrdersOptionsBuilder {
        OrdersOptionsBuilder(Self {
            connections,
            on_change: Rc::new(|change| log::info!("orders: {change:?}")),
            view_lease: Duration::from_secs(3),
            order_timeout: Duration::from_secs(2),
            takeover_wait: Duration::from_secs(12),
            poll_interval: Duration::from_secs(1),
            backoff_base: Duration::from_secs(5),
            backoff_cap: Duration::from_secs(300),
            loading_limit: Duration::from_secs(600),
            limits: LoadLimits {
                loads_per_zone: 2,
                share_percent: 25,
            },
        })
    }
}

/// Builder of [`OrdersOptions`]; see [`OrdersOptions::builder`].
#[derive(Debug, Clone)]
#[must_use]
pub struct OrdersOptionsBuilder(OrdersOptions);

impl OrdersOptionsBuilder {
    /// Callback for every order that was sent.
    pub fn on_change(mut self, on_change: impl Fn(OrderChange) + 'static) -> Self {
        self.0.on_change = Rc::new(on_change);
        self
    }

    /// Time for which a view is valid; 3 s by default.
    pub fn view_lease(mut self, lease: Duration) -> Self {
        self.0.view_lease = lease;
        self
    }

    /// Timeout of a read of an engine's state and of an order; 2 s by default.
    pub fn order_timeout(mut self, timeout: Duration) -> Self {
        self.0.order_timeout = timeout;
        self
    }

    /// Time for which a newly responsible daemon waits before it sends orders to
    /// engines that ignore tokens; 12 s by default.
    ///
    /// Must be longer than the sum of the view's lease, the timeout of an order and
    /// the time within which daemons agree on which daemons are alive.
    pub fn takeover_wait(mut self, wait: Duration) -> Self {
        self.0.takeover_wait = wait;
        self
    }

    /// Interval between two reads of an engine's state; 1 s by default.
    pub fn poll_interval(mut self, interval: Duration) -> Self {
        self.0.poll_interval = interval;
        self
    }

    /// First and longest pause before the same order is repeated to the same
    /// incarnation of an engine; 5 s and 5 min by default.
    pub fn backoff(mut self, base: Duration, cap: Duration) -> Self {
        self.0.backoff_base = base;
        self.0.backoff_cap = cap;
        self
    }

    /// Time after which another order may be sent to an engine that is loading
    /// something of unknown origin; 10 min by default.
    pub fn loading_limit(mut self, limit: Duration) -> Self {
        self.0.loading_limit = limit;
        self
    }

    /// Limits of concurrent loads; 2 per availability zone and 25 percent by default.
    pub fn limits(mut self, limits: LoadLimits) -> Self {
        self.0.limits = limits;
        self
    }

    /// Returns the options.
    #[must_use]
    pub fn build(self) -> OrdersOptions {
        self.0
    }
}
