//! Engines that leave, fail, slow down or miss cache events; groups of engines.

mod support;

use std::time::Duration;

use mangofront_placement::{
    CacheEvent, CacheEventKind, CacheEvents, CacheSnapshot, CacheSync, EngineOutcome, EngineState,
    NoEngine,
};
use support::{Fleet, engines, fleet, report};

fn fail(fleet: &Fleet, index: usize) {
    for _ in 0..5 {
        fleet
            .placement
            .record_outcome(&format!("engine-{index}"), EngineOutcome::Error);
    }
}

fn events(next_sequence: u64, sequence: u64, kind: CacheEventKind, blocks: &[u64]) -> CacheEvents {
    let blocks = blocks.iter().map(|block| format!("{block:016x}")).collect();
    let event = CacheEvent {
        sequence,
        kind,
        blocks,
    };
    CacheEvents {
        incarnation: 1,
        next_sequence,
        events: vec![event],
    }
}

#[test]
fn leaving_engines_get_nothing() {
    let fleet = fleet(3);
    let mut listed = engines(3);
    listed[0].leaving = true;
    fleet.placement.set_engines(listed);
    let mut leaving = report(2);
    leaving.state = EngineState::Leaving;
    fleet
        .placement
        .apply_load_report(&"engine-1".to_owned(), leaving);
    let held: Vec<_> = (0..50)
        .map(|_| fleet.placement.place(&fleet.demand(8_000), &[]).unwrap())
        .collect();
    assert!(held.iter().all(|placed| placed.instance == "engine-2"));
    fleet
        .placement
        .record_outcome(&"engine-2".to_owned(), EngineOutcome::Leaving);
    let refused = fleet.placement.place(&fleet.demand(1_000), &[]);
    assert_eq!(refused.unwrap_err(), NoEngine::NoneUsable);
}

#[test]
fn a_loading_engine_is_left_out_for_a_while() {
    let fleet = fleet(2);
    let loading = "engine-1".to_owned();
    fleet
        .placement
        .record_outcome(&loading, EngineOutcome::Loading);
    // Its load report says nothing of it.
    fleet.placement.apply_load_report(&loading, report(2));
    let held: Vec<_> = (0..20)
        .map(|_| fleet.placement.place(&fleet.demand(8_000), &[]).unwrap())
        .collect();
    assert!(held.iter().all(|placed| placed.instance == "engine-0"));
    fleet.clock.advance(Duration::from_secs(3));
    let probe = fleet.placement.place(&fleet.demand(8_000), &[]).unwrap();
    assert_eq!(probe.instance, loading);
}

#[test]
fn ejection_never_empties_the_set() {
    for count in 1..=9 {
        let fleet = fleet(count);
        for index in 0..count {
            fail(&fleet, index);
        }
        let status = fleet.placement.status();
        let ejected = status
            .engines
            .iter()
            .filter(|engine| engine.ejected)
            .count();
        assert_eq!(ejected, count / 2);
        assert!(fleet.placement.place(&fleet.demand(1_000), &[]).is_ok());
    }
}

#[test]
fn an_ejected_engine_is_probed_and_comes_back_slowly() {
    let fleet = fleet(3);
    fail(&fleet, 0);
    let others = ["engine-1".to_owned(), "engine-2".to_owned()];
    let to_ejected = fleet
        .placement
        .explain(&fleet.demand(1_000))
        .chosen
        .unwrap();
    assert_ne!(to_ejected, "engine-0");
    fleet.clock.advance(Duration::from_secs(6));
    let probe = fleet
        .placement
        .place(&fleet.demand(1_000), &others)
        .unwrap();
    assert_eq!(probe.instance, "engine-0");
    let held: Vec<_> = (0..30)
        .map(|_| fleet.placement.place(&fleet.demand(1_000), &[]).unwrap())
        .collect();
    assert!(held.iter().all(|placed| placed.instance != "engine-0"));
    fleet
        .placement
        .record_outcome(&"engine-0".to_owned(), EngineOutcome::Success);
    drop(probe);
    fleet.clock.advance(Duration::from_secs(10));
    let more: Vec<_> = (0..30)
        .map(|_| fleet.placement.place(&fleet.demand(1_000), &[]).unwrap())
        .collect();
    assert!(more.iter().any(|placed| placed.instance == "engine-0"));
}

#[test]
fn a_slow_engine_is_ejected() {
    let fleet = fleet(5);
    // The fifth sample decides, before the ejection's five seconds are over.
    for _ in 0..5 {
        for index in 0..5 {
            let others: Vec<_> = (0..5)
                .filter(|other| *other != index)
                .map(|other| format!("engine-{other}"))
                .collect();
            let mut placed = fleet
                .placement
                .place(&fleet.patient(8_000), &others)
                .unwrap();
            let taken_ms = if index == 3 { 8_000 } else { 800 };
            fleet.clock.advance(Duration::from_millis(taken_ms));
            placed.record_first_token();
        }
    }
    let status = fleet.placement.status();
    let ejected: Vec<_> = status
        .engines
        .iter()
        .filter(|engine| engine.ejected)
        .collect();
    assert_eq!(ejected.len(), 1);
    assert_eq!(ejected[0].instance, "engine-3");
}

