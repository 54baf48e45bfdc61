//! Having what is in force confirmed by other daemons.
//!
//! A daemon that does not watch the source asks those of its zone that do how far they
//! know what is published. Their answers renew its lease and bring the changes of upstreams
//! that it lacks. Where none of them is in touch with the source, as where it turns away
//! just these, daemons of its own zone and of others are asked that may be: whoever is in
//! touch tells who is not.
//!
//! More changes than fit into an answer are asked for page by page. A configuration is
//! fetched beside the questions, however long that takes; changes of upstreams never wait
//! for it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use mangofront_dissemination::Teller;
use mangofront_routes::RouteTable;
use mangofront_settings::ids::InstanceId;

use crate::boot_clock::BootInstant;
use crate::copies::{CopyOf, CopyPart, PartialCopy, Wanted};
use crate::datagram::{Relayed, UpstreamChanges};
use crate::dialect::Entry;
use crate::provenance::Provenance;
use crate::published::Published;
use crate::published_options::{ASK_AGAIN_AFTER, ASK_TIMEOUT};
use crate::state_exchange::{Circle, StateExchange, Told};
use crate::trace;

/// Time for a whole copy; the source is read where it takes longer.
const COPY_TIMEOUT: Duration = Duration::from_secs(2);

impl Published {
    /// Has what is in force confirmed by other daemons, for ever.
    pub(crate) async fn keep_confirmed(self, sharing: Rc<StateExchange>) {
        loop {
            match self.is_confirmed_by_source(&sharing) {
                true => self.0.is_alone.set(false),
                false => self.ask(&sharing).await,
            }
            self.0.ask_soon.wait(self.options().query_period).await;
        }
    }

    /// Whether this daemon watches the source and is in touch with it.
    fn is_confirmed_by_source(&self, sharing: &StateExchange) -> bool {
        sharing.is_watcher() && self.is_confirmed_within(self.options().confirmation_age_limit)
    }

    fn is_confirmed_within(&self, time: Duration) -> bool {
        self.0.lease.is_younger_than(time)
    }

    /// Asks other daemons, those of the own zone that watch first.
    async fn ask(&self, sharing: &Rc<StateExchange>) {
        let is_confirmed = self.ask_circle(sharing, Circle::Watchers).await
            || self.ask_circle(sharing, Circle::Fleet).await;
        let was_alone = self.0.is_alone.replace(!is_confirmed);
        if was_alone == is_confirmed {
            trace::confirmed_by_others(is_confirmed);
        }
        if !is_confirmed {
            self.0.source_needed.call();
        }
        self.0.last_asked.set(Some(BootInstant::now()));
        self.0.asked.wake();
    }

    /// Asks some daemons at once; whether one that is in touch has answered.
    async fn ask_circle(&self, sharing: &Rc<StateExchange>, circle: Circle) -> bool {
        let asked = BootInstant::now();
        let after = self.horizon().upstreams();
        let mut answers = sharing.ask(circle, after).await;
        while let Some(told) = answers
            .next(ASK_TIMEOUT.saturating_sub(asked.elapsed()))
            .await
        {
            if self.take_answer(sharing, asked, told) {
                return true;
            }
        }
        false
    }

    /// Takes in what another daemon knows; whether it is in touch.
    fn take_answer(&self, sharing: &Rc<StateExchange>, asked: BootInstant, told: Told) -> bool {
        let known = told.known;
        self.note_heard(known.answered);
        let has_changes = told.upstreams.is_some();
        if let Some(told_changes) = told.upstreams {
            let provenance = Provenance::answered(told.from.ip(), &known);
            self.take_upstreams(told_changes, &provenance);
        }
        if known.age() >= self.options().confirmation_age_limit {
            return false;
        }
        let has_configuration = self.version() >= known.configuration;
        if has_configuration {
            let position = known.configuration_position;
            self.change_horizon(|horizon| horizon.advance_configuration(position));
        }
        let horizon = self.horizon();
        let has_upstreams = horizon.upstreams() >= Some(known.upstreams_position);
        match (has_upstreams, has_configuration) {
            (true, true) => {
                self.0.lease.confirm(asked.before(known.age()));
                self.0.is_first_hand.set(false);
                self.0.is_behind.set(false);
            }
            (false, _) if has_changes => self.0.ask_soon.call(),
            (false, _) => self.fetch(sharing, &told.instance, Wanted::Upstreams),
            (true, false) => {}
        }
        if !has_configuration {
            self.fetch(sharing, &told.instance, Wanted::Configuration);
        }
        known.is_in_touch
    }

