//! Single-threaded notification of changes to shared state.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// Change counter on which tasks can wait.
///
/// A waiter reads [`Notify::generation`] before the state and then waits for a
/// later generation, so a change between the read and the wait is not missed.
#[derive(Debug, Default)]
pub(crate) struct Notify {
    generation: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Notify {
    /// Number of changes so far.
    pub(crate) fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Records a change and wakes all waiters.
    pub(crate) fn notify(&self) {
        self.generation.set(self.generation.get() + 1);
        let wakers = self.wakers.take();
        for waker in wakers {
            waker.wake();
        }
    }

    /// Waits for a change after generation `seen`.
    pub(crate) async fn changed(&self, seen: u64) {
        poll_fn(|context| {
            if self.generation.get() != seen {
                return Poll::Ready(());
            }
            let mut wakers = self.wakers.borrow_mut();
            if !wakers.iter().any(|known| known.will_wake(context.waker())) {
                wakers.push(context.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }
}
