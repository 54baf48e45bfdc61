//! Wake-up of the tasks of one thread that wait for a change of shared state.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// Counter of changes that tasks can wait on.
///
/// A waiter reads [`Notify::generation`] before it looks at the state and then
/// waits for a later one, so a change between the look and the wait is seen.
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

    /// Counts a change and wakes every waiter.
    pub(crate) fn notify(&self) {
        self.generation.set(self.generation.get() + 1);
        let wakers = self.wakers.take();
        for waker in wakers {
            waker.wake();
        }
    }

    /// Waits until a change after generation `seen`.
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
