//! Signal by which a server is told to stop.

use futures_util::FutureExt;
use futures_util::future::Shared;

/// Signal that a server should stop.
#[derive(Debug, Clone)]
pub struct Shutdown(Shared<futures_channel::oneshot::Receiver<()>>);

/// The other end of a [`Shutdown`]: fires when used or dropped.
#[derive(Debug)]
pub struct ShutdownTrigger(futures_channel::oneshot::Sender<()>);

impl Shutdown {
    /// A signal and its trigger.
    #[must_use]
    pub fn new() -> (ShutdownTrigger, Self) {
        let (sender, receiver) = futures_channel::oneshot::channel();
        (ShutdownTrigger(sender), Self(receiver.shared()))
    }

    /// Waits for the signal.
    pub async fn wait(&self) {
        // Both a sent signal and a dropped trigger mean the same.
        let _ = self.0.clone().await;
    }

    /// Whether the signal was given.
    #[must_use]
    pub fn is_triggered(&self) -> bool {
        self.0.peek().is_some() || self.0.clone().now_or_never().is_some()
    }
}

impl ShutdownTrigger {
    /// Gives the signal.
    pub fn trigger(self) {
        // A server that is gone already needs no signal.
        let _ = self.0.send(());
    }
}
