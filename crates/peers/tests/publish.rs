//! Published values reach everyone, the latest ones.

mod common;

use std::collections::BTreeMap;

use bytes::Bytes;
use common::{all_alive, eventually, fleet};
use futures_util::{FutureExt, StreamExt};
use mangofront_peers::{PUBLICATION_LIMIT_BYTES, PublishError, Subscription, Topic};

/// Everything that a subscription has now.
fn drain(subscription: &mut Subscription, into: &mut BTreeMap<String, (u64, Bytes)>) {
    while let Some(Some(published)) = subscription.next().now_or_never() {
        into.insert(published.origin, (published.sequence, published.value));
    }
}

#[compio::test]
async fn the_latest_value_of_each_reaches_all() {
    let ring = fleet(&["za", "zb", "zc"], 5, 4);
    eventually("the ring is whole", || all_alive(&ring)).await;
    for topic in [Topic::Load, Topic::Platform, Topic::Custom(3)] {
        for (name, peers) in &ring {
            peers
                .publish(topic, Bytes::from("superseded"))
                .expect("publish");
            peers
                .publish(topic, Bytes::from(name.clone()))
                .expect("publish");
        }
        for (reader, peers) in &ring {
            let seen = std::cell::RefCell::new((peers.subscribe(topic), BTreeMap::new()));
            eventually("all values are there", || {
                let (subscription, values) = &mut *seen.borrow_mut();
                drain(subscription, values);
                let latest = |(name, _): &(String, _)| {
                    values.get(name) == Some(&(2, Bytes::from(name.clone())))
                };
                ring.iter().all(latest)
            })
            .await;
            assert_eq!(seen.borrow().1.len(), ring.len(), "{reader}");
        }
    }
}

#[compio::test]
async fn a_subscriber_that_reads_late_finds_one_value_an_origin() {
    let mesh = fleet(&["za"], 2, 8);
    let mut subscription = mesh[0].1.subscribe(Topic::Load);
    for number in 0..100_u8 {
        mesh[0]
            .1
            .publish(Topic::Load, Bytes::from(vec![number]))
            .expect("publish");
    }
    let mut values = BTreeMap::new();
    let first = subscription.next().await.expect("value");
    assert_eq!((first.sequence, first.value), (100, Bytes::from(vec![99])));
    drain(&mut subscription, &mut values);
    assert!(values.is_empty());
    let large = Bytes::from(vec![0; PUBLICATION_LIMIT_BYTES + 1]);
    let refused = mesh[0].1.publish(Topic::Load, large);
    assert!(matches!(refused, Err(PublishError::TooLarge { .. })));
}
