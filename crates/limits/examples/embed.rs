//! Keeps the limit of an upstream with two daemons, without a network.

use std::time::Duration;

use mangofront_limits::{
    Coordinator, LimitOptions, LimitTable, PermitDecision, PermitRequest, Permits, RateLimit,
    ShareLender,
};

const GROUP: &str = "zone-a";
const UPSTREAM: u64 = 1;
const DAEMONS: usize = 2;

fn main() {
    let options = LimitOptions::default();
    let now = Duration::from_secs(60);
    let Some(limit) = RateLimit::new(2.0) else {
        return;
    };

    // An answer names the limit.
    let mut table = LimitTable::default();
    let sent_at = now - Duration::from_millis(30);
    println!("{:?}", table.observe_limit(UPSTREAM, limit, sent_at, now));

    // The first daemon coordinates; both lend it their shares.
    let mut coordinator = Coordinator::new(options.clone());
    let mut lenders = [(); DAEMONS].map(|()| ShareLender::new(options.clone(), Duration::ZERO));
    coordinator.begin_asking(GROUP, Duration::from_secs(1), now);
    for (daemon, lender) in (0..).zip(&mut lenders) {
        if lender.lend(GROUP, 0, now) {
            coordinator.receive_share(GROUP, daemon, now);
        }
    }

    // The second daemon asks for permits.
    let permits = Permits::new(options);
    for _ in 0..4 {
        let request = PermitRequest {
            upstream: UPSTREAM,
            max_wait: Duration::from_secs(1),
            rank: 1,
        };
        match coordinator.decide(GROUP, &request, limit, DAEMONS, now) {
            PermitDecision::Granted { delay } => {
                let permit = permits.granted(UPSTREAM, limit, now, delay);
                println!("granted, may be sent in {:?}", permit.wait(now));
            }
            PermitDecision::NotReady { pause } => println!("no shares yet, ask in {pause:?}"),
            PermitDecision::Refused { returns, .. } => println!("refused, return in {returns:?}"),
        }
    }
}
