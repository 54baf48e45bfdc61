//! Who holds watches at the platform.
//!
//! The platform's budget of calls is for the whole fleet, and a waiting watch
//! counts as a call. As long as the fleet is small enough, every daemon watches:
//! nothing brings a change sooner. Past that a share of each availability zone
//! does, drawn by rendezvous hashing; the others learn by [`crate::relay`],
//! which takes seconds in a large zone (`docs/CAPACITY.md`), and make a rare
//! plain read.

use std::rc::Rc;

use mangofront_configuration::Platform;
use mangofront_peers::{Member, MemberState, Peers};
use mangofront_settings::process::DaemonSettings;

/// Watchers of the whole fleet at most: with 42 calls a minute each, 700 of the
/// platform's 2,000 calls a second.
const WATCHERS_MOST: usize = 1_000;

/// Fewest watchers of an availability zone: with one of them frozen and one cut
/// off from the platform, a change still comes in at once.
const WATCHERS_LEAST: usize = 3;

/// Name of the duty, from which the watchers are drawn.
const DUTY: &str = "watch";

/// Begins and ends the watches as members come and go, for ever.
pub(crate) async fn follow(platform: Platform, peers: Peers, settings: Rc<DaemonSettings>) {
    loop {
        let watchers = watchers(&peers.members(), &settings);
        platform.set_watching(peers.is_delegate(DUTY, watchers));
        compio::time::sleep(settings.peers.heartbeat()).await;
    }
}

/// Watchers of the own zone.
fn watchers(members: &[Member], settings: &DaemonSettings) -> usize {
    let alive = || {
        let members = members.iter();
        members.filter(|member| member.state == MemberState::Alive)
    };
    let in_zone = alive().filter(|member| {
        member.region == settings.region && member.availability_zone == settings.availability_zone
    });
    let (zone, fleet) = (in_zone.count(), alive().count());
    if fleet <= WATCHERS_MOST {
        return zone.max(WATCHERS_LEAST);
    }
    (zone * WATCHERS_MOST / fleet).max(WATCHERS_LEAST)
}
