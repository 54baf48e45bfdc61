//! Tests of the bounds of the ring buffer and of the text and JSON of each event.

use mangofront_audit::{AuditEvent, AuditLog, AuditPage};
use quickcheck::QuickCheck;

fn accepted(revision: u64) -> AuditEvent {
    AuditEvent::ConfigurationAccepted { revision }
}

fn sequences(page: &AuditPage) -> Vec<u64> {
    page.entries.iter().map(|entry| entry.sequence).collect()
}

#[test]
fn sequence_numbers_of_an_empty_trail_start_at_one() {
    let page = AuditLog::new(4).since(0);
    assert_eq!((page.oldest_sequence, page.next_sequence), (1, 1));
    assert!(page.entries.is_empty());
}

#[test]
fn clones_share_entries() {
    let trail = AuditLog::new(4);
    assert_eq!(trail.clone().record(accepted(7)), 1);
    assert_eq!(trail.since(0).entries[0].event, accepted(7));
}

#[test]
fn capacity_zero_retains_the_latest_entry() {
    let trail = AuditLog::new(0);
    trail.record(accepted(1));
    trail.record(accepted(2));
    assert_eq!(sequences(&trail.since(0)), [2]);
}

/// For any capacity, number of entries and `after`, a page has the latest entries after
/// `after`, and its oldest sequence number shows which entries were dropped.
#[test]
fn pages_have_the_latest_entries_after_a_sequence_number() {
    fn property(capacity_entries: u8, recorded: u16, after: u16) -> bool {
        let (capacity, recorded) = (
            u64::from(capacity_entries).max(1),
            u64::from(recorded % 600),
        );
        let trail = AuditLog::new(usize::from(capacity_entries));
        (0..recorded).for_each(|revision| {
            trail.record(accepted(revision));
        });
        let oldest = (recorded + 1).saturating_sub(capacity).max(1);
        let first = oldest.max(u64::from(after) + 1);
        let page = trail.since(u64::from(after));
        page.next_sequence == recorded + 1
            && page.oldest_sequence == oldest
            && sequences(&page) == (first..=recorded).collect::<Vec<_>>()
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(property as fn(u8, u16, u16) -> bool);
}

fn all_events() -> Vec<AuditEvent> {
    let instance = || "entry-a1".to_owned();
    let reason = || "line 3, column 5: unknown key `weight`".to_owned();
    let order = || "version 2026-11".to_owned();
    vec![
        AuditEvent::SettingsLoaded {
            source: "mangofrontd.jsonc".to_owned(),
        },
        accepted(7),
        AuditEvent::ConfigurationRefused {
            revision: 8,
            reason: reason(),
        },
        AuditEvent::InstancesAccepted { revision: 3 },
        AuditEvent::InstancesRefused {
            revision: 4,
            reason: reason(),
        },
        AuditEvent::MemberJoined {
            instance: instance(),
            incarnation: 2,
        },
        AuditEvent::MemberSuspected {
            instance: instance(),
            incarnation: 2,
        },
        AuditEvent::MemberLeft {
            instance: instance(),
            incarnation: 2,
        },
        AuditEvent::MemberRefuted {
            instance: instance(),
            incarnation: 3,
        },
        AuditEvent::UpstreamJoined {
            instance: instance(),
        },
        AuditEvent::UpstreamLeaving {
            instance: instance(),
        },
        AuditEvent::UpstreamEjected {
            instance: instance(),
            reason: "5 errors".to_owned(),
        },
        AuditEvent::UpstreamReturned {
            instance: instance(),
        },
        AuditEvent::OrderSent {
            instance: instance(),
            order: order(),
        },
        AuditEvent::OrderRefused {
            instance: instance(),
            order: order(),
            reason: "stale_token".to_owned(),
        },
        AuditEvent::OrderOutcomeUnknown {
            service: "fleet-ops".to_owned(),
            key: "k1".to_owned(),
            reason: "link broke after the send".to_owned(),
        },
        AuditEvent::DrainStarted {
            in_flight_requests: 12,
        },
        AuditEvent::DrainFinished {
            cut_requests: 0,
            took_ms: 900,
        },
        AuditEvent::InvariantBroken {
            invariant: "at_most_once".to_owned(),
            detail: "key k1 ran twice".to_owned(),
        },
    ]
}

#[test]
fn each_event_has_a_text_and_a_json_form() {
    let descriptions: Vec<_> = all_events()
        .into_iter()
        .map(|event| {
            let json = serde_json::to_string(&event).expect("events are JSON");
            format!("{event}\n    {json}")
        })
        .collect();
    insta::assert_snapshot!(descriptions.join("\n"));
}

#[test]
fn pages_round_trip_through_json() {
    let trail = AuditLog::new(64);
    all_events().into_iter().for_each(|event| {
        trail.record(event);
    });
    let page = trail.since(2);
    let json = serde_json::to_string(&page).expect("pages are JSON");
    let read: AuditPage = serde_json::from_str(&json).expect("pages read back");
    assert_eq!(read, page);
}
