//! Fault injection of a soak run, drawn from its seed.
//!
//! Faults overlap, and each is healed after its duration. While a leaving engine is
//! checked for new work, no fault is injected that could delay the update that it is
//! leaving.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

use super::{DAEMONS, ENGINES, Run, SERVICES, unique_configuration};
use crate::fleet::Fleet;
use crate::link::{LinkMode, ZONES};
use crate::process::Process;

/// Upper bound of the pause between two faults.
const MAX_PAUSE_MS: u64 = 1500;

/// Time within which daemons stop sending work to a leaving engine.
const LEAVING_DEADLINE: Duration = Duration::from_secs(3);

/// Duration for which the engine is then checked for new work.
const LEAVING_CHECK_DURATION: Duration = Duration::from_millis(1500);

/// Action that heals a fault.
#[derive(Debug, Clone, Copy)]
enum Heal {
    StartDaemon(usize),
    ResumeDaemon(usize),
    AwaitStop(usize),
    RestoreLink(usize, usize),
    RestorePlatform(usize),
    StartEngine(usize),
    ResumeEngine(usize),
    RestoreEngine(usize),
    RestoreService(usize),
}

/// A leaving engine that is checked for new work.
#[derive(Debug)]
struct Leaving {
    engine: usize,
    since: Instant,
    /// Number of requests that it had started at [`LEAVING_DEADLINE`].
    started: Option<u64>,
}

