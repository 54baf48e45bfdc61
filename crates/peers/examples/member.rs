//! One member of a fleet, embedding nothing but this crate.
//!
//! `member INSTANCE REGION ZONE LISTEN PERIOD_MS [INSTANCE,REGION,ZONE,ADDRESS]…`
//! prints a line for each change it sees, for each pause of its own, and its
//! traffic every two seconds. SIGTERM makes it announce its leave and end.

use std::error::Error;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use futures_util::future::{Either, select};
use mangofront_peers::{ListedPeer, MemberChange, Peers, PeersOptions};

/// Number of SIGTERM.
const SIGTERM: i32 = 15;

/// Time between two reports of traffic.
const REPORT_PERIOD: Duration = Duration::from_secs(2);

/// Time between two looks at the own freshness.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// Time for the leave to spread.
const LEAVE_TIME: Duration = Duration::from_millis(500);

#[compio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [instance, region, zone, listen, period_ms, listed @ ..] = arguments.as_slice() else {
        return Err("INSTANCE REGION ZONE LISTEN PERIOD_MS [PEER]…".into());
    };
    let options = PeersOptions::builder(instance, region, zone, listen.parse()?)
        .heartbeat_period(Duration::from_millis(period_ms.parse()?))
        .build();
    let echo: mangofront_peers::Responder =
        Rc::new(|_, _, payload| async move { payload }.boxed_local());
    let peers = Peers::start(options, Rc::new(print_change), echo)?;
    println!("address {}", peers.address());
    let listed: Vec<ListedPeer> = listed.iter().filter_map(|peer| read_peer(peer)).collect();
    peers.set_listed(&listed);
    let stop = Box::pin(compio::signal::unix::signal(SIGTERM));
    let report = Box::pin(report(&peers));
    match select(stop, report).await {
        Either::Left((stopped, _)) => stopped?,
        Either::Right(((), _)) => {}
    }
    peers.leave();
    compio::time::sleep(LEAVE_TIME).await;
    Ok(())
}

fn read_peer(peer: &str) -> Option<ListedPeer> {
    let mut parts = peer.split(',');
    Some(ListedPeer {
        instance: parts.next()?.to_owned(),
        region: parts.next()?.to_owned(),
        availability_zone: parts.next()?.to_owned(),
        address: parts.next()?.parse().ok()?,
        leaving: false,
    })
}

fn print_change(change: MemberChange) {
    let member = change.member;
    println!(
        "member {} {:?} {}",
        member.instance, member.state, member.incarnation
    );
}

async fn report(peers: &Peers) {
    let mut fresh = false;
    let mut woke = 0;
    let mut reported = Instant::now();
    loop {
        if peers.woke() != woke {
            woke = peers.woke();
            println!("woke {woke}");
        }
        if peers.view_fresh() != fresh {
            fresh = !fresh;
            println!("fresh {fresh}");
        }
        if reported.elapsed() >= REPORT_PERIOD {
            reported = Instant::now();
            let counters = peers.counters();
            let gossip = counters.gossip;
            let alive = peers
                .members()
                .iter()
                .filter(|m| m.state.is_responsive())
                .count();
            println!(
                "traffic sent {} {} received {} {} missed {} alive {alive} resyncs {}",
                gossip.messages_sent,
                gossip.bytes_sent,
                gossip.messages_received,
                gossip.bytes_received,
                counters.heartbeats_missed,
                counters.resyncs,
            );
        }
        compio::time::sleep(LOOK_PERIOD).await;
    }
}
