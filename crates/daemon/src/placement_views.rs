//! Exchanges placements with the other daemons.

use std::time::Duration;

use futures_util::StreamExt;
use mangofront_peers::{Peers, Topic};
use mangofront_placement::Placement;

/// Interval at which changed placements of this daemon are published.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

/// Publishes this daemon's placements whenever they have changed.
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

/// Applies the placements that other daemons publish.
pub(crate) async fn receive(placement: Placement, peers: Peers, own_instance: String) {
    let mut views = peers.subscribe(Topic::Load);
    while let Some(published) = views.next().await {
        if published.origin != own_instance {
            placement.apply_peer_view(&published.origin, published.incarnation, published.value);
        }
    }
}
