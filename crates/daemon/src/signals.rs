//! Signals that a daemon handles.
//!
//! The runtime restores the default action of a signal, which ends the process, as soon as no task
//! waits for it. A listener therefore holds a second registration for as long as it exists.

use std::io;

use compio::signal::unix;
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, ready};

use crate::error::DaemonError;

/// POSIX number of the signal that requests a reload of the settings file.
pub(crate) const SIGHUP: i32 = 1;

/// POSIX number of the signal that a terminal's interrupt key sends.
const SIGINT: i32 = 2;

/// POSIX number of the signal that requests a graceful stop.
const SIGTERM: i32 = 15;

/// Listens for one signal.
pub(crate) struct SignalListener {
    number: i32,
    /// Never polled again, so that the signal always has a handler.
    _registration: LocalBoxFuture<'static, io::Result<()>>,
    next: LocalBoxFuture<'static, io::Result<()>>,
}

impl SignalListener {
    /// Starts to listen for the signal with this number.
    pub(crate) fn new(number: i32) -> Result<Self, DaemonError> {
        Ok(Self {
            number,
            _registration: register(number)?,
            next: register(number)?,
        })
    }

    /// Waits for the next signal. One that arrives between two waits is not lost.
    pub(crate) async fn next(&mut self) -> Result<(), DaemonError> {
        let received = (&mut self.next).await;
        self.next = register(self.number)?;
        received.map_err(signal_error)
    }
}

/// Registers a handler of the signal, which the returned future waits for.
fn register(number: i32) -> Result<LocalBoxFuture<'static, io::Result<()>>, DaemonError> {
    let mut received = unix::signal(number).boxed_local();
    // The first poll registers the handler.
    match (&mut received).now_or_never() {
        Some(Ok(())) => Ok(ready(Ok(())).boxed_local()),
        Some(Err(cause)) => Err(signal_error(cause)),
        None => Ok(received),
    }
}

fn signal_error(cause: io::Error) -> DaemonError {
    DaemonError::Io {
        step: "wait for a signal",
        cause,
    }
}

/// Listens for the signals that request a stop.
pub(crate) struct StopSignalListener {
    terminate: SignalListener,
    interrupt: SignalListener,
}

impl StopSignalListener {
    /// Starts to listen for SIGTERM and SIGINT.
    pub(crate) fn new() -> Result<Self, DaemonError> {
        Ok(Self {
            terminate: SignalListener::new(SIGTERM)?,
            interrupt: SignalListener::new(SIGINT)?,
        })
    }

    /// Waits for one of the signals.
    pub(crate) async fn next(&mut self) -> Result<(), DaemonError> {
        let mut terminate = std::pin::pin!(self.terminate.next().fuse());
        let mut interrupt = std::pin::pin!(self.interrupt.next().fuse());
        futures_util::select! {
            received = terminate => received,
            received = interrupt => received,
        }
    }

    /// Ignores further signals, forever.
    pub(crate) async fn ignore(mut self) {
        loop {
            match self.next().await {
                Ok(()) => log::info!("daemon: stop signal ignored, as it is stopping"),
                Err(error) => {
                    log::warn!("daemon: stop signals are no longer ignored: {error}");
                    return;
                }
            }
        }
    }
}
