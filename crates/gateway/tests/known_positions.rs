//! How far a daemon knows what is published, and whose word it takes for it.

use mangofront_gateway::KnownPositions;

fn at(position: u64) -> KnownPositions {
    let mut horizon = KnownPositions::default();
    horizon.advance(position);
    horizon
}

/// A daemon that had read the change, and then lost the source's history, took over a
/// neighbour's older copy: an upstream that it knew to be leaving got new work again.
#[test]
fn an_older_copy_is_not_taken_once_the_history_is_gone() {
    let mut horizon = at(20);
    horizon.reset();
    assert_eq!(horizon.position(), None, "everything has to be read");
    assert!(!horizon.accepts(19));
    assert!(horizon.accepts(20));
    assert!(KnownPositions::default().accepts(1), "nothing is known yet");
}

#[test]
fn changes_are_all_known_only_where_they_follow() {
    let mut horizon = at(20);
    assert!(horizon.follow_upstreams(10, 20), "known already");
    assert_eq!(horizon.upstreams(), Some(20));
    assert!(horizon.follow_upstreams(10, 21), "next");
    assert_eq!(horizon.upstreams(), Some(21));
    assert!(!horizon.follow_upstreams(22, 23), "a gap");
    assert_eq!(horizon.upstreams(), Some(21));
    let mut lost = horizon;
    lost.reset();
    assert!(!lost.follow_upstreams(10, 21));
    assert_eq!(lost.upstreams(), None);
}

#[test]
fn an_older_position_moves_nothing_back() {
    let mut horizon = at(20);
    horizon.advance(30);
    horizon.advance(25);
    assert_eq!(horizon.position(), Some(30));
}

/// Departures stood in line behind a configuration: a change that followed one which was
/// not known yet was passed over.
#[test]
fn upstreams_are_followed_past_a_configuration_that_is_not_known() {
    let mut horizon = at(20);
    assert!(horizon.follow_upstreams(20, 25));
    assert_eq!(horizon.configuration(), Some(20));
    assert_eq!(
        horizon.position(),
        Some(20),
        "from here on the source is asked"
    );
    assert!(horizon.follow_configuration(20, 25));
    assert_eq!(horizon.position(), Some(25));
}
