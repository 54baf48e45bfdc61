//! Shares, coordinators and permits.

use std::time::Duration;

use mangofront_limits::{
    Access, Coordinator, FleetSize, FleetView, LimitOptions, Moment, PermitDecision, PermitRequest,
    Permits, RateLimit, ShareLender,
};

const GROUP: &str = "zone-a";
const UPSTREAM: u64 = 3;
const FLEET: usize = 4;

fn limit(per_s: f64) -> RateLimit {
    RateLimit::new(per_s).expect("a valid limit")
}

fn at(ms: u64) -> Moment {
    Duration::from_secs(100) + Duration::from_millis(ms)
}

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// A coordinator that holds the shares of `daemons`, as asked for at `at(0)`.
fn coordinator(daemons: u64) -> Coordinator {
    let mut coordinator = Coordinator::new(LimitOptions::default());
    coordinator.begin_asking(GROUP, ms(1_000), at(0));
    for daemon in 0..daemons {
        coordinator.receive_share(GROUP, daemon, at(0));
    }
    coordinator
}

fn request(max_wait: Duration, rank: u8) -> PermitRequest {
    PermitRequest {
        upstream: UPSTREAM,
        max_wait,
        rank,
    }
}

/// Guards against a share that is lent to two coordinators at once.
#[test]
fn a_share_is_lent_to_one_coordinator_at_a_time() {
    let options = LimitOptions::default();
    let lease = options.share_lease();
    let mut lender = ShareLender::new(options, at(0) - lease);
    assert!(lender.lend(GROUP, 1, at(0)));
    assert!(!lender.lend(GROUP, 2, at(10)));
    assert!(lender.lend("zone-b", 2, at(10)), "another group");
    assert!(lender.lend(GROUP, 1, at(1_000)), "renewed");
    assert!(!lender.lend(GROUP, 2, at(0) + lease), "renewed meanwhile");
    assert!(lender.lend(GROUP, 2, at(1_000) + lease));
    lender.take_back(GROUP, 1);
    assert!(!lender.lend(GROUP, 1, at(1_100) + lease), "not its lease");
    lender.take_back(GROUP, 2);
    assert!(lender.lend(GROUP, 1, at(1_100) + lease));
}

/// Guards against a daemon that restarts lending a share that its previous incarnation lent.
#[test]
fn a_daemon_lends_nothing_until_its_previous_leases_have_ended() {
    let options = LimitOptions::default();
    let lease = options.share_lease();
    let mut lender = ShareLender::new(options, at(0));
    assert!(!lender.lend(GROUP, 1, at(0) + lease - ms(1)));
    assert!(lender.lend(GROUP, 1, at(0) + lease));
}

/// Guards against a coordinator that was suspended, or partitioned, granting by virtue of shares
/// that may be lent elsewhere by now.
#[test]
fn shares_are_used_for_less_time_than_they_are_lent() {
    let options = LimitOptions::default();
    let held = coordinator(3);
    assert!((held.share(GROUP, FLEET, at(0)) - 0.75).abs() < 1e-9);
    assert!((held.share(GROUP, FLEET, at(2_399)) - 0.75).abs() < 1e-9);
    assert_eq!(held.share(GROUP, FLEET, at(2_400)), 0.0);
    assert!(options.share_lease() >= ms(2_400 + 1_000 + 250));
    assert_eq!(
        held.share(GROUP, 2, at(0)),
        1.0,
        "never more than the whole"
    );
}

#[test]
fn permits_are_granted_ahead_and_then_refused_with_a_time_to_return() {
    let mut coordinator = coordinator(4);
    let wait = ms(1_000);
    let decisions: Vec<PermitDecision> = (0..6)
        .map(|_| coordinator.decide(GROUP, &request(wait, 0), limit(2.0), FLEET, at(0)))
        .collect();
    insta::assert_debug_snapshot!(decisions);
}

/// Guards against requests of a low rank taking the times of urgent ones.
#[test]
fn urgent_requests_are_granted_permits_further_ahead() {
    let mut coordinator = coordinator(4);
    let mut granted = |rank| {
        let decide =
            || coordinator.decide(GROUP, &request(ms(1_000), rank), limit(10.0), FLEET, at(0));
        std::iter::repeat_with(decide)
            .take_while(|decision| matches!(decision, PermitDecision::Granted { .. }))
            .count()
    };
    assert_eq!((granted(9), granted(0), granted(9)), (6, 5, 0));
}

