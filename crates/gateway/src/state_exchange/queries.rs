//! Selection of the watchers of a zone, and queries about the published values.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_channel::mpsc::{UnboundedReceiver, unbounded};
use futures_util::StreamExt;
use mangofront_peers::{CallError, Member, Service};
use mangofront_settings::ids::{AvailabilityZone, InstanceId};

use super::StateExchange;
use crate::copies::CopyRequest;
use crate::datagram::{Confirmation, Message, Nonce, Relayed, UpstreamChanges};
use crate::dialect::Position;

/// Duty of watching the published values for a zone.
const WATCH_DUTY: &str = "watch-published";

/// Watchers of each zone; two, so that one may fail.
const WATCHERS: usize = 2;

/// Other daemons of the own zone that are queried if no watcher is in touch with the
/// source.
const ZONE_QUERIED: usize = 2;

/// Other zones of which a watcher and another daemon are queried if no watcher of the own
/// zone is in touch with the source.
const ZONES_QUERIED: usize = 3;

/// Time for another daemon to send a part of a copy: some packets over a slow link, and a
/// scheduling delay on a busy CPU for each daemon that requests one at the same moment.
const FETCH_TIMEOUT: Duration = Duration::from_millis(600);

/// The daemons that a query goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QueryGroup {
    /// The watchers of the own zone.
    Watchers,
    /// Other daemons of the own zone, and watchers and other daemons of other zones, drawn
    /// anew for each query.
    Fleet,
}

/// A reply to a query.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) from: SocketAddr,
    pub(crate) instance: InstanceId,
    pub(crate) confirmation: Confirmation,
    pub(crate) upstreams: Option<UpstreamChanges>,
}

/// A reply before it is matched with the instance that sent it.
#[derive(Debug)]
pub(super) struct RawReply {
    pub(super) from: SocketAddr,
    pub(super) confirmation: Confirmation,
    pub(super) upstreams: Option<UpstreamChanges>,
}

/// The replies to one query.
pub(crate) struct Replies<'a> {
    exchange: &'a StateExchange,
    nonce: Nonce,
    queried: Vec<(SocketAddr, InstanceId)>,
    replies: UnboundedReceiver<RawReply>,
}

impl Replies<'_> {
    /// The next reply; `None` if none arrives within `time` or no more are expected.
    pub(crate) async fn next(&mut self, time: Duration) -> Option<Reply> {
        let until = Instant::now() + time;
        while !self.queried.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            let reply = compio::time::timeout(left, self.replies.next()).await;
            let reply = reply.ok()??;
            let is_queried = |(address, _): &(SocketAddr, InstanceId)| *address == reply.from;
            let Some(index) = self.queried.iter().position(is_queried) else {
                // A duplicate: this daemon has already replied.
                continue;
            };
            let (from, instance) = self.queried.swap_remove(index);
            return Some(Reply {
                from,
                instance,
                confirmation: reply.confirmation,
                upstreams: reply.upstreams,
            });
        }
        None
    }
}

impl Drop for Replies<'_> {
    fn drop(&mut self) {
        self.exchange
            .pending_queries
            .borrow_mut()
            .remove(&self.nonce);
    }
}

impl StateExchange {
    /// Whether this daemon is a watcher of its zone.
    pub(crate) fn is_watcher(&self) -> bool {
        self.peers.is_delegate(WATCH_DUTY, WATCHERS)
    }

    /// Queries other daemons for their confirmation, and for the changes of upstreams after
    /// a position.
    pub(crate) async fn query(&self, group: QueryGroup, after: Option<Position>) -> Replies<'_> {
        let nonce = self.next_nonce();
        let members = match group {
            QueryGroup::Watchers => self.peers.delegates(WATCH_DUTY, WATCHERS),
            QueryGroup::Fleet => self.draw_fleet_group(),
        };
        let own = self.peers.address();
        let others = members.into_iter().filter(|member| member.address != own);
        let queried: Vec<(SocketAddr, InstanceId)> = others
            .map(|member| (self.exchange_address(&member), member.instance))
            .collect();
        let (sender, replies) = unbounded();
        self.pending_queries.borrow_mut().insert(nonce, sender);
        let query = self.datagram(Message::Query(nonce, after));
        for (address, _) in &queried {
            self.send(query.clone(), *address).await;
        }
        Replies {
            exchange: self,
            nonce,
            queried,
            replies,
        }
    }

    /// Daemons that may be in touch with the source if the watchers of this zone are not.
    fn draw_fleet_group(&self) -> Vec<Member> {
        let mut by_zone = self.peers.delegates_in_each_zone(WATCH_DUTY, usize::MAX);
        let mut own_zone = by_zone.remove(&self.zone).unwrap_or_default();
        let own_address = self.peers.address();
        own_zone.retain(|member| member.address != own_address);
        let mut group = self.draw(own_zone.into_iter().skip(WATCHERS).collect(), ZONE_QUERIED);
        let zones: Vec<(AvailabilityZone, Vec<Member>)> = by_zone.into_iter().collect();
        for (_, mut members) in self.draw(zones, ZONES_QUERIED) {
            let others = members.split_off(WATCHERS.min(members.len()));
            group.extend(self.draw(members, 1));
            group.extend(self.draw(others, 1));
        }
        group
    }

    /// Draws up to `count` of `items`.
    fn draw<T>(&self, mut items: Vec<T>, count: usize) -> Vec<T> {
        let mut drawn = Vec::with_capacity(count);
        while drawn.len() < count && !items.is_empty() {
            let index = self.draw_below(items.len());
            drawn.push(items.swap_remove(index));
        }
        drawn
    }

    /// Requests a part of a copy from another daemon.
    pub(crate) async fn fetch(
        &self,
        from: &InstanceId,
        request: CopyRequest,
    ) -> Result<Bytes, CallError> {
        let bytes = request.encode();
        self.peers
            .call(from, Service::Platform, bytes, FETCH_TIMEOUT)
            .await
    }

    /// Sends changes of published values to the other daemons of the zone.
    pub(crate) async fn relay_changes(&self, relayed: Relayed) {
        let datagram = self.datagram(Message::PublishedChanges(relayed));
        for address in &self.topology().zone_peers {
            self.send(datagram.clone(), *address).await;
        }
    }
}
