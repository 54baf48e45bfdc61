//! Exchange of what each daemon has placed.

use std::time::Duration;

use futures_util::StreamExt;
use mangofront_peers::{Peers, Topic};
use mangofront_placement::Placement;

/// Time between two publications of this daemon's placements.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

/// Publishes this daemon's placements while they change.
pub(crate) async fn publish(placement: Placement, peers: Peers) {
    let mut last = bytes::Bytes::new();
    loop {
        compio::time::sleep(PUBLISH_INTERVAL).await;
        let view = placement.own_view();
        if view == last {
            continue;
        }
        last = view.clone();
        if let Err(error) = peers.publish(Topic::Load, view) {
            log::error!("views: placements not published: {error}");
        }
    }
}

/// Hands other daemons' placements to the placement.
pub(crate) async fn receive(placement: Placement, peers: Peers, own: String) {
    let mut views = peers.subscribe(Topic::Load);
    while let Some(published) = views.next().await {
        if published.origin != own {
            placement.apply_peer_view(&published.origin, published.incarnation, published.value);
        }
    }
}
