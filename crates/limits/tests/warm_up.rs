//! Which upstreams are cold, and what each kind of statement changes.

use std::time::Duration;

use mangofront_limits::{
    ColdEvidence, ColdObservation, Moment, RateLimit, UpstreamKey, WarmUpTerms, WarmUps,
};

const UPSTREAM: UpstreamKey = 3;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn at(time_ms: u64) -> Moment {
    Duration::from_secs(100) + ms(time_ms)
}

fn terms() -> WarmUpTerms {
    WarmUpTerms {
        duration: ms(10_000),
        rate: RateLimit::new(8.0).expect("a valid limit"),
    }
}

/// What one play changes, a line for each step.
#[derive(Default)]
struct Play {
    warm_ups: WarmUps,
    lines: String,
}

impl Play {
    fn register(&mut self, now_ms: u64, said_ms: Option<u64>, age_ms: u64) -> &mut Self {
        let (now, said) = (at(now_ms), said_ms.map(ms));
        let as_of = now - ms(age_ms);
        self.warm_ups.register(UPSTREAM, terms(), said, as_of, now);
        self.note(
            now_ms,
            &format!("registration, {age_ms} ms old, says {said_ms:?}"),
        )
    }

    fn answer(&mut self, now_ms: u64, left_ms: u64, sent_ms: u64) -> &mut Self {
        let (sent_at, now) = (at(sent_ms), at(now_ms));
        self.warm_ups.observe(UPSTREAM, ms(left_ms), sent_at, now);
        self.note(
            now_ms,
            &format!("answer to a call of {sent_ms} says {left_ms}"),
        )
    }

    fn told(
        &mut self,
        now_ms: u64,
        left_ms: u32,
        age_ms: u32,
        evidence: ColdEvidence,
    ) -> &mut Self {
        let observation = ColdObservation {
            upstream: UPSTREAM,
            rate: terms().rate,
            left_ms,
            age_ms,
            evidence,
        };
        self.warm_ups.merge(&observation, at(now_ms));
        self.note(
            now_ms,
            &format!("daemon tells {left_ms}, {age_ms} ms old, {evidence:?}"),
        )
    }

    fn note(&mut self, now_ms: u64, step: &str) -> &mut Self {
        let cold = self.warm_ups.cold(at(now_ms));
        let state = match cold.first() {
            Some(one) => format!("cold until {}", now_ms + one.left.as_millis() as u64),
            None => "warm".to_owned(),
        };
        self.lines += &format!("{now_ms:>6} {step}: {state}\n");
        self
    }
}

/// Guards against full load on an upstream that has said nothing yet, and against an assumption
/// that outlasts a statement.
#[test]
fn an_upstream_that_says_nothing_counts_as_cold() {
    let mut play = Play::default();
    play.register(0, None, 2_000)
        .register(500, None, 0)
        .told(600, 9_900, 100, ColdEvidence::Assumed)
        .register(1_000, Some(0), 0)
        .register(1_100, None, 0)
        .told(1_200, 9_000, 100, ColdEvidence::Assumed);
    insta::assert_snapshot!(play.lines);
}

/// Guards against an old statement that replaces a later one, either way.
#[test]
fn the_later_statement_wins_and_doubts_fall_to_cold() {
    let mut play = Play::default();
    play.register(0, Some(4_000), 1_000)
        .answer(500, 0, 400)
        // The same registration again.
        .register(900, Some(4_000), 1_900)
        // Cold again.
        .answer(1_000, 6_000, 950)
        // Sent before that answer came, so it may be older.
        .answer(1_100, 0, 990)
        // Written at some time before it was read.
        .register(1_200, Some(0), 0)
        .told(1_300, 0, 250, ColdEvidence::Answer)
        .told(2_000, 0, 100, ColdEvidence::Answer)
        .told(2_100, 5_000, 1_500, ColdEvidence::Answer)
        .told(2_200, 5_000, 200, ColdEvidence::Answer);
    insta::assert_snapshot!(play.lines);
}

/// Guards against a time that would keep an upstream from work for longer than its service says.
#[test]
fn a_time_beyond_the_published_one_is_bounded_and_reported_once() {
    let mut warm_ups = WarmUps::default();
    let long = Some(ms(60_000));
    let first = warm_ups.register(UPSTREAM, terms(), long, at(0), at(0));
    let second = warm_ups.observe(UPSTREAM, ms(70_000), at(2_000), at(2_010));
    insta::assert_debug_snapshot!((first, second));
}

/// Guards against a coordinator that grants without counting as it has not heard of the upstream,
/// and against forgetting at once what such a daemon was told.
#[test]
fn an_upstream_that_is_not_registered_here_keeps_its_rate_until_its_end() {
    let mut asker = WarmUps::default();
    asker.register(UPSTREAM, terms(), Some(ms(3_000)), at(0), at(0));
    let observation = asker.observation(UPSTREAM, at(10)).expect("known");
    let mut coordinator = WarmUps::default();
    coordinator.merge(&observation, at(20));
    coordinator.retain(|_| false, at(100));
    let limit = coordinator.limit(UPSTREAM, at(2_900));
    assert_eq!(limit, Some(terms().rate), "before its end");
    assert_eq!(coordinator.limit(UPSTREAM, at(3_020)), None, "after it");
}

/// Guards against news of a registration that only the daemons which read it have, and against
/// news that counts as told to all once two daemons have mentioned it to each other.
#[test]
fn an_upstream_that_is_cold_again_by_its_registration_is_told_to_others_at_once() {
    let mut warm_ups = WarmUps::default();
    let register = |warm_ups: &mut WarmUps, said_ms, now_ms| {
        warm_ups.register(UPSTREAM, terms(), Some(ms(said_ms)), at(now_ms), at(now_ms));
    };
    register(&mut warm_ups, 0, 0);
    assert!(warm_ups.take_repeats(at(10)).is_empty(), "it is warm");
    register(&mut warm_ups, 4_000, 1_000);
    let mentioned = warm_ups.observation(UPSTREAM, at(1_005)).expect("known");
    warm_ups.merge(&mentioned, at(1_005));
    let told = warm_ups.take_repeats(at(1_010));
    assert_eq!(told.len(), 1, "one daemon mentioned it to this one alone");
    assert!(warm_ups.take_repeats(at(1_020)).is_empty(), "it was told");
    // The source tells the same again whenever anything changes.
    register(&mut warm_ups, 3_800, 1_200);
    let times = [1_300, 2_010, 2_100, 3_010, 4_010, 4_900];
    let again = times.map(|now_ms| warm_ups.take_repeats(at(now_ms)).len());
    assert_eq!(again, [0, 1, 0, 1, 0, 0], "it is told three times");
    register(&mut warm_ups, 4_000, 6_000);
    warm_ups.merge_told(&told[0], at(6_005));
    assert!(
        warm_ups.take_repeats(at(6_010)).is_empty(),
        "another told all"
    );
    assert_eq!(warm_ups.take_repeats(at(7_010)).len(), 1);
}
