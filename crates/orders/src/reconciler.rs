//! The task of one engine: reads its state and sends the next missing order.

use std::rc::Rc;
use std::time::Instant;

use compio::runtime::spawn;
use futures_channel::oneshot;
use mangofront_settings::ids::InstanceId;
use mangofront_settings::published::Fencing;

use crate::backoff::RepeatLimiter;
use crate::change::{OrderChange, OrderOutcome};
use crate::client;
use crate::clock::Timestamp;
use crate::desired::DesiredState;
use crate::engine_states::engine_states;
use crate::error::OrderError;
use crate::message::{EngineReport, LoadState, Order};
use crate::shared::Shared;
use crate::status::{EngineStatus, Phase};
use crate::token::FencingToken;
use crate::turn::may_start_load;
use crate::view::{OrdersEngine, OrdersView};

/// Keeps one engine in its desired state until the task is dropped.
pub(crate) async fn reconcile_engine(shared: Rc<Shared>, engine: InstanceId) {
    let mut reconciler = Reconciler {
        responsible_since: Instant::now(),
        engine,
        repeat_limiter: RepeatLimiter::default(),
        last_order: None,
        loading_since: None,
        shared,
    };
    loop {
        let status = reconciler.reconcile().await;
        reconciler.publish_status(status);
        compio::time::sleep(reconciler.shared.options.poll_interval).await;
    }
}

/// State of the task of one engine, created when the responsibility for the engine
/// begins.
struct Reconciler {
    shared: Rc<Shared>,
    engine: InstanceId,
    responsible_since: Instant,
    repeat_limiter: RepeatLimiter,
    /// Last order sent, and its token.
    last_order: Option<(Order, FencingToken)>,
    loading_since: Option<Instant>,
}

/// View and engine state on which one step is based.
struct Observation {
    view: Rc<OrdersView>,
    engine: OrdersEngine,
    report: EngineReport,
    read_at: Timestamp,
}

impl Reconciler {
    async fn reconcile(&mut self) -> EngineStatus {
        let observation = match self.observe().await {
            Ok(observation) => observation,
            Err(phase) => return EngineStatus { phase, order: None },
        };
        self.record_report(&observation);
        let desired = DesiredState::of(&observation.view, &observation.engine);
        let order = desired.and_then(|desired| match observation.report.state {
            LoadState::Loading => desired.order_while_loading(&observation.report),
            LoadState::Ready => desired.next_order(&observation.report),
        });
        let phase = match &order {
            Some(order) => self.try_send(&observation, order).await,
            None if observation.report.state == LoadState::Loading => Phase::Loading,
            None => Phase::Settled,
        };
        let order = order.map(|order| order.to_string());
        EngineStatus { phase, order }
    }

    /// Reads the engine's state under a valid view.
    async fn observe(&self) -> Result<Observation, Phase> {
        let view = self.shared.fresh_view().ok_or(Phase::ViewStale)?;
        let engine = view.engine(&self.engine).cloned().ok_or(Phase::New)?;
        let options = &self.shared.options;
        let read_at = Timestamp::now();
        let deadline = Instant::now() + options.order_timeout;
        let read = client::read_state(&options.connections, &engine.target(), deadline).await;
        match read {
            Ok(report) => Ok(Observation {
                view,
                engine,
                report,
                read_at,
            }),
            Err(error) => {
                log::debug!("orders: {error}");
                Err(Phase::Unreachable)
            }
        }
    }

    fn record_report(&mut self, observation: &Observation) {
        let report = &observation.report;
        self.repeat_limiter
            .set_scope(report.incarnation, observation.view.revision);
        self.loading_since = match report.state {
            LoadState::Loading => self.loading_since.or_else(|| Some(Instant::now())),
            LoadState::Ready => None,
        };
    }

    /// Sends the missing order, unless something blocks it.
    async fn try_send(&mut self, observation: &Observation, order: &Order) -> Phase {
        if let Some(phase) = self.blocking_phase(observation, order).await {
            return phase;
        }
        match self.send(observation, order).await {
            Ok(OrderOutcome::Taken { .. }) => Phase::Sent,
            Ok(OrderOutcome::Refused { .. } | OrderOutcome::Unknown { .. }) => Phase::Failed,
            Err(OrderError::Outdated { .. }) => Phase::Outdated,
            Err(OrderError::LeaseLost { .. }) => Phase::ViewStale,
            Err(error) => {
                log::warn!("orders: {error}");
                Phase::Failed
            }
        }
    }

