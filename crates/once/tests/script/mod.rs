//! Random scripts and what must hold while they are played.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use compio::runtime::Runtime;
use compio::time::sleep;
use futures_util::future::join_all;
use mangofront_once::{Decision, Weakness};
use quickcheck::{Arbitrary, Gen};

use crate::fleet::{Fleet, Noise, Upstream, time_key};

const DAEMONS: usize = 5;
const SPARES: usize = 3;
const KEYS: u8 = 4;

/// Which faults a script may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Faults {
    FixedList,
    ChangingList,
}

#[derive(Debug, Clone)]
enum Event {
    Order {
        at: u8,
        key: u8,
        upstream: Upstream,
    },
    OrderMinted {
        at: u8,
        home: u8,
        upstream: Upstream,
    },
    /// By a key that tells its own time; an old key or a new one.
    OrderTimed {
        at: u8,
        key: u8,
        upstream: Upstream,
    },
    Kill(u8),
    Restart {
        number: u8,
        lagging: bool,
    },
    HandOver(u8),
    Freeze(u8),
    Thaw(u8),
    Cut(u8),
    Heal,
    Noise {
        lost: bool,
        doubled: bool,
    },
    /// Swaps a listed daemon for another; a bit each tells who hears of it.
    Swap {
        leaves: u8,
        heard_by: u8,
    },
    Rest(u8),
}

#[derive(Debug, Clone)]
pub struct Script(Vec<Event>);

/// What came of some scripts.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    pub runs: u32,
    pub answers: u32,
    pub replays: u32,
    pub not_run: u32,
    pub unknown: u32,
    pub breaches: Vec<String>,
}

fn upstream(generator: &mut Gen) -> Upstream {
    *generator
        .choose(&[
            Upstream::Answers,
            Upstream::Answers,
            Upstream::Answers,
            Upstream::Refuses,
            Upstream::Breaks,
            Upstream::Slow(20),
            Upstream::Late(15),
        ])
        .unwrap_or(&Upstream::Answers)
}

impl Arbitrary for Event {
    fn arbitrary(generator: &mut Gen) -> Self {
        let at = u8::arbitrary(generator);
        let other = u8::arbitrary(generator);
        match u8::arbitrary(generator) % 32 {
            0..=11 => Self::Order {
                at,
                key: other % KEYS,
                upstream: upstream(generator),
            },
            12 | 13 => Self::OrderTimed {
                at,
                key: other % KEYS,
                upstream: upstream(generator),
            },
            14 | 15 => Self::OrderMinted {
                at,
                home: other,
                upstream: upstream(generator),
            },
            16 | 17 => Self::Kill(at),
            18 | 19 => Self::Restart {
                number: at,
                lagging: other % 2 == 0,
            },
            20 | 21 => Self::HandOver(at),
            22 => Self::Freeze(at),
            23 | 24 => Self::Thaw(at),
            25 => Self::Cut(at),
            26 | 27 => Self::Heal,
            28 => Self::Noise {
                lost: at % 2 == 0,
                doubled: other % 2 == 0,
            },
            29 => Self::Swap {
                leaves: at,
                heard_by: other,
            },
            _ => Self::Rest(at % 30),
        }
    }
}

impl Arbitrary for Script {
    fn arbitrary(generator: &mut Gen) -> Self {
        let length = generator.size();
        Self((0..length).map(|_| Event::arbitrary(generator)).collect())
    }
}

/// Plays `scripts` side by side.
pub fn play_all(scripts: &[Script], faults: Faults, weakness: Weakness) -> Tally {
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let plays = scripts
            .iter()
            .enumerate()
            .map(|(number, script)| async move {
                let fleet = Fleet::started_weak(DAEMONS, number as u64, weakness).await;
                let player = Player::new(fleet, faults);
                player.play(script).await
            });
        let mut sum = Tally::default();
        for tally in join_all(plays).await {
            sum.runs += tally.runs;
            sum.answers += tally.answers;
            sum.replays += tally.replays;
            sum.not_run += tally.not_run;
            sum.unknown += tally.unknown;
            sum.breaches.extend(tally.breaches);
        }
        sum
    })
}

struct Player {
    fleet: Fleet,
    faults: Faults,
    tally: Rc<RefCell<Tally>>,
    minted: BTreeMap<u8, String>,
    timed: BTreeMap<u8, String>,
    listed: Vec<usize>,
    former: Vec<usize>,
    revision: u64,
}

impl Player {
    fn new(fleet: Fleet, faults: Faults) -> Self {
        let listed: Vec<usize> = (0..DAEMONS).collect();
        Self {
            fleet,
            faults,
            tally: Rc::default(),
            minted: BTreeMap::new(),
            timed: BTreeMap::new(),
            former: listed.clone(),
            listed,
            revision: 1,
        }
    }

