//! Plays one case: `cases N FOLDER`. Exit code 1: the rule was broken; 0: it held; 2: it couldn't run.

mod world;

use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use world::{
    Answer, Arrival, Call, Daemon, KEY, Machine, Runner, RunnerOptions, TENANT, World, call,
    call_and_leave, kill_all, ms, plain_body, unix_ms,
};

/// Result of a case.
enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(name), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: cases NAME FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the case took too long");
        kill_all();
        exit(2);
    });
    let world = World::new(&PathBuf::from(folder));
    let outcome = match name.as_str() {
        "split-coordinators" => split_coordinators(&world, has_trouble),
        "revoked-key" => revoked_key(&world, has_trouble),
        "entry-of-another-writer" => entry_of_another_writer(&world, has_trouble),
        "stale-examination" => stale_examination(&world, has_trouble),
        other => Outcome::NotRun(format!("no case {other}")),
    };
    let (code, text) = match outcome {
        Outcome::Held => (0, "held".to_owned()),
        Outcome::Broken => (1, "broken".to_owned()),
        Outcome::NotRun(reason) => (2, format!("not run: {reason}")),
    };
    world.record.add(format!("the rule: {text}"));
    println!("{name}: {text}");
    drop(world);
    exit(code);
}

// ---------------------------------------------------------------- shared

/// Bounds of the small deployments, as SYSTEM lists them.
fn small_scalars() -> Vec<(&'static str, String)> {
    [
        ("limits.memory_mb", "260"),
        ("limits.cpu_share", "1"),
        ("bounds.revoke_ms", "5000"),
        ("bounds.config_ms", "2000"),
        ("bounds.drain_ms", "2000"),
        ("bounds.budget_ratio", "0.2"),
        ("bounds.budget_slack", "100"),
        ("bounds.stall_ms", "1500"),
        ("bounds.budget_window_s", "10"),
        ("bounds.grace_s", "8"),
    ]
    .map(|(name, value)| (name, value.to_owned()))
    .to_vec()
}

fn machine(world: &World, last: usize, zone: &str, seeds: &[usize]) -> Machine {
    Machine {
        ip: world.ip(last),
        zone: zone.to_owned(),
        seeds: seeds.iter().map(|seed| world.ip(*seed)).collect(),
        scalars: small_scalars(),
        zones: ["hall-a", "hall-b", "hall-c"].map(str::to_owned).to_vec(),
        region: "ulaanbaatar".to_owned(),
        platform: world.store.address,
    }
}

/// A machine with the bounds and zones of the site limmatau-umzug-grown.
fn grown_machine(world: &World, last: usize, zone: &str, seeds: &[usize]) -> Machine {
    let mut machine = machine(world, last, zone, seeds);
    machine.zones = ["zh-a", "zh-b", "zh-c"].map(str::to_owned).to_vec();
    machine.region = "ch-zh".to_owned();
    for (name, value) in &mut machine.scalars {
        match *name {
            "bounds.config_ms" | "bounds.drain_ms" => *value = "3000".to_owned(),
            "bounds.budget_slack" => *value = "218".to_owned(),
            _ => {}
        }
    }
    machine
}

/// `drain_ms` of the site limmatau-umzug-grown.
const GROWN_DRAIN: Duration = Duration::from_millis(3_000);

struct Route<'a> {
    prefix: &'a str,
    kind: &'a str,
    service: &'a str,
    attempts: u32,
    is_anonymous: bool,
}

