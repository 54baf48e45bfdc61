//! The faults of a run, drawn from its seed.
//!
//! Faults overlap; each is healed after its time. Those that keep the news of a
//! leaving engine from a daemon are not begun while that news is checked.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

use super::{DAEMONS, ENGINES, Run, SERVICES, next_configuration};
use crate::fleet::Fleet;
use crate::link::{Mode, ZONES};
use crate::process::Process;

/// Longest pause between two faults.
const LONGEST_PAUSE_MS: u64 = 1500;

/// Time after which a leaving engine gets no work.
const LEAVING_AFTER: Duration = Duration::from_secs(3);

/// Time for which it is then watched.
const LEAVING_WATCHED: Duration = Duration::from_millis(1500);

/// What heals a fault.
#[derive(Debug, Clone, Copy)]
enum Heal {
    StartDaemon(usize),
    WakeDaemon(usize),
    AwaitStop(usize),
    Link(usize, usize),
    Platform(usize),
    StartEngine(usize),
    WakeEngine(usize),
    Engine(usize),
    Service(usize),
}

/// A leaving engine that is being watched.
#[derive(Debug)]
struct Leaving {
    engine: usize,
    since: Instant,
    started: Option<u64>,
}

/// The faults of one run and the processes they befall.
#[derive(Debug)]
pub struct Faults {
    random: StdRng,
    daemons: Vec<Process>,
    engines: Vec<Process>,
    /// Daemons that are stopped, frozen or dead.
    away: [bool; DAEMONS],
    engines_away: [bool; ENGINES],
    healing: Vec<(Instant, Heal)>,
    leaving: Option<Leaving>,
    pub newest_revision: u64,
    pub counts: BTreeMap<&'static str, u64>,
}

