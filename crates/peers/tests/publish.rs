//! Published values reach everyone, the latest ones.

mod common;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

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

#[compio::test]
async fn news_stays_within_its_allowance_and_the_last_value_arrives() {
    const BURST_BYTES: u64 = 64 * 1024;
    const BYTES_PER_S: u32 = 20_000;
    // Names, hashes and beats of one heartbeat, answer or framing.
    const HEAD_BYTES: u64 = 200;
    let options = |name| common::options(name, "za").gossip_bytes_per_s(BYTES_PER_S);
    let publisher = common::start(options("publisher"));
    let reader = common::start(options("reader"));
    reader.set_listed(&[common::listed("publisher", "za", &publisher)]);
    let started = Instant::now();
    let mut values = 0;
    while started.elapsed() < Duration::from_secs(3) {
        for topic in 0..8 {
            let value = Bytes::from(vec![topic; PUBLICATION_LIMIT_BYTES]);
            publisher
                .publish(Topic::Custom(topic), value)
                .expect("publish");
        }
        values += 1;
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    let gossip = publisher.counters().gossip;
    let allowed =
        BURST_BYTES + started.elapsed().as_millis() as u64 * u64::from(BYTES_PER_S) / 1000;
    assert!(
        gossip.bytes_sent > BURST_BYTES,
        "too little was offered: {gossip:?}"
    );
    let heads = gossip.messages_sent * HEAD_BYTES;
    assert!(gossip.bytes_sent <= allowed + heads, "{gossip:?}");
    let subscription = std::cell::RefCell::new(reader.subscribe(Topic::Custom(7)));
    let seen = std::cell::RefCell::new(BTreeMap::new());
    eventually("the last value is there", || {
        drain(&mut subscription.borrow_mut(), &mut seen.borrow_mut());
        seen.borrow()
            .get("publisher")
            .is_some_and(|(sequence, _)| *sequence == values)
    })
    .await;
}
