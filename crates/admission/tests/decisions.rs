//! Which requests are admitted, queued or refused, under a manual clock.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::time::{Duration, Instant};

use futures_util::future::LocalBoxFuture;
use futures_util::{FutureExt, poll};
use mangofront_admission::{
    Admission, AdmissionOptions, AdmissionRequest, Backoff, Clock, Estimate, Permit, Refusal,
    RefusalReason,
};
use mangofront_settings::published::Class;
use quickcheck::{Arbitrary, Gen, QuickCheck};

type AdmitFuture = LocalBoxFuture<'static, Result<Permit, Refusal>>;

struct Fixture {
    clock: Clock,
    admission: Admission,
}

fn fixture(queue_limit: usize) -> Fixture {
    let clock = Clock::manual(Instant::now());
    let options = AdmissionOptions::new()
        .queue_limit(queue_limit)
        .clock(clock.clone());
    let admission = Admission::new(options);
    let class = |time_to_first_token_ms, allowed_delay_ms| Class {
        time_to_first_token_ms,
        allowed_delay_ms,
    };
    admission.set_classes(&BTreeMap::from([
        ("diagnosis".to_owned(), class(500, 9_500)),
        ("review".to_owned(), class(60_000, 540_000)),
    ]));
    Fixture { clock, admission }
}

impl Fixture {
    fn request(&self, class: &str, organisation: &str, length_tokens: u64) -> AdmissionRequest {
        let arrived = self.clock.now();
        AdmissionRequest {
            class: class.to_owned(),
            organisation: organisation.to_owned(),
            model: "assist-llm".to_owned(),
            length_tokens,
            arrived,
            deadline: arrived + Duration::from_secs(600),
        }
    }

    fn admit(&self, request: AdmissionRequest, estimate: Option<Estimate>) -> AdmitFuture {
        let admission = self.admission.clone();
        async move { admission.admit(request, || estimate).await }.boxed_local()
    }

    fn admit_short(&self, organisation: &str) -> AdmitFuture {
        self.admit(
            self.request("diagnosis", organisation, 1_000),
            quick_estimate(),
        )
    }

    /// Admits requests until the lane of short prompts is full.
    async fn fill_short_lane(&self) -> Vec<Permit> {
        let mut permits = Vec::new();
        while let Some(Ok(permit)) = now_or_never(&mut self.admit_short("filler")).await {
            permits.push(permit);
        }
        permits
    }

    /// Ends `count` requests, one every 100 ms.
    fn end_requests(&self, permits: &mut Vec<Permit>, count: usize) {
        for _ in 0..count {
            self.clock.advance(Duration::from_millis(100));
            if let Some(mut permit) = permits.pop() {
                permit.record_first_token(Duration::from_millis(100));
            }
        }
    }
}

/// 100 ms to the first token and a total of one second.
fn quick_estimate() -> Option<Estimate> {
    estimate(100, 1_000, 0)
}

fn estimate(first_token_ms: u64, completion_ms: u64, queue_ms: u64) -> Option<Estimate> {
    Some(Estimate {
        time_to_first_token: Duration::from_millis(first_token_ms),
        completion: Duration::from_millis(completion_ms),
        queue: Duration::from_millis(queue_ms),
        is_assumed: false,
    })
}

async fn now_or_never(admit_future: &mut AdmitFuture) -> Option<Result<Permit, Refusal>> {
    match poll!(Pin::new(admit_future)) {
        std::task::Poll::Ready(result) => Some(result),
        std::task::Poll::Pending => None,
    }
}

fn record_quick_first_token(permit: &mut Permit) {
    permit.record_first_token(Duration::from_millis(120));
}

async fn refusal(mut admit_future: AdmitFuture) -> Refusal {
    let result = now_or_never(&mut admit_future).await;
    result.expect("immediate answer").expect_err("refused")
}

#[compio::test]
async fn requests_that_cannot_be_served_in_time_are_refused_at_once() {
    let fixture = fixture(10);
    let request = || fixture.request("diagnosis", "tuul", 1_000);
    let unknown = fixture.request("unpublished", "tuul", 1_000);
    let reason = refusal(fixture.admit(unknown, quick_estimate()))
        .await
        .reason;
    assert_eq!(reason, RefusalReason::UnknownClass);
    let reason = refusal(fixture.admit(request(), None)).await.reason;
    assert_eq!(reason, RefusalReason::NoEngine);
    // A queue of twelve seconds exceeds the class's time limit of ten.
    let refused = refusal(fixture.admit(request(), estimate(12_100, 13_000, 12_000))).await;
    assert_eq!(refused.reason, RefusalReason::TooLate);
    let retry_ms = refused.retry_after.as_millis();
    assert!((3_000..=4_000).contains(&retry_ms), "{retry_ms}");
    // The request would start in time but end too late.
    let refused = refusal(fixture.admit(request(), estimate(100, 11_000, 0))).await;
    assert_eq!(refused.reason, RefusalReason::TooLate);
    // Misses the target but stays within the allowed delay.
    let mut late = fixture.admit(request(), estimate(5_100, 6_000, 5_000));
    assert!(now_or_never(&mut late).await.expect("at once").is_ok());
    assert_eq!(fixture.admission.status().outstanding, 0);
}

