//! Memory reserved at engines for one request.
//!
//! A reservation is held for a few seconds and renewed while its request runs, so that it
//! expires soon after this daemon dies. Dropping [`Reservations`] releases all of them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::spawn;
use futures_channel::oneshot;
use futures_util::future::join_all;
use http::{HeaderValue, StatusCode, header};
use mangofront_engines::Share;
use mangofront_routes::{AllowedRegions, Upstream};

use crate::dialect::{Dialect, ReservationId};
use crate::proxy::{AttemptKind, Times};
use crate::upstream_client::{CallProgress, UpstreamCall, UpstreamClient};

/// Renewals within the hold time of a reservation.
const RENEWALS_PER_HOLD: u32 = 3;

/// Time for an engine to answer a reservation call: many times the usual one.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest answer to a reservation call, in bytes.
const ANSWER_LIMIT_BYTES: usize = 64 * 1024;

/// Attempts to release a reservation.
const RELEASE_ATTEMPTS: u32 = 3;

/// Makes reservation calls to engines.
#[derive(Clone)]
pub(crate) struct ReservationClient {
    pub(crate) upstreams: UpstreamClient,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) hold: Duration,
}

impl std::fmt::Debug for ReservationClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ReservationClient").finish_non_exhaustive()
    }
}

/// A reservation that was not made.
#[derive(Debug)]
pub(crate) struct ReservationFailure {
    pub(crate) upstream: Upstream,
    /// Whether the upstream answered.
    pub(crate) is_answered: bool,
}

/// What a reservation call is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    /// A request that has not been sent.
    NewWork,
    /// One that runs, or has ended; an upstream that leaves or rests is told of it all the same.
    RunningWork,
}

#[derive(Debug, Clone)]
struct Reservation {
    upstream: Upstream,
    id: ReservationId,
    tokens: u64,
}

/// The reservations of one request.
#[derive(Debug)]
pub(crate) struct Reservations {
    client: ReservationClient,
    held: Vec<Reservation>,
    /// Dropped when the request ends; each renewal task then releases its reservation.
    renewal_guards: Vec<oneshot::Sender<()>>,
}

impl Reservations {
    /// Reserves the memory that `shares` need; all of it or none.
    ///
    /// The id of each reservation begins with `name`, which is unique to the request.
    ///
    /// # Errors
    /// The first reservation that was not made.
    pub(crate) async fn acquire(
        client: &ReservationClient,
        shares: &[Share],
        name: &str,
    ) -> Result<Self, ReservationFailure> {
        let requested = shares.iter().enumerate().filter_map(|(index, share)| {
            Some(Reservation {
                upstream: share.upstream.clone(),
                id: format!("{name}-{index}"),
                tokens: share.reserve_tokens?,
            })
        });
        let mut reservations = Self {
            client: client.clone(),
            held: requested.collect(),
            renewal_guards: Vec::new(),
        };
        if reservations.held.is_empty() {
            return Ok(reservations);
        }
        let results = join_all(
            reservations
                .held
                .iter()
                .map(|reservation| reserve_first(client, reservation)),
        )
        .await;
        for (reservation, status) in reservations.held.iter().zip(results) {
            if status != Some(StatusCode::OK) {
                // Dropping `reservations` also releases one that was made although its
                // answer was lost.
                return Err(ReservationFailure {
                    upstream: reservation.upstream.clone(),
                    is_answered: status.is_some(),
                });
            }
        }
        for reservation in &reservations.held {
            let (request_guard, request_ended) = oneshot::channel();
            spawn(renew_until_ended(
                client.clone(),
                reservation.clone(),
                request_ended,
            ))
            .detach();
            reservations.renewal_guards.push(request_guard);
        }
        Ok(reservations)
    }

    /// Id of the reservation at `upstream`.
    pub(crate) fn id_at(&self, upstream: &Upstream) -> Option<ReservationId> {
        let mut held = self.held.iter();
        held.find(|reservation| reservation.upstream.id == upstream.id)
            .map(|reservation| reservation.id.clone())
    }
}

