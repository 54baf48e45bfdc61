//! What a daemon tells of its control traffic.

use crate::fleet::{Fleet, Plan, wait_until};

#[test]
fn status_tells_the_control_traffic() {
    let fleet = Fleet::start(Plan {
        daemons: 2,
        ..Plan::default()
    });
    let daemons = fleet.daemons.len();
    wait_until("links and reports are counted", || {
        let status = fleet.operator(0).get("/status").json();
        let grew = |part: &str| {
            let traffic = &status["peers"][part];
            traffic["bytes_sent"].as_u64() > Some(0) && traffic["bytes_received"].as_u64() > Some(0)
        };
        let reports = &status["engine_calls"];
        status["peers"]["alive"] == daemons
            && grew("gossip")
            && reports["messages"].as_u64() > Some(0)
            && reports["bytes_received"].as_u64() > reports["bytes_sent"].as_u64()
    });
}

#[test]
fn metrics_tell_the_control_traffic_and_the_members() {
    let fleet = Fleet::start(Plan {
        daemons: 2,
        ..Plan::default()
    });
    wait_until("metrics are counted", || {
        let text = fleet.operator(0).get("/metrics").body;
        let value = |name: &str| {
            let line = text.lines().find(|line| line.starts_with(name));
            let value = line.and_then(|line| line.rsplit(' ').next());
            value.and_then(|value| value.parse::<f64>().ok())
        };
        value("mangofront_control_sent_bytes") > Some(0.0)
            && value("mangofront_control_received_bytes") > Some(0.0)
            && value("mangofront_peers{state=\"live\"}") == Some(1.0)
    });
}
