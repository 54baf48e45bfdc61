//! Schema of a daemon's settings: fields and their ranges.

use std::collections::BTreeMap;

use jsonc_parser::ast::Object;

use crate::check::shape::{Field, Schema, Shape, TextFormat};
use crate::check::{Finding, Problem};
use crate::process::MIN_CHANGE_BOUND;

const SECOND_MS: u64 = 1_000;
const MINUTE_MS: u64 = 60 * SECOND_MS;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const KIB_BYTES: u64 = 1024;
const MIB_BYTES: u64 = 1024 * KIB_BYTES;

/// Schema of a daemon's settings file.
pub(super) static SCHEMA: Schema = Schema {
    fields: FIELDS,
    forbids_upstream_keys: false,
    rules: &[
        listen_addresses_differ,
        suspicion_spans_two_heartbeats,
        gap_shares_are_ordered,
    ],
};

const FIELDS: &[Field] = &[
    Field::required("instance", Shape::Text(TextFormat::Name)),
    Field::required("region", Shape::Text(TextFormat::Name)),
    Field::required("availability_zone", Shape::Text(TextFormat::Name)),
    Field::required("caller_address", Shape::Address),
    Field::required("peer_address", Shape::Address),
    Field::required("admin_address", Shape::Address),
    Field::required("platform_address", Shape::Address),
    Field::defaulted("limits", Shape::Object(LIMITS)),
    Field::defaulted("logs", Shape::Object(LOGS)),
    Field::defaulted("peers", Shape::Object(PEERS)),
    Field::defaulted("audit_capacity_entries", integer(1, 1_000_000)),
    Field::optional("stop_limit_ms", integer(1, 24 * HOUR_MS)),
    Field::defaulted("fatal_invariants", Shape::Boolean),
    Field::optional("gateway", Shape::Object(GATEWAY)),
];

const GATEWAY: &[Field] = &[
    Field::required("ready_address", Shape::Address),
    Field::required("news_address", Shape::Address),
    Field::defaulted("seeds", Shape::List(&Shape::Address)),
    Field::defaulted("key_lease_ms", integer(100, HOUR_MS)),
    Field::defaulted(
        "configuration_bound_ms",
        integer(MIN_CHANGE_BOUND.as_millis() as u64, HOUR_MS),
    ),
    Field::defaulted(
        "leaving_bound_ms",
        integer(MIN_CHANGE_BOUND.as_millis() as u64, HOUR_MS),
    ),
    Field::defaulted("second_send_ratio", number(0.0, 10.0)),
    Field::defaulted("second_send_slack_requests", number(0.0, 1e6)),
    Field::defaulted("second_send_window_s", number(0.1, 3_600.0)),
    Field::defaulted("engine_stall_ms", number(1.0, 3.6e6)),
    Field::defaulted("stop_grace_s", number(0.1, 3_600.0)),
    Field::defaulted("relay_from_daemons", integer(0, 1_000_000)),
    Field::defaulted("proxied_limit_requests", integer(0, 1_000_000)),
    Field::defaulted(
        "proxied_bodies_limit_bytes",
        integer(MIB_BYTES, 64 * 1024 * MIB_BYTES),
    ),
    Field::defaulted("processor_cores", number(0.001, 10_000.0)),
    Field::defaulted(
        "zone_regions",
        Shape::Map {
            names: TextFormat::Name,
            value: &Shape::Text(TextFormat::Name),
        },
    ),
    Field::defaulted("choice", Shape::Object(CHOICE)),
];

const CHOICE: &[Field] = &[
    Field::defaulted("helper_cost_ms", number(0.0, 1e6)),
    Field::defaulted("rank_cost_ms", number(0.0, 1e6)),
    Field::defaulted("order_limit_ms", number(0.0, 1e6)),
    Field::defaulted("opening_cost_ms", number(0.0, 1e6)),
    Field::defaulted("unsplit_read_ms", number(0.0, 1e6)),
    Field::defaulted("queue_read_ms2", number(0.0, 1e9)),
    Field::defaulted("overrun_ms", number(0.0, 1e9)),
    Field::defaulted("wait_targets", number(0.0, 100.0)),
    Field::defaulted("in_time_targets", number(0.0, 100.0)),
    Field::defaulted("late_targets", number(0.0, 100.0)),
    Field::defaulted("served_percent", integer(0, 100)),
    Field::defaulted("promised_percent", integer(0, 100)),
    Field::defaulted("brisk_factor", number(0.0, 100.0)),
    Field::defaulted("safe_gap_share", number(0.0, 100.0)),
    Field::defaulted("broken_gap_share", number(0.0, 100.0)),
    Field::defaulted("broken_gap_cost_ms", number(0.0, 1e6)),
    Field::defaulted("broken_gap_targets", number(0.0, 100.0)),
    Field::defaulted("other_zone_cost_ms", number(0.0, 1e6)),
    Field::defaulted("connect_cost_ms", number(0.0, 1e6)),
    Field::defaulted("full_cost_ms", number(0.0, 1e6)),
    Field::defaulted("roomy_share", number(0.0, 1.0)),
    Field::defaulted("crowding_cost_ms", number(0.0, 1e6)),
    Field::defaulted("tie_ms", number(0.0, 1e6)),
    Field::defaulted("unheard_spread", number(0.0, 100.0)),
    Field::defaulted("crowd_daemons", integer(1, 1_000_000)),
    Field::defaulted("settling_time_ms", integer(0, HOUR_MS)),
    Field::defaulted("settling_tie_ms", number(0.0, 1e6)),
    Field::defaulted("queued_requests", integer(0, 1_000)),
    Field::defaulted("memory_share", number(0.01, 1.0)),
    Field::defaulted("helpers_limit", integer(0, 64)),
    Field::defaulted("first_ejection_ms", integer(0, HOUR_MS)),
    Field::defaulted("longest_ejection_ms", integer(0, HOUR_MS)),
    Field::defaulted("organisation_share_factor", number(0.0, 1_000.0)),
    Field::defaulted(
        "prompt_retention_ms",
        Shape::Map {
            names: TextFormat::Name,
            value: &integer(1, 24 * HOUR_MS),
        },
    ),
];

