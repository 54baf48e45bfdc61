//! Relay of the configuration and the instance list between daemons.
//!
//! Each daemon publishes what it has accepted; one that hears of something
//! newer fetches it from the daemon that told. What is fetched passes the same
//! checks as what the platform serves.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use mangofront_configuration::{Document, Kind, Platform, Source, Summary};
use mangofront_peers::{Peers, Service, Topic};
use mangofront_settings::ids::InstanceId;

/// Time for a peer to hand over a document.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause before what could not be fetched is asked for again.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Publishes what this daemon has accepted, each time it changes.
pub(crate) async fn publish(platform: Platform, peers: Peers) {
    let mut seen = platform.revisions();
    loop {
        if let Ok(summary) = postcard::to_stdvec(&platform.summary()) {
            let published = peers.publish(Topic::Platform, Bytes::from(summary));
            if let Err(error) = published {
                log::error!("relay: summary not published: {error}");
            }
        }
        seen = platform.changed(seen).await;
    }
}

/// Fetches what other daemons have accepted and this one has not.
///
/// A daemon tells of a revision once, so one that could not be fetched is asked
/// for again until it is here.
pub(crate) async fn fetch(platform: Platform, peers: Peers) {
    let mut summaries = peers.subscribe(Topic::Platform);
    let mut told: BTreeMap<InstanceId, Summary> = BTreeMap::new();
    loop {
        match compio::time::timeout(RETRY_PAUSE, summaries.next()).await {
            Ok(Some(published)) => {
                if let Ok(summary) = postcard::from_bytes(&published.value) {
                    told.insert(published.origin, summary);
                }
            }
            Ok(None) => return,
            Err(_elapsed) => {}
        }
        for (origin, summary) in &told {
            fetch_newer(&platform, &peers, origin, summary).await;
        }
        told.retain(|_, summary| !platform.wants(summary).is_empty());
    }
}

async fn fetch_newer(platform: &Platform, peers: &Peers, from: &InstanceId, summary: &Summary) {
    for wanted in platform.wants(summary) {
        let Ok(request) = postcard::to_stdvec(&wanted.kind) else {
            continue;
        };
        let call = peers.call(from, Service::Platform, Bytes::from(request), FETCH_TIMEOUT);
        match call.await {
            Ok(answer) => offer(platform, from, &answer),
            Err(error) => log::debug!("relay: fetch failed: {error}"),
        }
    }
}

fn offer(platform: &Platform, from: &str, answer: &Bytes) {
    match postcard::from_bytes::<Option<Document>>(answer) {
        Ok(Some(document)) => {
            let source = Source::Peer(from.to_owned());
            let outcome = platform.offer(document, source);
            log::debug!("relay: document of {from}: {outcome:?}");
        }
        Ok(None) => {}
        Err(error) => log::debug!("relay: document of {from} is malformed: {error}"),
    }
}

/// Answers a daemon that asks for a document.
pub(crate) fn answer(platform: &Platform, request: &Bytes) -> Bytes {
    let Ok(kind) = postcard::from_bytes::<Kind>(request) else {
        return Bytes::new();
    };
    let document = platform.document(kind);
    postcard::to_stdvec(&document).map_or_else(|_| Bytes::new(), Bytes::from)
}
