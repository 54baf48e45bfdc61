//! News on its way to every daemon: told directly, or passed on by relays.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::spawn;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use mangofront_dissemination::{Paths, RELAY_SILENCE, Scope, Telling};
use mangofront_engines::News;

use super::StateExchange;
use crate::datagram::{Message, parts};

/// Time between two lists of all that has not ended.
const REPEAT_PERIOD: Duration = Duration::from_secs(1);

impl StateExchange {
    /// Tells the others what comes out of `news`, for ever.
    pub async fn broadcast(self: Rc<Self>, mut news: UnboundedReceiver<News>) {
        while let Some(first) = news.next().await {
            let mut batch = vec![first];
            while let Ok(next) = news.try_recv() {
                batch.push(next);
            }
            let paths = self.paths();
            if paths.is_relayed(self.relay_from_daemons) {
                self.tell_by_relays(batch, &paths).await;
            } else {
                self.tell_all(batch, &paths).await;
            }
        }
    }

    async fn tell_all(&self, news: Vec<News>, paths: &Paths) {
        for part in parts(news) {
            let message = Message::News(self.next_sequence(), part);
            self.send_all(message, &paths.others).await;
        }
    }

    /// Has the relays of the zone tell the others; does so itself while nothing is
    /// heard of them.
    async fn tell_by_relays(self: &Rc<Self>, news: Vec<News>, paths: &Paths) {
        let is_heard = |at: Instant| at.elapsed() < RELAY_SILENCE;
        let Some(slice) = paths.slice(paths.slice_of(self.daemon)) else {
            return self.tell_all(news, paths).await;
        };
        if slice.rank.is_none() && !self.relay_heard.get().is_some_and(is_heard) {
            self.tell_all(news.clone(), paths).await;
        }
        for part in parts(news) {
            let telling = Telling {
                teller: self.teller(),
                sequence: self.next_sequence(),
                news: part,
            };
            if let Some(rank) = slice.rank {
                self.hold(telling.clone(), Scope::Fleet, rank);
            }
            let message = Message::PassOn(Scope::Fleet, vec![telling]);
            self.send_all(message, &slice.relays).await;
        }
    }

    /// Holds a telling until it is to be passed on.
    pub(super) fn hold(self: &Rc<Self>, telling: Telling<News>, scope: Scope, rank: usize) {
        let now = Instant::now();
        self.held.borrow_mut().hold(telling, scope, rank, now);
        if !self.is_passing_on.replace(true) {
            spawn(Rc::clone(self).pass_on()).detach();
        }
    }

    /// Passes on what is held, until nothing is left.
    async fn pass_on(self: Rc<Self>) {
        loop {
            let Some(due) = self.held.borrow().next_due() else {
                self.is_passing_on.set(false);
                return;
            };
            compio::time::sleep_until(due).await;
            let due = self.held.borrow_mut().take_due(Instant::now());
            let paths = self.paths();
            self.pass_on_far(&due, &paths).await;
            let all = due.into_iter().map(|(_, telling)| telling).collect();
            for part in parts(all) {
                self.send_all(Message::PassedOn(part), &paths.zone).await;
            }
        }
    }

    /// Passes on to the relays of the other zones what they have not heard.
    async fn pass_on_far(&self, due: &[(Scope, Telling<News>)], paths: &Paths) {
        let mut by_slice: BTreeMap<usize, Vec<Telling<News>>> = BTreeMap::new();
        let unheard = due.iter().filter(|(scope, _)| *scope == Scope::Fleet);
        for (_, telling) in unheard {
            let slice = paths.slice_of(telling.teller.daemon);
            by_slice.entry(slice).or_default().push(telling.clone());
        }
        for (slice, tellings) in by_slice {
            let far_relays = paths.slice(slice).map(|slice| slice.far_relays.as_slice());
            for part in parts(tellings) {
                let message = Message::PassOn(Scope::Zone, part);
                self.send_all(message, far_relays.unwrap_or_default()).await;
            }
        }
    }

    /// Tells the others each second of all that has not ended, for ever.
    ///
    /// Each daemon at a moment of its own: daemons that started together would all
    /// tell at once, and be silent for the rest of the second.
    pub async fn rebroadcast_running(self: Rc<Self>) {
        let share = self.daemon as f64 / u64::MAX as f64;
        compio::time::sleep(REPEAT_PERIOD.mul_f64(share)).await;
        loop {
            compio::time::sleep(REPEAT_PERIOD).await;
            self.upstreams.tell_running();
        }
    }

    /// Takes in what a daemon told; whether it was new.
    pub(super) async fn take_telling(&self, telling: &Telling<News>) -> bool {
        let teller = &telling.teller;
        let from = SocketAddr::new(teller.address, self.own.port());
        if !self.meet(teller, from).await {
            return false;
        }
        let life = teller.life();
        let is_new = self.sequences.borrow_mut().is_new(life, telling.sequence);
        if is_new {
            self.take_news(life, telling.news.clone(), from).await;
        }
        is_new
    }
}
