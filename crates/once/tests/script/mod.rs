//! Random scripts of orders and faults, and the guarantees checked in their runs.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use compio::runtime::Runtime;
use compio::time::sleep;
use futures_util::future::join_all;
use mangofront_once::{Decision, DisabledSafeguard};
use quickcheck::{Arbitrary, Gen};

use crate::fleet::{Fleet, LinkFaults, Upstream, uuid_v7_key};

const DAEMONS: usize = 5;
const SPARE_DAEMONS: usize = 3;
const KEYS: u8 = 4;

/// Faults that a script may contain.
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
    /// With a UUIDv7 key, either new or used before.
    OrderUuidV7 {
        at: u8,
        key: u8,
        upstream: Upstream,
    },
    Kill(u8),
    Restart {
        number: u8,
        with_previous_list: bool,
    },
    HandOver(u8),
    Freeze(u8),
    Unfreeze(u8),
    Partition(u8),
    Heal,
    LinkFaults {
        lost: bool,
        duplicated: bool,
    },
    /// Replaces a listed daemon; each bit of `informed` says whether a daemon gets
    /// the new list.
    ReplaceListed {
        leaving: u8,
        informed: u8,
    },
    Wait(u8),
}

#[derive(Debug, Clone)]
pub struct Script(Vec<Event>);

/// Results of some scripts.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    pub runs: u32,
    pub answers: u32,
    pub replays: u32,
    pub not_run: u32,
    pub unknown: u32,
    pub violations: Vec<String>,
}

fn upstream(generator: &mut Gen) -> Upstream {
    *generator
        .choose(&[
            Upstream::Answers,
            Upstream::Answers,
            Upstream::Answers,
            Upstream::Refuses,
            Upstream::BreaksConnection,
            Upstream::Slow(20),
            Upstream::StartsLate(15),
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
            12 | 13 => Self::OrderUuidV7 {
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
                with_previous_list: other % 2 == 0,
            },
            20 | 21 => Self::HandOver(at),
            22 => Self::Freeze(at),
            23 | 24 => Self::Unfreeze(at),
            25 => Self::Partition(at),
            26 | 27 => Self::Heal,
            28 => Self::LinkFaults {
                lost: at % 2 == 0,
                duplicated: other % 2 == 0,
            },
            29 => Self::ReplaceListed {
                leaving: at,
                informed: other,
            },
            _ => Self::Wait(at % 30),
        }
    }
}

impl Arbitrary for Script {
    fn arbitrary(generator: &mut Gen) -> Self {
        let length = generator.size();
        Self((0..length).map(|_| Event::arbitrary(generator)).collect())
    }
}

/// Runs `scripts` concurrently.
pub fn run_all(scripts: &[Script], faults: Faults, disabled: DisabledSafeguard) -> Tally {
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let runs = scripts
            .iter()
            .enumerate()
            .map(|(number, script)| async move {
                let fleet = Fleet::started_without(DAEMONS, number as u64, disabled).await;
                let runner = ScriptRunner::new(fleet, faults);
                runner.run(script).await
            });
        let mut sum = Tally::default();
        for tally in join_all(runs).await {
            sum.runs += tally.runs;
            sum.answers += tally.answers;
            sum.replays += tally.replays;
            sum.not_run += tally.not_run;
            sum.unknown += tally.unknown;
            sum.violations.extend(tally.violations);
        }
        sum
    })
}

struct ScriptRunner {
    fleet: Fleet,
    faults: Faults,
    tally: Rc<RefCell<Tally>>,
    minted_keys: BTreeMap<u8, String>,
    uuid_v7_keys: BTreeMap<u8, String>,
    listed: Vec<usize>,
    previous_list: Vec<usize>,
    revision: u64,
}

impl ScriptRunner {
    fn new(fleet: Fleet, faults: Faults) -> Self {
        let listed: Vec<usize> = (0..DAEMONS).collect();
        Self {
            fleet,
            faults,
            tally: Rc::default(),
            minted_keys: BTreeMap::new(),
            uuid_v7_keys: BTreeMap::new(),
            previous_list: listed.clone(),
            listed,
            revision: 1,
        }
    }

