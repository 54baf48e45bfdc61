//! A voter that may not vote yet reads the others with growing pauses.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use mangofront_once::{ListedInstance, Once, OnceOptions, Transport, TransportError, VoterView};
use mangofront_settings::ids::InstanceId;

/// Counts the calls to voters that answer nothing of use.
#[derive(Debug, Default)]
struct Vain(Cell<u32>);

impl Transport for Vain {
    fn call(
        &self,
        _to: &InstanceId,
        _request: Bytes,
        _timeout: Duration,
    ) -> LocalBoxFuture<'static, Result<Bytes, TransportError>> {
        self.0.set(self.0.get() + 1);
        async { Ok(Bytes::new()) }.boxed_local()
    }
}

#[compio::test]
async fn vain_readings_grow_rare() {
    let exchange = Rc::new(Vain::default());
    let options = OnceOptions::new("entry-0".to_owned(), 1).poll_interval(Duration::from_millis(2));
    let carried: Rc<dyn Transport> = Rc::<Vain>::clone(&exchange);
    let once = Once::new(options, carried);
    let voter = |number: u32| ListedInstance {
        instance: format!("entry-{number}"),
        availability_zone: "hall-a".to_owned(),
    };
    once.set_view(&VoterView {
        list_revision: 1,
        listed: (0..3).map(voter).collect(),
    });
    let maintaining = compio::runtime::spawn(once.maintain());
    compio::time::sleep(Duration::from_millis(600)).await;
    drop(maintaining);
    // Pauses of 4, 8, ... ms: nine readings of two voters, where an even pause
    // would make up to three hundred. A slow machine only makes fewer.
    let calls = exchange.0.get();
    assert!((2..=18).contains(&calls), "{calls} calls");
}
