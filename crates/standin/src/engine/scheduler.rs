//! Tasks that step the batch and end expired work.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::batch::Step;
use super::output::{End, Output};
use super::sequence::{Kind, Rank};
use super::state::{Engine, State};

/// Interval between sweeps: the resolution of leases, resume windows and
/// deadlines.
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);

/// Upper bound on the lateness that later steps compensate for.
///
/// Timers wake up to a few milliseconds late; without compensation, an engine on
/// a scaled clock would be slower than its settings say. Time lost beyond this
/// bound, as by a suspended process, is not compensated for.
const MAX_CATCH_UP: Duration = Duration::from_millis(50);

/// Steps the batch until the engine is dropped.
pub(crate) async fn run_steps(engine: Rc<Engine>) {
    let mut due = Instant::now();
    loop {
        let seen = engine.work.generation();
        let step = engine.state.borrow_mut().batch.plan();
        if step.is_empty() {
            engine.after_change();
            engine.work.changed(seen).await;
            due = Instant::now();
            continue;
        }
        let began = Instant::now();
        due = due.max(began.checked_sub(MAX_CATCH_UP).unwrap_or(began));
        due += engine.duration(&step);
        sleep_until(due).await;
        engine.wait_while_frozen().await;
        engine.apply(&step, began.elapsed());
    }
}

/// Enforces leases, resume windows and deadlines until the engine is dropped.
pub(crate) async fn run_sweeps(engine: Rc<Engine>) {
    loop {
        compio::time::sleep(SWEEP_INTERVAL).await;
        engine.wait_while_frozen().await;
        engine.sweep();
    }
}

async fn sleep_until(due: Instant) {
    // Yields once even if `due` has passed, so that connection tasks can run.
    let remaining = due.saturating_duration_since(Instant::now());
    compio::time::sleep(remaining.max(Duration::from_micros(1))).await;
}

impl Engine {
    fn duration(&self, step: &Step) -> Duration {
        let slow_factor = self.state.borrow().switches.slow_factor;
        let cost_us = step.cost_us * self.settings.time_scale * slow_factor;
        Duration::try_from_secs_f64(cost_us / 1e6).unwrap_or_default()
    }

    fn apply(&self, step: &Step, elapsed: Duration) {
        let mut state = self.state.borrow_mut();
        let prefill_tokens = step.prefill_tokens();
        // The rate of a step with little prefill does not represent that of a
        // long prefill.
        let is_full = prefill_tokens * 2 >= self.settings.step.prefill_chunk_tokens;
        let observed_tokens = if is_full { prefill_tokens } else { 0 };
        state
            .load
            .observe_step(observed_tokens, !step.decodes.is_empty(), elapsed);
        for rank in &step.decodes {
            state.emit_token(*rank);
        }
        for (rank, tokens) in &step.prefills {
            if state.batch.record_prefill(*rank, *tokens) {
                state.finish_prefill(*rank);
            }
        }
        let crash_at = state.switches.crash_at_tokens;
        let crashes = crash_at.is_some_and(|tokens| state.counters.tokens >= tokens);
        drop(state);
        if crashes {
            self.crash();
        }
        self.after_change();
    }

    fn sweep(&self) {
        let now = Instant::now();
        let window = Duration::from_millis(self.settings.resume_window_ms);
        let tombstone_age = Duration::from_millis(self.settings.tombstone_ms);
        let mut state = self.state.borrow_mut();
        for id in state.reservations.expired(now) {
            log::info!("standin engine: lease of reservation {id} expired");
            state.drop_reservation(&id);
        }
        state.end_where(End::Deadline, |sequence| {
            sequence.deadline.is_some_and(|deadline| deadline <= now)
        });
        let unread = |since: Option<Instant>| {
            since.is_some_and(|since| now.saturating_duration_since(since) >= window)
        };
        state.end_where(End::Cancelled, |sequence| {
            unread(sequence.output.unread_since())
        });
        state.remove_unread_streams(unread, now);
        state.tombstones.retain(|_, tombstone| {
            now.saturating_duration_since(tombstone.created_at) < tombstone_age
        });
        state.reservations.remove_tombstones(tombstone_age, now);
        drop(state);
        self.after_change();
        self.work.notify();
    }
}

impl State {
    fn finish_prefill(&mut self, rank: Rank) {
        let kind = self.batch.running.get(&rank).map(|sequence| sequence.kind);
        match kind {
            Some(Kind::Answer) => self.emit_token(rank),
            Some(Kind::Segment) => self.end_sequence(rank, End::Finished),
            None => {}
        }
    }

    fn emit_token(&mut self, rank: Rank) {
        let Some(output) = self.batch.record_decode(rank) else {
            return;
        };
        self.counters.tokens += 1;
        if output.produced.get() == output.plan.length_tokens {
            self.end_sequence(rank, End::Finished);
        } else {
            output.changed.notify();
        }
    }

    /// Removes ended streams without a reader for the resume window.
    fn remove_unread_streams(&mut self, unread: impl Fn(Option<Instant>) -> bool, now: Instant) {
        let is_expired =
            |output: &Output| output.end.get().is_some() && unread(output.unread_since());
        let expired = self.streams.extract_if(|_, output| is_expired(output));
        let expired: Vec<Rc<Output>> = expired.map(|(_, output)| output).collect();
        for output in expired {
            let key = (output.request.clone(), output.attempt);
            self.attempts.remove(&key);
            self.add_tombstone(key, true, now);
        }
    }
}