    async fn play(mut self, Script(events): &Script) -> Tally {
        let mut orders = Vec::new();
        for event in events {
            match event {
                Event::Order { at, key, upstream } => {
                    orders.push(self.order(*at, format!("plain-{key}"), *upstream));
                }
                Event::OrderMinted { at, home, upstream } => {
                    if let Some(key) = self.minted_by(*home) {
                        orders.push(self.order(*at, key, *upstream));
                    }
                }
                Event::OrderTimed { at, key, upstream } => {
                    let key = self.timed.entry(*key).or_insert_with(time_key).clone();
                    orders.push(self.order(*at, key, *upstream));
                }
                other => self.disturb(other).await,
            }
            sleep(Duration::from_millis(1)).await;
        }
        for number in 0..DAEMONS + SPARES {
            self.fleet.thaw(number);
        }
        self.fleet.heal();
        self.fleet.noise(Noise::default());
        for order in orders {
            order.await.expect("no panic");
        }
        self.retry_all().await;
        self.tally.take()
    }

    /// Retries each key everywhere once all faults are over.
    async fn retry_all(&mut self) {
        let minted = self.minted.values().chain(self.timed.values()).cloned();
        let plain = (0..KEYS).map(|key| format!("plain-{key}"));
        let keys: Vec<String> = plain.chain(minted).collect();
        for number in [0, 2, 4] {
            let calls = keys
                .iter()
                .map(|key| self.order(number, key.clone(), Upstream::Answers));
            join_all(calls).await;
        }
        let mut tally = self.tally.borrow_mut();
        for key in keys {
            let runs = self.fleet.runs(&key);
            tally.runs += runs;
            if runs > 1 {
                tally.breaches.push(format!("{key} ran {runs} times"));
            }
        }
        if self.fleet.violations() > 0 {
            tally
                .breaches
                .push("the invariant at_most_once was broken".to_owned());
        }
    }

    fn order(&self, at: u8, key: String, upstream: Upstream) -> compio::runtime::JoinHandle<()> {
        let fleet = self.fleet.clone();
        let tally = Rc::clone(&self.tally);
        let at = self.someone(at);
        compio::runtime::spawn(async move {
            let decision = fleet.order(at, &key, upstream).await;
            let ran = fleet.runs(&key) > 0;
            let mut tally = tally.borrow_mut();
            match decision {
                Some(Decision::Answer(_)) => tally.answers += 1,
                Some(Decision::Replay { .. }) => tally.replays += 1,
                Some(Decision::NotRun { reason, .. }) => {
                    tally.not_run += 1;
                    if ran {
                        tally.breaches.push(format!("{key} ran, then: {reason}"));
                    }
                }
                Some(Decision::Unknown { .. }) => tally.unknown += 1,
                Some(Decision::Failed(error)) => tally.breaches.push(error.to_string()),
                None => {}
            }
        })
    }

    fn minted_by(&mut self, home: u8) -> Option<String> {
        if !self.minted.contains_key(&home) {
            let once = self.fleet.once(self.someone(home))?;
            self.minted.insert(home, once.mint().ok()?);
        }
        self.minted.get(&home).cloned()
    }

    /// A listed daemon.
    fn someone(&self, number: u8) -> usize {
        self.listed[usize::from(number) % self.listed.len()]
    }

    async fn disturb(&mut self, event: &Event) {
        match event {
            Event::Kill(number) => self.fleet.kill(self.someone(*number)),
            Event::Restart { number, lagging } => self.restart(self.someone(*number), *lagging),
            Event::HandOver(number) => {
                if let Some(once) = self.fleet.once(self.someone(*number)) {
                    compio::runtime::spawn(async move {
                        once.hand_over().await;
                    })
                    .detach();
                }
            }
            Event::Freeze(number) => self.fleet.freeze(self.someone(*number)),
            Event::Thaw(number) => self.fleet.thaw(self.someone(*number)),
            Event::Cut(mask) => {
                let away = (0..DAEMONS + SPARES).filter(|number| mask >> (number % 8) & 1 == 1);
                self.fleet.cut(&away.collect::<Vec<_>>());
            }
            Event::Heal => self.fleet.heal(),
            Event::Noise { lost, doubled } => self.fleet.noise(Noise {
                lost_percent: if *lost { 15 } else { 0 },
                doubled_percent: if *doubled { 15 } else { 0 },
                delay_ms: 3,
            }),
            Event::Swap { leaves, heard_by } => self.swap(*leaves, *heard_by),
            Event::Rest(rest_ms) => sleep(Duration::from_millis((*rest_ms).into())).await,
            Event::Order { .. } | Event::OrderMinted { .. } | Event::OrderTimed { .. } => {}
        }
    }

    fn restart(&mut self, number: usize, lagging: bool) {
        self.fleet.kill(number);
        self.fleet.thaw(number);
        self.fleet.start(number);
        if lagging && self.revision > 1 {
            self.fleet.list(self.revision - 1, &self.former, &[number]);
        } else {
            self.fleet.list(self.revision, &self.listed, &[number]);
        }
    }

    fn swap(&mut self, leaves: u8, heard_by: u8) {
        if self.faults == Faults::FixedList {
            return;
        }
        let all = 0..DAEMONS + SPARES;
        let Some(joins) = all.clone().find(|number| !self.listed.contains(number)) else {
            return;
        };
        self.former = self.listed.clone();
        self.revision += 1;
        let place = usize::from(leaves) % self.listed.len();
        self.listed[place] = joins;
        if self.fleet.once(joins).is_none() {
            self.fleet.start(joins);
        }
        let hearers: Vec<usize> = all
            .filter(|number| *number == joins || heard_by >> (number % 8) & 1 == 1)
            .collect();
        self.fleet.list(self.revision, &self.listed, &hearers);
    }
}
