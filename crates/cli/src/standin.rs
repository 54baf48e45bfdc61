//! `mangofront standin`: runs emulators of the systems that a daemon works with.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::pin::pin;

use compio::net::TcpListener;
use futures_util::future::{Either, join_all, select};
use mangofront_http::Shutdown;
use mangofront_settings::check::parse_value;
use mangofront_settings::process::LogSettings;
use mangofront_standin::{engine, platform, service, weights};
use pico_args::Arguments;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::check::{read, to_path};
use crate::error::CliError;
use crate::{block_on, finish, output};

/// POSIX number of the signal that a terminal's interrupt key sends.
const SIGINT: i32 = 2;

/// POSIX number of the signal that requests a graceful stop.
const SIGTERM: i32 = 15;

/// An emulator with its settings.
#[derive(Clone)]
enum Standin {
    Engine(engine::EngineSettings),
    Service(service::ServiceSettings),
    Platform(platform::PlatformSettings),
    Weights(weights::WeightsSettings),
}

pub(crate) fn run(mut arguments: Arguments) -> Result<(), CliError> {
    let kind = arguments.subcommand()?;
    let address: SocketAddr = arguments.value_from_str("--address")?;
    let count: u16 = arguments.opt_value_from_str("--count")?.unwrap_or(1);
    let file: Option<PathBuf> = arguments.opt_value_from_os_str("--settings", to_path)?;
    let overrides: Vec<String> = arguments.values_from_str("--set")?;
    finish(arguments)?;
    let settings = merge(file.as_deref(), &overrides)?;
    let standin = match kind.as_deref() {
        Some("engine") => Standin::Engine(deserialize(settings)?),
        Some("service") => Standin::Service(deserialize(settings)?),
        Some("platform") => Standin::Platform(deserialize(settings)?),
        Some("weights") => Standin::Weights(deserialize(settings)?),
        other => {
            let other = other.unwrap_or_default();
            return Err(CliError::UnknownCommand(format!("standin {other}")));
        }
    };
    mangofront_telemetry::logs::init(&LogSettings::default())?;
    block_on(serve(standin, address, count))
}

/// Runs `count` emulators with the same settings on consecutive ports until the process
/// receives a stop signal.
async fn serve(standin: Standin, address: SocketAddr, count: u16) -> Result<(), CliError> {
    let listeners = listen(address, count).await?;
    let (trigger, shutdown) = Shutdown::new();
    let mut stop = pin!(stop_signal());
    // The first poll installs the signal handlers, so that no signal is missed once
    // the lines below report that the process is listening.
    let _ = futures_util::poll!(stop.as_mut());
    for listener in &listeners {
        let bound = listener.local_addr();
        let bound = bound.map_err(|cause| CliError::Listen { address, cause })?;
        output::print(&format!("listening on {bound}\n"))?;
    }
    let listeners = listeners.into_iter();
    let serving =
        join_all(listeners.map(|listener| standin.clone().run(listener, shutdown.clone())));
    let serving = pin!(serving);
    if let Either::Left((_, serving)) = select(stop, serving).await {
        trigger.trigger();
        serving.await;
    }
    Ok(())
}

async fn listen(first: SocketAddr, count: u16) -> Result<Vec<TcpListener>, CliError> {
    let mut listeners = Vec::with_capacity(count.into());
    for offset in 0..count {
        let mut address = first;
        // With port 0 the system assigns a free port to each listener.
        if first.port() != 0 {
            address.set_port(first.port().saturating_add(offset));
        }
        let bound = TcpListener::bind(address).await;
        listeners.push(bound.map_err(|cause| CliError::Listen { address, cause })?);
    }
    Ok(listeners)
}

/// Waits for the first SIGTERM or SIGINT; a second one then ends the process.
async fn stop_signal() {
    use compio::signal::unix::signal;
    let terminated = pin!(signal(SIGTERM));
    let interrupted = pin!(signal(SIGINT));
    select(terminated, interrupted).await;
}

impl Standin {
    async fn run(self, listener: TcpListener, shutdown: Shutdown) {
        match self {
            Self::Engine(settings) => engine::run(listener, settings, shutdown).await,
            Self::Service(settings) => service::run(listener, settings, shutdown).await,
            Self::Platform(settings) => platform::run(listener, settings, shutdown).await,
            Self::Weights(settings) => weights::run(listener, settings, shutdown).await,
        }
    }
}

fn deserialize<T: DeserializeOwned>(settings: Value) -> Result<T, CliError> {
    serde_json::from_value(settings).map_err(CliError::InvalidSettings)
}

/// Settings from the file, or empty ones, with the overrides applied in order.
fn merge(file: Option<&Path>, overrides: &[String]) -> Result<Value, CliError> {
    let mut settings = match file {
        Some(path) => read_json(path)?,
        None => Value::Object(Map::new()),
    };
    for entry in overrides {
        let invalid = || CliError::InvalidOverride(entry.clone());
        let (name, value) = entry.split_once('=').ok_or_else(invalid)?;
        let slot = slot(&mut settings, name).ok_or_else(invalid)?;
        *slot = parse_override(value)?;
    }
    Ok(settings)
}

fn read_json(path: &Path) -> Result<Value, CliError> {
    let text = read(path)?;
    let value = parse_value(&path.display().to_string(), &text)?;
    Ok(value)
}

fn parse_override(text: &str) -> Result<Value, CliError> {
    if let Some(path) = text.strip_prefix('@') {
        return read_json(Path::new(path));
    }
    let value = serde_json::from_str(text);
    Ok(value.unwrap_or_else(|_| Value::String(text.to_owned())))
}

/// Value at the dotted path `name`, created if it does not exist. `None` if a key of
/// the path is empty, or if the path leads through a value that is not an object.
fn slot<'a>(settings: &'a mut Value, name: &str) -> Option<&'a mut Value> {
    let mut slot = settings;
    for key in name.split('.') {
        if key.is_empty() {
            return None;
        }
        if slot.is_null() {
            *slot = Value::Object(Map::new());
        }
        slot = slot.as_object_mut()?.entry(key).or_insert(Value::Null);
    }
    Some(slot)
}