#[test]
fn unreachable_engines_are_avoided_unless_all_are() {
    let fleet = fleet(2);
    for _ in 0..3 {
        fleet
            .placement
            .record_report_failure(&"engine-0".to_owned());
    }
    let chosen = || {
        fleet
            .placement
            .explain(&fleet.demand(1_000))
            .chosen
            .unwrap()
    };
    assert_eq!(chosen(), "engine-1");
    fleet
        .placement
        .apply_load_report(&"engine-0".to_owned(), report(2));
    for _ in 0..3 {
        fleet
            .placement
            .record_report_failure(&"engine-1".to_owned());
    }
    assert_eq!(chosen(), "engine-0");
    for _ in 0..3 {
        fleet
            .placement
            .record_report_failure(&"engine-0".to_owned());
    }
    assert!(fleet.placement.place(&fleet.demand(1_000), &[]).is_ok());
}

#[test]
fn cached_prefixes_attract_and_gaps_ask_for_a_snapshot() {
    let fleet = fleet(6);
    let engine = "engine-4".to_owned();
    let blocks: Vec<u64> = (1..=100).collect();
    let stored = |next, sequence, blocks: &[u64]| {
        let events = events(next, sequence, CacheEventKind::Stored, blocks);
        fleet.placement.apply_cache_events(&engine, events)
    };
    assert_eq!(stored(6, 5, &blocks[..10]), CacheSync::NeedsSnapshot);
    let snapshot = CacheSnapshot {
        incarnation: 1,
        sequence: 5,
        blocks: blocks[..60]
            .iter()
            .map(|block| format!("{block:016x}"))
            .collect(),
    };
    fleet.placement.apply_cache_snapshot(&engine, snapshot);
    let in_sync = CacheSync::InSync { next_sequence: 7 };
    assert_eq!(stored(7, 6, &blocks[60..80]), in_sync);
    assert_eq!(stored(7, 6, &blocks[60..80]), in_sync, "repeated");

    let mut demand = fleet.demand(100 * 256);
    demand.blocks = blocks.clone();
    let explanation = fleet.placement.explain(&demand);
    assert_eq!(explanation.chosen.as_deref(), Some("engine-4"));
    let considered = explanation.considered.into_iter();
    let cached: Vec<_> = considered.map(|engine| engine.cached_tokens).collect();
    assert_eq!(cached.iter().sum::<u64>(), 80 * 256);

    assert_eq!(
        stored(10, 9, &blocks[80..]),
        CacheSync::NeedsSnapshot,
        "gap"
    );
    assert!(!fleet.status(&engine).cache_in_sync);
    // The old view stays in use, and a later life empties it.
    assert_eq!(fleet.status(&engine).cached_blocks, 100);
    let later_life = CacheEvents {
        incarnation: 2,
        ..events(1, 0, CacheEventKind::Evicted, &[])
    };
    let sync = fleet.placement.apply_cache_events(&engine, later_life);
    assert_eq!(sync, CacheSync::NeedsSnapshot);
    assert_eq!(fleet.status(&engine).cached_blocks, 0);
}

#[test]
fn a_group_covers_the_need_exactly() {
    let fleet = fleet(8);
    let demand = fleet.patient(1_000_000);
    let first = fleet.placement.place(&demand, &[]).unwrap();
    let group = first.group.clone().unwrap();
    assert_eq!(
        group.iter().map(|member| member.tokens).sum::<u64>(),
        1_000_064
    );
    assert!(group.iter().all(|member| member.tokens <= 400_000));
    assert_eq!(group.len(), 3);
    assert_eq!(group[0].instance, first.instance);
    // From the long end of the order, and the second one beside the first.
    let long_end: Vec<_> = fleet.order().into_iter().rev().take(3).collect();
    let members = |group: &[mangofront_placement::GroupMember]| -> Vec<String> {
        group.iter().map(|member| member.instance.clone()).collect()
    };
    assert_eq!(members(&group), long_end);
    let second = fleet.placement.place(&demand, &[]).unwrap();
    let second_members = members(&second.group.clone().unwrap());
    assert!(
        second_members
            .iter()
            .all(|member| !long_end.contains(member))
    );
    let too_large = fleet.placement.place(&fleet.patient(4_000_000), &[]);
    assert!(matches!(too_large, Err(NoEngine::TooLarge { .. })));
    drop((first, second));
    let outstanding = fleet.placement.status().engines.into_iter();
    assert_eq!(outstanding.map(|engine| engine.outstanding).sum::<u32>(), 0);
}

#[test]
fn the_reason_for_each_engine_is_told() {
    let fleet = fleet(4);
    fleet
        .placement
        .record_report_failure(&"engine-1".to_owned());
    let mut listed = engines(4);
    listed[2].leaving = true;
    fleet.placement.set_engines(listed);
    fleet
        .placement
        .record_outcome(&"engine-3".to_owned(), EngineOutcome::Busy);
    insta::assert_json_snapshot!(fleet.placement.explain(&fleet.demand(10_000)));
}
