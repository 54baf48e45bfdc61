//! Placement where engines retain prompts.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use mangofront_engines::{
    ChoiceOptions, Demand, LoadUpdate, NoUpstream, Placement, PromptPart, key_of,
};

use crate::profile::engine_profile;
use crate::support::{Fleet, SERVICE, demand};

const ENGINES: usize = 8;

type Change<'a> = &'a dyn Fn(&mut Fleet);

fn options(retains: bool) -> ChoiceOptions {
    let retention_ms = BTreeMap::from([(SERVICE.to_owned(), 60_000)]);
    ChoiceOptions {
        settling_time_ms: 0,
        prompt_retention_ms: if retains {
            retention_ms
        } else {
            BTreeMap::new()
        },
        ..ChoiceOptions::default()
    }
}

fn fleet(retains: bool) -> Fleet {
    Fleet::with_fixed_clock_and_options(ENGINES, options(retains))
}

/// A prompt that begins with a part of `tokens` tokens.
fn session(tokens: u64) -> Demand {
    let part = |id, tokens| PromptPart { id, tokens };
    Demand {
        prompt_parts: Rc::from([part(7, tokens), part(8, 200)]),
        ..demand(tokens + 200, 250, 300)
    }
}

fn number_of(fleet: &Fleet, placed: &Placement) -> usize {
    let is_answering = |one: &&_| **one == *placed.answering();
    let listed = fleet.listed.iter().find(is_answering).expect("listed");
    fleet
        .listed
        .iter()
        .position(|one| one == listed)
        .expect("listed")
}

/// Places a request at engine 5, if it takes any.
fn place_at_5(fleet: &Fleet, demand: &Demand) -> Result<Placement, NoUpstream> {
    let listed = fleet.listed.iter().filter(|one| one.id != "i-5");
    let others: Vec<_> = listed.map(key_of).collect();
    fleet.upstreams.place(SERVICE, demand, &others)
}

/// Lets engine 5 read the session's prompt, and clears the load.
fn read_at_5(fleet: &mut Fleet, demand: &Demand) {
    let placed = place_at_5(fleet, demand);
    placed.expect("engine 5 is idle").record_first_event();
}

fn prefilled(updates: &[LoadUpdate]) -> Vec<&LoadUpdate> {
    let is_prefilled = |one: &&LoadUpdate| matches!(one, LoadUpdate::Prefilled { .. });
    updates.iter().filter(is_prefilled).collect()
}

/// Guards against sessions that lose the engine that holds their prompt, and against any effect
/// where engines don't retain prompts.
#[test]
fn a_session_returns_to_the_engine_that_holds_its_prompt() {
    let returns = |retains, tokens: u64| {
        let mut fleet = fleet(retains);
        let session = session(tokens);
        read_at_5(&mut fleet, &session);
        let placed = fleet.place(&session).expect("engines are idle");
        let saved_ms = placed.believed_saving.as_secs_f64() * 1_000.0;
        let is_at_5 = number_of(&fleet, &placed) == 5;
        (
            tokens,
            is_at_5,
            saved_ms.round(),
            prefilled(&fleet.sent_updates()).len(),
        )
    };
    insta::assert_debug_snapshot!([
        returns(false, 15_000),
        returns(true, 15_000),
        returns(true, 40_000),
        returns(true, 40),
    ]);
}

/// Guards against a table that only the daemon knows which placed the request, and against belief
/// in prompts that were never read.
#[test]
fn other_daemons_learn_what_an_engine_holds() {
    let mut one = fleet(true);
    let (other, without) = (fleet(true), fleet(false));
    let session = session(15_000);
    let unread = one.place(&session).expect("engines are idle");
    let sent = one.sent_updates();
    assert!(prefilled(&sent).is_empty(), "{sent:?}");
    drop(unread);
    read_at_5(&mut one, &session);
    for update in one.sent_updates() {
        other.upstreams.apply_update(1, update.clone());
        without.upstreams.apply_update(1, update);
    }
    let placed = other.place(&session).expect("engines are idle");
    assert_eq!(number_of(&other, &placed), 5);
    let placed = without.place(&session).expect("engines are idle");
    assert_eq!(placed.believed_saving, Duration::ZERO);
}

/// Guards against waits for an engine that exited, restarted, left, is cold or has no slot.
#[test]
fn no_saving_counts_at_an_engine_that_lost_the_prompt_or_takes_no_work() {
    let saving = |change: Change<'_>| {
        let mut fleet = fleet(true);
        let session = session(15_000);
        read_at_5(&mut fleet, &session);
        change(&mut fleet);
        fleet.publish(&fleet.listed);
        // Engine 5 is the only one left to take it, if it takes any.
        place_at_5(&fleet, &session).map_or(Duration::ZERO, |placed| placed.believed_saving)
    };
    let key = |fleet: &Fleet| key_of(&fleet.listed[5]);
    assert!(saving(&|_| ()) > Duration::from_millis(60));
    let changes: [(&str, Change<'_>); 8] = [
        ("restarted", &|fleet| fleet.listed[5].started_at_ms += 1),
        ("left", &|fleet| drop(fleet.listed.remove(5))),
        ("leaves", &|fleet| fleet.listed[5].leaving = true),
        ("cold", &|fleet| {
            fleet.listed[5].cold_left = Some(Duration::from_secs(9))
        }),
        ("exited", &|fleet| {
            fleet.upstreams.eject_crashed(key(fleet));
            fleet.upstreams.forgive(key(fleet));
        }),
        ("exited elsewhere", &|fleet| {
            let crashed = LoadUpdate::Failed {
                upstream: key(fleet),
                ejected_ms: 0,
                has_crashed: true,
            };
            fleet.upstreams.apply_update(1, crashed);
        }),
        ("out of memory since", &|fleet| {
            for _ in 0..12 {
                let placed = place_at_5(fleet, &demand(20_000, 250, 300));
                drop(placed.expect("engine 5 is idle"));
            }
        }),
        ("full", &|fleet| {
            for _ in 0..engine_profile().slots {
                let placed = place_at_5(fleet, &demand(50, 250, 300));
                let mut placed = placed.expect("engine 5 has slots");
                placed.record_first_event();
                std::mem::forget(placed);
            }
        }),
    ];
    for (name, change) in changes {
        assert_eq!(saving(change), Duration::ZERO, "{name}");
    }
}

/// Guards against a share of a split prompt that is put into a queue for what a whole prompt
/// would save there.
#[test]
fn a_split_prompt_gets_no_correction() {
    let mut fleet = fleet(true);
    let begun = session(100_000);
    read_at_5(&mut fleet, &begun);
    let _queued = place_at_5(&fleet, &demand(40_000, 1_000, 2_500)).expect("engine 5 is idle");
    let longer = PromptPart {
        id: 9,
        tokens: 50_000,
    };
    let parts = [begun.prompt_parts[0], longer];
    let placed = fleet.place(&Demand {
        prompt_parts: Rc::from(parts),
        ..demand(150_000, 1_000, 2_500)
    });
    let placed = placed.expect("engines are idle");
    assert!(placed.shares.len() > 1, "{:?}", placed.shares.len());
    let mut shares = placed.shares.iter();
    assert!(shares.all(|share| share.upstream.id != "i-5"));
}
