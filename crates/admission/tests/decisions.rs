//! Who is admitted, waits or is refused, under a clock that stands still.

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

type Admitting = LocalBoxFuture<'static, Result<Permit, Refusal>>;

struct Desk {
    clock: Clock,
    admission: Admission,
}

fn desk(queue_limit: usize) -> Desk {
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
    Desk { clock, admission }
}

impl Desk {
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

    fn admit(&self, request: AdmissionRequest, estimate: Option<Estimate>) -> Admitting {
        let admission = self.admission.clone();
        async move { admission.admit(request, || estimate).await }.boxed_local()
    }

    fn short(&self, organisation: &str) -> Admitting {
        self.admit(self.request("diagnosis", organisation, 1_000), quick())
    }

    /// Takes every place of the lane of short prompts.
    async fn fill(&self) -> Vec<Permit> {
        let mut permits = Vec::new();
        while let Some(Ok(permit)) = now_or_never(&mut self.short("filler")).await {
            permits.push(permit);
        }
        permits
    }

    /// Lets `count` requests end, one every 100 ms.
    fn drain(&self, permits: &mut Vec<Permit>, count: usize) {
        for _ in 0..count {
            self.clock.advance(Duration::from_millis(100));
            if let Some(mut permit) = permits.pop() {
                permit.record_first_token(Duration::from_millis(100));
            }
        }
    }
}

