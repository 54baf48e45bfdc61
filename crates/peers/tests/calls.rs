//! Calls, their replies, and the errors when no reply arrives.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use common::{all_alive, eventually, fleet, listed, options, slow, start, state_of};
use mangofront_peers::{CallError, MemberState, Peers, PeersOptions, Service};

const SHORT: Duration = Duration::from_millis(300);

const LONG: Duration = Duration::from_secs(10);

#[compio::test]
async fn a_call_returns_its_reply() {
    let mesh = fleet(&["za"], 2, 8);
    eventually("both are alive", || all_alive(&mesh)).await;
    let payload = Bytes::from(vec![7; 1_100_000]);
    let reply = mesh[0]
        .1
        .call(&mesh[1].0, Service::Platform, payload.clone(), LONG)
        .await;
    assert_eq!(reply.expect("reply"), payload);
    let calls = mesh[0].1.counters().calls;
    assert_eq!((calls.messages_sent, calls.messages_received), (1, 1));
}

#[compio::test]
async fn a_slow_answer_times_out_and_runs_once() {
    let count = Rc::new(Cell::new(0));
    let caller = start(options("caller", "za"));
    let responder = slow(Rc::clone(&count), SHORT * 3);
    let callee = Peers::start(options("callee", "za").build(), Rc::new(|_| ()), responder);
    let callee = callee.expect("start");
    caller.set_listed(&[listed("callee", "za", &callee)]);
    let peer = "callee".to_owned();
    let error = caller
        .call(&peer, Service::Once, Bytes::new(), SHORT)
        .await
        .expect_err("late");
    assert!(matches!(error, CallError::Timeout { .. }), "{error}");
    assert!(error.may_have_run());
    // The late reply is dropped; the next call gets its own.
    let payload = Bytes::from_static(b"mine");
    let reply = caller
        .call(&peer, Service::Once, payload.clone(), LONG)
        .await;
    assert_eq!(reply.expect("reply"), payload);
    assert_eq!(count.get(), 2);
}

#[compio::test]
async fn a_call_over_a_broken_connection_is_not_retried() {
    let count = Rc::new(Cell::new(0));
    let caller = start(options("caller", "za"));
    let responder = slow(Rc::clone(&count), LONG);
    let callee = Peers::start(options("callee", "za").build(), Rc::new(|_| ()), responder);
    let callee = callee.expect("start");
    let address = callee.address();
    caller.set_listed(&[listed("callee", "za", &callee)]);
    let peer = "callee".to_owned();
    let call = caller.call(&peer, Service::Once, Bytes::new(), LONG);
    let stop = async {
        eventually("the call runs", || count.get() == 1).await;
        drop(callee);
        // The same instance starts again at once, at the same address.
        let options = PeersOptions::builder("callee", "r1", "za", address);
        Peers::start(
            options.build(),
            Rc::new(|_| ()),
            slow(Rc::clone(&count), SHORT),
        )
    };
    let (result, restarted) = futures_util::join!(call, stop);
    let error = result.expect_err("broken");
    assert!(matches!(error, CallError::Broken { .. }), "{error}");
    let _restarted = restarted.expect("the address is free again");
    compio::time::sleep(SHORT).await;
    assert_eq!(count.get(), 1);
}

#[compio::test]
async fn many_pending_calls_fail_when_their_callee_stops() {
    // More than the 64 wakes from other threads that compio queues. A wake for each call
    // would make nng's threads spin while the runtime waits for them.
    const CALLS: u32 = 200;
    let count = Rc::new(Cell::new(0));
    let caller = start(options("caller", "za"));
    let responder = slow(Rc::clone(&count), LONG);
    let callee = Peers::start(options("callee", "za").build(), Rc::new(|_| ()), responder);
    let callee = callee.expect("start");
    caller.set_listed(&[listed("callee", "za", &callee)]);
    let peer = "callee".to_owned();
    let calls = (0..CALLS).map(|_| caller.call(&peer, Service::Once, Bytes::new(), LONG));
    let stop = async {
        eventually("all run", || count.get() == CALLS).await;
        drop(callee);
    };
    let (results, ()) = futures_util::join!(futures_util::future::join_all(calls), stop);
    for result in results {
        assert!(result.expect_err("broken").may_have_run());
    }
}

#[compio::test]
async fn a_call_that_cannot_be_sent_returns_the_reason() {
    let caller = start(options("caller", "za"));
    let unknown = caller
        .call(&"nobody".to_owned(), Service::Once, Bytes::new(), SHORT)
        .await;
    let unknown = unknown.expect_err("unknown");
    assert!(
        matches!(unknown, CallError::UnknownPeer { .. }),
        "{unknown}"
    );

    let gone = start(options("gone", "za"));
    caller.set_listed(&[listed("gone", "za", &gone)]);
    let peer = "gone".to_owned();
    eventually("it is alive", || caller.is_alive(&peer)).await;
    drop(gone);
    let unsent = caller
        .call(&peer, Service::Once, Bytes::new(), SHORT)
        .await
        .expect_err("gone");
    assert!(!unsent.may_have_run(), "{unsent}");
    let dead = || state_of(&caller, "gone") == Some(MemberState::Dead);
    eventually("it is dead", dead).await;
    let dead = caller
        .call(&peer, Service::Once, Bytes::new(), SHORT)
        .await
        .expect_err("dead");
    assert!(matches!(dead, CallError::Dead { .. }), "{dead}");

    // Another instance uses the address now.
    let other = start(options("other", "za"));
    caller.set_listed(&[listed("former", "za", &other)]);
    let former = "former".to_owned();
    let refused = caller
        .call(&former, Service::Once, Bytes::new(), LONG)
        .await;
    let refused = refused.expect_err("refused");
    assert!(
        matches!(refused, CallError::Refused { busy: false, .. }),
        "{refused}"
    );
}
