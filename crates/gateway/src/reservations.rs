//! Memory reserved at engines for one request.
//!
//! A reservation is held for a few seconds and renewed while its request runs,
//! so that it ends by itself soon after this daemon does. Dropping
//! [`Reservations`] gives all of them back.

use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::spawn;
use futures_channel::oneshot;
use futures_util::future::join_all;
use http::{HeaderValue, StatusCode, header};
use mangofront_engines::Share;
use mangofront_routes::Upstream;
use mangofront_upstream::{Connections, Target};

use crate::dialect::{Dialect, ReservationId};

/// Renewals within the time for which a reservation is held.
const RENEWALS_PER_HOLD: u32 = 3;

/// Time for an engine to answer an order: many times what it takes.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest answer to an order, in bytes.
const ANSWER_LIMIT_BYTES: usize = 64 * 1024;

/// Times that giving a reservation back is tried.
const RELEASE_TRIES: u32 = 3;

/// What reservations are made with.
#[derive(Clone)]
pub(crate) struct Orders {
    pub(crate) connections: Connections,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) hold: Duration,
}

impl std::fmt::Debug for Orders {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Orders").finish_non_exhaustive()
    }
}

/// One reservation.
#[derive(Debug, Clone)]
struct Reservation {
    upstream: Upstream,
    id: ReservationId,
    tokens: u64,
}

/// The reservations of one request.
#[derive(Debug)]
pub(crate) struct Reservations {
    orders: Orders,
    held: Vec<Reservation>,
    /// Dropped when the request ends; each task then gives its reservation back.
    renewals: Vec<oneshot::Sender<()>>,
}

impl Reservations {
    /// Reserves what `readers` say; all of it or nothing.
    ///
    /// Each reservation's id begins with `name`, which no other request has.
    ///
    /// # Errors
    /// Id of the upstream that did not reserve.
    pub(crate) async fn make(
        orders: &Orders,
        readers: &[Share],
        name: &str,
    ) -> Result<Self, Upstream> {
        let wanted = readers.iter().enumerate().filter_map(|(place, reader)| {
            Some(Reservation {
                upstream: reader.upstream.clone(),
                id: format!("{name}-{place}"),
                tokens: reader.reserve_tokens?,
            })
        });
        let mut reservations = Self {
            orders: orders.clone(),
            held: wanted.collect(),
            renewals: Vec::new(),
        };
        if reservations.held.is_empty() {
            return Ok(reservations);
        }
        let made = join_all(
            reservations
                .held
                .iter()
                .map(|one| reserve_first(orders, one)),
        )
        .await;
        for (one, is_made) in reservations.held.iter().zip(made) {
            if !is_made {
                // Dropping gives back also the one that may have been made unheard.
                return Err(one.upstream.clone());
            }
        }
        for one in &reservations.held {
            let (request_lives, request_ended) = oneshot::channel();
            spawn(keep(orders.clone(), one.clone(), request_ended)).detach();
            reservations.renewals.push(request_lives);
        }
        Ok(reservations)
    }

    /// Id of the reservation at `upstream`.
    pub(crate) fn at(&self, upstream: &Upstream) -> Option<ReservationId> {
        let mut held = self.held.iter();
        held.find(|one| one.upstream.id == upstream.id)
            .map(|one| one.id.clone())
    }
}

impl Drop for Reservations {
    fn drop(&mut self) {
        if !self.renewals.is_empty() {
            return;
        }
        // Not all were made, so that none is kept by a task.
        for one in self.held.drain(..) {
            let orders = self.orders.clone();
            spawn(async move { release(&orders, &one).await }).detach();
        }
    }
}

/// Renews a reservation until its request has ended, and gives it back then.
///
/// One after the other: a renewal that is taken in after the release would hold the memory
/// until it ends by itself.
async fn keep(orders: Orders, one: Reservation, mut request_ended: oneshot::Receiver<()>) {
    let pause = orders.hold / RENEWALS_PER_HOLD;
    while compio::time::timeout(pause, &mut request_ended)
        .await
        .is_err()
    {
        reserve(&orders, &one, ORDER_TIMEOUT).await;
    }
    release(&orders, &one).await;
}

/// Reserves memory that was not reserved before; whether the engine says so in time.
///
/// A late answer is awaited on: the reservation may be made after it was given back, and is
/// given back once more then.
async fn reserve_first(orders: &Orders, one: &Reservation) -> bool {
    let (told, answered) = oneshot::channel();
    let (orders, one) = (orders.clone(), one.clone());
    let reserving = async move {
        let is_made = reserve(&orders, &one, orders.hold).await;
        if told.send(is_made).is_err() {
            release(&orders, &one).await;
        }
    };
    spawn(reserving).detach();
    let answered = compio::time::timeout(ORDER_TIMEOUT, answered).await;
    matches!(answered, Ok(Ok(true)))
}

async fn reserve(orders: &Orders, one: &Reservation, timeout: Duration) -> bool {
    let request = orders.dialect.reserve(&one.id, one.tokens, orders.hold);
    send(orders, one, request, timeout).await == Some(StatusCode::OK)
}

async fn release(orders: &Orders, one: &Reservation) {
    for _ in 0..RELEASE_TRIES {
        let request = orders.dialect.release(&one.id);
        if send(orders, one, request, ORDER_TIMEOUT).await.is_some() {
            return;
        }
    }
    log::warn!(upstream = one.upstream.id.as_str(), reservation = one.id.as_str();
        "gateway: reservation not given back; it ends by itself");
}

async fn send(
    orders: &Orders,
    one: &Reservation,
    mut request: http::Request<http_body_util::Full<bytes::Bytes>>,
    timeout: Duration,
) -> Option<StatusCode> {
    let target = Target {
        instance: one.upstream.id.clone(),
        address: one.upstream.address,
    };
    if let Ok(host) = HeaderValue::try_from(one.upstream.address.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
    let deadline = Instant::now() + timeout;
    let sent = orders.connections.send(&target, request, deadline).await;
    let answer = match sent {
        Ok(answer) => answer,
        Err(error) => {
            log::debug!("gateway: order to {} failed: {error}", one.upstream.id);
            return None;
        }
    };
    let status = answer.status;
    // Read to its end, so that the connection can be used again.
    if let Err(error) = answer.bytes(ANSWER_LIMIT_BYTES, deadline).await {
        log::debug!("gateway: answer of {} broke off: {error}", one.upstream.id);
    }
    Some(status)
}
