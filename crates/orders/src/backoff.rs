//! Exponential backoff for repeated orders.
//!
//! If an order has to be repeated, either the engine fails to carry it out or
//! another daemon sends conflicting orders. In both cases fast repetition is
//! harmful, as an engine serves no requests while it loads.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use mangofront_settings::ids::{Incarnation, Revision};

use crate::message::Order;

/// Most doublings of the pause, so that the factor can't overflow.
const MAX_DOUBLINGS: u32 = 16;

/// Orders sent to one incarnation of one engine under one configuration.
#[derive(Debug, Default)]
pub(crate) struct RepeatLimiter {
    scope: (Incarnation, Revision),
    sent: HashMap<Order, SentOrder>,
}

#[derive(Debug)]
struct SentOrder {
    times: u32,
    last: Instant,
}

impl RepeatLimiter {
    /// Clears the history when the engine's incarnation or the configuration changed.
    pub(crate) fn set_scope(&mut self, engine: Incarnation, revision: Revision) {
        if self.scope != (engine, revision) {
            self.scope = (engine, revision);
            self.sent.clear();
        }
    }

    /// Whether `order` may be sent at `now`.
    pub(crate) fn may_send(
        &self,
        order: &Order,
        (base, cap): (Duration, Duration),
        now: Instant,
    ) -> bool {
        let Some(sent) = self.sent.get(order) else {
            return true;
        };
        let doublings = sent.times.saturating_sub(1).min(MAX_DOUBLINGS);
        let pause = base.saturating_mul(2_u32.pow(doublings)).min(cap);
        now.saturating_duration_since(sent.last) >= pause
    }

    /// Records that `order` is sent at `now`.
    pub(crate) fn record_sent(&mut self, order: &Order, now: Instant) {
        let sent = self.sent.entry(order.clone()).or_insert(SentOrder {
            times: 0,
            last: now,
        });
        sent.times = sent.times.saturating_add(1);
        sent.last = now;
    }
}
