//! Execution of one order: claims its key, runs it and records the outcome.

use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::RngExt;

use crate::claims::RunPermit;
use crate::core::Core;
use crate::gather::{ClaimOutcome, OrderIdentity};
use crate::key::{Fingerprint, MintedKey, OrderKey};
use crate::open_claim::OpenClaim;
use crate::outcome::{Answer, Decision, NotRunReason, Record, RunOutcome, UnknownReason};

/// Time after which a caller is told to retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// An order that must not be repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Organisation that sent it.
    pub organisation: String,
    /// Idempotency key that was sent with it.
    pub key: String,
    /// Digest of the request.
    pub fingerprint: Fingerprint,
}

impl Core {
    pub(crate) async fn execute<R, F>(
        self: &Rc<Self>,
        order: Order,
        deadline: Instant,
        run: R,
    ) -> Decision
    where
        R: FnOnce(RunPermit) -> F,
        F: Future<Output = RunOutcome>,
    {
        let stopping = self.state.borrow().stopping;
        let claimed = if stopping {
            Err(unknown(UnknownReason::Stopping))
        } else {
            self.acquire(order, deadline).await
        };
        let decision = match claimed {
            Ok(claim) => self.run(claim, deadline, run).await,
            Err(decision) => decision,
        };
        self.update_counters(|counters| counters.record(&decision));
        decision
    }

    /// Claims the key, with retries while they may help.
    async fn acquire(
        self: &Rc<Self>,
        order: Order,
        deadline: Instant,
    ) -> Result<OpenClaim, Decision> {
        let minted = MintedKey::parse(&order.key);
        let identity = OrderIdentity::of(order, minted.is_some());
        let claim_deadline = deadline.min(Instant::now() + self.options.claim_timeout);
        loop {
            let attempt = async {
                match &minted {
                    Some(key) => self.claim_minted(&identity, key).await,
                    None => self.claim_plain(&identity).await,
                }
            };
            let outcome = compio::time::timeout_at(deadline, attempt).await;
            let timed_out = UnknownReason::NoMajority("the deadline passed".to_owned());
            let (why, until) = match outcome.unwrap_or(ClaimOutcome::GiveUp(timed_out)) {
                ClaimOutcome::Won(claim) => return Ok(claim),
                ClaimOutcome::AlreadyRan(record) => return Err(replay(record)),
                ClaimOutcome::NotRun(reason) => return Err(not_run(reason)),
                ClaimOutcome::Rejected(error) => return Err(Decision::Failed(error)),
                ClaimOutcome::GiveUp(why) => return Err(unknown(why)),
                ClaimOutcome::Busy(why) => (why, deadline),
                ClaimOutcome::Retry(why) => (why, claim_deadline),
            };
            let pause = self
                .options
                .poll_interval
                .mul_f64(rand::rng().random_range(0.5..1.5));
            if Instant::now() + pause >= until {
                return Err(unknown(why));
            }
            compio::time::sleep(pause).await;
        }
    }

    /// Runs the order under the claim that holds its key.
    async fn run<R, F>(self: &Rc<Self>, claim: OpenClaim, deadline: Instant, run: R) -> Decision
    where
        R: FnOnce(RunPermit) -> F,
        F: Future<Output = RunOutcome>,
    {
        let counter = claim.id.counter;
        if self.claims.borrow_mut().permit(counter).is_err() {
            return unknown(UnknownReason::Run("the claim was not open".to_owned()));
        }
        let permit = RunPermit {
            claims: Rc::clone(&self.claims),
            counter,
            start_before: claim.opened_at + self.options.run_start_limit,
        };
        let ended = compio::time::timeout_at(deadline, run(permit)).await;
        match ended {
            Ok(RunOutcome::Answered(answer)) => self.complete(&claim, answer),
            Ok(RunOutcome::NotStarted { reason }) => {
                claim.release();
                not_run(NotRunReason::NotStarted(reason))
            }
            Ok(RunOutcome::Unknown { reason }) => {
                claim.settle(&Record::Unknown {
                    reason: reason.clone(),
                });
                unknown(UnknownReason::Run(reason))
            }
            Err(_elapsed) if claim.has_begun() => {
                let why = UnknownReason::DeadlineInRun;
                claim.settle(&Record::Unknown {
                    reason: why.to_string(),
                });
                unknown(why)
            }
            Err(_elapsed) => {
                claim.release();
                not_run(NotRunReason::NotStarted("the deadline passed".to_owned()))
            }
        }
    }

    fn complete(&self, claim: &OpenClaim, answer: Answer) -> Decision {
        self.claims.borrow_mut().check_begun(claim.id.counter);
        claim.settle(&Record::of(&answer, self.options.max_answer_bytes));
        Decision::Answer(answer)
    }
}

impl OrderIdentity {
    fn of(order: Order, minted: bool) -> Self {
        let Order {
            organisation,
            key,
            fingerprint,
        } = order;
        if minted {
            let fingerprint = fingerprint.with_organisation(&organisation);
            let organisation = String::new();
            let order = OrderKey { organisation, key };
            return Self { order, fingerprint };
        }
        let order = OrderKey { organisation, key };
        Self { order, fingerprint }
    }
}

fn replay(record: Record) -> Decision {
    match record {
        Record::Answered {
            status,
            headers,
            body,
        } => Decision::Replay {
            status,
            headers,
            body,
        },
        Record::Unknown { reason } => Decision::Unknown {
            reason: UnknownReason::Run(reason),
            retry_after: None,
        },
    }
}

fn not_run(reason: NotRunReason) -> Decision {
    Decision::NotRun {
        reason,
        retry_after: Some(RETRY_AFTER),
    }
}

fn unknown(reason: UnknownReason) -> Decision {
    let retry_after = match reason {
        UnknownReason::Run(_) | UnknownReason::DeadlineInRun | UnknownReason::HomeGone(_) => None,
        _ => Some(RETRY_AFTER),
    };
    Decision::Unknown {
        reason,
        retry_after,
    }
}
