//! Wakes whoever waits for something to happen.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use futures_channel::oneshot;

/// Tasks that wait, each until the next call.
#[derive(Debug, Default)]
pub(crate) struct Wakeup(RefCell<Vec<oneshot::Sender<()>>>);

/// A task that is called, at once or as soon as it waits.
#[derive(Debug, Default)]
pub(crate) struct Call {
    waiting: Wakeup,
    is_due: Cell<bool>,
}

impl Wakeup {
    /// Wakes all that wait by now.
    pub(crate) fn wake(&self) {
        for waiting in self.0.take() {
            // It may have gone on by itself.
            let _ = waiting.send(());
        }
    }

    /// Waits to be woken, for at most `time`.
    pub(crate) async fn wait(&self, time: Duration) {
        let (wake, woken) = oneshot::channel();
        self.0.borrow_mut().push(wake);
        // The end of the time and the waking lead to the same.
        let _ = compio::time::timeout(time, woken).await;
        self.0.borrow_mut().retain(|waiting| !waiting.is_canceled());
    }
}

impl Call {
    /// Calls the task.
    pub(crate) fn call(&self) {
        self.is_due.set(true);
        self.waiting.wake();
    }

    /// Waits for a call since the last wait, for at most `time`.
    pub(crate) async fn wait(&self, time: Duration) {
        if !self.is_due.get() {
            self.waiting.wait(time).await;
        }
        self.is_due.set(false);
    }
}