fn configuration(version: u64, routes: &[Route<'_>], cold: (f64, f64), keys: &[&str]) -> String {
    let route = |route: &Route<'_>| {
        let is_stream = route.kind == "stream";
        format!(
            "{{\"name\":\"r{}\",\"host\":\"{}\",\"prefix\":\"{}\",\"kind\":\"{}\",\"timeout_ms\":{},\
             \"target_latency_ms\":300,\"priority\":1,\"service\":\"{}\",\"attempts\":{},\
             \"allow_anonymous\":{},\"sticky_sessions\":{is_stream},\"resumable\":{is_stream},\"gap_aim_ms\":250}}",
            route.prefix.replace('/', ""),
            world::HOST,
            route.prefix,
            route.kind,
            if is_stream { 10000 } else { 2000 },
            route.service,
            route.attempts,
            route.is_anonymous
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"llm-pool\",\"health_path\":\"/health\",\"max_connections\":354,\"protocol\":\"h1\",\
         \"tls\":false,\"cold_start_s\":{},\"cold_per_s\":{},\"engine\":{{\"slots\":12,\"kv_tokens\":197200,\
         \"stride\":48,\"step_ms\":1.02,\"per_seq_ms\":0.00226,\"context_per_k\":0.00431,\"read_per_s\":206000.0,\
         \"pairs_per_m\":0.138,\"chunk\":2048,\"report_lag_ms\":200.0,\"hop_ms\":0.075}}}},\
         {{\"name\":\"fleet-ops\",\"health_path\":\"/health\",\"max_connections\":96,\"protocol\":\"h1\",\
         \"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"{TENANT}\",\"api_keys\":[{}],\"priority\":1}},\
         {{\"name\":\"tenant-two\",\"api_keys\":[\"key-two\"],\"priority\":1}}]}}",
        routes.join(","),
        cold.0,
        cold.1,
        keys.join(",")
    )
}

fn runner(world: &World, id: &str, service: &str, zone: &str, last: usize) -> RunnerOptions {
    RunnerOptions {
        id: id.to_owned(),
        service: service.to_owned(),
        zone: zone.to_owned(),
        address: world.runner_address(last),
        born_ms: unix_ms(),
        work: ms(20),
        status: 200,
        events: 0,
        heartbeat: ms(1200),
        is_plain: false,
    }
}

fn get(id: impl Into<String>, path: &str, key: Option<&str>) -> Call {
    Call {
        id: id.into(),
        method: "GET",
        path: path.to_owned(),
        key: key.map(str::to_owned),
        tokens: None,
        deadline: ms(4000),
    }
}

fn start_all(world: &World, daemons: &mut [Daemon]) -> Result<(), Outcome> {
    for daemon in daemons.iter_mut() {
        daemon.start();
    }
    let is_ready = world.wait(ms(15_000), || daemons.iter().all(Daemon::is_ready));
    match is_ready {
        true => Ok(()),
        false => Err(Outcome::NotRun(
            "the daemons did not become ready".to_owned(),
        )),
    }
}

// ---------------------------------------------------------------- cases

/// FAILBACK: daemons whose seeds were down as they started never find each other, and each of them
/// lets a cold runner have the whole rate.
fn split_coordinators(world: &World, has_trouble: bool) -> Outcome {
    const PER_S: f64 = 14.0;
    const COLD: Duration = Duration::from_secs(3);
    // cold_per_s x cold_over + cold_slack
    const BOUND: usize = 26;
    // The daemons learn of a cold runner from the store.
    const SETTLE: Duration = Duration::from_millis(1000);
    let zones = ["zh-a", "zh-a", "zh-b", "zh-b", "zh-c", "zh-c"];
    let seeds = [10, 12, 14];
    let mut daemons: Vec<Daemon> = zones
        .iter()
        .enumerate()
        .map(|(index, zone)| {
            let machine = grown_machine(world, 10 + index, zone, &seeds);
            Daemon::new(machine, &world.folder)
        })
        .collect();
    let routes = [Route {
        prefix: "/quote/",
        kind: "stream",
        service: "llm-pool",
        attempts: 2,
        is_anonymous: false,
    }];
    world.store.put(
        "op/config",
        &configuration(1, &routes, (COLD.as_secs_f64(), PER_S), &[KEY]),
    );
    let runners: Vec<Arc<Runner>> = [("i-a", "zh-a", 100), ("i-b", "zh-a", 101)]
        .into_iter()
        .map(|(id, zone, last)| {
            let options = RunnerOptions {
                events: 3,
                ..runner(world, id, "llm-pool", zone, last)
            };
            Runner::start(options, &world.store, &world.record)
        })
        .collect();
    if let Err(outcome) = start_all(world, &mut daemons) {
        return outcome;
    }
    thread::sleep(ms(6_000));
    let remaining = [1, 3, 5];
    if has_trouble {
        world
            .record
            .add("all processes are killed at once; the seeds' machines stay without power");
        for daemon in &mut daemons {
            daemon.kill();
        }
        thread::sleep(ms(500));
        for index in remaining {
            daemons[index].start();
        }
        world
            .record
            .add("the other machines' processes start again");
        thread::sleep(ms(2_500));
        world
            .record
            .add("the settings name the machines that run as seeds; SIGHUP");
        for index in remaining {
            daemons[index].machine.seeds = remaining.iter().map(|one| world.ip(10 + one)).collect();
            daemons[index].write_settings();
            daemons[index].signal("HUP");
        }
        if !world.wait(ms(15_000), || {
            remaining.iter().all(|index| daemons[*index].is_ready())
        }) {
            return Outcome::NotRun("the daemons did not become ready again".to_owned());
        }
    }
    // Shares are lent some seconds after a start.
    thread::sleep(ms(12_000));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for index in remaining {
        for client in 0..4 {
            let (to, is_over) = (daemons[index].front(), Arc::clone(&is_over));
            let record = Arc::clone(&world.record);
            clients.push(thread::spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let request = Call {
                        method: "POST",
                        tokens: Some((5000, 100)),
                        ..get(
                            format!("q-{index}-{client}-{number}"),
                            "/quote/1",
                            Some(KEY),
                        )
                    };
                    let began = Instant::now();
                    call(to, &request, &record);
                    thread::sleep(ms(100).saturating_sub(began.elapsed()));
                }
            }));
        }
    }
    thread::sleep(ms(2_000));
    let mut worst = (0, String::new());
    for round in 1..=3 {
        let told = runners
            .iter()
            .map(|runner| runner.become_cold(COLD))
            .max()
            .unwrap();
        world.record.add(format!(
            "both runners are cold for {COLD:?} (round {round})"
        ));
        thread::sleep(COLD + ms(1_500));
        for runner in &runners {
            let from = told + SETTLE;
            let until = told + COLD - ms(100);
            let times: Vec<Instant> = runner
                .arrivals()
                .iter()
                .filter(|arrival| arrival.has_run && arrival.at >= from && arrival.at < until)
                .map(|arrival| arrival.at)
                .collect();
            let most = most_within(&times, Duration::from_secs(1));
            world.record.add(format!(
                "round {round}: runner {} got at most {most} requests in one second while cold, of {BOUND} allowed",
                runner.options.id
            ));
            if most > worst.0 {
                worst = (most, runner.options.id.clone());
            }
        }
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    println!(
        "most requests to a cold runner in one second: {} at {}, allowed {BOUND}",
        worst.0, worst.1
    );
    match worst.0 {
        0 => Outcome::NotRun("no request reached a cold runner".to_owned()),
        most if most > BOUND => Outcome::Broken,
        _ => Outcome::Held,
    }
}

