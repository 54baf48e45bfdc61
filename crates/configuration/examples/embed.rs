//! Minimal use of the crate without the daemon: two platforms, as two processes would have
//! them, of which the second receives a value from the first.
//!
//! No service listens at the given address, as in an outage: all values come from peers and
//! pass the same checks.

use std::error::Error;

use bytes::Bytes;
use mangofront_configuration::{Document, Kind, OfferOutcome, Platform, PlatformOptions, Source};

fn start_platform() -> Result<Platform, Box<dyn Error>> {
    let service = "127.0.0.1:9".parse()?;
    let options = PlatformOptions::builder(service)
        .on_change(|change| println!("change: {change}"))
        .build();
    Ok(Platform::start(options)?)
}

fn document(revision: u64, class: &str) -> Document {
    let body = format!(
        r#"{{"classes": {{"{class}": {{"time_to_first_token_ms": 500, "allowed_delay_ms": 5000}}}},
            "organisations": {{}}}}"#
    );
    Document {
        kind: Kind::Configuration,
        revision,
        body: Bytes::from(body),
    }
}

#[compio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let (first, second) = (start_platform()?, start_platform()?);
    let peer = Source::Peer("entry-9".to_owned());
    let newer = first.offer(document(7, "diagnosis"), peer.clone());
    // A lower revision from a service or a peer never replaces a higher one.
    let older = first.offer(document(6, "review"), peer);
    println!("revision 7: {newer:?}, then revision 6: {older:?}");
    // In a real program, the embedder's own connections transfer summary and document.
    for wanted in second.wants(&first.summary()) {
        let Some(document) = first.document(wanted.kind) else {
            continue;
        };
        let outcome = second.offer(document, Source::Peer("entry-1".to_owned()));
        println!("relayed {}: {outcome:?}", wanted.kind);
    }
    let in_force = second.configuration().map(|accepted| accepted.revision);
    if newer != OfferOutcome::Accepted || in_force != Some(7) {
        return Err(format!("revision in force: {in_force:?}").into());
    }
    Ok(())
}
