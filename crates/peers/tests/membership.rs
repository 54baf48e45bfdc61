//! Members come, leave, die and come back.

mod common;

use std::cell::RefCell;
use std::rc::Rc;

use common::{all_alive, all_see, echo, eventually, fleet, listed, options, start, state_of};
use mangofront_peers::{MemberState, Peers};

#[compio::test]
async fn a_fleet_that_knows_one_member_finds_all() {
    let mesh = fleet(&["za", "zb"], 3, 8);
    eventually("the mesh is whole", || all_alive(&mesh)).await;
    assert!(mesh.iter().all(|(_, peers)| peers.view_fresh()));
    drop(mesh);
    let ring = fleet(&["za", "zb", "zc"], 6, 4);
    eventually("the ring is whole", || all_alive(&ring)).await;
    ring[7].1.leave();
    let left = ring[7].0.clone();
    eventually("the ring knows of the leave", || {
        all_see(&ring, &left, MemberState::Leaving)
    })
    .await;
    assert!(!ring[0].1.is_alive(&left));
}

#[compio::test]
async fn a_dropped_member_dies_and_its_next_life_replaces_it() {
    let mut ring = fleet(&["za", "zb"], 5, 4);
    eventually("the ring is whole", || all_alive(&ring)).await;
    let (name, dropped) = ring.pop().expect("member");
    let former = dropped.incarnation();
    drop(dropped);
    eventually("the ring knows of the death", || {
        all_see(&ring, &name, MemberState::Dead)
    })
    .await;

    let again = start(options(&name, "zb").full_mesh_limit(4));
    assert!(again.incarnation() > former);
    again.set_listed(&[listed(&ring[3].0, "zb", &ring[3].1)]);
    ring.push((name, again));
    eventually("the ring knows of the next life", || all_alive(&ring)).await;
    let members = ring[0].1.members();
    let member = members
        .iter()
        .find(|m| m.instance == ring[9].0)
        .expect("member");
    assert_eq!(member.incarnation, ring[9].1.incarnation());
}

#[compio::test]
async fn the_death_of_a_whole_zone_shows_by_its_silence() {
    let mut ring = fleet(&["za", "zb"], 3, 2);
    eventually("the ring is whole", || all_alive(&ring)).await;
    ring.retain(|(name, _)| name.starts_with("za"));
    eventually("the other zone is dead", || {
        let zone = ["zb-0", "zb-1", "zb-2"];
        zone.iter()
            .all(|name| all_see(&ring, name, MemberState::Dead))
    })
    .await;
    assert!(all_alive(&ring));
}

#[compio::test]
async fn changes_are_told_once_and_in_order() {
    let seen = Rc::new(RefCell::new(Vec::new()));
    let log = Rc::clone(&seen);
    let on_change = Rc::new(move |change: mangofront_peers::MemberChange| {
        let previous = change.previous.map(|(_, state)| state);
        log.borrow_mut()
            .push((change.member.instance, previous, change.member.state));
    });
    let watcher = Peers::start(options("watcher", "za").build(), on_change, echo()).expect("start");
    let other = start(options("other", "za"));
    watcher.set_listed(&[listed("other", "za", &other)]);
    assert_eq!(state_of(&watcher, "other"), Some(MemberState::Suspect));
    eventually("they met", || watcher.is_alive(&"other".to_owned())).await;
    other.leave();
    let leaving = || state_of(&watcher, "other") == Some(MemberState::Leaving);
    eventually("the leave is known", leaving).await;
    drop(other);
    let dead = || state_of(&watcher, "other") == Some(MemberState::Dead);
    eventually("it is dead", dead).await;
    eventually("all is told", || seen.borrow().len() == 4).await;
    insta::assert_debug_snapshot!(seen.borrow());
    eventually("nobody answers any more", || !watcher.view_fresh()).await;
}
