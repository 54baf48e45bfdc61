//! Notification between tasks of one thread.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use futures_channel::oneshot;

/// Tasks that wait for the next wakeup.
#[derive(Debug, Default)]
pub(crate) struct Waiters(RefCell<Vec<oneshot::Sender<()>>>);

/// Wakes a task that waits, or makes its next wait return immediately.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    waiters: Waiters,
    is_raised: Cell<bool>,
}

impl Waiters {
    /// Wakes all tasks that are waiting.
    pub(crate) fn wake_all(&self) {
        for sender in self.0.take() {
            // The task may have stopped waiting.
            let _ = sender.send(());
        }
    }

    /// Waits for the next wakeup, for at most `time`.
    pub(crate) async fn wait(&self, time: Duration) {
        let (sender, receiver) = oneshot::channel();
        self.0.borrow_mut().push(sender);
        // A timeout and a wakeup have the same effect.
        let _ = compio::time::timeout(time, receiver).await;
        self.0.borrow_mut().retain(|sender| !sender.is_canceled());
    }
}

impl Signal {
    /// Wakes the task.
    pub(crate) fn raise(&self) {
        self.is_raised.set(true);
        self.waiters.wake_all();
    }

    /// Waits until the signal was raised since the last wait, for at most `time`.
    pub(crate) async fn wait(&self, time: Duration) {
        if !self.is_raised.get() {
            self.waiters.wait(time).await;
        }
        self.is_raised.set(false);
    }
}
