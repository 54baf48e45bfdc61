//! What a daemon that starts has to hear from others before it acts.
//!
//! A source that was restored from an older copy tells a daemon that starts of keys that were
//! revoked since, and of upstreams that have left. Daemons that were running know better, and a
//! version that one of them tells replaces the source's older one. So a daemon that starts is not
//! ready until others have replied, and requests with a key that reach it all the same wait. If
//! nobody replies, it goes by the source alone: nothing tells daemons that are down from those
//! behind a partition, nor a fleet of one from the only daemon that a list names.

use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::boot_clock::BootInstant;
use crate::published::Published;
use crate::published_options::QUERY_TIMEOUT;
use crate::state_exchange::{QueryGroup, StateExchange};
use crate::trace;

/// Time after its start in which a daemon waits for others to reply: daemons that don't know each
/// other yet dial once a second.
const INTRODUCTION_LIMIT: Duration = Duration::from_millis(1_500);

/// Time between two queries until one has been answered.
const INTRODUCTION_PERIOD: Duration = Duration::from_millis(50);

/// How the wait for other daemons ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Introduction {
    /// Others have replied, and this daemon knows what they know.
    ByOthers,
    /// Nobody replied in time.
    Unanswered,
}

/// What the replies to one round of queries tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Heard {
    /// No daemon that is in touch with the source replied.
    Nothing,
    /// A daemon has a later configuration, which is being fetched from it.
    LaterConfiguration,
    /// A daemon that is in touch with the source replied, and none has a later configuration.
    AllIsKnown,
}

impl Introduction {
    /// Stable name in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::ByOthers => "by_others",
            Self::Unanswered => "unanswered",
        }
    }
}

impl Published {
    /// Whether keys of the configuration in force may be accepted.
    pub(crate) fn is_introduced(&self) -> bool {
        self.0.introduction.get().is_some()
    }

    /// Waits until the values may be used for a request, as far as a wait helps.
    pub(crate) async fn wait_until_usable(&self, has_key: bool) {
        if has_key && self.version().is_some() && !self.is_introduced() {
            let limit = INTRODUCTION_LIMIT + QUERY_TIMEOUT * 2;
            self.0.introduced.wait(limit).await;
        }
        self.wait_until_confirmed().await;
    }

    /// Queries other daemons until this one knows what they know, or nobody replies.
    pub(crate) async fn introduce(self, exchange: Rc<StateExchange>) {
        let started = Instant::now();
        let ended = loop {
            match self.hear_others(&exchange).await {
                Heard::AllIsKnown => break Introduction::ByOthers,
                Heard::Nothing if started.elapsed() >= INTRODUCTION_LIMIT => {
                    break Introduction::Unanswered;
                }
                Heard::Nothing | Heard::LaterConfiguration => {}
            }
            compio::time::sleep(INTRODUCTION_PERIOD).await;
        };
        trace::introduced(ended, started.elapsed());
        self.0.introduction.set(Some(ended));
        self.0.introduced.wake_all();
    }

    async fn hear_others(&self, exchange: &Rc<StateExchange>) -> Heard {
        let mut heard = Heard::Nothing;
        for group in [QueryGroup::Watchers, QueryGroup::Fleet] {
            let queried_at = BootInstant::now();
            let after = self.positions().upstreams();
            let mut replies = exchange.query(group, after).await;
            while let Some(reply) = replies
                .next(QUERY_TIMEOUT.saturating_sub(queried_at.elapsed()))
                .await
            {
                let confirmation = reply.confirmation;
                self.apply_reply(exchange, queried_at, reply);
                if self.version() < confirmation.configuration {
                    return Heard::LaterConfiguration;
                }
                if confirmation.age() < self.options().confirmation_age_limit {
                    heard = Heard::AllIsKnown;
                }
            }
        }
        heard
    }
}
