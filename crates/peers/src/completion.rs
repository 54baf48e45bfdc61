//! Delivers the results of nng's operations to the runtime's thread.
//!
//! nng runs callbacks on its own threads. The callback here only sends the result to one
//! channel that all operations share. One task receives from it and delivers each result
//! to its waiter, on the runtime's own thread. There are two reasons for this design:
//!
//! - compio queues at most 64 wakes from other threads; a thread with a further one spins
//!   until the runtime has processed them. With a channel for each operation, all of
//!   nng's few threads were spinning while the runtime waited for one of them to close a
//!   socket. The receiver of a channel is woken only once until it receives again, so
//!   that with one channel at most one wake is outstanding.
//! - If the callback held the last handle to its operation, nng would wait on its own
//!   thread for the callback that it is running. So the callback drops its handle first,
//!   and [`Operation`] waits on drop until no callback runs.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use compio::runtime::spawn;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_channel::oneshot;
use futures_util::StreamExt;
use nng::{Aio, AioResult, Context, Message};

/// Number of an operation.
type OperationId = u64;

/// The waiter for each operation; accessed on the runtime's thread only.
type Waiters = Rc<RefCell<HashMap<OperationId, oneshot::Sender<AioResult>>>>;

/// Channel from nng's threads to the runtime's thread.
#[derive(Debug)]
pub(crate) struct Completions {
    sender: UnboundedSender<(OperationId, AioResult)>,
    waiters: Waiters,
    next: Cell<OperationId>,
}

impl Completions {
    /// Starts the task that delivers the results; it ends with the last operation.
    pub(crate) fn start() -> Rc<Self> {
        let (sender, results) = unbounded();
        let waiters = Waiters::default();
        spawn(dispatch(results, Rc::clone(&waiters))).detach();
        Rc::new(Self {
            sender,
            waiters,
            next: Cell::new(0),
        })
    }

    /// A new operation that isn't running.
    pub(crate) fn operation(self: &Rc<Self>) -> nng::Result<Operation> {
        let id = self.next.get();
        self.next.set(id + 1);
        let sender = self.sender.clone();
        let aio = Aio::new(move |aio, result| {
            drop(aio);
            // The receiver is dropped only together with the runtime.
            let _ = sender.unbounded_send((id, result));
        })?;
        Ok(Operation {
            id,
            aio,
            completions: Rc::clone(self),
        })
    }
}

async fn dispatch(mut results: UnboundedReceiver<(OperationId, AioResult)>, waiters: Waiters) {
    while let Some((id, result)) = results.next().await {
        let waiter = waiters.borrow_mut().remove(&id);
        // An operation without a waiter was cancelled, so its result is dropped.
        if let Some(waiter) = waiter {
            let _ = waiter.send(result);
        }
    }
}

/// An nng operation; runs one send or receive at a time.
#[derive(Debug)]
pub(crate) struct Operation {
    id: OperationId,
    aio: Aio,
    completions: Rc<Completions>,
}

impl Operation {
    /// Sets the timeout of the sends and receives that follow.
    pub(crate) fn set_timeout(&self, timeout: Option<Duration>) -> nng::Result<()> {
        self.aio.set_timeout(timeout)
    }

    /// Sends on a context.
    pub(crate) async fn send(&self, context: &Context, message: Message) -> nng::Result<()> {
        let result = self.register();
        context
            .send(&self.aio, message)
            .map_err(|(_, cause)| cause)?;
        match result.await {
            Ok(AioResult::Send(Ok(()))) => Ok(()),
            Ok(AioResult::Send(Err((_, cause)))) => Err(cause),
            _ => Err(nng::Error::IncorrectState),
        }
    }

    /// Receives on a context.
    pub(crate) async fn receive(&self, context: &Context) -> nng::Result<Message> {
        let result = self.register();
        context.recv(&self.aio)?;
        match result.await {
            Ok(AioResult::Recv(result)) => result,
            _ => Err(nng::Error::IncorrectState),
        }
    }

    fn register(&self) -> oneshot::Receiver<AioResult> {
        let (sender, receiver) = oneshot::channel();
        self.completions
            .waiters
            .borrow_mut()
            .insert(self.id, sender);
        receiver
    }
}

impl Drop for Operation {
    fn drop(&mut self) {
        self.completions.waiters.borrow_mut().remove(&self.id);
        self.aio.cancel();
        self.aio.wait();
    }
}
