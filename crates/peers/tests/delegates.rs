//! A few members of each zone take on a duty for the others.

mod common;

use common::{all_alive, eventually, fleet, options, start};
use mangofront_peers::Peers;

const DUTY: &str = "watch";

const COUNT: usize = 2;

fn delegates(fleet: &[(String, Peers)], zone: &str) -> Vec<String> {
    let in_zone = fleet.iter().filter(|(name, _)| name.starts_with(zone));
    let chosen = in_zone.filter(|(_, peers)| peers.is_delegate(DUTY, COUNT));
    chosen.map(|(name, _)| name.clone()).collect()
}

#[compio::test]
async fn each_zone_has_its_delegates_and_replaces_those_that_go() {
    let mut ring = fleet(&["za", "zb"], 5, 4);
    eventually("each zone has two", || {
        all_alive(&ring)
            && delegates(&ring, "za").len() == COUNT
            && delegates(&ring, "zb").len() == COUNT
    })
    .await;
    let former = delegates(&ring, "za");
    let others = delegates(&ring, "zb");
    // One leaves as planned, the other dies.
    let leaving = ring.iter().position(|(name, _)| *name == former[0]);
    ring[leaving.expect("member")].1.leave();
    ring.retain(|(name, _)| *name != former[1]);
    eventually("two others take over", || {
        let now = delegates(&ring, "za");
        now.len() == COUNT && former.iter().all(|name| !now.contains(name))
    })
    .await;
    assert_eq!(delegates(&ring, "zb"), others);
}

#[compio::test]
async fn a_member_alone_takes_on_every_duty() {
    let alone = start(options("za-0", "za"));
    assert!(alone.is_delegate(DUTY, 1));
    assert!(alone.is_delegate("another", 1));
}

#[compio::test]
async fn a_member_cut_off_from_all_takes_on_every_duty() {
    let mut ring = fleet(&["za"], 4, 8);
    eventually("the mesh is whole", || {
        all_alive(&ring) && delegates(&ring, "za").len() == COUNT
    })
    .await;
    let chosen = delegates(&ring, "za");
    ring.retain(|(name, _)| !chosen.contains(name));
    ring.truncate(1);
    eventually("the last one takes on the duty", || {
        delegates(&ring, "za").len() == 1
    })
    .await;
}
