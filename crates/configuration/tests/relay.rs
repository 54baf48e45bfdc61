//! Relay of values between daemons.

mod common;

use common::{
    Standin, configuration, document, options, peer, revision, start, target_ms, wait_until,
};
use mangofront_configuration::{Kind, OfferOutcome, Platform, PlatformChange, Refusal, Source};

/// One round of gossip: `to` fetches the values that are newer in `from`.
fn gossip(from: &Platform, to: &Platform) -> Vec<OfferOutcome> {
    let summary = from.summary();
    let wanted = to.wants(&summary).into_iter();
    let documents = wanted.filter_map(|wanted| from.document(wanted.kind));
    documents
        .map(|document| to.offer(document, peer()))
        .collect()
}

#[compio::test]
async fn fresh_process_with_a_stale_service_is_corrected_by_a_peer() {
    let standin = Standin::start(&configuration(100)).await;
    let (current, _) = start(options(standin.address));
    standin.publish(configuration(200)).await;
    standin.publish(configuration(300)).await;
    wait_until("revision 3", || revision(&current) == Some(3)).await;
    standin.control(r#"{"stale": true}"#).await;
    let (fresh, _) = start(options(standin.address));
    wait_until("the stale value", || revision(&fresh) == Some(1)).await;
    wait_until("both lists", || {
        current.instances().is_some() && fresh.instances().is_some()
    })
    .await;
    assert_eq!(gossip(&current, &fresh), [OfferOutcome::Accepted]);
    assert_eq!(target_ms(&fresh), Some(300));
    assert_eq!(gossip(&current, &fresh), []);
    // The service stays stale; values that another daemon received still arrive
    // by relay.
    let offered = current.offer(document(4, configuration(400)), peer());
    assert_eq!(offered, OfferOutcome::Accepted);
    assert_eq!(gossip(&current, &fresh), [OfferOutcome::Accepted]);
    assert_eq!(target_ms(&fresh), Some(400));
    assert_eq!(fresh.health().configuration.from_peers, 2);
    drop((current, fresh));
    standin.stop().await;
}

#[compio::test]
async fn values_from_peers_and_the_service_pass_the_same_checks() {
    let (platform, changes) = start(options("127.0.0.1:9".parse().unwrap()).watching(false));
    for source in [Source::Service, peer()] {
        let invalid = platform.offer(document(5, configuration(0)), source.clone());
        assert!(matches!(
            invalid,
            OfferOutcome::Refused(Refusal::Invalid { .. })
        ));
        assert_eq!(revision(&platform), None);
    }
    assert_eq!(changes.borrow().len(), 1, "reported once");
    let accepted = platform.offer(document(6, configuration(600)), peer());
    assert_eq!(accepted, OfferOutcome::Accepted);
    let spaced = configuration(600).replace(": ", " :\n ");
    let same = platform.offer(document(6, spaced), peer());
    assert_eq!(same, OfferOutcome::AlreadyHeld);
    let text = configuration(600);
    let middle = text.find(r#", "organisations""#).unwrap();
    let classes = &text[1..middle];
    let organisations = &text[middle + 2..text.len() - 1];
    let reordered = format!("{{{organisations}, {classes}}}");
    let same = platform.offer(document(6, reordered), peer());
    assert_eq!(same, OfferOutcome::AlreadyHeld);
    let lower = platform.offer(document(5, configuration(500)), peer());
    assert_eq!(lower, OfferOutcome::Outdated);
    let lower = platform.offer(document(5, configuration(500)), Source::Service);
    assert_eq!(lower, OfferOutcome::Refused(Refusal::Lower { floor: 6 }));
    let other = platform.offer(document(6, configuration(601)), peer());
    assert!(matches!(
        other,
        OfferOutcome::Refused(Refusal::OtherDigest { .. })
    ));
    let again = platform.offer(document(6, configuration(601)), peer());
    assert_eq!(again, other);
    assert_eq!(target_ms(&platform), Some(600));
    let refusals = changes.borrow();
    let refusals = refusals
        .iter()
        .filter(|change| matches!(change, PlatformChange::Refused { .. }));
    assert_eq!(refusals.count(), 3, "{:?}", changes.borrow());
}

#[compio::test]
async fn divergence_between_peers_is_reported_once_and_nothing_is_fetched() {
    let unreachable = "127.0.0.1:9".parse().unwrap();
    let (one, changes) = start(options(unreachable).watching(false));
    let (other, _) = start(options(unreachable).watching(false));
    one.offer(document(3, configuration(300)), peer());
    other.offer(document(3, configuration(333)), peer());
    assert_eq!(gossip(&other, &one), []);
    assert_eq!(gossip(&other, &one), []);
    assert_eq!(changes.borrow().len(), 2, "{:?}", changes.borrow());
    other.offer(document(4, configuration(400)), peer());
    assert_eq!(gossip(&other, &one), [OfferOutcome::Accepted]);
}

#[compio::test]
async fn refused_version_is_not_fetched_again() {
    let unreachable = "127.0.0.1:9".parse().unwrap();
    let lax = |text: &str| serde_json::from_str(text).map_err(|error| error.to_string());
    let (lax, _) = start(options(unreachable).watching(false).checker(lax));
    let (strict, _) = start(options(unreachable).watching(false));
    lax.offer(document(3, configuration(0)), peer());
    assert!(matches!(
        gossip(&lax, &strict)[..],
        [OfferOutcome::Refused(_)]
    ));
    assert_eq!(gossip(&lax, &strict), []);
}

#[compio::test]
async fn relayed_instance_list_is_checked() {
    let (platform, _) = start(options("127.0.0.1:9".parse().unwrap()).watching(false));
    let instance = r#"{"instance": "hall-a-1", "region": "ub", "availability_zone": "hall-a", "state": "live", "role": {"kind": "engine", "address": "127.0.0.1:9", "model": "assist-llm"}}"#;
    let list = |instances: &str| {
        let mut document = document(1, format!(r#"{{"instances": [{instances}]}}"#));
        document.kind = Kind::Instances;
        document
    };
    let duplicated = format!("{instance}, {instance}");
    let refused = platform.offer(list(&duplicated), peer());
    assert!(matches!(refused, OfferOutcome::Refused(_)));
    let accepted = platform.offer(list(instance), peer());
    assert_eq!(accepted, OfferOutcome::Accepted);
    let instances = platform.instances().unwrap();
    assert_eq!(instances.list.instances[0].availability_zone, "hall-a");
}
