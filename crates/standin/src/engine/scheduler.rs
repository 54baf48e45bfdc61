//! The task that steps the batch, and the one that ends what has run out.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::batch::Step;
use super::output::{End, Output};
use super::sequence::{Kind, Rank};
use super::state::{Engine, State};

/// Pause of the sweeper, the resolution of leases, windows and deadlines.
const SWEEP_PAUSE: Duration = Duration::from_millis(20);

/// How late a step may end and still be made up for by the next ones.
///
/// Timers wake late by up to a few milliseconds; without making up for it, an
/// engine on a scaled clock would be slower than its settings say. A process
/// that was stopped for longer than this has lost that time.
const LATENESS_LIMIT: Duration = Duration::from_millis(50);

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
        due = due.max(began.checked_sub(LATENESS_LIMIT).unwrap_or(began));
        due += engine.duration(&step);
        sleep_until(due).await;
        engine.thawed().await;
        engine.apply(&step, began.elapsed());
    }
}

/// Ends leases, windows and deadlines until the engine is dropped.
pub(crate) async fn run_sweeps(engine: Rc<Engine>) {
    loop {
        compio::time::sleep(SWEEP_PAUSE).await;
        engine.thawed().await;
        engine.sweep();
    }
}

async fn sleep_until(due: Instant) {
    // A passed moment still waits once, so that connections get their turn.
    let left = due.saturating_duration_since(Instant::now());
    compio::time::sleep(left.max(Duration::from_micros(1))).await;
}

impl Engine {
    fn duration(&self, step: &Step) -> Duration {
        let slow_factor = self.state.borrow().switches.slow_factor;
        let cost_us = step.cost_us * self.settings.time_scale * slow_factor;
        Duration::try_from_secs_f64(cost_us / 1e6).unwrap_or_default()
    }

    fn apply(&self, step: &Step, took: Duration) {
        let mut state = self.state.borrow_mut();
        let prefill_tokens = step.prefill_tokens();
        // A step with little prefill tells nothing of the rate at which a
        // long one would go.
        let is_full = prefill_tokens * 2 >= self.settings.step.prefill_chunk_tokens;
        let observed_tokens = if is_full { prefill_tokens } else { 0 };
        state
            .load
            .observe_step(observed_tokens, !step.decodes.is_empty(), took);
        for rank in &step.decodes {
            state.yield_token(*rank);
        }
        for (rank, tokens) in &step.prefills {
            if state.batch.prefilled(*rank, *tokens) {
                state.finish_prefill(*rank);
            }
        }
        let dies_at = state.switches.die_at_tokens;
        let dies = dies_at.is_some_and(|tokens| state.counters.tokens >= tokens);
        drop(state);
        if dies {
            self.die();
        }
        self.after_change();
    }

    fn sweep(&self) {
        let now = Instant::now();
        let window = Duration::from_millis(self.settings.resume_window_ms);
        let tombstone = Duration::from_millis(self.settings.tombstone_ms);
        let mut state = self.state.borrow_mut();
        for id in state.reservations.expired(now) {
            log::info!("standin engine: lease of reservation {id} ran out");
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
        state.forget_unread(unread, now);
        state
            .tombstones
            .retain(|_, kept| now.saturating_duration_since(kept.buried_at) < tombstone);
        state.reservations.forget_tombstones(tombstone, now);
        drop(state);
        self.after_change();
        self.work.notify();
    }
}

impl State {
    fn finish_prefill(&mut self, rank: Rank) {
        let kind = self.batch.running.get(&rank).map(|sequence| sequence.kind);
        match kind {
            Some(Kind::Answer) => self.yield_token(rank),
            Some(Kind::Segment) => self.end_sequence(rank, End::Finished),
            None => {}
        }
    }

    fn yield_token(&mut self, rank: Rank) {
        let Some(output) = self.batch.decoded(rank) else {
            return;
        };
        self.counters.tokens += 1;
        if output.produced.get() == output.plan.length_tokens {
            self.end_sequence(rank, End::Finished);
        } else {
            output.changed.notify();
        }
    }

    /// Forgets ended streams that nobody came back for.
    fn forget_unread(&mut self, unread: impl Fn(Option<Instant>) -> bool, now: Instant) {
        let is_over = |output: &Output| output.end.get().is_some() && unread(output.unread_since());
        let over = self.streams.extract_if(|_, output| is_over(output));
        let over: Vec<Rc<Output>> = over.map(|(_, output)| output).collect();
        for output in over {
            let key = (output.request.clone(), output.attempt);
            self.attempts.remove(&key);
            self.bury(key, true, now);
        }
    }
}
