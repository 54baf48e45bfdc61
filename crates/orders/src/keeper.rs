//! The task of one engine: read, compare, order what is missing.

use std::rc::Rc;
use std::time::Instant;

use compio::runtime::spawn;
use futures_channel::oneshot;
use mangofront_settings::ids::InstanceId;
use mangofront_settings::published::Fencing;

use crate::backoff::Repeats;
use crate::change::{OrderChange, OrderOutcome};
use crate::clock::Moment;
use crate::desired::DesiredState;
use crate::error::OrderError;
use crate::exchange;
use crate::message::{EngineReport, LoadState, Order};
use crate::shared::Shared;
use crate::status::{EngineStatus, Phase};
use crate::survey::survey;
use crate::token::FencingToken;
use crate::turn::may_start;
use crate::view::{OrdersEngine, OrdersView};

/// Keeps one engine in its desired state, for as long as the task is held.
pub(crate) async fn keep(shared: Rc<Shared>, engine: InstanceId) {
    let mut keeper = Keeper {
        began: Instant::now(),
        engine,
        repeats: Repeats::default(),
        last: None,
        loading_since: None,
        shared,
    };
    loop {
        let status = keeper.step().await;
        keeper.tell(status);
        compio::time::sleep(keeper.shared.options.poll_interval).await;
    }
}

/// One responsibility for one engine, from its beginning.
struct Keeper {
    shared: Rc<Shared>,
    engine: InstanceId,
    began: Instant,
    repeats: Repeats,
    /// Last order written and its token.
    last: Option<(Order, FencingToken)>,
    loading_since: Option<Instant>,
}

/// What one step knows when it decides.
struct Sight {
    view: Rc<OrdersView>,
    engine: OrdersEngine,
    report: EngineReport,
    read_at: Moment,
}

impl Keeper {
    async fn step(&mut self) -> EngineStatus {
        let sight = match self.look().await {
            Ok(sight) => sight,
            Err(phase) => return EngineStatus { phase, order: None },
        };
        self.note_report(&sight);
        let desired = DesiredState::of(&sight.view, &sight.engine);
        let order = desired.and_then(|desired| match sight.report.state {
            LoadState::Loading => desired.order_while_loading(&sight.report),
            LoadState::Ready => desired.next_order(&sight.report),
        });
        let phase = match &order {
            Some(order) => self.pursue(&sight, order).await,
            None if sight.report.state == LoadState::Loading => Phase::Loading,
            None => Phase::Settled,
        };
        let order = order.map(|order| order.to_string());
        EngineStatus { phase, order }
    }

    /// Reads the engine under a fresh view.
    async fn look(&self) -> Result<Sight, Phase> {
        let view = self.shared.fresh_view().ok_or(Phase::ViewStale)?;
        let engine = view.engine(&self.engine).cloned().ok_or(Phase::New)?;
        let options = &self.shared.options;
        let read_at = Moment::now();
        let deadline = Instant::now() + options.order_timeout;
        let read = exchange::read_state(&options.connections, &engine.target(), deadline).await;
        match read {
            Ok(report) => Ok(Sight {
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

    fn note_report(&mut self, sight: &Sight) {
        let report = &sight.report;
        self.repeats.enter(report.incarnation, sight.view.revision);
        self.loading_since = match report.state {
            LoadState::Loading => self.loading_since.or_else(|| Some(Instant::now())),
            LoadState::Ready => None,
        };
    }

    /// Sends the order that is missing, unless something speaks against it now.
    async fn pursue(&mut self, sight: &Sight, order: &Order) -> Phase {
        if let Some(phase) = self.hindrance(sight, order).await {
            return phase;
        }
        match self.send(sight, order).await {
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

    async fn hindrance(&self, sight: &Sight, order: &Order) -> Option<Phase> {
        let options = &self.shared.options;
        if self.must_wait_for_load(sight, order) {
            return Some(Phase::Loading);
        }
        let model = sight.view.models.get(&sight.engine.model)?;
        let waits = match model.fencing {
            // The engine itself refuses whatever the former daemon still sends.
            Fencing::Checked => false,
            Fencing::Ignored => self.began.elapsed() < options.takeover_wait,
        };
        if waits {
            return Some(Phase::WaitingForPredecessor);
        }
        let pauses = (options.backoff_base, options.backoff_cap);
        if !self.repeats.may_send(order, pauses, Instant::now()) {
            return Some(Phase::BackingOff);
        }
        let has_place = self.loading_since.is_some() || !order.kind.loads();
        if has_place || self.has_turn(sight).await {
            return None;
        }
        Some(Phase::WaitingForTurn)
    }

    /// Whether what the engine loads may be the very thing that is desired.
    ///
    /// An engine doesn't tell what it loads. A load that was ordered under an
    /// older configuration is ordered over at once, one of unknown origin only
    /// after a long time.
    fn must_wait_for_load(&self, sight: &Sight, order: &Order) -> bool {
        let Some(since) = self.loading_since else {
            return false;
        };
        if !order.kind.loads() || since.elapsed() >= self.shared.options.loading_limit {
            return false;
        }
        let own = self.last.as_ref();
        if own.is_some_and(|(last, _)| last == order) {
            return true;
        }
        let ordered_under = self.highest_token(sight).map(|token| token.revision);
        ordered_under.is_none_or(|revision| revision >= sight.view.revision)
    }

    async fn has_turn(&self, sight: &Sight) -> bool {
        let model = &sight.engine.model;
        let standings = survey(&self.shared, &sight.view, model).await;
        may_start(&standings, &self.engine, self.shared.options.limits)
    }

    fn highest_token(&self, sight: &Sight) -> Option<FencingToken> {
        let own = self.last.as_ref().map(|(_, token)| *token);
        sight.report.highest_token.max(own)
    }

    async fn send(&mut self, sight: &Sight, order: &Order) -> Result<OrderOutcome, OrderError> {
        let (revision, incarnation) = (sight.view.revision, sight.view.incarnation);
        let highest = self.highest_token(sight);
        let token = FencingToken::next(highest, revision, incarnation).map_err(|cause| {
            let peer = self.engine.clone();
            OrderError::Outdated { peer, cause }
        })?;
        let target = sight.engine.target();
        let request = exchange::request(&target, order, token)?;
        let deadline = Instant::now() + self.shared.options.order_timeout;
        let connections = &self.shared.options.connections;
        let opened = exchange::open(connections, &target, deadline).await?;
        if !self.shared.may_send(&self.engine, revision, sight.read_at) {
            let peer = self.engine.clone();
            return Err(OrderError::LeaseLost { peer });
        }
        // From here on the order may reach the engine, so its end is told even
        // if this task is dropped meanwhile.
        self.repeats.note(order, Instant::now());
        self.last = Some((order.clone(), token));
        self.shared.surveys.borrow_mut().remove(&sight.engine.model);
        let (sender, receiver) = oneshot::channel();
        let (engine, order) = (self.engine.clone(), order.clone());
        let on_change = Rc::clone(&self.shared.options.on_change);
        spawn(async move {
            let outcome = exchange::send(opened, request, deadline).await;
            on_change(OrderChange {
                engine,
                order,
                token,
                outcome: outcome.clone(),
            });
            // Nobody waits any more when the responsibility has gone.
            let _ = sender.send(outcome);
        })
        .detach();
        receiver.await.map_err(|_canceled| OrderError::LeaseLost {
            peer: self.engine.clone(),
        })
    }

    fn tell(&self, status: EngineStatus) {
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