#[compio::test]
async fn assumed_speeds_cause_no_refusal() {
    let fixture = fixture(10);
    let assumed = estimate(100, 60_000, 0).map(|estimate| Estimate {
        is_assumed: true,
        ..estimate
    });
    let mut long = fixture.admit(fixture.request("diagnosis", "tuul", 1_000), assumed);
    assert!(now_or_never(&mut long).await.expect("at once").is_ok());
}

#[compio::test]
async fn retry_time_follows_the_drain_rate() {
    let fixture = fixture(1_000);
    let mut permits = fixture.fill_short_lane().await;
    fixture.end_requests(&mut permits, 20);
    permits.extend(fixture.fill_short_lane().await);
    // About ten requests per second end, so about 80 can wait within eight seconds.
    let mut waiting = Vec::new();
    let refused = loop {
        let mut next = fixture.admit_short("tuul");
        match now_or_never(&mut next).await {
            None => waiting.push(next),
            Some(result) => break result.expect_err("refused"),
        }
        assert!(waiting.len() < 1_000);
    };
    assert_eq!(refused.reason, RefusalReason::TooLate);
    assert!(waiting.len() > 5, "{}", waiting.len());
    let drained_per_s = fixture.admission.status().lanes[0].drained_per_s;
    let drain_s = (waiting.len() + 1) as f64 / drained_per_s;
    let retry_s = refused.retry_after.as_secs_f64();
    assert!(retry_s >= drain_s * 0.99, "{retry_s} for {drain_s}");
    assert!(retry_s <= drain_s * 1.26, "{retry_s} for {drain_s}");
}

#[compio::test]
async fn waiters_are_served_by_latest_start_and_fair_share() {
    let fixture = fixture(1_000);
    let mut permits = fixture.fill_short_lane().await;
    let mut waiting: Vec<(&str, AdmitFuture)> = Vec::new();
    let review = fixture.request("review", "tuul", 1_000);
    waiting.push(("review", fixture.admit(review, quick_estimate())));
    waiting.extend((0..30).map(|_| ("large", fixture.admit_short("large"))));
    waiting.extend((0..3).map(|_| ("small", fixture.admit_short("small"))));
    for (_, admit_future) in &mut waiting {
        assert!(now_or_never(admit_future).await.is_none());
    }
    // Each dropped permit admits one waiter.
    let mut order = Vec::new();
    for _ in 0..16 {
        permits.remove(0);
        for index in 0..waiting.len() {
            if let Some(result) = now_or_never(&mut waiting[index].1).await {
                permits.push(result.expect("admitted"));
                order.push(waiting.remove(index).0);
                break;
            }
        }
    }
    assert_eq!(order.len(), 16);
    let last_small = order.iter().rposition(|name| *name == "small");
    assert!(last_small.is_some_and(|at| at <= 8), "{order:?}");
    assert_eq!(order.iter().filter(|name| **name == "small").count(), 3);
    assert!(!order.contains(&"review"), "{order:?}");
}

#[compio::test]
async fn a_full_queue_evicts_waiters_of_the_largest_organisation() {
    let fixture = fixture(4);
    let _permits = fixture.fill_short_lane().await;
    // `fill_short_lane` ends with a waiter that is dropped again.
    let mut large: Vec<_> = (0..4).map(|_| fixture.admit_short("large")).collect();
    for admit_future in &mut large {
        assert!(now_or_never(admit_future).await.is_none());
    }
    let reason = refusal(fixture.admit_short("large")).await.reason;
    assert_eq!(reason, RefusalReason::QueueFull);
    let mut small = fixture.admit_short("small");
    assert!(now_or_never(&mut small).await.is_none());
    let newest = now_or_never(&mut large[3]).await.expect("answered at once");
    assert_eq!(newest.unwrap_err().reason, RefusalReason::QueueFull);
    assert_eq!(fixture.admission.status().waiting, 4);
}

