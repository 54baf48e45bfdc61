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

#[compio::test]
async fn the_ablest_of_each_zone_take_on_a_heavy_duty() {
    let member = |number: usize| {
        let zone = format!("z{}", number % 2);
        let capacity_percent = if number >= 6 { 50 } else { 12 };
        let options = options(&format!("{zone}-{number}"), &zone);
        start(options.capacity_percent(capacity_percent))
    };
    let members: Vec<Peers> = (0..8).map(member).collect();
    let listed: Vec<_> = (0..8)
        .map(|number| {
            let zone = format!("z{}", number % 2);
            common::listed(&format!("{zone}-{number}"), &zone, &members[number])
        })
        .collect();
    members.iter().for_each(|peers| peers.set_listed(&listed));
    eventually("each sees the ablest of both zones", || {
        members.iter().all(|peers| {
            let by_zone = peers.delegates_by_capacity(DUTY, 1);
            let ablest = by_zone.values().flatten().map(|one| one.instance.clone());
            ablest.collect::<Vec<_>>() == ["z0-6", "z1-7"]
        })
    })
    .await;
}
