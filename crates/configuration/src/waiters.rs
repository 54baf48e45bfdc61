//! Tasks that wait for a change.

use std::cell::RefCell;

use futures_channel::oneshot;

/// Any number of waiting tasks, all woken by the next change.
#[derive(Debug, Default)]
pub(crate) struct Waiters(RefCell<Vec<oneshot::Sender<()>>>);

impl Waiters {
    /// Resolves at the next [`Self::wake`].
    pub(crate) fn next(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut waiting = self.0.borrow_mut();
        // Waits that were dropped must not pile up between two changes.
        waiting.retain(|waiting| !waiting.is_canceled());
        waiting.push(sender);
        receiver
    }

    /// Wakes every task that waits.
    pub(crate) fn wake(&self) {
        let waiting = self.0.take();
        for sender in waiting {
            // A wait that was dropped needs no news.
            let _ = sender.send(());
        }
    }
}