#[compio::test]
async fn a_waiter_is_refused_after_its_latest_start() {
    let fixture = fixture(10);
    let _permits = fixture.fill_short_lane().await;
    let mut waiting = fixture.admit_short("tuul");
    assert!(now_or_never(&mut waiting).await.is_none());
    fixture.clock.advance(Duration::from_millis(8_900));
    fixture.admission.refresh();
    assert!(now_or_never(&mut waiting).await.is_none());
    fixture.clock.advance(Duration::from_millis(200));
    fixture.admission.refresh();
    assert_eq!(refusal(waiting).await.reason, RefusalReason::TooLate);
    assert_eq!(fixture.admission.status().waiting, 0);
}

#[compio::test]
async fn a_dropped_waiter_leaves_nothing_behind() {
    let fixture = fixture(10);
    let mut permits = fixture.fill_short_lane().await;
    let occupied = permits.len();
    let mut first = fixture.admit_short("tuul");
    let mut second = fixture.admit_short("tuul");
    let mut third = fixture.admit_short("tuul");
    for waiting in [&mut first, &mut second, &mut third] {
        assert!(now_or_never(waiting).await.is_none());
    }
    drop(second);
    assert_eq!(fixture.admission.status().waiting, 2);
    // The first one is granted a slot but dropped before claiming it, so the third
    // one gets the slot.
    permits.pop();
    drop(first);
    let permit = now_or_never(&mut third).await.expect("granted");
    assert!(permit.is_ok());
    assert_eq!(fixture.admission.status().outstanding, occupied);
    drop((permits, permit));
    assert_eq!(fixture.admission.status().outstanding, 0);
}

#[compio::test]
async fn closing_refuses_all_requests() {
    let fixture = fixture(10);
    let permits = fixture.fill_short_lane().await;
    let mut waiting = fixture.admit_short("tuul");
    assert!(now_or_never(&mut waiting).await.is_none());
    let retry_after = Duration::from_secs(7);
    fixture.admission.close(retry_after);
    for refused in [
        refusal(waiting).await,
        refusal(fixture.admit_short("tuul")).await,
    ] {
        assert_eq!(refused.reason, RefusalReason::Closed);
        assert_eq!(refused.retry_after, retry_after);
    }
    assert_eq!(fixture.admission.status().outstanding, permits.len());
    drop(permits);
    insta::assert_json_snapshot!(fixture.admission.status());
}

#[compio::test]
async fn the_limit_follows_late_first_tokens() {
    let fixture = fixture(10);
    let limit = || fixture.admission.status().lanes[0].limit;
    let mut permits = fixture.fill_short_lane().await;
    let start = limit();
    permits.iter_mut().for_each(record_quick_first_token);
    let grown = limit();
    assert!(grown > start, "{start} to {grown}");
    // Some first tokens are late at any load; a small share must not lower the
    // limit.
    for round in 0..100 {
        permits = fixture.fill_short_lane().await;
        let late_ms = if round % 10 == 0 { 2_000 } else { 120 };
        permits[0].record_first_token(Duration::from_millis(late_ms));
        fixture.clock.advance(Duration::from_secs(2));
        permits
            .iter_mut()
            .skip(1)
            .for_each(record_quick_first_token);
        permits.clear();
    }
    let kept = limit();
    assert!(kept >= grown, "{grown} to {kept}");
    for _ in 0..20 {
        permits = fixture.fill_short_lane().await;
        fixture.clock.advance(Duration::from_secs(2));
        for permit in &mut permits {
            permit.record_first_token(Duration::from_millis(2_000));
        }
        permits.clear();
    }
    let shrunk = limit();
    assert!(shrunk < kept / 2, "{kept} to {shrunk}");
    // Inherently slow prompts don't count as late.
    let slow = fixture.request("review", "tuul", 500_000);
    let mut slow = fixture.admit(slow, estimate(70_000, 80_000, 0));
    let mut permit = now_or_never(&mut slow)
        .await
        .expect("at once")
        .expect("admitted");
    permit.record_first_token(Duration::from_secs(75));
    let lanes = fixture.admission.status().lanes;
    assert_eq!(lanes.len(), 2);
    assert_eq!(lanes[1].limit, 4);
}

#[compio::test]
async fn long_prompts_do_not_block_short_ones() {
    let fixture = fixture(10);
    let long = || {
        fixture.admit(
            fixture.request("review", "tuul", 500_000),
            estimate(50_000, 60_000, 0),
        )
    };
    let mut permits = Vec::new();
    loop {
        let mut next = long();
        match now_or_never(&mut next).await {
            Some(permit) => permits.push(permit.expect("admitted")),
            None => break,
        }
    }
    let mut short = fixture.admit_short("tuul");
    assert!(now_or_never(&mut short).await.expect("at once").is_ok());
}

