//! Who watches what is published for a zone, and what daemons ask each other of it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_channel::mpsc::{UnboundedReceiver, unbounded};
use futures_util::StreamExt;
use mangofront_peers::{CallError, Member, Service};
use mangofront_settings::ids::{AvailabilityZone, InstanceId};

use super::StateExchange;
use crate::copies::Wanted;
use crate::datagram::{Confirmation, Message, Nonce, Relayed, UpstreamChanges};
use crate::dialect::Position;

/// Duty of watching what is published for a zone.
const WATCH_DUTY: &str = "watch-published";

/// Daemons of a zone that watch; two, so that one may fail.
const WATCHERS: usize = 2;

/// Other daemons of the own zone that are asked where no watcher is in touch.
const ZONE_ASKED: usize = 2;

/// Other zones of which a watcher and another daemon are asked where none of the own zone
/// is in touch.
const ZONES_ASKED: usize = 3;

/// Time for another daemon to hand over a part of a copy: some packets through a narrow
/// link, and a turn of a busy processor for each of the others that ask at the same moment.
const FETCH_TIMEOUT: Duration = Duration::from_millis(600);

/// Whom a daemon asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Circle {
    /// Those of its zone that watch.
    Watchers,
    /// Others of its zone, and watchers of other zones, drawn anew each time.
    Fleet,
}

/// An answer to a question.
#[derive(Debug)]
pub(crate) struct Told {
    pub(crate) from: SocketAddr,
    pub(crate) instance: InstanceId,
    pub(crate) known: Confirmation,
    pub(crate) upstreams: Option<UpstreamChanges>,
}

/// An answer as it came.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) from: SocketAddr,
    pub(super) known: Confirmation,
    pub(super) upstreams: Option<UpstreamChanges>,
}

/// Answers to one question, as they come.
pub(crate) struct Answers<'a> {
    sharing: &'a StateExchange,
    nonce: Nonce,
    asked: Vec<(SocketAddr, InstanceId)>,
    answers: UnboundedReceiver<Answer>,
}

impl Answers<'_> {
    /// The next answer, if one comes within `time` and more are awaited.
    pub(crate) async fn next(&mut self, time: Duration) -> Option<Told> {
        let until = Instant::now() + time;
        while !self.asked.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            let answer = compio::time::timeout(left, self.answers.next()).await;
            let answer = answer.ok()??;
            let is_asked = |(address, _): &(SocketAddr, InstanceId)| *address == answer.from;
            let Some(place) = self.asked.iter().position(is_asked) else {
                // It has answered already.
                continue;
            };
            let (from, instance) = self.asked.swap_remove(place);
            return Some(Told {
                from,
                instance,
                known: answer.known,
                upstreams: answer.upstreams,
            });
        }
        None
    }
}

impl Drop for Answers<'_> {
    fn drop(&mut self) {
        self.sharing.asked.borrow_mut().remove(&self.nonce);
    }
}

impl StateExchange {
    /// Whether this daemon is one of those that watch what is published for
    /// their zone.
    pub(crate) fn is_watcher(&self) -> bool {
        self.peers.is_delegate(WATCH_DUTY, WATCHERS)
    }

    /// Asks other daemons how far they know what is published, and for the changes of
    /// upstreams after a position.
    pub(crate) async fn ask(&self, circle: Circle, after: Option<Position>) -> Answers<'_> {
        let nonce = self.next_draw();
        let members = match circle {
            Circle::Watchers => self.peers.delegates(WATCH_DUTY, WATCHERS),
            Circle::Fleet => self.draw_informants(),
        };
        let own = self.peers.address();
        let others = members.into_iter().filter(|member| member.address != own);
        let asked: Vec<(SocketAddr, InstanceId)> = others
            .map(|member| (self.news_address(&member), member.instance))
            .collect();
        let (answer, answers) = unbounded();
        self.asked.borrow_mut().insert(nonce, answer);
        let question = self.datagram(Message::Ask(nonce, after));
        for (address, _) in &asked {
            self.send(question.clone(), *address).await;
        }
        Answers {
            sharing: self,
            nonce,
            asked,
            answers,
        }
    }

    /// Daemons that may be in touch where those that watch for this zone are not.
    fn draw_informants(&self) -> Vec<Member> {
        let mut by_zone = self.peers.delegates_of_zones(WATCH_DUTY, usize::MAX);
        let mut own = by_zone.remove(&self.zone).unwrap_or_default();
        let own_address = self.peers.address();
        own.retain(|member| member.address != own_address);
        let mut informants = self.draw(own.into_iter().skip(WATCHERS).collect(), ZONE_ASKED);
        let zones: Vec<(AvailabilityZone, Vec<Member>)> = by_zone.into_iter().collect();
        for (_, mut members) in self.draw(zones, ZONES_ASKED) {
            let others = members.split_off(WATCHERS.min(members.len()));
            informants.extend(self.draw(members, 1));
            informants.extend(self.draw(others, 1));
        }
        informants
    }

    /// Some of `items`, drawn.
    fn draw<T>(&self, mut items: Vec<T>, count: usize) -> Vec<T> {
        let mut drawn = Vec::with_capacity(count);
        while drawn.len() < count && !items.is_empty() {
            let place = self.draw_below(items.len());
            drawn.push(items.swap_remove(place));
        }
        drawn
    }

    /// Has another daemon hand over a part of a copy of what it has in force.
    pub(crate) async fn fetch(
        &self,
        from: &InstanceId,
        wanted: Wanted,
    ) -> Result<Bytes, CallError> {
        let request = wanted.write();
        self.peers
            .call(from, Service::Platform, request, FETCH_TIMEOUT)
            .await
    }

    /// Tells the daemons of the zone what has changed.
    pub(crate) async fn tell_changed(&self, relayed: Relayed) {
        let datagram = self.datagram(Message::Changed(relayed));
        for address in &self.paths().zone {
            self.send(datagram.clone(), *address).await;
        }
    }
}
