//! Wakes whoever waits for something to happen.

use std::cell::RefCell;
use std::time::Duration;

use futures_channel::oneshot;

/// Tasks that wait, each until the next call.
#[derive(Debug, Default)]
pub(crate) struct Wakeup(RefCell<Vec<oneshot::Sender<()>>>);

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