#[compio::test]
async fn retries_are_limited_to_a_share_of_successes() {
    let fixture = fixture(10);
    let budget = fixture.admission.retry_budget().clone();
    while budget.try_take() {}
    let mut taken = 0;
    for _ in 0..100 {
        let mut permit = fixture.admit_short("tuul").await.expect("admitted");
        permit.record_first_token(Duration::from_millis(100));
        drop(permit);
        taken += usize::from(budget.try_take());
    }
    assert!((9..=10).contains(&taken), "{taken}");
    let limit = Duration::from_secs(1);
    let mut backoff = Backoff::new(Duration::from_millis(100), limit, 7);
    let waits: Vec<_> = (0..50).map(|_| backoff.next_wait()).collect();
    assert!(waits.iter().all(|wait| *wait <= limit));
    assert!(waits[0] <= Duration::from_millis(100));
    assert!(waits[5..].iter().any(|wait| *wait > limit / 2));
}

#[derive(Debug, Clone)]
enum Step {
    Admit { organisation: u8, is_long: bool },
    Poll(usize),
    DropWaiting(usize),
    FirstToken(usize, u64),
    DropPermit(usize),
    Advance(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let index = usize::arbitrary(g);
        match u8::arbitrary(g) % 12 {
            0..=5 => Self::Admit {
                organisation: u8::arbitrary(g) % 4,
                is_long: u8::arbitrary(g) % 8 == 0,
            },
            6 | 7 => Self::Poll(index),
            8 => Self::DropWaiting(index),
            9 => Self::FirstToken(index, u64::arbitrary(g) % 5_000),
            10 => Self::DropPermit(index),
            _ => Self::Advance(u64::arbitrary(g) % 2_000),
        }
    }
}

/// Whether every submitted request is admitted once, refused once, waiting or
/// dropped.
async fn requests_are_accounted_for(steps: Vec<Step>) -> bool {
    let fixture = fixture(16);
    let mut permits = Vec::new();
    let mut waiting: Vec<AdmitFuture> = Vec::new();
    let (mut submitted, mut admitted, mut refused, mut dropped) = (0, 0, 0, 0);
    for step in steps {
        let mut admit_future = None;
        match step {
            Step::Admit {
                organisation,
                is_long,
            } => {
                submitted += 1;
                let length_tokens = if is_long { 300_000 } else { 1_000 };
                let class = if is_long { "review" } else { "diagnosis" };
                let request = fixture.request(class, &format!("{organisation}"), length_tokens);
                admit_future = Some(fixture.admit(request, quick_estimate()));
            }
            Step::Poll(index) if !waiting.is_empty() => {
                admit_future = Some(waiting.swap_remove(index % waiting.len()));
            }
            Step::DropWaiting(index) if !waiting.is_empty() => {
                dropped += 1;
                drop(waiting.swap_remove(index % waiting.len()));
            }
            Step::FirstToken(index, first_token_ms) if !permits.is_empty() => {
                let index = index % permits.len();
                let permit: &mut Permit = &mut permits[index];
                permit.record_first_token(Duration::from_millis(first_token_ms));
            }
            Step::DropPermit(index) if !permits.is_empty() => {
                drop(permits.swap_remove(index % permits.len()));
            }
            Step::Advance(by_ms) => {
                fixture.clock.advance(Duration::from_millis(by_ms));
                fixture.admission.refresh();
            }
            _ => {}
        }
        if let Some(mut admit_future) = admit_future {
            match now_or_never(&mut admit_future).await {
                Some(Ok(permit)) => {
                    admitted += 1;
                    permits.push(permit);
                }
                Some(Err(_)) => refused += 1,
                None => waiting.push(admit_future),
            }
        }
        let status = fixture.admission.status();
        // Waiters that were answered but not polled yet are neither in
        // `status.waiting` nor in `permits`.
        let is_consistent = submitted == admitted + refused + dropped + waiting.len()
            && status.waiting <= waiting.len()
            && status.outstanding >= permits.len()
            && status.outstanding + status.waiting <= permits.len() + waiting.len();
        if !is_consistent {
            return false;
        }
    }
    drop((permits, waiting));
    let status = fixture.admission.status();
    (status.outstanding, status.waiting) == (0, 0)
}

#[test]
fn every_request_is_admitted_or_refused_once() {
    fn run(steps: Vec<Step>) -> bool {
        let runtime = compio::runtime::Runtime::new().expect("runtime");
        runtime.block_on(requests_are_accounted_for(steps))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(250, 4))
        .tests(100)
        .quickcheck(run as fn(Vec<Step>) -> bool);
}
