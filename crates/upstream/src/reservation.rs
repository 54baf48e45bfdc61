//! Memory on a group of engines, reserved all or nothing under leases.
//!
//! Members are asked one after the other in the order given, which every
//! daemon computes alike: two groups that share members meet at the first
//! shared one, so one of them gets all and neither waits while it holds
//! something. A refusal frees what was taken. The leases are renewed while the
//! [`GroupReservation`] lives; when its process dies they run out by
//! themselves, and when it is dropped they are given back.

use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::runtime::JoinHandle;
use futures_util::future::join_all;
use http::{Method, StatusCode};
use serde::Serialize;

use crate::Target;
use crate::connection::Connections;
use crate::engine::{AttemptNumber, RequestId, call_json};
use crate::error::SendError;

/// Time for an engine to answer a call about a reservation.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Renewals within the time of one lease, so that a lost one does no harm.
const RENEWALS_PER_LEASE: u32 = 3;

/// Tries of a release; the lease frees the memory if all fail.
const RELEASE_TRIES: u32 = 3;

/// Memory wanted of one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// Engine asked.
    pub target: Target,
    /// Memory wanted, in tokens.
    pub tokens: u64,
}

/// A share of a long prompt's prefill, as a member takes it.
#[derive(Debug, Clone, Serialize)]
pub struct Segment {
    /// Reservation it computes under.
    pub reservation: String,
    /// Request it belongs to.
    pub request: RequestId,
    /// Attempt it belongs to.
    pub attempt: AttemptNumber,
    /// Length of the share, in tokens.
    pub tokens: u64,
    /// Prompt before the share, which it attends to, in tokens.
    pub offset_tokens: u64,
    /// 0 is the most urgent.
    pub priority: u8,
}

/// Memory held on every engine of a group.
///
/// Invariant: while it lives every member was asked for memory under `id`, and
/// every member that granted some is in `held`.
#[derive(Debug)]
pub struct GroupReservation {
    connections: Connections,
    id: String,
    held: Vec<Target>,
    /// Ends with the failure by which a lease is lost.
    renewal: Option<JoinHandle<SendError>>,
}

#[derive(Serialize)]
struct ReserveBody<'a> {
    reservation: &'a str,
    tokens: u64,
    lease_ms: u64,
}

#[derive(Serialize)]
struct RenewBody {
    lease_ms: u64,
}

/// Reserves memory on every engine of `shares`, or on none.
///
/// # Errors
/// [`SendError`] of the first engine that did not grant its share.
pub async fn reserve(
    connections: &Connections,
    id: &str,
    shares: &[Share],
    lease: Duration,
    deadline: Instant,
) -> Result<GroupReservation, SendError> {
    let mut group = GroupReservation {
        connections: connections.clone(),
        id: id.to_owned(),
        held: Vec::with_capacity(shares.len()),
        renewal: None,
    };
    for share in shares {
        // Held before the answer: a grant whose answer is lost is released too.
        group.held.push(share.target.clone());
        reserve_one(connections, id, share, lease, deadline).await?;
    }
    let renewing = renew(
        connections.clone(),
        id.to_owned(),
        group.held.clone(),
        lease,
    );
    group.renewal = Some(compio::runtime::spawn(renewing));
    Ok(group)
}

/// Computes a share of a long prompt's prefill; returns when it is done.
///
/// # Errors
/// [`SendError`]; refused with 404 when the reservation ran out.
pub async fn compute_segment(
    connections: &Connections,
    target: &Target,
    segment: &Segment,
    deadline: Instant,
) -> Result<(), SendError> {
    let body = body(segment);
    let path = "/v1/segments";
    let call = call_json::<serde::de::IgnoredAny>(
        connections,
        target,
        Method::POST,
        path,
        Some(body),
        deadline,
    );
    call.await?;
    Ok(())
}

impl GroupReservation {
    /// Id under which the members hold memory.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Resolves once a member's lease is lost, by the failure of its renewal.
    pub async fn lease_lost(&mut self) -> SendError {
        if let Some(renewal) = &mut self.renewal {
            let ended = renewal.await;
            self.renewal = None;
            if let Ok(error) = ended {
                return error;
            }
        }
        std::future::pending().await
    }
}

impl Drop for GroupReservation {
    fn drop(&mut self) {
        let connections = self.connections.clone();
        let id = std::mem::take(&mut self.id);
        let held = std::mem::take(&mut self.held);
        compio::runtime::spawn(async move {
            let releases = held.iter().map(|target| release(&connections, target, &id));
            join_all(releases).await;
        })
        .detach();
    }
}

async fn reserve_one(
    connections: &Connections,
    id: &str,
    share: &Share,
    lease: Duration,
    deadline: Instant,
) -> Result<(), SendError> {
    let body = body(&ReserveBody {
        reservation: id,
        tokens: share.tokens,
        lease_ms: milliseconds(lease),
    });
    let until = deadline.min(Instant::now() + CALL_TIMEOUT);
    let call = call_json::<serde::de::IgnoredAny>(
        connections,
        &share.target,
        Method::POST,
        "/v1/reservations",
        Some(body),
        until,
    );
    call.await?;
    Ok(())
}

/// Renews the leases until one is lost: refused, or not renewed for its time.
async fn renew(
    connections: Connections,
    id: String,
    held: Vec<Target>,
    lease: Duration,
) -> SendError {
    let path = format!("/v1/reservations/{id}");
    let body = body(&RenewBody {
        lease_ms: milliseconds(lease),
    });
    let mut renewed_at = vec![Instant::now(); held.len()];
    loop {
        compio::time::sleep(lease / RENEWALS_PER_LEASE).await;
        let asked = Instant::now();
        // At once: a member that does not answer must not hold up the others.
        let until = Instant::now() + CALL_TIMEOUT;
        let renewals = held.iter().map(|target| {
            let body = Some(body.clone());
            call_json(&connections, target, Method::PUT, &path, body, until)
        });
        let renewed: Vec<Result<Option<serde::de::IgnoredAny>, _>> = join_all(renewals).await;
        for (renewed, renewed_at) in renewed.into_iter().zip(&mut renewed_at) {
            let Err(error) = renewed else {
                *renewed_at = asked;
                continue;
            };
            log::warn!("upstream: lease of {id} was not renewed: {error}");
            let is_refused = matches!(error, SendError::Refused { .. });
            if is_refused || renewed_at.elapsed() >= lease {
                return error;
            }
        }
    }
}

async fn release(connections: &Connections, target: &Target, id: &str) {
    let path = format!("/v1/reservations/{id}");
    for _ in 0..RELEASE_TRIES {
        let until = Instant::now() + CALL_TIMEOUT;
        let call = call_json::<serde::de::IgnoredAny>(
            connections,
            target,
            Method::DELETE,
            &path,
            None,
            until,
        );
        match call.await {
            Ok(_) => return,
            Err(SendError::Refused {
                status: StatusCode::NOT_FOUND,
                ..
            }) => return,
            Err(error) => log::debug!("upstream: release of {id} failed: {error}"),
        }
    }
    log::warn!(
        "upstream: release of {id} at {} was not confirmed",
        target.instance
    );
}

fn body(value: &impl Serialize) -> Bytes {
    // Structs of strings and numbers can't fail to serialise.
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
