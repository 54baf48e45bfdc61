//! Notification of tasks that wait for a change.

use std::cell::RefCell;

use futures_channel::oneshot;

/// Wakes any number of waiting tasks at the next change.
#[derive(Debug, Default)]
pub(crate) struct Waiters(RefCell<Vec<oneshot::Sender<()>>>);

impl Waiters {
    /// Resolves at the next [`Self::wake`].
    pub(crate) fn next(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut waiting = self.0.borrow_mut();
        // Dropped receivers must not accumulate between two changes.
        waiting.retain(|waiting| !waiting.is_canceled());
        waiting.push(sender);
        receiver
    }

    /// Wakes every task that waits.
    pub(crate) fn wake(&self) {
        let waiting = self.0.take();
        for sender in waiting {
            // A dropped receiver needs no notification.
            let _ = sender.send(());
        }
    }
}
