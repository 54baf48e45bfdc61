//! Limits on saying the same thing again.
//!
//! An order that has to be repeated means that the engine fails to carry it
//! out, or that somebody else orders otherwise. Either way haste does harm: a
//! load takes an engine out of service.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use mangofront_settings::ids::{Incarnation, Revision};

use crate::message::Order;

/// Doublings after which a pause grows no more, so that it can't overflow.
const MAX_DOUBLINGS: u32 = 16;

/// Orders sent to one life of one engine under one configuration.
#[derive(Debug, Default)]
pub(crate) struct Repeats {
    scope: (Incarnation, Revision),
    sent: HashMap<Order, Sent>,
}

#[derive(Debug)]
struct Sent {
    times: u32,
    last: Instant,
}

impl Repeats {
    /// Forgets everything when the engine's life or the configuration is another.
    pub(crate) fn enter(&mut self, engine: Incarnation, revision: Revision) {
        if self.scope != (engine, revision) {
            self.scope = (engine, revision);
            self.sent.clear();
        }
    }

    /// Whether `order` may go out at `now`.
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

    /// Notes that `order` goes out at `now`.
    pub(crate) fn note(&mut self, order: &Order, now: Instant) {
        let sent = self.sent.entry(order.clone()).or_insert(Sent {
            times: 0,
            last: now,
        });
        sent.times = sent.times.saturating_add(1);
        sent.last = now;
    }
}
