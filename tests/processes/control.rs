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
