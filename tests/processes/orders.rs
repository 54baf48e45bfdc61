//! A published version reaches all engines, also when a daemon fails meanwhile.

use std::collections::BTreeSet;

use serde_json::{Value, json};

use crate::fleet::{Fleet, FleetSpec, configuration, wait_until};

const ENGINES: usize = 6;

const DAEMONS: usize = 4;

/// Version that the test publishes.
const VERSION: &str = "2";

#[test]
fn new_version_reaches_all_engines_although_a_daemon_is_killed() {
    let fleet = start_fleet();
    let before = responsible_daemons(&fleet, 0..DAEMONS);
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
        assert_eq!(request_status(&fleet, (killed + 1) % DAEMONS), 200);
        (0..ENGINES).all(|engine| has_version(&fleet, engine))
    });
    assert_one_order_each(&fleet);
    let living = || (0..DAEMONS).filter(|daemon| *daemon != killed);
    assert_eq!(responsible_daemons(&fleet, living())[waiting].len(), 1);
    assert!(audited_orders(&fleet, living()) >= 1);
}

#[test]
fn resumed_daemon_repeats_no_order() {
    let fleet = start_fleet();
    // The only daemon of hall-b, so that one of another zone has to take over.
    let frozen = 1;
    fleet.daemons[frozen].signal("STOP");
    publish(&fleet);
    wait_until("every engine reports the version", || {
        (0..ENGINES).all(|engine| has_version(&fleet, engine))
    });
    fleet.daemons[frozen].signal("CONT");
    wait_until(
        "the daemon is responsible again and has nothing to order",
        || {
            let status = fleet.admin_client(frozen).get("/status").json();
            let orders = &status["orders"];
            orders["revision"] == 2
                && orders["view_fresh"] == true
                && orders["engines"]["engine-1"]["phase"] == "settled"
        },
    );
    assert_one_order_each(&fleet);
    assert_eq!(audited_orders(&fleet, 0..DAEMONS), ENGINES);
    assert_eq!(audited_orders(&fleet, frozen..=frozen), 0);
}

/// Starts a fleet and waits until exactly one daemon is responsible for each engine.
fn start_fleet() -> Fleet {
    // Loading a version takes 400 ms, long enough for a fault to occur meanwhile.
    let engine = json!({"time_scale": 0.02, "load_lag_ms": 20, "fencing": "checked"});
    let fleet = Fleet::start(FleetSpec {
        engines: vec![engine; ENGINES],
        daemons: DAEMONS,
        ..FleetSpec::default()
    });
    wait_until("every engine has its daemon", || {
        let daemons = responsible_daemons(&fleet, 0..DAEMONS);
        daemons.iter().all(|daemons| daemons.len() == 1)
    });
    fleet
}

/// Publishes the version, as revision 2.
fn publish(fleet: &Fleet) {
    let mut published = configuration();
    published["models"]["assist-llm"] = json!({"version": VERSION, "fencing": "checked"});
    let path = "/control/configuration";
    let answer = fleet.platform_client(0).put(path, &published);
    assert!((200..300).contains(&answer.status), "{}", answer.body);
}

fn assert_one_order_each(fleet: &Fleet) {
    for engine in 0..ENGINES {
        let orders = orders(fleet, engine);
        assert_eq!(orders.len(), 1, "engine {engine} got {orders:?}");
    }
}

/// Sends a short request to one daemon and returns the status of its answer.
fn request_status(fleet: &Fleet, daemon: usize) -> u16 {
    let body = json!({"model": "assist-llm", "prompt": "E-045?", "max_tokens": 2});
    let answer = fleet.caller_client(daemon).post("/v1/completions", &body);
    answer.status
}

/// For each engine, the daemons among `daemons` that report themselves responsible for it.
fn responsible_daemons(
    fleet: &Fleet,
    daemons: impl Iterator<Item = usize>,
) -> Vec<BTreeSet<usize>> {
    let mut responsible = vec![BTreeSet::new(); ENGINES];
    for daemon in daemons {
        let status = fleet.admin_client(daemon).get("/status").json();
        for (engine, daemons) in responsible.iter_mut().enumerate() {
            let responsibility = &status["orders"]["engines"][format!("engine-{engine}")];
            if responsibility.is_object() {
                daemons.insert(daemon);
            }
        }
    }
    responsible
}

fn orders(fleet: &Fleet, engine: usize) -> Vec<Value> {
    let counters = fleet.engine_client(engine).get("/control/counters").json();
    counters["orders"].as_array().cloned().unwrap_or_default()
}

fn has_version(fleet: &Fleet, engine: usize) -> bool {
    let state = fleet.engine_client(engine).get("/v1/state").json();
    state["version"] == VERSION && state["state"] == "ready"
}

/// Number of orders in the audit trails of `daemons`.
fn audited_orders(fleet: &Fleet, daemons: impl Iterator<Item = usize>) -> usize {
    let trails = daemons.map(|daemon| fleet.admin_client(daemon).get("/audit").body);
    trails
        .map(|trail| trail.matches("order_sent").count())
        .sum()
}
