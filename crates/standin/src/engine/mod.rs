//! Emulated model engine.
//!
//! [`run`] serves the engine's side of `docs/interfaces.md`. One task steps the
//! batch, one ends expired work, and each connection has its own task. Several
//! engines may run in one runtime; each has its own state.

use std::rc::Rc;

use compio::net::TcpListener;
use compio::runtime::JoinHandle;
use mangofront_http::{Shutdown, StopSignals, serve_abortable};

mod batch;
mod cache_events;
mod control;
mod error_response;
mod head;
mod load;
mod memory;
mod orders;
mod output;
mod refusal;
mod reports;
mod reservations;
mod routes;
mod scheduler;
mod sequence;
mod settings;
mod state;
mod stream;
mod submit;
mod transfer;

pub use settings::{EngineRole, EngineSettings, StepSettings};

use crate::limits::serve_limits;
use state::Engine;

/// Serves an emulated engine on `listener`.
///
/// Returns after `shutdown`, once the answers in progress have ended, or
/// immediately when a crash is requested through `POST /control`, which drops
/// all connections.
pub async fn run(listener: TcpListener, settings: EngineSettings, shutdown: Shutdown) {
    let (engine, abort) = Engine::new(settings);
    let tasks = Tasks::start(&engine);
    let handler = move |request, _peer| {
        let answer = routes::answer(Rc::clone(&engine), request);
        async move { Ok(answer.await) }
    };
    let signals = StopSignals { shutdown, abort };
    serve_abortable(listener, serve_limits(), handler, signals).await;
    drop(tasks);
}

/// Background tasks of an engine, cancelled on drop.
struct Tasks {
    engine: Rc<Engine>,
    _steps: JoinHandle<()>,
    _sweeps: JoinHandle<()>,
}

impl Tasks {
    fn start(engine: &Rc<Engine>) -> Self {
        Self {
            engine: Rc::clone(engine),
            _steps: compio::runtime::spawn(scheduler::run_steps(Rc::clone(engine))),
            _sweeps: compio::runtime::spawn(scheduler::run_sweeps(Rc::clone(engine))),
        }
    }
}

impl Drop for Tasks {
    fn drop(&mut self) {
        // Dropping a task's handle cancels the task.
        drop(self.engine.load_tasks.take());
    }
}
