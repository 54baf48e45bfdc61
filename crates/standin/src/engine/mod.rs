//! Emulated model engine.
//!
//! [`run`] serves the engine's side of `docs/interfaces.md`. One task steps the
//! batch, one ends what has run out, and each connection has its own. Several
//! engines may run in one runtime; each has its own state.

use std::rc::Rc;

use compio::net::TcpListener;
use compio::runtime::JoinHandle;
use mangofront_http::{Shutdown, StopSignals, serve_abortable};

mod batch;
mod cache_events;
mod control;
mod head;
mod load;
mod memory;
mod orders;
mod output;
mod refusal;
mod rejection;
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

use crate::limits::LIMITS;
use state::Engine;

/// Serves an emulated engine on `listener`.
///
/// Returns after `shutdown`, once the answers in progress are ended, or at
/// once when its switch lets it die; then all its connections are cut.
pub async fn run(listener: TcpListener, settings: EngineSettings, shutdown: Shutdown) {
    let (engine, death) = Engine::new(settings);
    let tasks = Tasks::start(&engine);
    let handler = move |request, _peer| {
        let answer = routes::answer(Rc::clone(&engine), request);
        async move { Ok(answer.await) }
    };
    let ends = StopSignals {
        shutdown,
        abort: death,
    };
    serve_abortable(listener, LIMITS, handler, ends).await;
    drop(tasks);
}

/// Tasks of an engine; they end when this is dropped.
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
        // Dropping a task's handle ends the task.
        drop(self.engine.loads.take());
    }
}