/// The most moments in any span of `window`.
fn most_within(times: &[Instant], window: Duration) -> usize {
    let mut times = times.to_vec();
    times.sort();
    let mut from = 0;
    let mut most = 0;
    for (index, at) in times.iter().enumerate() {
        while *at - times[from] >= window {
            from += 1;
        }
        most = most.max(index + 1 - from);
    }
    most
}

fn grown_fleet(world: &World) -> Vec<Daemon> {
    let zones = ["zh-a", "zh-b", "zh-c"];
    let machines = zones.iter().enumerate();
    machines
        .map(|(index, zone)| {
            let machine = grown_machine(world, 10 + index, zone, &[10, 11, 12]);
            Daemon::new(machine, &world.folder)
        })
        .collect()
}

fn small_fleet(world: &World) -> Vec<Daemon> {
    let zones = ["hall-a", "hall-b", "hall-c"];
    let machines = zones.iter().enumerate();
    machines
        .map(|(index, zone)| {
            Daemon::new(
                machine(world, 10 + index, zone, &[10, 11, 12]),
                &world.folder,
            )
        })
        .collect()
}

const OPEN: Route<'_> = Route {
    prefix: "/open/",
    kind: "idempotent",
    service: "fleet-ops",
    attempts: 2,
    is_anonymous: true,
};
const KEYED: Route<'_> = Route {
    prefix: "/keyed/",
    kind: "idempotent",
    service: "fleet-ops",
    attempts: 2,
    is_anonymous: false,
};
fn ops_runners(world: &World, zones: [&str; 3]) -> Vec<Arc<Runner>> {
    let runners = [
        ("i-a", zones[0], 100),
        ("i-b", zones[1], 101),
        ("i-c", zones[2], 102),
    ];
    runners
        .into_iter()
        .map(|(id, zone, last)| {
            Runner::start(
                runner(world, id, "fleet-ops", zone, last),
                &world.store,
                &world.record,
            )
        })
        .collect()
}

fn all_arrivals(runners: &[Arc<Runner>]) -> Vec<Arrival> {
    runners
        .iter()
        .flat_map(|runner| runner.arrivals())
        .collect()
}

