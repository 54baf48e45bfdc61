//! Members join, leave, fail and return.

mod common;

use std::cell::RefCell;
use std::rc::Rc;

use common::{all_alive, all_see, echo, eventually, fleet, listed, options, start, state_of};
use mangofront_peers::{MemberState, Peers};

#[compio::test]
async fn members_that_know_one_member_find_all() {
    let mesh = fleet(&["za", "zb"], 3, 8);
    eventually("all members of the mesh are alive", || all_alive(&mesh)).await;
    assert!(mesh.iter().all(|(_, peers)| peers.view_fresh()));
    drop(mesh);
    let ring = fleet(&["za", "zb", "zc"], 6, 4);
    eventually("all members of the rings are alive", || all_alive(&ring)).await;
    ring[7].1.leave();
    let leaving = ring[7].0.clone();
    eventually("all see that it is leaving", || {
        all_see(&ring, &leaving, MemberState::Leaving)
    })
    .await;
    assert!(!ring[0].1.is_alive(&leaving));
}

#[compio::test]
async fn a_dropped_member_is_declared_dead_and_its_next_incarnation_replaces_it() {
    let mut ring = fleet(&["za", "zb"], 5, 4);
    eventually("all members of the rings are alive", || all_alive(&ring)).await;
    let (name, dropped) = ring.pop().expect("member");
    let former = dropped.incarnation();
    drop(dropped);
    eventually("all see it dead", || {
        all_see(&ring, &name, MemberState::Dead)
    })
    .await;

    let restarted = start(options(&name, "zb").full_mesh_limit(4));
    assert!(restarted.incarnation() > former);
    restarted.set_listed(&[listed(&ring[3].0, "zb", &ring[3].1)]);
    ring.push((name, restarted));
    eventually("all see the next incarnation", || all_alive(&ring)).await;
    let members = ring[0].1.members();
    let member = members
        .iter()
        .find(|m| m.instance == ring[9].0)
        .expect("member");
    assert_eq!(member.incarnation, ring[9].1.incarnation());
}

#[compio::test]
async fn a_silent_zone_is_declared_dead() {
    let mut ring = fleet(&["za", "zb"], 3, 2);
    eventually("all members of the rings are alive", || all_alive(&ring)).await;
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
async fn changes_are_reported_once_and_in_order() {
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
    eventually("it is alive", || watcher.is_alive(&"other".to_owned())).await;
    other.leave();
    let leaving = || state_of(&watcher, "other") == Some(MemberState::Leaving);
    eventually("it is seen to be leaving", leaving).await;
    drop(other);
    let dead = || state_of(&watcher, "other") == Some(MemberState::Dead);
    eventually("it is dead", dead).await;
    eventually("all changes are reported", || seen.borrow().len() == 4).await;
    insta::assert_debug_snapshot!(seen.borrow());
    eventually("the view is stale without answers", || {
        !watcher.view_fresh()
    })
    .await;
}

/// Guards against members that find only those that they list.
#[compio::test]
async fn members_that_list_one_another_in_a_chain_find_all() {
    let chain: Vec<(String, Peers)> = (0..6)
        .map(|number| {
            let name = format!("za-{number}");
            let peers = start(options(&name, "za"));
            (name, peers)
        })
        .collect();
    for (number, (_, peers)) in chain.iter().enumerate() {
        let (next, other) = &chain[(number + 1) % chain.len()];
        peers.set_listed(&[listed(next, "za", other)]);
    }
    eventually("all members of the chain are alive", || all_alive(&chain)).await;
}

/// Guards against members that use only the list with which they started.
#[compio::test]
async fn groups_that_are_listed_to_each_other_later_meet() {
    let mut groups = fleet(&["za", "zb"], 2, 8);
    eventually("the first group has met", || all_alive(&groups)).await;
    let mut second: Vec<(String, Peers)> = Vec::new();
    for number in 7..10 {
        let name = format!("zc-{number}");
        let peers = start(options(&name, "zc"));
        if let Some((first, other)) = second.first() {
            peers.set_listed(&[listed(first, "zc", other)]);
        }
        second.push((name, peers));
    }
    eventually("the second group has met", || all_alive(&second)).await;
    let (name, other) = &groups[3];
    second[2].1.set_listed(&[listed(name, "zb", other)]);
    groups.extend(second);
    eventually("the groups have met", || all_alive(&groups)).await;
}

/// Guards against members that are expected for good as a list once named them.
#[compio::test]
async fn members_that_left_the_list_without_an_answer_are_forgotten() {
    let alone = start(options("za-0", "za"));
    let dark = start(options("za-1", "za"));
    let entry = listed("za-1", "za", &dark);
    drop(dark);
    alone.set_listed(&[entry]);
    assert_eq!(alone.members().len(), 2);
    assert!(!alone.view_fresh());
    alone.set_listed(&[]);
    assert_eq!(alone.members().len(), 1);
    assert!(alone.view_fresh());
}