/// Guards against a limit of zero that never ends, as no request tells of its end.
#[test]
fn a_limit_of_zero_allows_a_request_from_time_to_time() {
    let mut coordinator = coordinator(4);
    let mut granted = 0;
    for second in 0..30 {
        let now = at(second * 1_000);
        coordinator.begin_asking(GROUP, ms(0), now);
        (0..4).for_each(|daemon| coordinator.receive_share(GROUP, daemon, now));
        let decision = coordinator.decide(GROUP, &request(ms(0), 0), limit(0.0), FLEET, now);
        granted += usize::from(matches!(decision, PermitDecision::Granted { .. }));
    }
    assert_eq!(granted, 15);
}

/// Guards against calls that are sent without a permit not being counted.
#[test]
fn calls_without_a_permit_delay_the_requests_that_follow() {
    let mut coordinator = coordinator(4);
    let earliest = |coordinator: &mut Coordinator| match coordinator.decide(
        GROUP,
        &request(ms(0), 0),
        limit(1.0),
        FLEET,
        at(1),
    ) {
        PermitDecision::Refused { earliest, .. } => earliest,
        PermitDecision::Granted { delay } => delay,
        PermitDecision::NotReady { pause } => pause,
    };
    assert_eq!(earliest(&mut coordinator), ms(0));
    for _ in 0..3 {
        coordinator.charge(GROUP, UPSTREAM, limit(1.0), FLEET, at(1));
    }
    assert_eq!(earliest(&mut coordinator), ms(4_000));
}

#[test]
fn no_permit_is_granted_without_shares() {
    let mut coordinator = Coordinator::new(LimitOptions::default());
    let decision = coordinator.decide(GROUP, &request(ms(1_000), 0), limit(5.0), FLEET, at(0));
    assert!(matches!(decision, PermitDecision::NotReady { .. }));
}

/// Guards against a permit being used late, or after the limit went down.
#[test]
fn a_permit_is_used_in_its_time_and_by_its_limit() {
    let permits = Permits::new(LimitOptions::default());
    let permit = permits.granted(UPSTREAM, limit(2.0), at(0), ms(100));
    let usable = |now, current| permit.is_usable(current, now);
    assert!(!usable(at(99), Some(limit(2.0))));
    assert!(usable(at(100), Some(limit(2.0))));
    assert!(usable(at(349), Some(limit(3.0))));
    assert!(usable(at(349), None));
    assert!(!usable(at(349), Some(limit(1.0))));
    assert!(!usable(at(350), Some(limit(2.0))));
}

#[test]
fn an_unused_permit_serves_another_request() {
    let mut permits = Permits::new(LimitOptions::default());
    let current = Some(limit(2.0));
    assert_eq!(permits.access(UPSTREAM, None, at(0)), Access::Unlimited);
    assert_eq!(permits.access(UPSTREAM, current, at(0)), Access::Unknown);
    permits.withhold(UPSTREAM, at(500));
    assert_eq!(
        permits.access(UPSTREAM, current, at(0)),
        Access::Withheld(at(500))
    );
    let permit = permits.granted(UPSTREAM, limit(2.0), at(0), ms(0));
    permits.give_back(permit, at(10));
    assert_eq!(permits.access(UPSTREAM, current, at(20)), Access::Permitted);
    assert_eq!(permits.take(UPSTREAM, current, at(20)), Some(permit));
    assert_eq!(permits.take(UPSTREAM, current, at(20)), None);
    permits.give_back(permit, at(400));
    assert_eq!(
        permits.take(UPSTREAM, current, at(20)),
        None,
        "it had expired"
    );
}

/// Guards against the daemons behind a partition not being counted.
#[test]
fn daemons_out_of_reach_are_counted_for_a_while() {
    let options = LimitOptions::default().forget_daemon_after(ms(60_000));
    let mut fleet = FleetSize::new(options, 1, at(0));
    let view = |running: &[u64]| FleetView {
        running: running.iter().map(|id| (*id, "a".to_owned())).collect(),
        ..FleetView::default()
    };
    fleet.observe(&view(&[1, 2, 3, 4]), at(0));
    fleet.observe(&view(&[1, 2]), at(30_000));
    assert_eq!(fleet.get(at(30_000)), Some(4));
    fleet.remove(3);
    assert_eq!(fleet.get(at(30_000)), Some(3), "one announced its leave");
    fleet.observe(&view(&[1, 2]), at(70_000));
    assert_eq!(fleet.get(at(70_000)), Some(2));
    fleet.report(2, 9, at(70_000));
    assert_eq!((fleet.get(at(70_000)), fleet.counted()), (Some(9), 2));
    fleet.observe(&view(&[1, 2]), at(140_000));
    assert_eq!(fleet.get(at(140_000)), Some(2), "the report is old");
}
