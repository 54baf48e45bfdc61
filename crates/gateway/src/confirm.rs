//! Confirmation of the values in force by other daemons.
//!
//! A daemon that does not watch the source queries the watchers of its availability zone.
//! Their replies renew its lease and carry the changes of upstreams that it lacks. If no
//! watcher is in touch with the source, for example because the source rejects exactly
//! these daemons, it queries other daemons of its own and of other zones, since any daemon
//! that is in touch can confirm the values.
//!
//! Changes that do not fit into one reply are requested page by page. A configuration is
//! fetched in the background, however long that takes; changes of upstreams never wait for
//! it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_dissemination::Origin;
use mangofront_routes::RouteTable;
use mangofront_settings::ids::InstanceId;

use crate::boot_clock::BootInstant;
use crate::copies::{CopyId, CopyPart, CopyRequest, PartialCopy, UpstreamsCopy};
use crate::datagram::{Relayed, UpstreamChanges};
use crate::provenance::Provenance;
use crate::published::Published;
use crate::published_options::{QUERY_TIMEOUT, REQUERY_INTERVAL};
use crate::state_exchange::{QueryGroup, Reply, StateExchange};
use crate::trace;

/// Time for a whole copy; if it takes longer, the values are read from the source.
const COPY_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after its start in which a daemon that the source serves queries others all the same, until
/// one has told which changes it lacks.
const CHANGES_TIME: Duration = Duration::from_secs(5);

impl Published {
    /// Has the values in force confirmed periodically, forever.
    pub(crate) async fn keep_confirmed(self, exchange: Rc<StateExchange>) {
        let started = Instant::now();
        loop {
            match self.is_confirmed_by_source(&exchange) {
                true => {
                    self.0.is_isolated.set(false);
                    // Others may know of departures that a restored source does not tell.
                    if !self.0.has_heard_changes.get() && started.elapsed() < CHANGES_TIME {
                        self.query_group(&exchange, QueryGroup::Fleet).await;
                    }
                }
                false => self.query_peers(&exchange).await,
            }
            self.0.query_soon.wait(self.options().query_period).await;
        }
    }

    /// Whether this daemon is a watcher and in touch with the source.
    fn is_confirmed_by_source(&self, exchange: &StateExchange) -> bool {
        exchange.is_watcher() && self.is_confirmed_within(self.options().confirmation_age_limit)
    }

    fn is_confirmed_within(&self, time: Duration) -> bool {
        self.0.lease.is_younger_than(time)
    }

    /// Queries other daemons, first the watchers of its own zone.
    async fn query_peers(&self, exchange: &Rc<StateExchange>) {
        let is_confirmed = self.query_group(exchange, QueryGroup::Watchers).await
            || self.query_group(exchange, QueryGroup::Fleet).await;
        let was_isolated = self.0.is_isolated.replace(!is_confirmed);
        if was_isolated == is_confirmed {
            trace::confirmed_by_others(is_confirmed);
        }
        if !is_confirmed {
            self.0.source_needed.raise();
        }
        self.0.last_query.set(Some(BootInstant::now()));
        self.0.query_done.wake_all();
    }

    /// Queries a group of daemons at once; returns whether one replied that is in touch
    /// with the source.
    async fn query_group(&self, exchange: &Rc<StateExchange>, group: QueryGroup) -> bool {
        let queried_at = BootInstant::now();
        let after = self.positions().upstreams();
        let mut replies = exchange.query(group, after).await;
        while let Some(reply) = replies
            .next(QUERY_TIMEOUT.saturating_sub(queried_at.elapsed()))
            .await
        {
            if self.apply_reply(exchange, queried_at, reply) {
                return true;
            }
        }
        false
    }

    /// Applies a reply; returns whether its sender is in touch with the source.
    pub(crate) fn apply_reply(
        &self,
        exchange: &Rc<StateExchange>,
        queried_at: BootInstant,
        reply: Reply,
    ) -> bool {
        let confirmation = reply.confirmation;
        if let Some(since) = Instant::now().checked_sub(confirmation.era_age()) {
            self.observe_era(confirmation.upstreams_position.era, since);
        }
        self.merge_answered(confirmation.answered);
        let has_page = reply.upstreams.is_some();
        let era = self.positions().upstreams().map(|position| position.era);
        if has_page && era == Some(confirmation.upstreams_position.era) {
            self.0.has_heard_changes.set(true);
        }
        if let Some(page) = reply.upstreams {
            let provenance = Provenance::answered(reply.from.ip(), &confirmation);
            self.apply_upstream_page(page, &provenance);
        }
        if confirmation.age() >= self.options().confirmation_age_limit {
            return false;
        }
        let has_configuration = self.version() >= confirmation.configuration;
        if has_configuration {
            let position = confirmation.configuration_position;
            self.update_positions(|positions| positions.advance_configuration(position));
        }
        let positions = self.positions();
        let has_upstreams = positions.upstreams() >= Some(confirmation.upstreams_position);
        match (has_upstreams, has_configuration) {
            (true, true) => {
                self.0.lease.confirm(queried_at.before(confirmation.age()));
                self.0.is_source_confirmed.set(false);
                self.0.has_failed_copy.set(false);
            }
            (false, _) if has_page => self.0.query_soon.raise(),
            (false, _) => self.fetch(exchange, &reply.instance, CopyRequest::Upstreams),
            (true, false) => {}
        }
        if !has_configuration {
            self.fetch(exchange, &reply.instance, CopyRequest::Configuration);
        }
        confirmation.is_in_touch
    }

