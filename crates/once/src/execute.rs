//! The way of one order, from the call to its decision.

use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::RngExt;

use crate::claims::RunPermit;
use crate::core::Core;
use crate::gather::{Gathered, Subject};
use crate::key::{Fingerprint, MintedKey, OrderKey};
use crate::open_claim::OpenClaim;
use crate::outcome::{Answer, Decision, NotRunReason, Record, RunOutcome, UnknownReason};

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// One order that may not repeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Customer that sent it.
    pub organisation: String,
    /// Idempotency key that came with it.
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
        let won = if stopping {
            Err(unknown(UnknownReason::Stopping))
        } else {
            self.win(order, deadline).await
        };
        let decision = match won {
            Ok(claim) => self.run(claim, deadline, run).await,
            Err(decision) => decision,
        };
        self.count(|counters| counters.note(&decision));
        decision
    }

    /// Claims the key, again and again where that makes sense.
    async fn win(self: &Rc<Self>, order: Order, deadline: Instant) -> Result<OpenClaim, Decision> {
        let minted = MintedKey::parse(&order.key);
        let subject = Subject::of(order, minted.is_some());
        let patient_until = deadline.min(Instant::now() + self.options.patience);
        loop {
            let gathering = async {
                match &minted {
                    Some(key) => self.gather_minted(&subject, key).await,
                    None => self.gather_plain(&subject).await,
                }
            };
            let gathered = compio::time::timeout_at(deadline, gathering).await;
            let late = UnknownReason::NoMajority("the deadline passed".to_owned());
            let (why, until) = match gathered.unwrap_or(Gathered::Lost(late)) {
                Gathered::Won(claim) => return Ok(claim),
                Gathered::Ran(record) => return Err(replay(record)),
                Gathered::NotRun(reason) => return Err(not_run(reason)),
                Gathered::Fault(error) => return Err(Decision::Failed(error)),
                Gathered::Lost(why) => return Err(unknown(why)),
                Gathered::Busy(why) => (why, deadline),
                Gathered::Short(why) => (why, patient_until),
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

    /// Runs the order under a won claim.
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
            start_before: claim.made + self.options.run_start_limit,
        };
        let ended = compio::time::timeout_at(deadline, run(permit)).await;
        match ended {
            Ok(RunOutcome::Answered(answer)) => self.answered(&claim, answer),
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

    fn answered(&self, claim: &OpenClaim, answer: Answer) -> Decision {
        self.claims.borrow_mut().note_answer(claim.id.counter);
        claim.settle(&Record::of(&answer, self.options.max_answer_bytes));
        Decision::Answer(answer)
    }
}

impl Subject {
    fn of(order: Order, minted: bool) -> Self {
        let Order {
            organisation,
            key,
            fingerprint,
        } = order;
        if minted {
            let fingerprint = fingerprint.within(&organisation);
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