    async fn run(mut self, Script(events): &Script) -> Tally {
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
                Event::OrderUuidV7 { at, key, upstream } => {
                    let key = self
                        .uuid_v7_keys
                        .entry(*key)
                        .or_insert_with(uuid_v7_key)
                        .clone();
                    orders.push(self.order(*at, key, *upstream));
                }
                other => self.apply_event(other).await,
            }
            sleep(Duration::from_millis(1)).await;
        }
        for number in 0..DAEMONS + SPARE_DAEMONS {
            self.fleet.unfreeze(number);
        }
        self.fleet.heal();
        self.fleet.set_link_faults(LinkFaults::default());
        for order in orders {
            order.await.expect("no panic");
        }
        self.retry_all().await;
        self.tally.take()
    }

    /// Retries each key at several daemons after all faults have ended.
    async fn retry_all(&mut self) {
        let minted_keys = self
            .minted_keys
            .values()
            .chain(self.uuid_v7_keys.values())
            .cloned();
        let plain = (0..KEYS).map(|key| format!("plain-{key}"));
        let keys: Vec<String> = plain.chain(minted_keys).collect();
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
                tally.violations.push(format!("{key} ran {runs} times"));
            }
        }
        if self.fleet.violations() > 0 {
            tally
                .violations
                .push("the invariant at_most_once was violated".to_owned());
        }
    }

    fn order(&self, at: u8, key: String, upstream: Upstream) -> compio::runtime::JoinHandle<()> {
        let fleet = self.fleet.clone();
        let tally = Rc::clone(&self.tally);
        let at = self.listed_daemon(at);
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
                        tally.violations.push(format!("{key} ran, then: {reason}"));
                    }
                }
                Some(Decision::Unknown { .. }) => tally.unknown += 1,
                Some(Decision::Failed(error)) => tally.violations.push(error.to_string()),
                None => {}
            }
        })
    }

    fn minted_by(&mut self, home: u8) -> Option<String> {
        if !self.minted_keys.contains_key(&home) {
            let once = self.fleet.once(self.listed_daemon(home))?;
            self.minted_keys.insert(home, once.mint().ok()?);
        }
        self.minted_keys.get(&home).cloned()
    }

    /// Maps `number` to a listed daemon.
    fn listed_daemon(&self, number: u8) -> usize {
        self.listed[usize::from(number) % self.listed.len()]
    }

    async fn apply_event(&mut self, event: &Event) {
        match event {
            Event::Kill(number) => self.fleet.kill(self.listed_daemon(*number)),
            Event::Restart {
                number,
                with_previous_list,
            } => self.restart(self.listed_daemon(*number), *with_previous_list),
            Event::HandOver(number) => {
                if let Some(once) = self.fleet.once(self.listed_daemon(*number)) {
                    compio::runtime::spawn(async move {
                        once.hand_over().await;
                    })
                    .detach();
                }
            }
            Event::Freeze(number) => self.fleet.freeze(self.listed_daemon(*number)),
            Event::Unfreeze(number) => self.fleet.unfreeze(self.listed_daemon(*number)),
            Event::Partition(mask) => {
                let isolated =
                    (0..DAEMONS + SPARE_DAEMONS).filter(|number| mask >> (number % 8) & 1 == 1);
                self.fleet.partition(&isolated.collect::<Vec<_>>());
            }
            Event::Heal => self.fleet.heal(),
            Event::LinkFaults { lost, duplicated } => self.fleet.set_link_faults(LinkFaults {
                lost_percent: if *lost { 15 } else { 0 },
                duplicated_percent: if *duplicated { 15 } else { 0 },
                delay_ms: 3,
            }),
            Event::ReplaceListed { leaving, informed } => self.replace_listed(*leaving, *informed),
            Event::Wait(wait_ms) => sleep(Duration::from_millis((*wait_ms).into())).await,
            Event::Order { .. } | Event::OrderMinted { .. } | Event::OrderUuidV7 { .. } => {}
        }
    }

    fn restart(&mut self, number: usize, with_previous_list: bool) {
        self.fleet.kill(number);
        self.fleet.unfreeze(number);
        self.fleet.start(number);
        if with_previous_list && self.revision > 1 {
            self.fleet
                .set_list(self.revision - 1, &self.previous_list, &[number]);
        } else {
            self.fleet.set_list(self.revision, &self.listed, &[number]);
        }
    }

    fn replace_listed(&mut self, leaving: u8, informed: u8) {
        if self.faults == Faults::FixedList {
            return;
        }
        let all = 0..DAEMONS + SPARE_DAEMONS;
        let Some(joining) = all.clone().find(|number| !self.listed.contains(number)) else {
            return;
        };
        self.previous_list = self.listed.clone();
        self.revision += 1;
        let place = usize::from(leaving) % self.listed.len();
        self.listed[place] = joining;
        if self.fleet.once(joining).is_none() {
            self.fleet.start(joining);
        }
        let informed_daemons: Vec<usize> = all
            .filter(|number| *number == joining || informed >> (number % 8) & 1 == 1)
            .collect();
        self.fleet
            .set_list(self.revision, &self.listed, &informed_daemons);
    }
}