impl Drop for Reservations {
    fn drop(&mut self) {
        if !self.renewal_guards.is_empty() {
            return;
        }
        // Some reservations failed, so no renewal task was started that would release the
        // others.
        for reservation in self.held.drain(..) {
            let client = self.client.clone();
            spawn(async move { release(&client, &reservation).await }).detach();
        }
    }
}

/// Renews a reservation until its request has ended, then releases it.
///
/// The calls are made one after the other: a renewal that is processed after the release
/// would hold the memory until it expires.
async fn renew_until_ended(
    client: ReservationClient,
    reservation: Reservation,
    mut request_ended: oneshot::Receiver<()>,
) {
    let pause = client.hold / RENEWALS_PER_HOLD;
    while compio::time::timeout(pause, &mut request_ended)
        .await
        .is_err()
    {
        reserve(&client, &reservation, CALL_TIMEOUT, Purpose::RunningWork).await;
    }
    release(&client, &reservation).await;
}

/// Makes a new reservation; returns the engine's answer, if it came in time.
///
/// A late answer is still awaited: the engine may make the reservation after it was
/// released, and it is then released once more.
async fn reserve_first(
    client: &ReservationClient,
    reservation: &Reservation,
) -> Option<StatusCode> {
    let (result_sender, result_receiver) = oneshot::channel();
    let (client, reservation) = (client.clone(), reservation.clone());
    let attempt = async move {
        let status = reserve(&client, &reservation, client.hold, Purpose::NewWork).await;
        if result_sender.send(status).is_err() {
            release(&client, &reservation).await;
        }
    };
    spawn(attempt).detach();
    let result = compio::time::timeout(CALL_TIMEOUT, result_receiver).await;
    result.ok()?.ok()?
}

async fn reserve(
    client: &ReservationClient,
    reservation: &Reservation,
    timeout: Duration,
    purpose: Purpose,
) -> Option<StatusCode> {
    let request = client
        .dialect
        .reserve(&reservation.id, reservation.tokens, client.hold);
    send(client, reservation, request, timeout, purpose).await
}

async fn release(client: &ReservationClient, reservation: &Reservation) {
    for _ in 0..RELEASE_ATTEMPTS {
        let request = client.dialect.release(&reservation.id);
        if send(
            client,
            reservation,
            request,
            CALL_TIMEOUT,
            Purpose::RunningWork,
        )
        .await
        .is_some()
        {
            return;
        }
    }
    log::warn!(upstream = reservation.upstream.id.as_str(), reservation = reservation.id.as_str();
        "gateway: reservation not released; it will expire");
}

async fn send(
    client: &ReservationClient,
    reservation: &Reservation,
    mut request: http::Request<http_body_util::Full<bytes::Bytes>>,
    timeout: Duration,
    purpose: Purpose,
) -> Option<StatusCode> {
    if let Ok(host) = HeaderValue::try_from(reservation.upstream.address.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
    let deadline = Instant::now() + timeout;
    let call = UpstreamCall {
        upstream: &reservation.upstream,
        // It carries nothing of the prompt.
        allowed_regions: &AllowedRegions::Any,
        request,
        times: Times {
            deadline,
            expires: deadline,
        },
        kind: AttemptKind::Order,
        progress: &CallProgress::default(),
        cause: &reservation.id,
    };
    let is_wanted = || match purpose {
        Purpose::NewWork => client.upstreams.takes_work(&reservation.upstream),
        Purpose::RunningWork => true,
    };
    let answer = match client.upstreams.send(call, is_wanted).await {
        Ok(answered) => answered.answer,
        Err(error) => {
            log::debug!(
                "gateway: reservation call to {} failed: {error:?}",
                reservation.upstream.id
            );
            return None;
        }
    };
    let status = answer.status;
    // Read to the end, so that the connection can be reused.
    answer.discard(ANSWER_LIMIT_BYTES, deadline).await;
    Some(status)
}
