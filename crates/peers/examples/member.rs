//! One member of a fleet; uses this crate alone.
//!
//! `member INSTANCE REGION ZONE LISTEN PERIOD_MS [INSTANCE,REGION,ZONE,ADDRESS]…`
//! prints a line for each change in its view and for each pause of its process, and its
//! traffic every two seconds. On SIGTERM it announces that it leaves, and exits.

use std::error::Error;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use futures_util::future::{Either, select};
use mangofront_peers::{ListedPeer, MemberChange, Peers, PeersOptions};

/// Number of SIGTERM.
const SIGTERM: i32 = 15;

/// Interval between reports of traffic.
const REPORT_PERIOD: Duration = Duration::from_secs(2);

/// Interval at which pauses and the freshness of the view are checked.
const CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Time for the announcement to reach the others.
const LEAVE_DELAY: Duration = Duration::from_millis(500);

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
    let listed: Vec<ListedPeer> = listed.iter().filter_map(|peer| parse_peer(peer)).collect();
    peers.set_listed(&listed);
    let stop = Box::pin(compio::signal::unix::signal(SIGTERM));
    let report = Box::pin(report(&peers));
    match select(stop, report).await {
        Either::Left((stopped, _)) => stopped?,
        Either::Right(((), _)) => {}
    }
    peers.leave();
    compio::time::sleep(LEAVE_DELAY).await;
    Ok(())
}

fn parse_peer(peer: &str) -> Option<ListedPeer> {
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
    let mut pauses = 0;
    let mut reported = Instant::now();
    loop {
        if peers.pause_count() != pauses {
            pauses = peers.pause_count();
            println!("woke {pauses}");
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
        compio::time::sleep(CHECK_PERIOD).await;
    }
}