    async fn blocking_phase(&self, observation: &Observation, order: &Order) -> Option<Phase> {
        let options = &self.shared.options;
        if self.must_wait_for_load(observation, order) {
            return Some(Phase::Loading);
        }
        let model = observation.view.models.get(&observation.engine.model)?;
        let waits = match model.fencing {
            // The engine itself refuses late orders of the former daemon.
            Fencing::Checked => false,
            Fencing::Ignored => self.responsible_since.elapsed() < options.takeover_wait,
        };
        if waits {
            return Some(Phase::WaitingForPredecessor);
        }
        let backoff = (options.backoff_base, options.backoff_cap);
        if !self.repeat_limiter.may_send(order, backoff, Instant::now()) {
            return Some(Phase::BackingOff);
        }
        let needs_no_turn = self.loading_since.is_some() || !order.kind.loads();
        if needs_no_turn || self.has_turn(observation).await {
            return None;
        }
        Some(Phase::WaitingForTurn)
    }

    /// Whether the engine may already be loading what `order` asks for.
    ///
    /// An engine does not report what it loads. A load that was ordered under an
    /// older configuration is superseded at once, a load of unknown origin only
    /// after the loading limit.
    fn must_wait_for_load(&self, observation: &Observation, order: &Order) -> bool {
        let Some(since) = self.loading_since else {
            return false;
        };
        if !order.kind.loads() || since.elapsed() >= self.shared.options.loading_limit {
            return false;
        }
        let last_order = self.last_order.as_ref();
        if last_order.is_some_and(|(last, _)| last == order) {
            return true;
        }
        let ordered_under = self.highest_token(observation).map(|token| token.revision);
        ordered_under.is_none_or(|revision| revision >= observation.view.revision)
    }

    async fn has_turn(&self, observation: &Observation) -> bool {
        let model = &observation.engine.model;
        let states = engine_states(&self.shared, &observation.view, model).await;
        may_start_load(&states, &self.engine, self.shared.options.limits)
    }

    fn highest_token(&self, observation: &Observation) -> Option<FencingToken> {
        let last_sent = self.last_order.as_ref().map(|(_, token)| *token);
        observation.report.highest_token.max(last_sent)
    }

    async fn send(
        &mut self,
        observation: &Observation,
        order: &Order,
    ) -> Result<OrderOutcome, OrderError> {
        let (revision, incarnation) = (observation.view.revision, observation.view.incarnation);
        let highest = self.highest_token(observation);
        let token = FencingToken::next(highest, revision, incarnation).map_err(|cause| {
            let peer = self.engine.clone();
            OrderError::Outdated { peer, cause }
        })?;
        let target = observation.engine.target();
        let request = client::request(&target, order, token)?;
        let deadline = Instant::now() + self.shared.options.order_timeout;
        let connections = &self.shared.options.connections;
        let opened = client::open(connections, &target, deadline).await?;
        if !self
            .shared
            .may_send(&self.engine, revision, observation.read_at)
        {
            let peer = self.engine.clone();
            return Err(OrderError::LeaseLost { peer });
        }
        // From here on the order may reach the engine, so its outcome is reported
        // even if this task is dropped in the meantime.
        self.repeat_limiter.record_sent(order, Instant::now());
        self.last_order = Some((order.clone(), token));
        self.shared
            .cached_reports
            .borrow_mut()
            .remove(&observation.engine.model);
        let (sender, receiver) = oneshot::channel();
        let (engine, order) = (self.engine.clone(), order.clone());
        let on_change = Rc::clone(&self.shared.options.on_change);
        spawn(async move {
            let outcome = client::send(opened, request, deadline).await;
            on_change(OrderChange {
                engine,
                order,
                token,
                outcome: outcome.clone(),
            });
            // The receiver is gone if the responsibility has ended.
            let _ = sender.send(outcome);
        })
        .detach();
        receiver.await.map_err(|_canceled| OrderError::LeaseLost {
            peer: self.engine.clone(),
        })
    }

    fn publish_status(&self, status: EngineStatus) {
        let mut engines = self.shared.engines.borrow_mut();
        let Some(known) = engines.get_mut(&self.engine) else {
            return;
        };
        if *known != status {
            let order = status.order.as_deref().unwrap_or("nothing");
            log::info!(
                "orders: {}: {:?}, missing {order}",
                self.engine,
                status.phase
            );
            *known = status;
        }
    }
}
