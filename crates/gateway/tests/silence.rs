//! Silence of upstreams, in the time in which a daemon runs.

use std::cell::Cell;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use mangofront_gateway::{AwaitedAnswer, Silence, SilenceSummary};

/// Period of the event loop's ticks.
const TICK: Duration = Duration::from_millis(100);

/// Longest time that counts without a tick.
const MAX_ADVANCE: Duration = Duration::from_millis(150);

const SECOND: Duration = Duration::from_secs(1);

thread_local! {
    static VIRTUAL_TIME: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

fn clock() -> Instant {
    static START: OnceLock<Instant> = OnceLock::new();
    *START.get_or_init(Instant::now) + VIRTUAL_TIME.get()
}

fn advance(time: Duration) {
    VIRTUAL_TIME.set(VIRTUAL_TIME.get() + time);
}

/// Runs the daemon for a multiple of [`TICK`].
fn run(silence: &Silence, time: Duration) {
    let end = VIRTUAL_TIME.get() + time;
    while VIRTUAL_TIME.get() < end {
        advance(TICK);
        silence.tick();
    }
}

/// Awaits answers of the upstreams `0..count` of a service, at once.
fn await_answers(silence: &Silence, service: &str, count: u64) -> Vec<AwaitedAnswer> {
    let upstreams = 0..count;
    upstreams
        .map(|upstream| silence.await_answer(upstream, service, Duration::ZERO))
        .collect()
}

fn summary(silent: usize, awaited: usize) -> SilenceSummary {
    SilenceSummary { silent, awaited }
}

/// Guards against silence that is the daemon's own: it was not scheduled.
#[test]
fn time_in_which_a_daemon_does_not_run_hardly_counts() {
    let silence = Silence::with_clock(clock);
    let _answers = await_answers(&silence, "a", 3);
    advance(SECOND * 5);
    assert_eq!(silence.run_time(), MAX_ADVANCE);
    assert_eq!(silence.lateness(), SECOND * 5 - MAX_ADVANCE);
    assert_eq!(silence.summary("a", SECOND), summary(0, 3));
    silence.tick();
    assert_eq!(silence.run_time(), MAX_ADVANCE);
    run(&silence, SECOND);
    assert_eq!(silence.run_time(), MAX_ADVANCE + SECOND);
    assert_eq!(silence.lateness(), SECOND * 5 - MAX_ADVANCE);
    assert_eq!(silence.summary("a", SECOND), summary(3, 3));
}

/// Guards against a clock that loses time between punctual ticks.
#[test]
fn a_daemon_that_runs_is_not_late() {
    let silence = Silence::with_clock(clock);
    run(&silence, SECOND * 10);
    advance(TICK / 2);
    assert_eq!(silence.run_time(), SECOND * 10 + TICK / 2);
    assert_eq!(silence.lateness(), Duration::ZERO);
}

/// Guards against work that takes its usual time and passes for silence.
#[test]
fn an_upstream_is_silent_only_after_its_expected_time() {
    let silence = Silence::with_clock(clock);
    let _answer = silence.await_answer(1, "a", SECOND * 3);
    run(&silence, SECOND * 4 - TICK);
    assert_eq!(silence.summary("a", SECOND), summary(0, 1));
    run(&silence, TICK);
    assert_eq!(silence.summary("a", SECOND), summary(1, 1));
}

/// Guards against upstreams that stay silent though they sent something.
#[test]
fn a_byte_ends_silence() {
    let silence = Silence::with_clock(clock);
    let _answers = await_answers(&silence, "a", 2);
    run(&silence, SECOND * 2);
    silence.hear(1);
    assert_eq!(silence.summary("a", SECOND), summary(1, 2));
    run(&silence, SECOND - TICK);
    assert_eq!(silence.summary("a", SECOND), summary(1, 2));
    run(&silence, TICK);
    assert_eq!(silence.summary("a", SECOND), summary(2, 2));
}

/// Guards against upstreams that are never silent as new attempts are sent to them.
#[test]
fn a_new_attempt_does_not_end_silence() {
    let silence = Silence::with_clock(clock);
    let mut answers = await_answers(&silence, "a", 1);
    for _ in 0..4 {
        run(&silence, SECOND / 2);
        answers.push(silence.await_answer(0, "a", SECOND));
    }
    assert_eq!(silence.summary("a", SECOND), summary(1, 1));
}

/// Guards against an upstream that is expected to be silent for an attempt that has ended.
#[test]
fn an_attempt_that_ended_leaves_no_expected_time() {
    let silence = Silence::with_clock(clock);
    let long = silence.await_answer(1, "a", SECOND * 10);
    let _short = silence.await_answer(1, "a", Duration::ZERO);
    drop(long);
    run(&silence, SECOND);
    assert_eq!(silence.summary("a", SECOND), summary(1, 1));
}

/// Guards against an upstream that is silent by an attempt that has ended.
#[test]
fn the_attempt_that_is_left_has_its_expected_time() {
    let silence = Silence::with_clock(clock);
    let _long = silence.await_answer(1, "a", SECOND * 10);
    let short = silence.await_answer(1, "a", Duration::ZERO);
    run(&silence, SECOND);
    drop(short);
    assert_eq!(silence.summary("a", SECOND), summary(0, 1));
}

/// Guards against silence of upstreams from which nothing is awaited.
#[test]
fn the_end_of_the_last_attempt_forgets_the_upstream() {
    let silence = Silence::with_clock(clock);
    let first = silence.await_answer(1, "a", Duration::ZERO);
    let second = silence.await_answer(1, "a", Duration::ZERO);
    run(&silence, SECOND * 2);
    drop(first);
    assert_eq!(silence.summary("a", SECOND), summary(1, 1));
    drop(second);
    assert_eq!(silence.summary("a", SECOND), summary(0, 0));
    let _next = silence.await_answer(1, "a", Duration::ZERO);
    assert_eq!(silence.summary("a", SECOND), summary(0, 1));
}

/// Guards against replacements that add load while all upstreams stand still, and against a
/// single upstream whose silence excuses itself.
#[test]
fn silence_of_most_upstreams_is_common() {
    let silence = Silence::with_clock(clock);
    let answers = await_answers(&silence, "a", 5);
    run(&silence, SECOND);
    let silent = |heard: u64| {
        (0..heard).for_each(|upstream| silence.hear(upstream));
        silence.summary("a", SECOND)
    };
    assert_eq!(silent(0), summary(5, 5));
    assert!(silent(0).is_common());
    assert_eq!(silent(2), summary(3, 5));
    assert!(silent(2).is_common());
    assert_eq!(silent(3), summary(2, 5));
    assert!(!silent(3).is_common());
    assert!(!silent(4).is_common(), "one of many");
    drop(answers);
    let _alone = await_answers(&silence, "a", 1);
    run(&silence, SECOND);
    assert_eq!(silent(0), summary(1, 1));
    assert!(!silent(0).is_common(), "a single one");
}

/// Guards against the silence of one service that is taken for that of another.
#[test]
fn other_services_do_not_count() {
    let silence = Silence::with_clock(clock);
    let _first = silence.await_answer(10, "a", Duration::ZERO);
    let _others = await_answers(&silence, "b", 4);
    run(&silence, SECOND);
    assert_eq!(silence.summary("a", SECOND), summary(1, 1));
    assert_eq!(silence.summary("b", SECOND), summary(4, 4));
    assert_eq!(silence.summary("c", SECOND), summary(0, 0));
}