    /// Takes in a page of changes of upstreams; whether they follow on what is known.
    fn take_upstreams(&self, told: UpstreamChanges, provenance: &Provenance) -> bool {
        let (after, up_to) = (told.after, told.up_to);
        self.take_told(told.changes, provenance);
        let mut follows = false;
        self.change_horizon(|horizon| follows = horizon.follow_upstreams(after, up_to));
        follows
    }

    /// Takes in changes that a watcher of the zone read.
    ///
    /// They say nothing of how current that is: a datagram may have lain unread
    /// while this daemon stood still.
    pub(crate) fn take_relayed(&self, relayed: Relayed, from: &Teller) {
        self.note_heard(relayed.answered);
        let (after, up_to) = (relayed.upstreams.after, relayed.upstreams.up_to);
        let provenance = Provenance::relayed(from.address, up_to);
        let mut is_current = self.take_upstreams(relayed.upstreams, &provenance);
        if relayed.has_others {
            is_current = false;
        } else {
            self.change_horizon(|horizon| is_current &= horizon.follow_configuration(after, up_to));
        }
        if !is_current {
            self.0.ask_soon.call();
        }
    }

    /// Begins to fetch a copy, unless one is being fetched.
    fn fetch(&self, sharing: &Rc<StateExchange>, from: &InstanceId, wanted: Wanted) {
        if self.is_fetching(wanted).replace(true) {
            return;
        }
        let (published, sharing, from) = (self.clone(), Rc::clone(sharing), from.clone());
        let fetching = async move {
            let fetched = published.fetch_copy(&sharing, &from, wanted);
            let has_copy = compio::time::timeout(COPY_TIMEOUT, fetched).await;
            let has_copy = has_copy.unwrap_or(false);
            published.is_fetching(wanted).set(false);
            if has_copy {
                published.0.ask_soon.call();
            } else {
                published.0.is_behind.set(true);
                published.0.source_needed.call();
            }
        };
        compio::runtime::spawn(fetching).detach();
    }

    fn is_fetching(&self, wanted: Wanted) -> &Cell<bool> {
        match wanted {
            Wanted::Upstreams => &self.0.is_fetching_upstreams,
            Wanted::Configuration | Wanted::More { .. } => &self.0.is_fetching_configuration,
        }
    }

    /// Fetches a copy from another daemon, part by part; whether it was taken in.
    async fn fetch_copy(&self, sharing: &StateExchange, from: &InstanceId, wanted: Wanted) -> bool {
        let mut partial = PartialCopy::default();
        while let Some(missing) = partial.missing(wanted) {
            let part = match sharing.fetch(from, missing).await {
                Ok(bytes) => CopyPart::read(&bytes),
                Err(error) => {
                    trace::copy_failed(from, &error.to_string());
                    return false;
                }
            };
            if !part.is_some_and(|part| partial.add(part)) {
                trace::copy_failed(from, "the copy that was begun is there no more");
                return false;
            }
        }
        self.take_copy(&partial, from)
    }

    /// Takes over a copy; whether it could be read.
    fn take_copy(&self, copy: &PartialCopy, from: &InstanceId) -> bool {
        match copy.copy() {
            Some(CopyOf::Configuration(_)) => {
                let Some(table) = copy.read::<RouteTable>() else {
                    return false;
                };
                let position = self.horizon().configuration().unwrap_or_default();
                self.take_table(table, &Provenance::copied(from, position));
                true
            }
            Some(CopyOf::Upstreams(position)) => {
                let Some(upstreams) = copy.read::<Vec<_>>() else {
                    return false;
                };
                let entries = upstreams.into_iter().map(Entry::Upstream);
                self.take_all(position, entries, &Provenance::copied(from, position));
                self.change_horizon(|horizon| horizon.advance_upstreams(position));
                true
            }
            None => false,
        }
    }

    /// Waits until what is in force was confirmed lately, unless nobody can confirm it.
    ///
    /// A daemon that stood still, or was cut off and is back, asks before it sends; one that
    /// reaches nobody in touch goes on with what it knows.
    pub(crate) async fn confirmed_lately(&self) {
        if self.may_be_acted_on() || self.version().is_none() || self.has_asked(ASK_AGAIN_AFTER) {
            return;
        }
        self.0.ask_soon.call();
        self.0.asked.wait(ASK_TIMEOUT * 2).await;
    }

    /// Whether what is in force was confirmed lately, or nobody could confirm it.
    pub(crate) fn may_be_acted_on(&self) -> bool {
        let limit = self.options().unconfirmed_limit();
        let is_alone = self.0.is_alone.get() && self.has_asked(limit);
        self.is_confirmed_within(limit) || is_alone
    }

    /// Whether other daemons were asked within the last `time`.
    fn has_asked(&self, time: Duration) -> bool {
        let asked = self.0.last_asked.get();
        asked.is_some_and(|asked| asked.elapsed() < time)
    }
}
