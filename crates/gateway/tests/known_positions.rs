//! Positions up to which a daemon knows the published changes.

use mangofront_gateway::KnownPositions;

fn known_up_to(position: u64) -> KnownPositions {
    let mut positions = KnownPositions::default();
    positions.advance(position);
    positions
}

/// Guards against an outdated copy: a daemon that knew a change, and then lost the source's
/// history, applied an older copy of another daemon and sent new requests to an upstream
/// that was draining.
#[test]
fn an_older_copy_is_rejected_after_a_reset() {
    let mut positions = known_up_to(20);
    positions.reset();
    assert_eq!(
        positions.position(),
        None,
        "everything has to be read again"
    );
    assert!(!positions.accepts(19));
    assert!(positions.accepts(20));
    assert!(KnownPositions::default().accepts(1), "nothing is known yet");
}

#[test]
fn changes_after_a_gap_do_not_advance_the_position() {
    let mut positions = known_up_to(20);
    assert!(positions.follow_upstreams(10, 20), "already known");
    assert_eq!(positions.upstreams(), Some(20));
    assert!(positions.follow_upstreams(10, 21), "next");
    assert_eq!(positions.upstreams(), Some(21));
    assert!(!positions.follow_upstreams(22, 23), "a gap");
    assert_eq!(positions.upstreams(), Some(21));
    let mut after_reset = positions;
    after_reset.reset();
    assert!(!after_reset.follow_upstreams(10, 21));
    assert_eq!(after_reset.upstreams(), None);
}

#[test]
fn an_older_position_does_not_move_back() {
    let mut positions = known_up_to(20);
    positions.advance(30);
    positions.advance(25);
    assert_eq!(positions.position(), Some(30));
}

/// Guards against departures that wait behind a configuration: a change was ignored if it
/// followed a configuration that was not known yet.
#[test]
fn upstreams_advance_past_an_unknown_configuration() {
    let mut positions = known_up_to(20);
    assert!(positions.follow_upstreams(20, 25));
    assert_eq!(positions.configuration(), Some(20));
    assert_eq!(
        positions.position(),
        Some(20),
        "the source is watched from here on"
    );
    assert!(positions.follow_configuration(20, 25));
    assert_eq!(positions.position(), Some(25));
}
