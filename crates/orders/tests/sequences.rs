//! Properties over arbitrary sequences.

use std::collections::{BTreeMap, BTreeSet};

use mangofront_orders::{
    Condition, FencingToken, OrdersDaemon, OrdersEngine, Standing, TurnLimits, may_start,
    responsible,
};
use quickcheck::{Gen, QuickCheck, TestResult, Testable};

/// Seed of all sequences.
const SEED: u64 = 5;

fn check(property: impl Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(300)
        .quickcheck(property);
}

#[test]
fn tokens() {
    check(tokens_grow as fn(Vec<(i8, u64)>) -> bool);
    check(ties_are_broken as fn(u64, u64, u64) -> TestResult);
}

#[test]
fn turns() {
    check(turns_keep_the_limits as fn(Vec<(u8, u8)>, u8, u8) -> bool);
}

#[test]
fn responsibility() {
    check(responsibility_is_stable as fn(BTreeSet<(u8, u8)>, u8, usize) -> TestResult);
}

/// Whoever takes over, an engine sees growing tokens, and none of an older
/// configuration. Each step: how far the daemon's revision is from the last
/// one, and the daemon's incarnation.
fn tokens_grow(takeovers: Vec<(i8, u64)>) -> bool {
    let mut highest: Option<FencingToken> = None;
    let mut revision = 1_000_u64;
    for (step, incarnation) in takeovers {
        revision = revision.saturating_add_signed(i64::from(step));
        match FencingToken::next(highest, revision, incarnation) {
            Ok(token) if Some(token) > highest => highest = Some(token),
            Err(outdated) if outdated.seen > revision => {}
            _ => return false,
        }
    }
    true
}

/// Two that read the same token never send the same one.
fn ties_are_broken(term: u64, first: u64, second: u64) -> TestResult {
    if first == second {
        return TestResult::discard();
    }
    let read = FencingToken {
        revision: 7,
        term,
        incarnation: 1,
    };
    let sent = [first, second].map(|own| FencingToken::next(Some(read), 7, own));
    TestResult::from_bool(sent[0] != sent[1])
}

/// The turns keep every limit, and don't depend on the order of the list.
fn turns_keep_the_limits(conditions: Vec<(u8, u8)>, zone_limit: u8, share: u8) -> bool {
    let standings = standings(&conditions);
    let limits = TurnLimits {
        loads_per_zone: usize::from(zone_limit % 4).max(1),
        share_percent: usize::from(share % 101),
    };
    let mut reversed = standings.clone();
    reversed.reverse();
    let starts: Vec<&Standing> = standings
        .iter()
        .filter(|one| may_start(&standings, &one.instance, limits))
        .collect();
    let alike = standings.iter().all(|one| {
        may_start(&standings, &one.instance, limits) == may_start(&reversed, &one.instance, limits)
    });
    alike
        && share_is_kept(&standings, &starts, limits)
        && zones_are_kept(&standings, &starts, limits)
}

/// An engine has a daemon of its zone if there is one, and the loss of
/// another daemon changes nothing for it.
fn responsibility_is_stable(daemons: BTreeSet<(u8, u8)>, zone: u8, lost: usize) -> TestResult {
    let daemons: Vec<OrdersDaemon> = daemons
        .iter()
        .map(|(name, zone)| OrdersDaemon {
            instance: format!("entry-{name}-{zone}"),
            availability_zone: zone_name(*zone),
        })
        .collect();
    let engine = engine(zone);
    let Some(first) = responsible(&daemons, &engine).cloned() else {
        return TestResult::from_bool(daemons.is_empty());
    };
    let near = |daemon: &&OrdersDaemon| daemon.availability_zone == engine.availability_zone;
    let has_near = daemons.iter().any(|daemon| near(&daemon));
    let is_near = daemons
        .iter()
        .filter(near)
        .any(|daemon| daemon.instance == first);
    let mut fewer = daemons.clone();
    let gone = fewer.remove(lost % daemons.len());
    let unmoved = gone.instance == first || responsible(&fewer, &engine) == Some(&first);
    TestResult::from_bool(is_near == has_near && unmoved)
}

fn standings(conditions: &[(u8, u8)]) -> Vec<Standing> {
    let numbered = conditions.iter().enumerate();
    numbered
        .map(|(index, (condition, zone))| Standing {
            instance: format!("engine-{index}"),
            availability_zone: zone_name(*zone),
            condition: match condition % 4 {
                0 => Condition::Settled,
                1 => Condition::Needing,
                2 => Condition::Loading,
                _ => Condition::Unknown,
            },
        })
        .collect()
}

fn zone_name(zone: u8) -> String {
    format!("hall-{}", zone % 3)
}

fn engine(zone: u8) -> OrdersEngine {
    OrdersEngine {
        instance: "engine-0".to_owned(),
        model: "assist-llm".to_owned(),
        availability_zone: zone_name(zone),
        address: ([127, 0, 0, 1], 1).into(),
        leaving: false,
        role: None,
    }
}

fn share_is_kept(standings: &[Standing], starts: &[&Standing], limits: TurnLimits) -> bool {
    let count = |wanted| {
        let found = standings.iter().filter(|one| one.condition == wanted);
        found.count()
    };
    let answering = standings.len() - count(Condition::Unknown);
    let out = count(Condition::Loading) + starts.len();
    let share = (answering * limits.share_percent / 100).max(1);
    let last_one_stays = standings.len() == 1 || out < answering;
    starts.is_empty() || (out <= share && last_one_stays)
}

fn zones_are_kept(standings: &[Standing], starts: &[&Standing], limits: TurnLimits) -> bool {
    let mut loads: BTreeMap<&str, usize> = BTreeMap::new();
    let loading = |one: &&Standing| one.condition == Condition::Loading;
    for standing in standings.iter().filter(loading) {
        *loads.entry(&standing.availability_zone).or_default() += 1;
    }
    starts.iter().all(|start| {
        let loads = loads.entry(&start.availability_zone).or_default();
        *loads += 1;
        *loads <= limits.loads_per_zone
    })
}
