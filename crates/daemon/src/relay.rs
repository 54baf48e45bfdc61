//! Relay of the configuration and the instance list between daemons.
//!
//! Each daemon publishes a summary of the documents it has accepted. A daemon that
//! receives a summary with a newer revision fetches the document from the daemon that
//! published it. A fetched document passes the same checks as one of the platform.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use mangofront_configuration::{Document, Kind, Platform, Source, Summary};
use mangofront_peers::{Peers, Service, Topic};
use mangofront_settings::ids::InstanceId;

/// Time limit for fetching a document from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval after which a failed fetch is repeated.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Publishes a summary of the accepted documents each time they change.
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

/// Fetches documents that other daemons have accepted and this one has not.
///
/// A daemon publishes each summary once, so summaries whose documents could not be
/// fetched are kept, and the fetch is repeated until it succeeds.
pub(crate) async fn fetch(platform: Platform, peers: Peers) {
    let mut summaries = peers.subscribe(Topic::Platform);
    let mut pending: BTreeMap<InstanceId, Summary> = BTreeMap::new();
    loop {
        match compio::time::timeout(RETRY_INTERVAL, summaries.next()).await {
            Ok(Some(published)) => {
                if let Ok(summary) = postcard::from_bytes(&published.value) {
                    pending.insert(published.origin, summary);
                }
            }
            Ok(None) => return,
            Err(_elapsed) => {}
        }
        for (origin, summary) in &pending {
            fetch_newer(&platform, &peers, origin, summary).await;
        }
        pending.retain(|_, summary| !platform.wants(summary).is_empty());
    }
}

async fn fetch_newer(platform: &Platform, peers: &Peers, from: &InstanceId, summary: &Summary) {
    for wanted in platform.wants(summary) {
        let Ok(request) = postcard::to_stdvec(&wanted.kind) else {
            continue;
        };
        let call = peers.call(from, Service::Platform, Bytes::from(request), FETCH_TIMEOUT);
        match call.await {
            Ok(answer) => offer_document(platform, from, &answer),
            Err(error) => log::debug!("relay: fetch failed: {error}"),
        }
    }
}

fn offer_document(platform: &Platform, from: &str, answer: &Bytes) {
    match postcard::from_bytes::<Option<Document>>(answer) {
        Ok(Some(document)) => {
            let source = Source::Peer(from.to_owned());
            let outcome = platform.offer(document, source);
            log::debug!("relay: document from {from}: {outcome:?}");
        }
        Ok(None) => {}
        Err(error) => log::debug!("relay: document from {from} is malformed: {error}"),
    }
}

/// Answers a peer's request for a document.
pub(crate) fn handle_fetch(platform: &Platform, request: &Bytes) -> Bytes {
    let Ok(kind) = postcard::from_bytes::<Kind>(request) else {
        return Bytes::new();
    };
    let document = platform.document(kind);
    postcard::to_stdvec(&document).map_or_else(|_| Bytes::new(), Bytes::from)
}
