//! Members on loopback with a short heartbeat period.

#![allow(dead_code, reason = "each test binary uses some of the functions")]

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use mangofront_peers::{
    ListedPeer, MemberState, Peers, PeersOptions, PeersOptionsBuilder, Responder,
};

pub const PERIOD: Duration = Duration::from_millis(60);

const DEADLINE: Duration = Duration::from_secs(15);

/// Options of a member with a short heartbeat period.
pub fn options(instance: &str, zone: &str) -> PeersOptionsBuilder {
    let listen = "127.0.0.1:0".parse().expect("address");
    PeersOptions::builder(instance, "r1", zone, listen).heartbeat_period(PERIOD)
}

/// Answers each call with its payload.
pub fn echo() -> Responder {
    Rc::new(|_, _, payload| async move { payload }.boxed_local())
}

pub fn start(options: PeersOptionsBuilder) -> Peers {
    Peers::start(options.build(), Rc::new(|_| ()), echo()).expect("start")
}

/// A member's entry in the platform's list.
pub fn listed(instance: &str, zone: &str, peers: &Peers) -> ListedPeer {
    ListedPeer {
        instance: instance.to_owned(),
        region: "r1".to_owned(),
        availability_zone: zone.to_owned(),
        address: peers.address(),
        leaving: false,
    }
}

/// Starts members named by zone and number; the list of each has the first member only.
pub fn fleet(zones: &[&str], per_zone: usize, full_mesh_limit: usize) -> Vec<(String, Peers)> {
    let mut fleet: Vec<(String, Peers)> = Vec::new();
    let mut first = None;
    for number in 0..per_zone {
        for zone in zones {
            let name = format!("{zone}-{number}");
            let peers = start(options(&name, zone).full_mesh_limit(full_mesh_limit));
            let seed = first.get_or_insert_with(|| listed(&name, zone, &peers));
            peers.set_listed(std::slice::from_ref(seed));
            fleet.push((name, peers));
        }
    }
    fleet
}

pub fn state_of(peers: &Peers, instance: &str) -> Option<MemberState> {
    let members = peers.members();
    let member = members.iter().find(|member| member.instance == instance);
    member.map(|member| member.state)
}

pub fn all_see(fleet: &[(String, Peers)], instance: &str, state: MemberState) -> bool {
    let others = fleet.iter().filter(|(name, _)| name != instance);
    others
        .into_iter()
        .all(|(_, peers)| state_of(peers, instance) == Some(state))
}

pub fn all_alive(fleet: &[(String, Peers)]) -> bool {
    fleet
        .iter()
        .all(|(name, _)| all_see(fleet, name, MemberState::Alive))
}

/// Polls until a condition holds.
pub async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < DEADLINE,
            "condition not met within {DEADLINE:?}: {what}"
        );
        compio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A responder that counts its calls and answers each after a pause.
pub fn slow(count: Rc<Cell<u32>>, pause: Duration) -> Responder {
    Rc::new(move |_, _, payload| {
        count.set(count.get() + 1);
        async move {
            compio::time::sleep(pause).await;
            payload
        }
        .boxed_local()
    })
}
