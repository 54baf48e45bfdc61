//! Control traffic as reported by the status and the metrics of a daemon.

use crate::fleet::{Fleet, FleetSpec, wait_until};

#[test]
fn status_reports_control_traffic() {
    let fleet = Fleet::start(FleetSpec {
        daemons: 2,
        ..FleetSpec::default()
    });
    let daemons = fleet.daemons.len();
    wait_until("traffic to daemons and engines is counted", || {
        let status = fleet.admin_client(0).get("/status").json();
        let has_traffic = |part: &str| {
            let traffic = &status["peers"][part];
            traffic["bytes_sent"].as_u64() > Some(0) && traffic["bytes_received"].as_u64() > Some(0)
        };
        let engine_calls = &status["engine_calls"];
        status["peers"]["alive"] == daemons
            && has_traffic("gossip")
            && engine_calls["messages"].as_u64() > Some(0)
            && engine_calls["bytes_received"].as_u64() > engine_calls["bytes_sent"].as_u64()
    });
}

#[test]
fn metrics_report_control_traffic_and_members() {
    let fleet = Fleet::start(FleetSpec {
        daemons: 2,
        ..FleetSpec::default()
    });
    wait_until("metrics are counted", || {
        let text = fleet.admin_client(0).get("/metrics").body;
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