/// CONFIG: a request whose key was taken away runs later than `revoke_ms` after that.
fn revoked_key(world: &World, has_trouble: bool) -> Outcome {
    const REVOKE: Duration = Duration::from_millis(5_000);
    let mut daemons = small_fleet(world);
    world.store.put(
        "op/config",
        &configuration(1, &[OPEN, KEYED], (0.0, 0.0), &[KEY, "key-lost"]),
    );
    let runners = ops_runners(world, ["hall-a", "hall-b", "hall-c"]);
    if let Err(outcome) = start_all(world, &mut daemons) {
        return outcome;
    }
    thread::sleep(ms(3_000));
    let keys: &[&str] = if has_trouble {
        &[KEY]
    } else {
        &[KEY, "key-lost"]
    };
    let acknowledged = world.store.put(
        "op/config",
        &configuration(4, &[OPEN, KEYED], (0.0, 0.0), keys),
    );
    world
        .record
        .add(format!("version 4 is acknowledged, with the keys {keys:?}"));
    let mut answers: Vec<(String, Answer)> = Vec::new();
    let mut number = 0;
    while acknowledged.elapsed() < REVOKE + ms(3_000) {
        number += 1;
        let to = daemons[number % daemons.len()].front();
        for route in ["open", "keyed"] {
            let id = format!("{route}-{number}");
            let answer = call(
                to,
                &get(id.clone(), &format!("/{route}/1"), Some("key-lost")),
                &world.record,
            );
            answers.push((id, answer));
        }
        thread::sleep(ms(100));
    }
    let arrivals = all_arrivals(&runners);
    let has_run = |id: &str| {
        arrivals
            .iter()
            .any(|arrival| arrival.has_run && arrival.id() == id)
    };
    let late: Vec<&(String, Answer)> = answers
        .iter()
        .filter(|(_, answer)| answer.sent > acknowledged + REVOKE)
        .collect();
    let run = late.iter().filter(|(id, _)| has_run(id)).count();
    println!(
        "{} requests were sent later than {REVOKE:?} after the acknowledgement, {run} of them ran",
        late.len()
    );
    if has_trouble {
        return match (late.len() >= 20, run) {
            (false, _) => Outcome::NotRun("too few requests".to_owned()),
            (true, 0) => Outcome::Held,
            (true, _) => Outcome::Broken,
        };
    }
    match run == late.len() {
        true => Outcome::Held,
        false => Outcome::NotRun("requests with a key in force were refused".to_owned()),
    }
}

/// DRAIN: an entry of another writer, with a field missing and one of another type, brings a runner
/// back that is gone.
fn entry_of_another_writer(world: &World, has_trouble: bool) -> Outcome {
    let mut daemons = grown_fleet(world);
    world
        .store
        .put("op/config", &configuration(1, &[KEYED], (0.0, 0.0), &[KEY]));
    let mut runners = ops_runners(world, ["zh-a", "zh-b", "zh-c"]);
    if let Err(outcome) = start_all(world, &mut daemons) {
        return outcome;
    }
    thread::sleep(ms(2_000));
    let leaving = runners.remove(0);
    let mut number = 0;
    let mut send_for = |time: Duration| {
        let began = Instant::now();
        while began.elapsed() < time {
            number += 1;
            for daemon in &daemons {
                let id = format!("k-{number}-{}", daemon.machine.ip);
                call(
                    daemon.front(),
                    &get(id, "/keyed/1", Some(KEY)),
                    &world.record,
                );
            }
            thread::sleep(ms(30));
        }
    };
    send_for(ms(2_000));
    // It never reports `draining`: its entry is removed, and it continues to serve for a while.
    let gone = leaving.leave();
    world
        .record
        .add("the entry of runner i-a is removed; it goes on serving for a while");
    send_for(ms(1_000));
    if has_trouble {
        let entry = format!(
            "{{\"service\":\"fleet-ops\",\"address\":\"{}\",\"zone\":\"zh-a\",\"version\":7,\"slots\":12,\
             \"state\":\"ready\"}}",
            leaving.options.address
        );
        world
            .record
            .add(format!("another writer writes servers/i-a: {entry}"));
        world.store.put("servers/i-a", &entry);
    }
    send_for(ms(6_000));
    let arrivals = leaving.arrivals();
    let late = arrivals
        .iter()
        .filter(|arrival| arrival.has_run && arrival.at > gone + GROWN_DRAIN)
        .count();
    let before = arrivals.iter().filter(|arrival| arrival.at <= gone).count();
    println!(
        "{late} requests reached the runner later than {GROWN_DRAIN:?} after its entry was removed ({before} before)"
    );
    match (before, late) {
        (0, _) => Outcome::NotRun("no request reached the runner".to_owned()),
        (_, 0) => Outcome::Held,
        _ => Outcome::Broken,
    }
}

