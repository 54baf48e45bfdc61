//! Results of nng's operations, brought to the runtime's thread.
//!
//! nng calls back on threads of its own. A callback here only pushes the result
//! into one channel for all operations. One task reads it and hands each result
//! to whoever waits, on the runtime's own thread. Two traps make it so:
//!
//! - compio holds at most 64 wakes from other threads, and a further one spins
//!   until the runtime takes them. With a channel for each operation, nng's few
//!   threads all spun while the runtime waited for one of them to close a
//!   socket. A channel's reader is woken once until it reads again, so that now
//!   one wake at a time is open.
//! - Were the callback's handle to its operation the last one, nng would wait on
//!   its own thread for the callback that it is running. So the callback drops
//!   its handle first, and [`Operation`] on drop waits until none runs.

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

/// Who waits for which operation; touched on the runtime's thread alone.
type Waiting = Rc<RefCell<HashMap<OperationId, oneshot::Sender<AioResult>>>>;

/// The way from nng's threads to the runtime's.
#[derive(Debug)]
pub(crate) struct Completions {
    sender: UnboundedSender<(OperationId, AioResult)>,
    waiting: Waiting,
    next: Cell<OperationId>,
}

impl Completions {
    /// Starts the task that hands results on; it ends with the last operation.
    pub(crate) fn start() -> Rc<Self> {
        let (sender, results) = unbounded();
        let waiting = Waiting::default();
        spawn(hand_on(results, Rc::clone(&waiting))).detach();
        Rc::new(Self {
            sender,
            waiting,
            next: Cell::new(0),
        })
    }

    /// An idle operation.
    pub(crate) fn operation(self: &Rc<Self>) -> nng::Result<Operation> {
        let id = self.next.get();
        self.next.set(id + 1);
        let sender = self.sender.clone();
        let aio = Aio::new(move |aio, result| {
            drop(aio);
            // The reader is gone only when the runtime is.
            let _ = sender.unbounded_send((id, result));
        })?;
        Ok(Operation {
            id,
            aio,
            completions: Rc::clone(self),
        })
    }
}

async fn hand_on(mut results: UnboundedReceiver<(OperationId, AioResult)>, waiting: Waiting) {
    while let Some((id, result)) = results.next().await {
        let waiter = waiting.borrow_mut().remove(&id);
        // Without a waiter the operation was given up, and so is its result.
        if let Some(waiter) = waiter {
            let _ = waiter.send(result);
        }
    }
}

/// One asynchronous operation at a time.
#[derive(Debug)]
pub(crate) struct Operation {
    id: OperationId,
    aio: Aio,
    completions: Rc<Completions>,
}

impl Operation {
    /// Bounds the next operations.
    pub(crate) fn set_timeout(&self, timeout: Option<Duration>) -> nng::Result<()> {
        self.aio.set_timeout(timeout)
    }

    /// Sends on a context.
    pub(crate) async fn send(&self, context: &Context, message: Message) -> nng::Result<()> {
        let result = self.expect();
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
        let result = self.expect();
        context.recv(&self.aio)?;
        match result.await {
            Ok(AioResult::Recv(result)) => result,
            _ => Err(nng::Error::IncorrectState),
        }
    }

    fn expect(&self) -> oneshot::Receiver<AioResult> {
        let (sender, receiver) = oneshot::channel();
        self.completions
            .waiting
            .borrow_mut()
            .insert(self.id, sender);
        receiver
    }
}

impl Drop for Operation {
    fn drop(&mut self) {
        self.completions.waiting.borrow_mut().remove(&self.id);
        self.aio.cancel();
        self.aio.wait();
    }
}
