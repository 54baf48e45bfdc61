//! Forged, late and malformed messages do no damage.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{all_alive, all_see, eventually, fleet, state_of};
use mangofront_peers::{MemberState, Peers, Record};
use nng::options::{Options, RecvTimeout};
use nng::{Protocol, Socket};
use quickcheck::{Gen, QuickCheck};
use serde::Serialize;

/// The messages as they are on the wire, defined independently of the crate.
#[derive(Serialize)]
enum RawRequest {
    Ping(RawPing),
}

#[derive(Serialize)]
struct RawPing {
    from: String,
    to: String,
    incarnation: u64,
    view: [u8; 4],
    wants: RawWants,
    delta: RawDelta,
    pulses: Vec<(u32, u32)>,
}

#[derive(Serialize)]
enum RawWants {
    After(u64, (u64, u64)),
}

#[derive(Serialize)]
struct RawDelta {
    through: (u64, u64),
    complete: bool,
    members: Vec<(String, Record)>,
    publications: Vec<()>,
}

/// Sends one message from a new socket; returns whether an answer arrived.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> bool {
    let socket = Socket::new(Protocol::Req0).expect("socket");
    socket
        .set_opt::<RecvTimeout>(Some(Duration::from_millis(100)))
        .expect("option");
    socket.dial(&format!("tcp://{address}")).expect("dial");
    socket.send(bytes).expect("send");
    socket.recv().is_ok()
}

/// Sends one member a late or forged record and waits until the member has applied it.
async fn send_record(to: &str, peers: &Peers, instance: &str, record: Record) {
    // A record that only this message contains; it shows that the message was applied.
    let marker = format!("marker-{to}-{}-{}", record.incarnation, record.refutation);
    let ping = RawPing {
        from: "unlisted".to_owned(),
        to: to.to_owned(),
        incarnation: 1,
        view: [0; 4],
        wants: RawWants::After(0, (0, 0)),
        delta: RawDelta {
            through: (0, 0),
            complete: false,
            members: vec![
                (instance.to_owned(), record.clone()),
                (marker.clone(), record),
            ],
            publications: Vec::new(),
        },
        pulses: Vec::new(),
    };
    let bytes = postcard::to_extend(&RawRequest::Ping(ping), vec![1]).expect("encode");
    send_raw(peers.address(), &bytes);
    eventually("the record is applied", || {
        state_of(peers, &marker).is_some()
    })
    .await;
}

fn record(peers: &Peers, state: MemberState) -> Record {
    Record {
        incarnation: peers.incarnation(),
        refutation: 0,
        state,
        region: "r1".to_owned(),
        availability_zone: "za".to_owned(),
        address: peers.address(),
        capacity_percent: 100,
    }
}

#[compio::test]
async fn a_live_member_refutes_a_record_of_its_death() {
    let ring = fleet(&["za"], 6, 4);
    eventually("all are alive", || all_alive(&ring)).await;
    let subject = &ring[2].1;
    for (name, peers) in [&ring[0], &ring[4]] {
        let dead = record(subject, MemberState::Dead);
        send_record(name, peers, &ring[2].0, dead).await;
    }
    eventually("it has refuted the record", || {
        subject.counters().refutations > 0
    })
    .await;
    let alive = || all_see(&ring, &ring[2].0, MemberState::Alive);
    eventually("all see it alive", alive).await;
}

#[compio::test]
async fn a_late_record_does_not_revive_a_dead_member() {
    let mut ring = fleet(&["za"], 5, 8);
    eventually("all are alive", || all_alive(&ring)).await;
    let (name, dropped) = ring.pop().expect("member");
    let late = record(&dropped, MemberState::Alive);
    drop(dropped);
    eventually("it is dead", || all_see(&ring, &name, MemberState::Dead)).await;
    for (to, peers) in &ring {
        send_record(to, peers, &name, late.clone()).await;
        assert_eq!(state_of(peers, &name), Some(MemberState::Dead));
    }
    assert!(all_see(&ring, &name, MemberState::Dead));
    let newer = Record {
        incarnation: late.incarnation + 1,
        ..late
    };
    send_record(&ring[0].0, &ring[0].1, &name, newer).await;
    assert_ne!(state_of(&ring[0].1, &name), Some(MemberState::Dead));
}

#[compio::test]
async fn malformed_messages_are_counted_and_dropped() {
    let ring = fleet(&["za"], 2, 8);
    eventually("both are alive", || all_alive(&ring)).await;
    let target = &ring[0].1;
    let mut random = Gen::from_size_and_seed(64, 7);
    let before = target.counters().malformed;
    let mut messages = vec![Vec::new(), vec![9], vec![1], vec![1, 0], vec![1, 255, 255]];
    messages.extend((0..10).map(|_| <Vec<u8> as quickcheck::Arbitrary>::arbitrary(&mut random)));
    let sent = messages.len() as u64;
    for mut message in messages {
        // 77 isn't a known version of the messages.
        message.insert(0, 77);
        assert!(!send_raw(target.address(), &message));
    }
    eventually("all are counted", || {
        target.counters().malformed >= before + sent
    })
    .await;
    eventually("both are still alive", || all_alive(&ring)).await;
}

/// Instance, incarnation, refutation and state, each reduced to a few values.
type RecordFields = (u8, u8, u8, u8);

/// Whether merging the same records in another order, some of them twice, gives the same table.
fn merge_order_is_irrelevant(records: Vec<RecordFields>, order: Vec<usize>) -> bool {
    let now = std::time::Instant::now();
    let states = [
        MemberState::Alive,
        MemberState::Leaving,
        MemberState::Suspect,
        MemberState::Dead,
    ];
    let records: Vec<(String, Record)> = records
        .into_iter()
        .map(|(instance, incarnation, refutation, state)| {
            let record = Record {
                incarnation: u64::from(incarnation % 3),
                refutation: u32::from(refutation % 3),
                state: states[usize::from(state % 4)],
                region: "r1".to_owned(),
                availability_zone: format!("z{}", state % 2),
                address: SocketAddr::from(([127, 0, 0, 1], u16::from(refutation))),
                capacity_percent: 100,
            };
            (format!("i{}", instance % 4), record)
        })
        .collect();
    let mut in_order = mangofront_peers::table::Table::new();
    let mut shuffled = mangofront_peers::table::Table::new();
    for (instance, record) in &records {
        in_order.merge(instance, record.clone(), now);
    }
    let picks = order.iter().map(|pick| pick % records.len().max(1));
    for pick in picks.chain((0..records.len()).rev()) {
        if let Some((instance, record)) = records.get(pick) {
            shuffled.merge(instance, record.clone(), now);
        }
    }
    in_order.records().eq(shuffled.records())
}

#[test]
fn the_order_of_merged_records_does_not_matter() {
    let property: fn(Vec<RecordFields>, Vec<usize>) -> bool = merge_order_is_irrelevant;
    let random = Gen::from_size_and_seed(40, 20_261_202);
    QuickCheck::new()
        .rng(random)
        .tests(300)
        .quickcheck(property);
}