impl Faults {
    pub fn new(seed: u64, fleet: &mut Fleet) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            daemons: std::mem::take(&mut fleet.daemons),
            engines: std::mem::take(&mut fleet.engines),
            away: [false; DAEMONS],
            engines_away: [false; ENGINES],
            healing: Vec::new(),
            leaving: None,
            newest_revision: fleet.revision(0),
            counts: BTreeMap::new(),
        }
    }

    /// Brings one fault about, after a pause in which others are healed.
    pub fn next(&mut self, run: &Run) {
        let pause = self.random.random_range(200..LONGEST_PAUSE_MS);
        let until = Instant::now() + Duration::from_millis(pause);
        while Instant::now() < until {
            self.heal_due(run, Instant::now());
            self.watch_leaving(run);
            self.check_daemons();
            thread::sleep(Duration::from_millis(20));
        }
        let kind = self.random.random_range(0..12);
        let place: usize = self.random.random_range(0..DAEMONS);
        let time = Duration::from_millis(self.random.random_range(300..4000));
        let name = self.begin(run, kind, place, time);
        *self.counts.entry(name).or_default() += 1;
    }

    fn begin(&mut self, run: &Run, kind: u32, place: usize, time: Duration) -> &'static str {
        let hides_news = matches!(kind, 0..=5);
        if hides_news && self.leaving.is_some() {
            return "none";
        }
        match kind {
            0 => self.kill_daemon(run, place, time),
            1 => self.freeze_daemon(run, place, time),
            2 => self.link(run, place, Mode::Hold, time),
            3 => self.link(run, place, Mode::Cut, time),
            4 => self.platform(run, place, time),
            5 => self.platform_absent(run, place, time),
            6 => self.leave(run, place),
            7 => self.publish(run),
            8 => self.stop_daemon(run, place, time),
            9 => self.kill_engine(run, place, time),
            10 => self.freeze_engine(place, time),
            _ => self.trouble_upstream(run, place, time),
        }
    }

    fn heal_at(&mut self, time: Duration, heal: Heal) {
        self.healing.push((Instant::now() + time, heal));
    }

    fn kill_daemon(&mut self, run: &Run, daemon: usize, time: Duration) -> &'static str {
        if self.away[daemon] {
            return "none";
        }
        self.away[daemon] = true;
        run.disturbed[daemon].fetch_add(1, Ordering::SeqCst);
        run.killed[daemon].fetch_add(1, Ordering::SeqCst);
        self.daemons[daemon].kill();
        run.killed[daemon].fetch_add(1, Ordering::SeqCst);
        self.heal_at(time, Heal::StartDaemon(daemon));
        "daemon killed"
    }

    fn freeze_daemon(&mut self, run: &Run, daemon: usize, time: Duration) -> &'static str {
        if self.away[daemon] {
            return "none";
        }
        self.away[daemon] = true;
        run.disturbed[daemon].fetch_add(1, Ordering::SeqCst);
        self.daemons[daemon].signal("STOP");
        self.heal_at(time, Heal::WakeDaemon(daemon));
        "daemon frozen"
    }

    fn stop_daemon(&mut self, run: &Run, daemon: usize, time: Duration) -> &'static str {
        if self.away[daemon] {
            return "none";
        }
        self.away[daemon] = true;
        run.disturbed[daemon].fetch_add(1, Ordering::SeqCst);
        self.daemons[daemon].signal("TERM");
        self.heal_at(time, Heal::AwaitStop(daemon));
        "daemon stopped"
    }

    fn link(&mut self, run: &Run, place: usize, mode: Mode, time: Duration) -> &'static str {
        let (one, other) = [(0, 1), (0, 2), (1, 2)][place % ZONES];
        run.fleet.links().set(one, other, mode);
        self.heal_at(time, Heal::Link(one, other));
        if mode == Mode::Hold {
            "zones held apart"
        } else {
            "zones cut"
        }
    }

    fn platform(&mut self, run: &Run, place: usize, time: Duration) -> &'static str {
        let control = json!({"stale": true});
        run.fleet.platform(place).post("/control", &control);
        self.heal_at(time, Heal::Platform(place % ZONES));
        "platform stale"
    }

    fn platform_absent(&mut self, run: &Run, place: usize, time: Duration) -> &'static str {
        let switch = if place < ZONES {
            "down"
        } else {
            "hang_watches"
        };
        run.fleet
            .platform(place)
            .post("/control", &json!({switch: true}));
        self.heal_at(time, Heal::Platform(place % ZONES));
        "platform down or hanging"
    }

    fn publish(&mut self, run: &Run) -> &'static str {
        if self.random.random_ratio(1, 4) {
            let invalid = json!({"classes": {"review": {"weight": 3}}});
            run.fleet.publish("configuration", &invalid);
            // A revision is used up, and the next one has to be valid.
            self.newest_revision += 1;
        }
        self.newest_revision += 1;
        let next = next_configuration(run, self.newest_revision);
        run.fleet.publish("configuration", &next);
        "configuration"
    }

    /// Publishes an engine as leaving, when every daemon can hear of it.
    fn leave(&mut self, run: &Run, engine: usize) -> &'static str {
        let hidden = |heal: &Heal| {
            matches!(
                heal,
                Heal::Link(..) | Heal::Platform(_) | Heal::WakeDaemon(_) | Heal::StartDaemon(_)
            )
        };
        if self.leaving.is_some() || self.healing.iter().any(|(_, heal)| hidden(heal)) {
            return "none";
        }
        let name = format!("engine-{engine}");
        let list = run.fleet.instances_with_leaving(&[&name]);
        run.fleet.publish("instances", &list);
        self.leaving = Some(Leaving {
            engine,
            since: Instant::now(),
            started: None,
        });
        "engine leaving"
    }

    fn watch_leaving(&mut self, run: &Run) {
        let Some(leaving) = &mut self.leaving else {
            return;
        };
        let engine = leaving.engine;
        let time = leaving.since.elapsed();
        if time < LEAVING_AFTER {
            return;
        }
        if self.engines_away[engine] {
            self.end_leaving(run);
            return;
        }
        let started = run.fleet.engine_counter(engine, "started");
        let before = *leaving.started.get_or_insert(started);
        assert_eq!(
            started, before,
            "engine-{engine} got work {time:?} after it left"
        );
        if time > LEAVING_AFTER + LEAVING_WATCHED {
            self.end_leaving(run);
        }
    }

    fn end_leaving(&mut self, run: &Run) {
        self.leaving = None;
        let list = run.fleet.instances_with_leaving(&[]);
        run.fleet.publish("instances", &list);
    }

    fn kill_engine(&mut self, run: &Run, engine: usize, time: Duration) -> &'static str {
        if self.engines_away[engine] {
            return "none";
        }
        self.engines_away[engine] = true;
        if self.random.random() {
            self.engines[engine].kill();
        } else {
            let die = json!({"die_after_tokens": 30});
            run.fleet.engine(engine).post("/control", &die);
        }
        self.heal_at(time, Heal::StartEngine(engine));
        "engine died"
    }

    fn freeze_engine(&mut self, engine: usize, time: Duration) -> &'static str {
        if self.engines_away[engine] {
            return "none";
        }
        self.engines_away[engine] = true;
        self.engines[engine].signal("STOP");
        self.heal_at(time, Heal::WakeEngine(engine));
        "engine frozen"
    }

    fn trouble_upstream(&mut self, run: &Run, place: usize, time: Duration) -> &'static str {
        if place < SERVICES {
            let switch = ["break_before_run", "break_after_run"][place % 2];
            run.fleet
                .service(place)
                .post("/control", &json!({switch: true}));
            self.heal_at(time, Heal::Service(place));
            return "service breaks";
        }
        if self.engines_away[place] {
            return "none";
        }
        let control =
            json!({"slow_factor": 10.0, "nonsense_load": true, "drop_cache_events": true});
        run.fleet.engine(place).post("/control", &control);
        self.heal_at(time, Heal::Engine(place));
        "engine slow and lying"
    }

    /// Heals what is due.
    fn heal_due(&mut self, run: &Run, now: Instant) {
        let (due, later): (Vec<_>, Vec<_>) = self.healing.drain(..).partition(|(at, _)| *at <= now);
        self.healing = later;
        for (_, heal) in due {
            self.heal_one(run, heal);
        }
    }

    /// Heals everything.
    pub fn heal(&mut self, run: &Run) {
        for (_, heal) in std::mem::take(&mut self.healing) {
            self.heal_one(run, heal);
        }
        if self.leaving.is_some() {
            self.end_leaving(run);
        }
    }

    fn heal_one(&mut self, run: &Run, heal: Heal) {
        let fleet = &run.fleet;
        match heal {
            Heal::StartDaemon(daemon) => self.start_daemon(run, daemon),
            Heal::AwaitStop(daemon) => {
                let code = self.daemons[daemon].exit_code();
                assert_eq!(code, Some(0), "entry-{daemon} stops as planned");
                self.start_daemon(run, daemon);
            }
            Heal::WakeDaemon(daemon) => {
                self.daemons[daemon].signal("CONT");
                run.disturbed[daemon].fetch_add(1, Ordering::SeqCst);
                self.away[daemon] = false;
            }
            Heal::Link(one, other) => fleet.links().set(one, other, Mode::Pass),
            Heal::Platform(zone) => {
                let control = json!({"stale": false, "down": false, "hang_watches": false});
                fleet.platform(zone).post("/control", &control);
            }
            Heal::StartEngine(engine) => {
                self.engines[engine].kill();
                self.engines[engine] = fleet.start_engine(engine);
                self.engines_away[engine] = false;
            }
            Heal::WakeEngine(engine) => {
                self.engines[engine].signal("CONT");
                self.engines_away[engine] = false;
            }
            Heal::Engine(engine) => {
                let control =
                    json!({"slow_factor": 1.0, "nonsense_load": false, "drop_cache_events": false});
                fleet.engine(engine).post("/control", &control);
            }
            Heal::Service(service) => {
                let control = json!({"break_before_run": false, "break_after_run": false});
                fleet.service(service).post("/control", &control);
            }
        }
    }

    fn start_daemon(&mut self, run: &Run, daemon: usize) {
        self.daemons[daemon] = run.fleet.start_daemon(daemon);
        run.disturbed[daemon].fetch_add(1, Ordering::SeqCst);
        self.away[daemon] = false;
    }

    /// Sees to it that no daemon ended by itself.
    pub fn check_daemons(&mut self) {
        for (daemon, process) in self.daemons.iter_mut().enumerate() {
            let ended = !self.away[daemon] && process.has_ended();
            assert!(!ended, "entry-{daemon} ended by itself");
        }
    }
}
