//! Who holds watches at the platform.
//!
//! The platform's budget of calls is for the whole fleet, and a waiting watch
//! counts as a call. A few daemons of each availability zone watch; the others
//! learn by [`crate::relay`] and make a rare plain read, which finds what every
//! watcher and the relay may have missed.

use std::time::Duration;

use mangofront_peers::Peers;
use mangofront_platform::Platform;

/// Watchers of an availability zone: with one of them frozen and one cut off
/// from the platform, a change still comes in at once.
const WATCHERS_PER_ZONE: usize = 3;

/// Name of the duty, from which the watchers are drawn.
const DUTY: &str = "watch";

/// Begins and ends the watches as the zone's members come and go, for ever.
pub(crate) async fn follow(platform: Platform, peers: Peers, heartbeat: Duration) {
    loop {
        platform.set_watching(peers.is_delegate(DUTY, WATCHERS_PER_ZONE));
        compio::time::sleep(heartbeat).await;
    }
}
