//! What daemons tell each other of changes of upstreams.

use std::collections::BTreeSet;

use mangofront_gateway::{Position, UpstreamChange, UpstreamChangeKind, UpstreamChanges};
use quickcheck::QuickCheck;

fn gone(position: Position) -> UpstreamChange {
    UpstreamChange {
        kind: UpstreamChangeKind::Gone {
            id: format!("i-{position}"),
            position,
            is_announced: false,
        },
        known_for_ms: 0,
    }
}

/// Guards against a departure that is passed over for good: a daemon that knew a later
/// change and not the ones before it told others that it was the only one.
#[test]
fn changes_beyond_what_is_known_are_told_and_vouch_for_nothing() {
    let told = UpstreamChanges::pages(38, 38, vec![gone(46), gone(53)]);
    let expected = UpstreamChanges {
        after: 38,
        up_to: 38,
        changes: vec![gone(46), gone(53)],
    };
    assert_eq!(told, [expected]);
}

/// Guards against pages that together vouch for more or for less than their teller knows.
#[test]
fn pages_follow_on_each_other_up_to_what_is_known() {
    fn property(after: u16, known: u16, positions: BTreeSet<u16>) -> bool {
        let (after, positions) = (Position::from(after), positions.into_iter());
        let up_to = after + Position::from(known);
        let changes: Vec<UpstreamChange> = positions
            .map(|position| gone(after + 1 + Position::from(position)))
            .collect();
        let count = changes.len();
        let pages = UpstreamChanges::pages(after, up_to, changes);
        let mut from = after;
        for page in &pages {
            // What a page vouches for is told by then.
            let is_told = page.changes.iter().all(|change| change.position() > from);
            if page.after != from || page.up_to < from || !is_told {
                return false;
            }
            from = page.up_to;
        }
        let told: usize = pages.iter().map(|page| page.changes.len()).sum();
        from == up_to && told == count
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(property as fn(u16, u16, BTreeSet<u16>) -> bool);
}
