//! How far a daemon knows what is published, and whose word it takes for it.

use mangofront_gateway::{Continuation, Horizon};

fn at(position: u64) -> Horizon {
    let mut horizon = Horizon::default();
    horizon.advance(position, true);
    horizon
}

/// A daemon that had read the change, and then lost the source's history, took over a
/// neighbour's older copy: an upstream that it knew to be leaving got new work again.
#[test]
fn an_older_copy_is_not_taken_once_the_history_is_gone() {
    let mut horizon = at(20);
    horizon.lose();
    assert_eq!(horizon.position(), None, "everything has to be read");
    assert!(!horizon.accepts(19));
    assert!(horizon.accepts(20));
    assert!(Horizon::default().accepts(1), "nothing is known yet");
}

#[test]
fn changes_are_taken_in_only_where_they_follow() {
    let horizon = at(20);
    assert_eq!(horizon.continuation(10, 20), Continuation::Known);
    assert_eq!(horizon.continuation(10, 21), Continuation::Next);
    assert_eq!(horizon.continuation(21, 22), Continuation::Gap);
    let mut lost = horizon;
    lost.lose();
    assert_eq!(lost.continuation(10, 21), Continuation::Gap);
}

#[test]
fn a_confirmation_moves_the_position_and_no_change() {
    let mut horizon = at(20);
    horizon.confirm(30);
    horizon.confirm(25);
    assert_eq!(horizon.position(), Some(30));
    assert_eq!(horizon.last_change(), 20);
    assert!(horizon.has_upstreams_of(20) && !horizon.has_upstreams_of(19));
}
