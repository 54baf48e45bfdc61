//! Loads on engines that keep prompts, in virtual time, by three policies.

mod fleet;

use fleet::{Fleet, Outcome, Pattern, Policy};

/// Each policy's outcome for one load.
fn outcomes(pattern: &Pattern) -> Vec<(Policy, Outcome)> {
    [Policy::Load, Policy::LongestMatch, Policy::Both]
        .into_iter()
        .map(|policy| (policy, Fleet::new(pattern, policy).run()))
        .collect()
}

/// Asserts that weighing both serves no smaller share in time than either alone.
fn assert_both_is_best(outcomes: &[(Policy, Outcome)]) {
    let in_time = |index: usize| outcomes[index].1.in_time_permille;
    assert!(in_time(2) >= in_time(0).max(in_time(1)), "{outcomes:#?}");
}

/// Guards against all requests joining the queue of the one engine that first read a beginning.
#[test]
fn one_popular_beginning() {
    let outcomes = outcomes(&Pattern {
        sessions: 1,
        requests_per_s: 350.0,
        shared_tokens: 8_000,
        own_tokens: 1_500,
        ..Pattern::default()
    });
    assert_both_is_best(&outcomes);
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against sessions that lose the engine that holds their prompt.
#[test]
fn many_sessions() {
    let outcomes = outcomes(&Pattern::default());
    assert_both_is_best(&outcomes);
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against waits for engines that have dropped the prompts for others.
#[test]
fn engines_that_evict() {
    let outcomes = outcomes(&Pattern {
        memory_tokens: 60_000,
        requests_per_s: 90.0,
        ..Pattern::default()
    });
    assert_both_is_best(&outcomes);
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against waits for incarnations that are gone.
#[test]
fn engines_that_restart() {
    let outcomes = outcomes(&Pattern {
        restart_period_s: 2.0,
        ..Pattern::default()
    });
    assert_both_is_best(&outcomes);
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against savings at engines that may get no work: a third is cold or evacuated by turns.
#[test]
fn engines_that_are_cold_or_evacuated() {
    let outcomes = outcomes(&Pattern {
        excluded_engines: 4,
        requests_per_s: 80.0,
        ..Pattern::default()
    });
    assert_both_is_best(&outcomes);
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against a saving that makes requests wait for a slot while others are free.
#[test]
fn engines_that_are_full() {
    let outcomes = outcomes(&Pattern {
        sessions: 60,
        requests_per_s: 90.0,
        slots: 4,
        ..Pattern::default()
    });
    assert_both_is_best(&outcomes);
    insta::assert_debug_snapshot!(outcomes);
}
