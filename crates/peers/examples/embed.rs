//! Minimal use of the membership without the daemon: two members in one process
//! find each other; one publishes a value and calls the other, which answers.

use std::error::Error;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{FutureExt, StreamExt};
use mangofront_peers::{ListedPeer, Peers, PeersOptions, Service, Topic};

const PERIOD: Duration = Duration::from_millis(50);

/// Time limit for the members to find each other.
const LIMIT: Duration = Duration::from_secs(10);

fn member(instance: &str) -> Result<Peers, Box<dyn Error>> {
    let options = PeersOptions::builder(instance, "region-1", "hall-a", "127.0.0.1:0".parse()?)
        .heartbeat_period(PERIOD)
        .build();
    let on_change = Rc::new(|change| println!("change: {change:?}"));
    let responder: mangofront_peers::Responder =
        Rc::new(|_from, _service, request| async move { request }.boxed_local());
    Ok(Peers::start(options, on_change, responder)?)
}

#[compio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let (first, second) = (member("entry-1")?, member("entry-2")?);
    // Only the second member is listed: it learns of the first from its heartbeat.
    first.set_listed(&[ListedPeer {
        instance: "entry-2".to_owned(),
        region: "region-1".to_owned(),
        availability_zone: "hall-a".to_owned(),
        address: second.address(),
        leaving: false,
    }]);
    let mut values = second.subscribe(Topic::Load);
    first.publish(Topic::Load, Bytes::from_static(b"three streams"))?;
    let received = compio::time::timeout(LIMIT, values.next()).await?;
    println!("received: {received:?}");
    let request = Bytes::from_static(b"are you there?");
    let peer = "entry-2".to_owned();
    let answer = first.call(&peer, Service::Once, request, LIMIT).await?;
    println!(
        "answered: {answer:?}, delegate: {}",
        first.is_delegate("watch", 1)
    );
    first.leave();
    Ok(())
}
