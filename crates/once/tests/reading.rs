//! A voter that may not vote yet reads the other voters with growing pauses.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use mangofront_once::{ListedInstance, Once, OnceOptions, Transport, TransportError, VoterView};
use mangofront_settings::ids::InstanceId;

/// Counts the calls; each is answered with an empty message.
#[derive(Debug, Default)]
struct UselessTransport(Cell<u32>);

impl Transport for UselessTransport {
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
async fn pauses_grow_while_reads_make_no_progress() {
    let transport = Rc::new(UselessTransport::default());
    let options = OnceOptions::new("entry-0".to_owned(), 1).poll_interval(Duration::from_millis(2));
    let dyn_transport: Rc<dyn Transport> = Rc::<UselessTransport>::clone(&transport);
    let once = Once::new(options, dyn_transport);
    let instance = |number: u32| ListedInstance {
        instance: format!("entry-{number}"),
        availability_zone: "hall-a".to_owned(),
    };
    once.set_view(&VoterView {
        list_revision: 1,
        listed: (0..3).map(instance).collect(),
    });
    let maintenance = compio::runtime::spawn(once.maintain());
    compio::time::sleep(Duration::from_millis(600)).await;
    drop(maintenance);
    // With pauses of 4, 8, ... ms, two voters are read at most nine times; with a
    // constant pause it would be up to 300 times. A slow machine makes fewer reads.
    let calls = transport.0.get();
    assert!((2..=18).contains(&calls), "{calls} calls");
}
