//! Orders without a daemon: one emulated engine gets a version and an adapter.
//!
//! The embedder knows who is alive and what is published; here both are made
//! up. It hands its view in several times a lease, for as long as it holds.

use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use compio::net::TcpListener;
use mangofront_http::Shutdown;
use mangofront_orders::{
    OrderKind, Orders, OrdersDaemon, OrdersEngine, OrdersOptions, OrdersView, Phase,
};
use mangofront_settings::published::{Fencing, Model};
use mangofront_standin::engine::{EngineSettings, run};
use mangofront_upstream::{Connections, ConnectionsOptions};

/// Pause between two views, well within the lease of 3 s.
const VIEW_PAUSE: Duration = Duration::from_millis(100);

#[compio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (_stop, stopped) = Shutdown::new();
    let settings = EngineSettings {
        fencing: Fencing::Checked,
        time_scale: 0.01,
        ..EngineSettings::default()
    };
    let _engine = compio::runtime::spawn(run(listener, settings, stopped));

    let options = OrdersOptions::builder(Connections::new(ConnectionsOptions::default()))
        .poll_interval(VIEW_PAUSE)
        .on_change(|change| {
            let what = match change.order.kind {
                OrderKind::Version => "another version",
                OrderKind::Adapter => "an adapter",
                OrderKind::Model | OrderKind::Role => "something else",
            };
            println!(
                "{} was ordered {what} ({}, token {}): {:?}",
                change.engine, change.order, change.token, change.outcome
            );
        })
        .build();
    let orders = Orders::new(options);
    loop {
        orders.set_view(view(address));
        compio::time::sleep(VIEW_PAUSE).await;
        let status = orders.status();
        let engine = status.engines.get("engine-0");
        if engine.is_some_and(|engine| engine.phase == Phase::Settled) {
            println!("engine-0 is in its desired state");
            return Ok(());
        }
    }
}

/// What this embedder knows: it is alone, with one engine.
fn view(address: SocketAddr) -> OrdersView {
    let zone = "hall-a".to_owned();
    let model = Model {
        fencing: Fencing::Checked,
        version: Some("2".to_owned()),
        adapters: vec!["toner".to_owned()],
    };
    OrdersView {
        own_instance: "entry-0".to_owned(),
        incarnation: 1,
        daemons: vec![OrdersDaemon {
            instance: "entry-0".to_owned(),
            availability_zone: zone.clone(),
        }],
        engines: vec![OrdersEngine {
            instance: "engine-0".to_owned(),
            model: "assist-llm".to_owned(),
            availability_zone: zone,
            address,
            leaving: false,
            role: None,
        }],
        revision: 7,
        models: BTreeMap::from([("assist-llm".to_owned(), model)]),
    }
}
