//! Signal that tells a server to stop.

use futures_util::FutureExt;
use futures_util::future::Shared;

/// Receiver of a stop signal. Clones receive the same signal.
#[derive(Debug, Clone)]
pub struct Shutdown(Shared<futures_channel::oneshot::Receiver<()>>);

/// Sender of the signal of a [`Shutdown`]: sends it when used or dropped.
#[derive(Debug)]
pub struct ShutdownTrigger(futures_channel::oneshot::Sender<()>);

impl Shutdown {
    /// Creates a signal and its trigger.
    #[must_use]
    pub fn new() -> (ShutdownTrigger, Self) {
        let (sender, receiver) = futures_channel::oneshot::channel();
        (ShutdownTrigger(sender), Self(receiver.shared()))
    }

    /// Waits for the signal.
    pub async fn wait(&self) {
        // A dropped trigger has the same meaning as a sent signal.
        let _ = self.0.clone().await;
    }

    /// Whether the signal was sent.
    #[must_use]
    pub fn is_triggered(&self) -> bool {
        self.0.peek().is_some() || self.0.clone().now_or_never().is_some()
    }
}

impl ShutdownTrigger {
    /// Sends the signal.
    pub fn trigger(self) {
        // Sending fails only if the server has already ended.
        let _ = self.0.send(());
    }
}
