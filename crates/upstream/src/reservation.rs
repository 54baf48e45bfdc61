//! Reservation of memory on a group of engines, all or nothing, under leases.
//!
//! Members are asked one after another in the given order, which every daemon
//! computes identically. So two groups that share members compete at the first
//! shared one: one of them gets all its memory, and neither waits while it holds
//! some. A refusal releases the memory reserved so far. The leases are renewed as
//! long as the [`GroupReservation`] exists. Dropping it releases them; if the
//! process dies, they expire.

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

/// Time limit of one call about a reservation.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Renewals within the duration of one lease, so that the lease survives a failed
/// one.
const RENEWALS_PER_LEASE: u32 = 3;

/// Calls to release a reservation; if all fail, the memory is freed when the lease
/// expires.
const RELEASE_ATTEMPTS: u32 = 3;

/// Memory to reserve on one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// Engine on which to reserve.
    pub target: Target,
    /// Amount of memory, in tokens.
    pub tokens: u64,
}

/// One member's share of the prefill of a long prompt.
#[derive(Debug, Clone, Serialize)]
pub struct Segment {
    /// Id of the reservation to use.
    pub reservation: String,
    /// Id of the request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Length of the segment, in tokens.
    pub tokens: u64,
    /// Length of the prompt before the segment, which the segment attends to, in
    /// tokens.
    pub offset_tokens: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
}

/// Memory reserved on every engine of a group.
///
/// Invariant: while this exists, every member was asked for memory under `id`, and
/// every member that granted some is in `members`.
#[derive(Debug)]
pub struct GroupReservation {
    connections: Connections,
    id: String,
    members: Vec<Target>,
    /// Task that renews the leases; it returns the failure by which one is lost.
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

/// Reserves memory on all engines of `shares`, or on none.
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
        members: Vec::with_capacity(shares.len()),
        renewal: None,
    };
    for share in shares {
        // Added before the call, so that a grant is released even if its response
        // is lost.
        group.members.push(share.target.clone());
        reserve_share(connections, id, share, lease, deadline).await?;
    }
    let renewal = renew_until_lost(
        connections.clone(),
        id.to_owned(),
        group.members.clone(),
        lease,
    );
    group.renewal = Some(compio::runtime::spawn(renewal));
    Ok(group)
}

/// Has an engine compute a segment of a long prompt's prefill, and waits until it
/// is done.
///
/// # Errors
/// [`SendError`]; refused with 404 when the reservation has expired.
pub async fn compute_segment(
    connections: &Connections,
    target: &Target,
    segment: &Segment,
    deadline: Instant,
) -> Result<(), SendError> {
    let body = json_body(segment);
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
    /// Id of the reservation at all members.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Waits until a member's lease is lost, and returns the failure of its renewal.
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
        let members = std::mem::take(&mut self.members);
        compio::runtime::spawn(async move {
            let releases = members
                .iter()
                .map(|target| release(&connections, target, &id));
            join_all(releases).await;
        })
        .detach();
    }
}

async fn reserve_share(
    connections: &Connections,
    id: &str,
    share: &Share,
    lease: Duration,
    deadline: Instant,
) -> Result<(), SendError> {
    let body = json_body(&ReserveBody {
        reservation: id,
        tokens: share.tokens,
        lease_ms: milliseconds(lease),
    });
    let call_deadline = deadline.min(Instant::now() + CALL_TIMEOUT);
    let call = call_json::<serde::de::IgnoredAny>(
        connections,
        &share.target,
        Method::POST,
        "/v1/reservations",
        Some(body),
        call_deadline,
    );
    call.await?;
    Ok(())
}

/// Renews the leases until one is lost: its renewal was refused, or did not succeed
/// for the duration of the lease.
async fn renew_until_lost(
    connections: Connections,
    id: String,
    members: Vec<Target>,
    lease: Duration,
) -> SendError {
    let path = format!("/v1/reservations/{id}");
    let body = json_body(&RenewBody {
        lease_ms: milliseconds(lease),
    });
    let mut renewed_at = vec![Instant::now(); members.len()];
    loop {
        compio::time::sleep(lease / RENEWALS_PER_LEASE).await;
        let sent_at = Instant::now();
        // Concurrently, as an unresponsive member must not delay the others.
        let call_deadline = Instant::now() + CALL_TIMEOUT;
        let renewals = members.iter().map(|target| {
            let body = Some(body.clone());
            call_json(
                &connections,
                target,
                Method::PUT,
                &path,
                body,
                call_deadline,
            )
        });
        let renewed: Vec<Result<Option<serde::de::IgnoredAny>, _>> = join_all(renewals).await;
        for (renewed, renewed_at) in renewed.into_iter().zip(&mut renewed_at) {
            let Err(error) = renewed else {
                *renewed_at = sent_at;
                continue;
            };
            log::warn!("upstream: renewing the lease of {id} failed: {error}");
            let is_refused = matches!(error, SendError::Refused { .. });
            if is_refused || renewed_at.elapsed() >= lease {
                return error;
            }
        }
    }
}

async fn release(connections: &Connections, target: &Target, id: &str) {
    let path = format!("/v1/reservations/{id}");
    for _ in 0..RELEASE_ATTEMPTS {
        let call_deadline = Instant::now() + CALL_TIMEOUT;
        let call = call_json::<serde::de::IgnoredAny>(
            connections,
            target,
            Method::DELETE,
            &path,
            None,
            call_deadline,
        );
        match call.await {
            Ok(_) => return,
            Err(SendError::Refused {
                status: StatusCode::NOT_FOUND,
                ..
            }) => return,
            Err(error) => log::debug!("upstream: releasing {id} failed: {error}"),
        }
    }
    log::warn!(
        "upstream: {} did not confirm the release of {id}",
        target.instance
    );
}

fn json_body(value: &impl Serialize) -> Bytes {
    // Structs of strings and numbers can't fail to serialise.
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
