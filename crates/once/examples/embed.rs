//! Smallest use without the daemon: one process that is its own only voter.
//!
//! `cargo run -p mangofront-once --example embed`

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use mangofront_once::{
    Answer, Decision, Fingerprint, ListedInstance, Once, OnceOptions, Order, RunOutcome, RunPermit,
    Transport, TransportError, VoterView,
};
use mangofront_settings::ids::InstanceId;

/// There is nobody else to call.
struct Nobody;

impl Transport for Nobody {
    fn call(
        &self,
        to: &InstanceId,
        _request: Bytes,
        _timeout: Duration,
    ) -> LocalBoxFuture<'static, Result<Bytes, TransportError>> {
        let error = TransportError {
            step: "call",
            peer: to.clone(),
            reason: "no such peer".to_owned(),
        };
        Box::pin(async move { Err(error) })
    }
}

/// Sends one order of toner.
async fn send(permit: RunPermit) -> RunOutcome {
    // Whatever connects first would go here; nothing is awaited after `begin`.
    let _begun = match permit.begin() {
        Ok(begun) => begun,
        Err(error) => {
            let reason = error.to_string();
            return RunOutcome::NotStarted { reason };
        }
    };
    println!("the order is sent");
    RunOutcome::Answered(Answer {
        status: 201,
        headers: Vec::new(),
        body: Bytes::from_static(b"toner is on its way"),
    })
}

#[compio::main]
async fn main() {
    let options = OnceOptions::new("entry-1".to_owned(), 1);
    let once = Once::new(options, Rc::new(Nobody));
    once.set_view(&VoterView {
        list_revision: 1,
        listed: vec![ListedInstance {
            instance: "entry-1".to_owned(),
            availability_zone: "hall-a".to_owned(),
        }],
    });
    let _maintenance = compio::runtime::spawn(once.maintain());
    let Ok(key) = once.mint() else {
        return;
    };
    for attempt in 1..=2 {
        let order = Order {
            organisation: "tuul".to_owned(),
            key: key.clone(),
            fingerprint: Fingerprint::of("POST", "/toner", b"two black"),
        };
        let deadline = Instant::now() + Duration::from_secs(5);
        match once.execute(order, deadline, send).await {
            Decision::Answer(answer) => println!("attempt {attempt}: ran, {}", answer.status),
            Decision::Replay { status, .. } => println!("attempt {attempt}: replayed, {status}"),
            other => println!("attempt {attempt}: {other:?}"),
        }
    }
    let report = once.hand_over().await;
    println!("stopped, {} records handed over", report.records);
}
