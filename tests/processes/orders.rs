//! A published version comes to all engines, also when a daemon dies meanwhile.

use std::collections::BTreeSet;

use serde_json::{Value, json};

use crate::fleet::{Fleet, Plan, configuration, wait_until};

const ENGINES: usize = 6;

const DAEMONS: usize = 4;

/// Version that the test publishes.
const VERSION: &str = "2";

#[test]
fn a_new_version_comes_to_all_engines_though_its_daemon_is_killed() {
    let fleet = start();
    let before = responsible_of(&fleet, 0..DAEMONS);
    publish(&fleet);
    wait_until("the first engine loads", || {
        (0..ENGINES).any(|engine| !orders(&fleet, engine).is_empty())
    });
    let waiting = (0..ENGINES).find(|engine| orders(&fleet, *engine).is_empty());
    let waiting = waiting.expect("not all engines load at once");
    let killed = *before[waiting].first().expect("the engine has a daemon");
    fleet.daemons[killed].signal("KILL");
    wait_until("every engine reports the version", || {
        // The model keeps serving meanwhile.
        assert_eq!(ask(&fleet, (killed + 1) % DAEMONS), 200);
        (0..ENGINES).all(|engine| has_version(&fleet, engine))
    });
    assert_one_order_each(&fleet);
    let living = || (0..DAEMONS).filter(|daemon| *daemon != killed);
    assert_eq!(responsible_of(&fleet, living())[waiting].len(), 1);
    assert!(audited(&fleet, living()) >= 1);
}

#[test]
fn a_frozen_daemon_that_wakes_orders_nothing_again() {
    let fleet = start();
    // The only daemon of hall-b, so that another zone's has to stand in.
    let frozen = 1;
    fleet.daemons[frozen].signal("STOP");
    publish(&fleet);
    wait_until("every engine reports the version", || {
        (0..ENGINES).all(|engine| has_version(&fleet, engine))
    });
    fleet.daemons[frozen].signal("CONT");
    wait_until("it is responsible again and finds nothing to do", || {
        let status = fleet.operator(frozen).get("/status").json();
        let orders = &status["orders"];
        orders["revision"] == 2
            && orders["view_fresh"] == true
            && orders["engines"]["engine-1"]["phase"] == "settled"
    });
    assert_one_order_each(&fleet);
    assert_eq!(audited(&fleet, 0..DAEMONS), ENGINES);
    assert_eq!(audited(&fleet, frozen..=frozen), 0);
}

/// A fleet in which every engine has exactly one daemon.
fn start() -> Fleet {
    // A load takes 400 ms, so that a fault comes in between.
    let engine = json!({"time_scale": 0.02, "load_lag_ms": 20, "fencing": "checked"});
    let fleet = Fleet::start(Plan {
        engines: vec![engine; ENGINES],
        daemons: DAEMONS,
        ..Plan::default()
    });
    wait_until("every engine has its daemon", || {
        let daemons = responsible_of(&fleet, 0..DAEMONS);
        daemons.iter().all(|daemons| daemons.len() == 1)
    });
    fleet
}

/// Publishes the version, as revision 2.
fn publish(fleet: &Fleet) {
    let mut published = configuration();
    published["models"]["assist-llm"] = json!({"version": VERSION, "fencing": "checked"});
    let path = "/control/configuration";
    let answer = fleet.platform(0).put(path, &published);
    assert!((200..300).contains(&answer.status), "{}", answer.body);
}

fn assert_one_order_each(fleet: &Fleet) {
    for engine in 0..ENGINES {
        let orders = orders(fleet, engine);
        assert_eq!(orders.len(), 1, "engine {engine} got {orders:?}");
    }
}

/// Status of a short request to one daemon.
fn ask(fleet: &Fleet, daemon: usize) -> u16 {
    let question = json!({"model": "assist-llm", "prompt": "E-045?", "max_tokens": 2});
    let answer = fleet.caller(daemon).post("/v1/completions", &question);
    answer.status
}

/// Those of `daemons` that say they are responsible, for each engine.
fn responsible_of(fleet: &Fleet, daemons: impl Iterator<Item = usize>) -> Vec<BTreeSet<usize>> {
    let mut responsible = vec![BTreeSet::new(); ENGINES];
    for daemon in daemons {
        let status = fleet.operator(daemon).get("/status").json();
        for (engine, daemons) in responsible.iter_mut().enumerate() {
            let told = &status["orders"]["engines"][format!("engine-{engine}")];
            if told.is_object() {
                daemons.insert(daemon);
            }
        }
    }
    responsible
}

fn orders(fleet: &Fleet, engine: usize) -> Vec<Value> {
    let counters = fleet.engine(engine).get("/control/counters").json();
    counters["orders"].as_array().cloned().unwrap_or_default()
}

fn has_version(fleet: &Fleet, engine: usize) -> bool {
    let state = fleet.engine(engine).get("/v1/state").json();
    state["version"] == VERSION && state["state"] == "ready"
}

/// Orders in the trails of `daemons`.
fn audited(fleet: &Fleet, daemons: impl Iterator<Item = usize>) -> usize {
    let trails = daemons.map(|daemon| fleet.operator(daemon).get("/audit").body);
    trails
        .map(|trail| trail.matches("order_sent").count())
        .sum()
}