/// Injects the faults of one run, and owns the processes that they affect.
#[derive(Debug)]
pub struct Faults {
    random: StdRng,
    daemons: Vec<Process>,
    engines: Vec<Process>,
    /// Daemons that are stopped, frozen or killed.
    daemons_unavailable: [bool; DAEMONS],
    engines_unavailable: [bool; ENGINES],
    pending_heals: Vec<(Instant, Heal)>,
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
            daemons_unavailable: [false; DAEMONS],
            engines_unavailable: [false; ENGINES],
            pending_heals: Vec::new(),
            leaving: None,
            newest_revision: fleet.revision(0),
            counts: BTreeMap::new(),
        }
    }

    /// Injects one fault, after a pause in which expired faults are healed.
    pub fn inject_next(&mut self, run: &Run) {
        let pause = self.random.random_range(200..MAX_PAUSE_MS);
        let until = Instant::now() + Duration::from_millis(pause);
        while Instant::now() < until {
            self.heal_expired(run, Instant::now());
            self.check_leaving_engine(run);
            self.check_daemons();
            thread::sleep(Duration::from_millis(20));
        }
        let fault = self.random.random_range(0..12);
        let target: usize = self.random.random_range(0..DAEMONS);
        let time = Duration::from_millis(self.random.random_range(300..4000));
        let name = self.inject(run, fault, target, time);
        *self.counts.entry(name).or_default() += 1;
    }

    fn inject(&mut self, run: &Run, fault: u32, target: usize, time: Duration) -> &'static str {
        let delays_updates = matches!(fault, 0..=5);
        if delays_updates && self.leaving.is_some() {
            return "none";
        }
        match fault {
            0 => self.kill_daemon(run, target, time),
            1 => self.freeze_daemon(run, target, time),
            2 => self.partition_zones(run, target, LinkMode::Stall, time),
            3 => self.partition_zones(run, target, LinkMode::Disconnect, time),
            4 => self.make_platform_stale(run, target, time),
            5 => self.make_platform_unavailable(run, target, time),
            6 => self.publish_leaving_engine(run, target),
            7 => self.publish(run),
            8 => self.stop_daemon(run, target, time),
            9 => self.kill_engine(run, target, time),
            10 => self.freeze_engine(target, time),
            _ => self.degrade_upstream(run, target, time),
        }
    }

    fn schedule_heal(&mut self, time: Duration, heal: Heal) {
        self.pending_heals.push((Instant::now() + time, heal));
    }

    fn kill_daemon(&mut self, run: &Run, daemon: usize, time: Duration) -> &'static str {
        if self.daemons_unavailable[daemon] {
            return "none";
        }
        self.daemons_unavailable[daemon] = true;
        run.disturbances[daemon].fetch_add(1, Ordering::SeqCst);
        run.kills[daemon].fetch_add(1, Ordering::SeqCst);
        self.daemons[daemon].kill();
        run.kills[daemon].fetch_add(1, Ordering::SeqCst);
        self.schedule_heal(time, Heal::StartDaemon(daemon));
        "daemon killed"
    }

    fn freeze_daemon(&mut self, run: &Run, daemon: usize, time: Duration) -> &'static str {
        if self.daemons_unavailable[daemon] {
            return "none";
        }
        self.daemons_unavailable[daemon] = true;
        run.disturbances[daemon].fetch_add(1, Ordering::SeqCst);
        self.daemons[daemon].signal("STOP");
        self.schedule_heal(time, Heal::ResumeDaemon(daemon));
        "daemon frozen"
    }

    fn stop_daemon(&mut self, run: &Run, daemon: usize, time: Duration) -> &'static str {
        if self.daemons_unavailable[daemon] {
            return "none";
        }
        self.daemons_unavailable[daemon] = true;
        run.disturbances[daemon].fetch_add(1, Ordering::SeqCst);
        self.daemons[daemon].signal("TERM");
        self.schedule_heal(time, Heal::AwaitStop(daemon));
        "daemon stopped"
    }

    fn partition_zones(
        &mut self,
        run: &Run,
        target: usize,
        mode: LinkMode,
        time: Duration,
    ) -> &'static str {
        let (one, other) = [(0, 1), (0, 2), (1, 2)][target % ZONES];
        run.fleet.links().set_mode(one, other, mode);
        self.schedule_heal(time, Heal::RestoreLink(one, other));
        if mode == LinkMode::Stall {
            "zones stalled"
        } else {
            "zones disconnected"
        }
    }

    fn make_platform_stale(&mut self, run: &Run, target: usize, time: Duration) -> &'static str {
        let control = json!({"stale": true});
        run.fleet.platform_client(target).post("/control", &control);
        self.schedule_heal(time, Heal::RestorePlatform(target % ZONES));
        "platform stale"
    }

    fn make_platform_unavailable(
        &mut self,
        run: &Run,
        target: usize,
        time: Duration,
    ) -> &'static str {
        let switch = if target < ZONES {
            "down"
        } else {
            "hang_watches"
        };
        run.fleet
            .platform_client(target)
            .post("/control", &json!({switch: true}));
        self.schedule_heal(time, Heal::RestorePlatform(target % ZONES));
        "platform down or hanging"
    }

    fn publish(&mut self, run: &Run) -> &'static str {
        if self.random.random_ratio(1, 4) {
            let invalid = json!({"classes": {"review": {"weight": 3}}});
            run.fleet.publish("configuration", &invalid);
            // The invalid value takes a revision, so the next one must be valid.
            self.newest_revision += 1;
        }
        self.newest_revision += 1;
        let next = unique_configuration(run, self.newest_revision);
        run.fleet.publish("configuration", &next);
        "configuration"
    }

    /// Publishes an engine as leaving, unless a fault could delay the update at a daemon.
    fn publish_leaving_engine(&mut self, run: &Run, engine: usize) -> &'static str {
        let delays_updates = |heal: &Heal| {
            matches!(
                heal,
                Heal::RestoreLink(..)
                    | Heal::RestorePlatform(_)
                    | Heal::ResumeDaemon(_)
                    | Heal::StartDaemon(_)
            )
        };
        if self.leaving.is_some()
            || self
                .pending_heals
                .iter()
                .any(|(_, heal)| delays_updates(heal))
        {
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

    fn check_leaving_engine(&mut self, run: &Run) {
        let Some(leaving) = &mut self.leaving else {
            return;
        };
        let engine = leaving.engine;
        let time = leaving.since.elapsed();
        if time < LEAVING_DEADLINE {
            return;
        }
        if self.engines_unavailable[engine] {
            self.end_leaving(run);
            return;
        }
        let started = run.fleet.engine_counter(engine, "started");
        let before = *leaving.started.get_or_insert(started);
        assert_eq!(
            started, before,
            "engine-{engine} got work {time:?} after it was published as leaving"
        );
        if time > LEAVING_DEADLINE + LEAVING_CHECK_DURATION {
            self.end_leaving(run);
        }
    }

    fn end_leaving(&mut self, run: &Run) {
        self.leaving = None;
        let list = run.fleet.instances_with_leaving(&[]);
        run.fleet.publish("instances", &list);
    }

    fn kill_engine(&mut self, run: &Run, engine: usize, time: Duration) -> &'static str {
        if self.engines_unavailable[engine] {
            return "none";
        }
        self.engines_unavailable[engine] = true;
        if self.random.random() {
            self.engines[engine].kill();
        } else {
            let die = json!({"die_after_tokens": 30});
            run.fleet.engine_client(engine).post("/control", &die);
        }
        self.schedule_heal(time, Heal::StartEngine(engine));
        "engine died"
    }

    fn freeze_engine(&mut self, engine: usize, time: Duration) -> &'static str {
        if self.engines_unavailable[engine] {
            return "none";
        }
        self.engines_unavailable[engine] = true;
        self.engines[engine].signal("STOP");
        self.schedule_heal(time, Heal::ResumeEngine(engine));
        "engine frozen"
    }

    fn degrade_upstream(&mut self, run: &Run, target: usize, time: Duration) -> &'static str {
        if target < SERVICES {
            let switch = ["break_before_run", "break_after_run"][target % 2];
            run.fleet
                .service_client(target)
                .post("/control", &json!({switch: true}));
            self.schedule_heal(time, Heal::RestoreService(target));
            return "service breaks";
        }
        if self.engines_unavailable[target] {
            return "none";
        }
        let control =
            json!({"slow_factor": 10.0, "nonsense_load": true, "drop_cache_events": true});
        run.fleet.engine_client(target).post("/control", &control);
        self.schedule_heal(time, Heal::RestoreEngine(target));
        "engine slow with false load reports"
    }

    /// Heals the faults whose duration has passed.
    fn heal_expired(&mut self, run: &Run, now: Instant) {
        let (due, later): (Vec<_>, Vec<_>) =
            self.pending_heals.drain(..).partition(|(at, _)| *at <= now);
        self.pending_heals = later;
        for (_, heal) in due {
            self.heal_one(run, heal);
        }
    }

    /// Heals all faults.
    pub fn heal_all(&mut self, run: &Run) {
        for (_, heal) in std::mem::take(&mut self.pending_heals) {
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
                assert_eq!(code, Some(0), "entry-{daemon} shuts down gracefully");
                self.start_daemon(run, daemon);
            }
            Heal::ResumeDaemon(daemon) => {
                self.daemons[daemon].signal("CONT");
                run.disturbances[daemon].fetch_add(1, Ordering::SeqCst);
                self.daemons_unavailable[daemon] = false;
            }
            Heal::RestoreLink(one, other) => fleet.links().set_mode(one, other, LinkMode::Forward),
            Heal::RestorePlatform(zone) => {
                let control = json!({"stale": false, "down": false, "hang_watches": false});
                fleet.platform_client(zone).post("/control", &control);
            }
            Heal::StartEngine(engine) => {
                self.engines[engine].kill();
                self.engines[engine] = fleet.start_engine(engine);
                self.engines_unavailable[engine] = false;
            }
            Heal::ResumeEngine(engine) => {
                self.engines[engine].signal("CONT");
                self.engines_unavailable[engine] = false;
            }
            Heal::RestoreEngine(engine) => {
                let control =
                    json!({"slow_factor": 1.0, "nonsense_load": false, "drop_cache_events": false});
                fleet.engine_client(engine).post("/control", &control);
            }
            Heal::RestoreService(service) => {
                let control = json!({"break_before_run": false, "break_after_run": false});
                fleet.service_client(service).post("/control", &control);
            }
        }
    }

    fn start_daemon(&mut self, run: &Run, daemon: usize) {
        self.daemons[daemon] = run.fleet.start_daemon(daemon);
        run.disturbances[daemon].fetch_add(1, Ordering::SeqCst);
        self.daemons_unavailable[daemon] = false;
    }

    /// Asserts that no daemon exited by itself.
    pub fn check_daemons(&mut self) {
        for (daemon, process) in self.daemons.iter_mut().enumerate() {
            let exited = !self.daemons_unavailable[daemon] && process.has_ended();
            assert!(!exited, "entry-{daemon} exited by itself");
        }
    }
}
