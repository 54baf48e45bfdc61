//! Property tests of tokens, load limits and the assignment of engines.

use std::collections::{BTreeMap, BTreeSet};

use mangofront_orders::{
    EngineState, FencingToken, LoadCondition, LoadLimits, OrdersDaemon, OrdersEngine,
    may_start_load, responsible_daemon,
};
use quickcheck::{Gen, QuickCheck, TestResult, Testable};

/// Seed of all tests.
const SEED: u64 = 5;

fn check(property: impl Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(300)
        .quickcheck(property);
}

#[test]
fn fencing_tokens() {
    check(tokens_increase as fn(Vec<(i8, u64)>) -> bool);
    check(ties_are_broken as fn(u64, u64, u64) -> TestResult);
}

#[test]
fn load_limits() {
    check(starts_keep_the_limits as fn(Vec<(u8, u8)>, u8, u8) -> bool);
}

#[test]
fn assignment() {
    check(assignment_is_stable as fn(BTreeSet<(u8, u8)>, u8, usize) -> TestResult);
}

/// The tokens that an engine gets from successive daemons increase, and none is of
/// an older configuration. Each step contains the difference of the daemon's
/// revision to the previous one, and the daemon's incarnation.
fn tokens_increase(takeovers: Vec<(i8, u64)>) -> bool {
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

/// Two daemons that read the same token send different ones.
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

/// The engines that may start keep every limit and do not depend on the order of
/// the list.
fn starts_keep_the_limits(conditions: Vec<(u8, u8)>, zone_limit: u8, share: u8) -> bool {
    let states = states(&conditions);
    let limits = LoadLimits {
        loads_per_zone: usize::from(zone_limit % 4).max(1),
        share_percent: usize::from(share % 101),
    };
    let mut reversed = states.clone();
    reversed.reverse();
    let starts: Vec<&EngineState> = states
        .iter()
        .filter(|one| may_start_load(&states, &one.instance, limits))
        .collect();
    let order_independent = states.iter().all(|one| {
        may_start_load(&states, &one.instance, limits)
            == may_start_load(&reversed, &one.instance, limits)
    });
    order_independent
        && share_is_kept(&states, &starts, limits)
        && zones_are_kept(&states, &starts, limits)
}

/// An engine is assigned to a daemon of its availability zone if there is one, and
/// the loss of another daemon does not change its assignment.
fn assignment_is_stable(daemons: BTreeSet<(u8, u8)>, zone: u8, lost: usize) -> TestResult {
    let daemons: Vec<OrdersDaemon> = daemons
        .iter()
        .map(|(name, zone)| OrdersDaemon {
            instance: format!("entry-{name}-{zone}"),
            availability_zone: zone_name(*zone),
        })
        .collect();
    let engine = engine(zone);
    let Some(first) = responsible_daemon(&daemons, &engine).cloned() else {
        return TestResult::from_bool(daemons.is_empty());
    };
    let same_zone = |daemon: &&OrdersDaemon| daemon.availability_zone == engine.availability_zone;
    let zone_has_daemon = daemons.iter().any(|daemon| same_zone(&daemon));
    let is_same_zone = daemons
        .iter()
        .filter(same_zone)
        .any(|daemon| daemon.instance == first);
    let mut remaining = daemons.clone();
    let removed = remaining.remove(lost % daemons.len());
    let unchanged =
        removed.instance == first || responsible_daemon(&remaining, &engine) == Some(&first);
    TestResult::from_bool(is_same_zone == zone_has_daemon && unchanged)
}

fn states(conditions: &[(u8, u8)]) -> Vec<EngineState> {
    let numbered = conditions.iter().enumerate();
    numbered
        .map(|(index, (condition, zone))| EngineState {
            instance: format!("engine-{index}"),
            availability_zone: zone_name(*zone),
            condition: match condition % 4 {
                0 => LoadCondition::Settled,
                1 => LoadCondition::NeedsLoad,
                2 => LoadCondition::Loading,
                _ => LoadCondition::Unknown,
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

fn share_is_kept(states: &[EngineState], starts: &[&EngineState], limits: LoadLimits) -> bool {
    let count = |wanted| {
        let found = states.iter().filter(|one| one.condition == wanted);
        found.count()
    };
    let answering = states.len() - count(LoadCondition::Unknown);
    let unavailable = count(LoadCondition::Loading) + starts.len();
    let share = (answering * limits.share_percent / 100).max(1);
    let last_one_stays = states.len() == 1 || unavailable < answering;
    starts.is_empty() || (unavailable <= share && last_one_stays)
}

fn zones_are_kept(states: &[EngineState], starts: &[&EngineState], limits: LoadLimits) -> bool {
    let mut loads: BTreeMap<&str, usize> = BTreeMap::new();
    let loading = |one: &&EngineState| one.condition == LoadCondition::Loading;
    for state in states.iter().filter(loading) {
        *loads.entry(&state.availability_zone).or_default() += 1;
    }
    starts.iter().all(|start| {
        let loads = loads.entry(&start.availability_zone).or_default();
        *loads += 1;
        *loads <= limits.loads_per_zone
    })
}