    /// Applies a page of changes of upstreams; returns whether it continues the known ones
    /// without a gap.
    fn apply_upstream_page(&self, page: UpstreamChanges, provenance: &Provenance) -> bool {
        let (after, up_to) = (page.after, page.up_to);
        self.apply_peer_changes(page.changes, provenance);
        let mut follows = false;
        self.update_positions(|positions| follows = positions.follow_upstreams(after, up_to));
        follows
    }

    /// Applies changes that a watcher of the zone read from the source.
    ///
    /// They do not renew the lease: the datagram may have waited in the socket's buffer
    /// while this daemon was suspended.
    pub(crate) fn apply_relayed(&self, relayed: Relayed, from: &Origin) {
        self.merge_answered(relayed.answered);
        let (after, up_to) = (relayed.upstreams.after, relayed.upstreams.up_to);
        let provenance = Provenance::relayed(from.address, up_to);
        let mut is_current = self.apply_upstream_page(relayed.upstreams, &provenance);
        if relayed.has_others {
            is_current = false;
        } else {
            self.update_positions(|positions| {
                is_current &= positions.follow_configuration(after, up_to)
            });
        }
        if !is_current {
            self.0.query_soon.raise();
        }
    }

    /// Starts to fetch a copy, unless one is being fetched.
    fn fetch(&self, exchange: &Rc<StateExchange>, from: &InstanceId, requested: CopyRequest) {
        if self.is_fetching(requested).replace(true) {
            return;
        }
        let (published, exchange, from) = (self.clone(), Rc::clone(exchange), from.clone());
        let fetching = async move {
            let fetched = published.fetch_copy(&exchange, &from, requested);
            let has_copy = compio::time::timeout(COPY_TIMEOUT, fetched).await;
            let has_copy = has_copy.unwrap_or(false);
            published.is_fetching(requested).set(false);
            if has_copy {
                published.0.query_soon.raise();
            } else {
                published.0.has_failed_copy.set(true);
                published.0.source_needed.raise();
            }
        };
        compio::runtime::spawn(fetching).detach();
    }

    fn is_fetching(&self, requested: CopyRequest) -> &Cell<bool> {
        match requested {
            CopyRequest::Upstreams => &self.0.is_fetching_upstreams,
            CopyRequest::Configuration | CopyRequest::More { .. } => {
                &self.0.is_fetching_configuration
            }
        }
    }

    /// Fetches a copy from another daemon, part by part; returns whether it was applied.
    async fn fetch_copy(
        &self,
        exchange: &StateExchange,
        from: &InstanceId,
        requested: CopyRequest,
    ) -> bool {
        let mut partial = PartialCopy::default();
        while let Some(request) = partial.next_request(requested) {
            let part = match exchange.fetch(from, request).await {
                Ok(bytes) => CopyPart::decode(&bytes),
                Err(error) => {
                    trace::copy_failed(from, &error.to_string());
                    return false;
                }
            };
            if !part.is_some_and(|part| partial.add(part)) {
                trace::copy_failed(from, "the copy changed or is no longer available");
                return false;
            }
        }
        self.apply_copy(&partial, from)
    }

    /// Applies a copy; returns whether it could be decoded.
    fn apply_copy(&self, copy: &PartialCopy, from: &InstanceId) -> bool {
        match copy.copy() {
            Some(CopyId::Configuration(_)) => {
                let Some(table) = copy.decode::<RouteTable>() else {
                    return false;
                };
                let position = self.positions().configuration().unwrap_or_default();
                self.apply_configuration(table, &Provenance::copied(from, position));
                true
            }
            Some(CopyId::Upstreams(position)) => {
                let Some(copied) = copy.decode::<UpstreamsCopy>() else {
                    return false;
                };
                self.apply_upstreams_copy(position, copied, &Provenance::copied(from, position));
                self.update_positions(|positions| positions.advance_upstreams(position));
                true
            }
            None => false,
        }
    }

    /// Waits until the values in force were confirmed recently, unless no daemon can
    /// confirm them.
    ///
    /// A daemon that was suspended or cut off queries others before it sends a request; one
    /// that reaches no daemon in touch with the source continues with the values it has.
    pub(crate) async fn wait_until_confirmed(&self) {
        if self.may_be_acted_on()
            || self.version().is_none()
            || self.has_queried_within(REQUERY_INTERVAL)
        {
            return;
        }
        self.0.query_soon.raise();
        self.0.query_done.wait(QUERY_TIMEOUT * 2).await;
    }

    /// Whether the values in force were confirmed recently, or no daemon can confirm them.
    pub(crate) fn may_be_acted_on(&self) -> bool {
        let limit = self.options().unconfirmed_limit();
        let is_isolated = self.0.is_isolated.get() && self.has_queried_within(limit);
        self.is_confirmed_within(limit) || is_isolated
    }

    /// Whether other daemons were queried within the last `time`.
    fn has_queried_within(&self, time: Duration) -> bool {
        let last_query = self.0.last_query.get();
        last_query.is_some_and(|queried_at| queried_at.elapsed() < time)
    }
}
