//! Who watches what is published for a zone, and what the others ask of them.

use std::time::Duration;

use futures_channel::oneshot;
use mangofront_peers::{Member, Service};

use super::{Sharing, Watcher};
use crate::copies::{CopyRequest, PublishedCopy};
use crate::datagram::{Confirmation, DATAGRAM_LIMIT_BYTES, Message, Relayed};
use crate::published_options::ASK_TIMEOUT;

/// Duty of watching what is published for a zone.
const WATCH_DUTY: &str = "watch-published";

/// Daemons of a zone that watch; two, so that one may fail.
const WATCHERS: usize = 2;

/// Time for a watcher to hand over what it has in force: some packets in its zone, and
/// a turn of a busy processor for each of the others that ask at the same moment.
const FETCH_TIMEOUT: Duration = Duration::from_millis(600);

impl Sharing {
    /// Whether this daemon is one of those that watch what is published for
    /// their zone.
    pub(crate) fn is_watcher(&self) -> bool {
        self.peers.is_delegate(WATCH_DUTY, WATCHERS)
    }

    /// Asks a watcher of the zone how far it knows what is published.
    pub(crate) async fn ask(&self) -> Option<(Watcher, Confirmation)> {
        let nonce = self.next_draw();
        let watchers = self.peers.delegates(WATCH_DUTY, WATCHERS);
        let own = self.peers.address();
        let others: Vec<Member> = watchers
            .into_iter()
            .filter(|member| member.address != own)
            .collect();
        let watcher = others.get(nonce as usize % others.len().max(1))?;
        let (answer, answered) = oneshot::channel();
        self.asked.borrow_mut().insert(nonce, answer);
        let to = self.news_address(watcher);
        self.send(self.datagram(Message::Ask(nonce)), to).await;
        let answered = compio::time::timeout(ASK_TIMEOUT, answered).await;
        self.asked.borrow_mut().remove(&nonce);
        let known = answered.ok()?.ok()?;
        Some((watcher.instance.clone(), known))
    }

    /// Has a watcher hand over what it has in force.
    pub(crate) async fn fetch(
        &self,
        watcher: &Watcher,
        request: &CopyRequest,
    ) -> Option<PublishedCopy> {
        let call = self
            .peers
            .call(watcher, Service::Platform, request.write(), FETCH_TIMEOUT);
        match call.await {
            Ok(answer) => PublishedCopy::read(&answer),
            Err(error) => {
                log::debug!("gateway: what is published was not handed over: {error}");
                None
            }
        }
    }

    /// Tells the daemons of the zone what has changed.
    pub(crate) async fn tell_changed(&self, relayed: Relayed) {
        let unread = Relayed {
            upstreams: None,
            ..relayed
        };
        let mut datagram = self.datagram(Message::Changed(relayed));
        if datagram.len() > DATAGRAM_LIMIT_BYTES {
            datagram = self.datagram(Message::Changed(unread));
        }
        for address in &self.paths().zone {
            self.send(datagram.clone(), *address).await;
        }
    }
}
