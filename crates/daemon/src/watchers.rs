//! Decides whether this daemon watches the platform.
//!
//! The platform limits the calls of the whole fleet, and a pending watch counts as
//! a call. In a small fleet every daemon watches, as that delivers changes soonest.
//! In a larger one only some daemons of each availability zone watch, selected by
//! rendezvous hashing; the others receive changes through [`crate::relay`], which
//! takes seconds in a large zone (`docs/CAPACITY.md`), and read the platform rarely.

use std::rc::Rc;

use mangofront_configuration::Platform;
use mangofront_peers::{Member, MemberState, Peers};
use mangofront_settings::process::DaemonSettings;

/// Maximum number of watchers in the fleet: at 42 calls a minute each, they use 700 of
/// the platform's 2,000 calls a second.
const MAX_FLEET_WATCHERS: usize = 1_000;

/// Minimum number of watchers in an availability zone: with one of them frozen and
/// another cut off from the platform, the third still receives changes at once.
const MIN_ZONE_WATCHERS: usize = 3;

/// Name of the duty that is hashed to select the watchers.
const DUTY: &str = "watch";

/// Starts or stops watching as the membership changes; never returns.
pub(crate) async fn update_watching(
    platform: Platform,
    peers: Peers,
    settings: Rc<DaemonSettings>,
) {
    loop {
        let watchers = zone_watchers(&peers.members(), &settings);
        platform.set_watching(peers.is_delegate(DUTY, watchers));
        compio::time::sleep(settings.peers.heartbeat()).await;
    }
}

/// Number of daemons that watch in this daemon's availability zone.
fn zone_watchers(members: &[Member], settings: &DaemonSettings) -> usize {
    let alive = || {
        let members = members.iter();
        members.filter(|member| member.state == MemberState::Alive)
    };
    let in_zone = alive().filter(|member| {
        member.region == settings.region && member.availability_zone == settings.availability_zone
    });
    let (zone_daemons, fleet_daemons) = (in_zone.count(), alive().count());
    if fleet_daemons <= MAX_FLEET_WATCHERS {
        return zone_daemons.max(MIN_ZONE_WATCHERS);
    }
    (zone_daemons * MAX_FLEET_WATCHERS / fleet_daemons).max(MIN_ZONE_WATCHERS)
}