const LIMITS: &[Field] = &[
    // 8 KiB is the smallest header buffer that hyper accepts.
    Field::defaulted("header_limit_bytes", integer(8 * KIB_BYTES, MIB_BYTES)),
    Field::defaulted("body_limit_bytes", integer(KIB_BYTES, 256 * MIB_BYTES)),
    Field::defaulted("in_progress_limit_requests", integer(1, 1_000_000)),
    Field::optional("memory_limit_mb", integer(64, 1024 * 1024)),
    Field::optional(
        "bodies_limit_bytes",
        integer(MIB_BYTES, 64 * 1024 * MIB_BYTES),
    ),
    Field::defaulted("header_timeout_ms", integer(1, HOUR_MS)),
    Field::defaulted("body_timeout_ms", integer(1, HOUR_MS)),
    Field::defaulted("stream_buffer_frames", integer(1, 65_536)),
    Field::defaulted("stream_stall_timeout_ms", integer(1, HOUR_MS)),
    Field::defaulted("connect_timeout_ms", integer(1, MINUTE_MS)),
];

const LOGS: &[Field] = &[
    Field::defaulted(
        "level",
        Shape::Choice(&["error", "warn", "info", "debug", "trace"]),
    ),
    Field::defaulted("format", Shape::Choice(&["human", "json"])),
];

const PEERS: &[Field] = &[
    Field::defaulted("heartbeat_ms", integer(10, MINUTE_MS)),
    Field::defaulted("suspect_after_ms", integer(20, 10 * MINUTE_MS)),
];

const fn integer(min: u64, max: u64) -> Shape {
    Shape::Integer { min, max }
}

const fn number(min: f64, max: f64) -> Shape {
    Shape::Number { min, max }
}

/// Keys of the addresses that the process itself listens on.
const LISTEN_ADDRESS_KEYS: [&str; 3] = ["caller_address", "peer_address", "admin_address"];

fn listen_addresses_differ(root: &Object<'_>, findings: &mut Vec<Finding>) {
    let mut seen = BTreeMap::new();
    for key in LISTEN_ADDRESS_KEYS {
        let Some(address) = root.get_string(key) else {
            continue;
        };
        // With port 0 the operating system assigns each listener another free port.
        if address.value.ends_with(":0") {
            continue;
        }
        if let Some(other) = seen.insert(address.value.to_string(), key) {
            let what = format!("same address as `{other}`");
            let help = "give each listener its own port";
            findings.push(Finding {
                path: key.to_owned(),
                range: address.range,
                problem: Problem::Conflict { what, help },
            });
        }
    }
}

fn suspicion_spans_two_heartbeats(root: &Object<'_>, findings: &mut Vec<Finding>) {
    let defaults = super::PeerSettings::default();
    let Some(peers) = root.get_object("peers") else {
        return;
    };
    let number = |key, default| {
        let found = peers.get_number(key);
        found
            .and_then(|number| number.value.parse::<u64>().ok())
            .unwrap_or(default)
    };
    let heartbeat_ms = number("heartbeat_ms", defaults.heartbeat_ms);
    let suspect_after_ms = number("suspect_after_ms", defaults.suspect_after_ms);
    if suspect_after_ms >= 2 * heartbeat_ms {
        return;
    }
    let what = format!("suspicion after {suspect_after_ms} ms, a heartbeat each {heartbeat_ms} ms");
    let help = "let `suspect_after_ms` be at least twice `heartbeat_ms`";
    let faulty_number = peers
        .get_number("suspect_after_ms")
        .or(peers.get_number("heartbeat_ms"));
    findings.push(Finding {
        path: "peers".to_owned(),
        range: faulty_number.map_or(peers.range, |number| number.range),
        problem: Problem::Conflict { what, help },
    });
}

fn gap_shares_are_ordered(root: &Object<'_>, findings: &mut Vec<Finding>) {
    let defaults = super::ChoiceOptions::default();
    let gateway = root.get_object("gateway");
    let Some(choice) = gateway.and_then(|gateway| gateway.get_object("choice")) else {
        return;
    };
    let number = |key, default| {
        let found = choice.get_number(key);
        found
            .and_then(|number| number.value.parse::<f64>().ok())
            .unwrap_or(default)
    };
    let safe = number("safe_gap_share", defaults.safe_gap_share);
    let broken = number("broken_gap_share", defaults.broken_gap_share);
    if safe < broken {
        return;
    }
    let what = format!("a pass is safe up to {safe} of a pause and breaks it from {broken} on");
    let help = "let `safe_gap_share` be less than `broken_gap_share`";
    let faulty_number = choice
        .get_number("safe_gap_share")
        .or(choice.get_number("broken_gap_share"));
    findings.push(Finding {
        path: "gateway.choice".to_owned(),
        range: faulty_number.map_or(choice.range, |number| number.range),
        problem: Problem::Conflict { what, help },
    });
}