/// MIXED: half of an answer without a length is passed on as a whole one, because an examination of
/// the runner that a client's leaving had interrupted is taken for a fresh one.
fn stale_examination(world: &World, has_trouble: bool) -> Outcome {
    const ROUNDS: usize = 12;
    // Half of the objective of 300 ms.
    const PATIENCE: Duration = Duration::from_millis(150);
    const DOWN: Duration = Duration::from_millis(4_500);
    // The platform removes the entry of a runner that is silent for three heartbeats.
    const SILENT: Duration = Duration::from_millis(3_600);
    let machines = [
        (10, "hall-a"),
        (11, "hall-a"),
        (12, "hall-b"),
        (13, "hall-c"),
    ];
    let mut daemons: Vec<Daemon> = machines
        .into_iter()
        .map(|(last, zone)| Daemon::new(machine(world, last, zone, &[10, 12, 13]), &world.folder))
        .collect();
    world
        .store
        .put("op/config", &configuration(1, &[KEYED], (0.0, 0.0), &[KEY]));
    let start = |id: &str, zone: &str, last: usize| {
        let options = runner(world, id, "fleet-ops", zone, last);
        let options = RunnerOptions {
            is_plain: true,
            work: ms(60),
            ..options
        };
        Runner::start(options, &world.store, &world.record)
    };
    let _others = [start("i-b", "hall-b", 120), start("i-c", "hall-c", 121)];
    let mut running = start("i-a0", "hall-a", 100);
    if let Err(outcome) = start_all(world, &mut daemons) {
        return outcome;
    }
    thread::sleep(ms(3_000));
    let (one, beside_it) = (daemons[0].front(), daemons[1].front());
    let (mut whole, mut cut, mut failed, mut crashes) = (0, 0, 0, 0);
    for round in 0..ROUNDS {
        let request = |name: &str, path: &str| get(format!("{name}-{round}"), path, Some(KEY));
        // Requests of other clients come until one of them takes the runner's slot after the first
        // one, so that the status check that follows the first one's answer waits for a slot.
        let longs: Vec<Call> = (0..8)
            .map(|number| request(&format!("long{number}"), "/keyed/long"))
            .collect();
        let (record, busy) = (Arc::clone(&world.record), Arc::clone(&running));
        let beside = thread::spawn(move || {
            thread::sleep(ms(15));
            let mut calls = Vec::new();
            for (number, long) in longs.into_iter().enumerate() {
                thread::sleep(ms(5));
                if busy
                    .arrivals()
                    .iter()
                    .any(|arrival| arrival.id().starts_with("long"))
                {
                    break;
                }
                let to = if number < 4 { beside_it } else { one };
                let record = Arc::clone(&record);
                calls.push(thread::spawn(move || call(to, &long, &record)));
            }
            for one in calls {
                let _ = one.join();
            }
        });
        let first = request("first", "/keyed/1");
        match has_trouble {
            true => call_and_leave(one, &first, PATIENCE, &world.record),
            false => {
                call(one, &first, &world.record);
            }
        }
        let _ = beside.join();
        thread::sleep(if round % 2 == 0 { ms(0) } else { ms(1_500) });
        let asked = request("asked", "/keyed/crash");
        let answer = call(one, &asked, &world.record);
        let has_crashed = running.has_crashed();
        crashes += usize::from(has_crashed);
        let body = String::from_utf8_lossy(&answer.message.body).into_owned();
        match (answer.status, answer.is_complete) {
            (200, true) if body == plain_body(&asked.id) => whole += 1,
            (200, true) => {
                cut += 1;
                world.record.add(format!(
                    "client got {} of {} bytes as the whole answer to {}",
                    body.len(),
                    plain_body(&asked.id).len(),
                    asked.id
                ));
            }
            _ => failed += 1,
        }
        running.crash();
        thread::sleep(SILENT);
        world
            .store
            .remove(&format!("servers/{}", running.options.id));
        thread::sleep(DOWN - SILENT);
        running = start(&format!("i-a{}", round + 1), "hall-a", 101 + round);
        thread::sleep(ms(1_500));
    }
    println!(
        "{crashes} answers were cut by a crash: {cut} of them were passed on as whole ones, \
         {whole} requests got a whole answer, {failed} failed"
    );
    match (crashes, cut) {
        (0..6, _) => Outcome::NotRun("too few requests reached the runner that crashes".to_owned()),
        (_, 0) => Outcome::Held,
        _ => Outcome::Broken,
    }
}