/// 100 ms to the first token, a second in all.
fn quick() -> Option<Estimate> {
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

async fn now_or_never(admitting: &mut Admitting) -> Option<Result<Permit, Refusal>> {
    match poll!(Pin::new(admitting)) {
        std::task::Poll::Ready(result) => Some(result),
        std::task::Poll::Pending => None,
    }
}

fn quickly(permit: &mut Permit) {
    permit.record_first_token(Duration::from_millis(120));
}

async fn refusal(mut admitting: Admitting) -> Refusal {
    let result = now_or_never(&mut admitting).await;
    result.expect("an answer at once").expect_err("refused")
}

#[compio::test]
async fn what_cannot_be_met_is_refused_at_once() {
    let desk = desk(10);
    let request = || desk.request("diagnosis", "tuul", 1_000);
    let unknown = desk.request("nonsense", "tuul", 1_000);
    let reason = refusal(desk.admit(unknown, quick())).await.reason;
    assert_eq!(reason, RefusalReason::UnknownClass);
    let reason = refusal(desk.admit(request(), None)).await.reason;
    assert_eq!(reason, RefusalReason::NoEngine);
    // Twelve seconds of queue do not fit into a class of ten.
    let refused = refusal(desk.admit(request(), estimate(12_100, 13_000, 12_000))).await;
    assert_eq!(refused.reason, RefusalReason::TooLate);
    let retry_ms = refused.retry_after.as_millis();
    assert!((3_000..=4_000).contains(&retry_ms), "{retry_ms}");
    // It would start in time, yet end too late.
    let refused = refusal(desk.admit(request(), estimate(100, 11_000, 0))).await;
    assert_eq!(refused.reason, RefusalReason::TooLate);
    // Later than the target, within the allowed delay.
    let mut late = desk.admit(request(), estimate(5_100, 6_000, 5_000));
    assert!(now_or_never(&mut late).await.expect("at once").is_ok());
    assert_eq!(desk.admission.status().outstanding, 0);
}

#[compio::test]
async fn assumed_speeds_refuse_nothing() {
    let desk = desk(10);
    let assumed = estimate(100, 60_000, 0).map(|estimate| Estimate {
        is_assumed: true,
        ..estimate
    });
    let mut long = desk.admit(desk.request("diagnosis", "tuul", 1_000), assumed);
    assert!(now_or_never(&mut long).await.expect("at once").is_ok());
}

#[compio::test]
async fn time_to_come_back_follows_the_drain_rate() {
    let desk = desk(1_000);
    let mut permits = desk.fill().await;
    desk.drain(&mut permits, 20);
    permits.extend(desk.fill().await);
    // About ten a second drain, so some eighty can wait within eight seconds.
    let mut waiting = Vec::new();
    let refused = loop {
        let mut next = desk.short("tuul");
        match now_or_never(&mut next).await {
            None => waiting.push(next),
            Some(result) => break result.expect_err("refused"),
        }
        assert!(waiting.len() < 1_000);
    };
    assert_eq!(refused.reason, RefusalReason::TooLate);
    assert!(waiting.len() > 5, "{}", waiting.len());
    let drained_per_s = desk.admission.status().lanes[0].drained_per_s;
    let drain_s = (waiting.len() + 1) as f64 / drained_per_s;
    let retry_s = refused.retry_after.as_secs_f64();
    assert!(retry_s >= drain_s * 0.99, "{retry_s} for {drain_s}");
    assert!(retry_s <= drain_s * 1.26, "{retry_s} for {drain_s}");
}

#[compio::test]
async fn waiters_go_by_deadline_and_shares() {
    let desk = desk(1_000);
    let mut permits = desk.fill().await;
    let mut waiting: Vec<(&str, Admitting)> = Vec::new();
    let review = desk.request("review", "tuul", 1_000);
    waiting.push(("review", desk.admit(review, quick())));
    waiting.extend((0..30).map(|_| ("large", desk.short("large"))));
    waiting.extend((0..3).map(|_| ("small", desk.short("small"))));
    for (_, admitting) in &mut waiting {
        assert!(now_or_never(admitting).await.is_none());
    }
    // Each permit that ends lets one waiter go.
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
async fn a_full_queue_makes_room_for_small_organisations() {
    let desk = desk(4);
    let _permits = desk.fill().await;
    // Filling ends with a waiter that is dropped again.
    let mut large: Vec<_> = (0..4).map(|_| desk.short("large")).collect();
    for admitting in &mut large {
        assert!(now_or_never(admitting).await.is_none());
    }
    let reason = refusal(desk.short("large")).await.reason;
    assert_eq!(reason, RefusalReason::QueueFull);
    let mut small = desk.short("small");
    assert!(now_or_never(&mut small).await.is_none());
    let youngest = now_or_never(&mut large[3]).await.expect("told at once");
    assert_eq!(youngest.unwrap_err().reason, RefusalReason::QueueFull);
    assert_eq!(desk.admission.status().waiting, 4);
}

#[compio::test]
async fn a_waiter_is_refused_when_its_start_becomes_impossible() {
    let desk = desk(10);
    let _permits = desk.fill().await;
    let mut waiting = desk.short("tuul");
    assert!(now_or_never(&mut waiting).await.is_none());
    desk.clock.advance(Duration::from_millis(8_900));
    desk.admission.refresh();
    assert!(now_or_never(&mut waiting).await.is_none());
    desk.clock.advance(Duration::from_millis(200));
    desk.admission.refresh();
    assert_eq!(refusal(waiting).await.reason, RefusalReason::TooLate);
    assert_eq!(desk.admission.status().waiting, 0);
}

#[compio::test]
async fn a_dropped_waiter_leaves_nothing_behind() {
    let desk = desk(10);
    let mut permits = desk.fill().await;
    let full = permits.len();
    let mut first = desk.short("tuul");
    let mut second = desk.short("tuul");
    let mut third = desk.short("tuul");
    for waiting in [&mut first, &mut second, &mut third] {
        assert!(now_or_never(waiting).await.is_none());
    }
    drop(second);
    assert_eq!(desk.admission.status().waiting, 2);
    // The first is granted a place, does not take it up, and the third gets it.
    permits.pop();
    drop(first);
    let permit = now_or_never(&mut third).await.expect("granted");
    assert!(permit.is_ok());
    assert_eq!(desk.admission.status().outstanding, full);
    drop((permits, permit));
    assert_eq!(desk.admission.status().outstanding, 0);
}

#[compio::test]
async fn closing_answers_everyone() {
    let desk = desk(10);
    let permits = desk.fill().await;
    let mut waiting = desk.short("tuul");
    assert!(now_or_never(&mut waiting).await.is_none());
    let retry_after = Duration::from_secs(7);
    desk.admission.close(retry_after);
    for refused in [refusal(waiting).await, refusal(desk.short("tuul")).await] {
        assert_eq!(refused.reason, RefusalReason::Closed);
        assert_eq!(refused.retry_after, retry_after);
    }
    assert_eq!(desk.admission.status().outstanding, permits.len());
    drop(permits);
    insta::assert_json_snapshot!(desk.admission.status());
}

#[compio::test]
async fn the_limit_follows_late_first_tokens() {
    let desk = desk(10);
    let limit = || desk.admission.status().lanes[0].limit;
    let mut permits = desk.fill().await;
    let start = limit();
    permits.iter_mut().for_each(quickly);
    let grown = limit();
    assert!(grown > start, "{start} to {grown}");
    // Chance makes some late at any load.
    for round in 0..100 {
        permits = desk.fill().await;
        let late_ms = if round % 10 == 0 { 2_000 } else { 120 };
        permits[0].record_first_token(Duration::from_millis(late_ms));
        desk.clock.advance(Duration::from_secs(2));
        permits.iter_mut().skip(1).for_each(quickly);
        permits.clear();
    }
    let kept = limit();
    assert!(kept >= grown, "{grown} to {kept}");
    for _ in 0..20 {
        permits = desk.fill().await;
        desk.clock.advance(Duration::from_secs(2));
        for permit in &mut permits {
            permit.record_first_token(Duration::from_millis(2_000));
        }
        permits.clear();
    }
    let shrunk = limit();
    assert!(shrunk < kept / 2, "{kept} to {shrunk}");
    // Prompts that are slow by themselves are not the queue's fault.
    let slow = desk.request("review", "tuul", 500_000);
    let mut slow = desk.admit(slow, estimate(70_000, 80_000, 0));
    let mut permit = now_or_never(&mut slow)
        .await
        .expect("at once")
        .expect("admitted");
    permit.record_first_token(Duration::from_secs(75));
    let lanes = desk.admission.status().lanes;
    assert_eq!(lanes.len(), 2);
    assert_eq!(lanes[1].limit, 4);
}

#[compio::test]
async fn long_prompts_do_not_hold_up_short_ones() {
    let desk = desk(10);
    let long = || {
        desk.admit(
            desk.request("review", "tuul", 500_000),
            estimate(50_000, 60_000, 0),
        )
    };
    let mut held = Vec::new();
    loop {
        let mut next = long();
        match now_or_never(&mut next).await {
            Some(permit) => held.push(permit.expect("admitted")),
            None => break,
        }
    }
    let mut short = desk.short("tuul");
    assert!(now_or_never(&mut short).await.expect("at once").is_ok());
}

#[compio::test]
async fn retries_are_a_share_of_the_successes() {
    let desk = desk(10);
    let budget = desk.admission.retry_budget().clone();
    while budget.try_take() {}
    let mut taken = 0;
    for _ in 0..100 {
        let mut permit = desk.short("tuul").await.expect("admitted");
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
    Wait(u64),
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
            _ => Self::Wait(u64::arbitrary(g) % 2_000),
        }
    }
}

/// Every request that came in is admitted once, refused once, waiting or dropped.
async fn nothing_is_lost(steps: Vec<Step>) -> bool {
    let desk = desk(16);
    let mut permits = Vec::new();
    let mut waiting: Vec<Admitting> = Vec::new();
    let (mut came, mut admitted, mut refused, mut left) = (0, 0, 0, 0);
    for step in steps {
        let mut asked = None;
        match step {
            Step::Admit {
                organisation,
                is_long,
            } => {
                came += 1;
                let length_tokens = if is_long { 300_000 } else { 1_000 };
                let class = if is_long { "review" } else { "diagnosis" };
                let request = desk.request(class, &format!("{organisation}"), length_tokens);
                asked = Some(desk.admit(request, quick()));
            }
            Step::Poll(index) if !waiting.is_empty() => {
                asked = Some(waiting.swap_remove(index % waiting.len()));
            }
            Step::DropWaiting(index) if !waiting.is_empty() => {
                left += 1;
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
            Step::Wait(wait_ms) => {
                desk.clock.advance(Duration::from_millis(wait_ms));
                desk.admission.refresh();
            }
            _ => {}
        }
        if let Some(mut asked) = asked {
            match now_or_never(&mut asked).await {
                Some(Ok(permit)) => {
                    admitted += 1;
                    permits.push(permit);
                }
                Some(Err(_)) => refused += 1,
                None => waiting.push(asked),
            }
        }
        let status = desk.admission.status();
        // Waiters that were answered but not polled are in neither count.
        let is_whole = came == admitted + refused + left + waiting.len()
            && status.waiting <= waiting.len()
            && status.outstanding >= permits.len()
            && status.outstanding + status.waiting <= permits.len() + waiting.len();
        if !is_whole {
            return false;
        }
    }
    drop((permits, waiting));
    let status = desk.admission.status();
    (status.outstanding, status.waiting) == (0, 0)
}

#[test]
fn queue_never_loses_or_admits_twice() {
    fn run(steps: Vec<Step>) -> bool {
        let runtime = compio::runtime::Runtime::new().expect("runtime");
        runtime.block_on(nothing_is_lost(steps))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(250, 4))
        .tests(100)
        .quickcheck(run as fn(Vec<Step>) -> bool);
}
