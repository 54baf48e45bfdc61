//! Who holds watches at the platform.
//!
//! The platform's budget of calls is for the whole fleet, and a waiting watch
//! counts as a call. A few daemons of each availability zone watch; the others
//! learn by [`crate::relay`] and make a rare plain read, which finds what every
//! watcher and the relay may have missed.

use std::rc::Rc;

use mangofront_peers::{MemberState, Peers};
use mangofront_platform::Platform;
use mangofront_settings::process::DaemonSettings;

/// Fewest watchers of an availability zone: with one of them frozen and one cut off
/// from the platform, a change still comes in at once.
const WATCHERS_LEAST: usize = 3;

/// Members of a zone for each of its watchers. A relayed change moves along the
/// zone's ring by a heartbeat at a time; with three watchers among 32 it took up
/// to 8 s, where 5 s are allowed.
const MEMBERS_PER_WATCHER: usize = 4;

/// Name of the duty, from which the watchers are drawn.
const DUTY: &str = "watch";

/// Begins and ends the watches as the zone's members come and go, for ever.
pub(crate) async fn follow(platform: Platform, peers: Peers, settings: Rc<DaemonSettings>) {
    loop {
        let watchers = WATCHERS_LEAST.max(zone_members(&peers, &settings) / MEMBERS_PER_WATCHER);
        platform.set_watching(peers.is_delegate(DUTY, watchers));
        compio::time::sleep(settings.peers.heartbeat()).await;
    }
}

fn zone_members(peers: &Peers, settings: &DaemonSettings) -> usize {
    let members = peers.members();
    let in_zone = members.iter().filter(|member| {
        member.state == MemberState::Alive
            && member.region == settings.region
            && member.availability_zone == settings.availability_zone
    });
    in_zone.count()
}
