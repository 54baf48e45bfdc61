//! HTTP calls to engines.

use std::time::Instant;

use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::Full;
use mangofront_bodies::Purpose;
use mangofront_http::ErrorBody;
use mangofront_upstream::{Connections, FreshConnection, SendError, Target, engine};

use crate::change::OrderOutcome;
use crate::error::OrderError;
use crate::message::{EngineReport, LoadState, Order, OrderAnswer, OrderBody};
use crate::token::FencingToken;

/// Largest answer to an order, in bytes.
const ANSWER_LIMIT_BYTES: usize = 16 * 1024;

/// Reads the state of an engine.
pub(crate) async fn read_state(
    connections: &Connections,
    target: &Target,
    deadline: Instant,
) -> Result<EngineReport, OrderError> {
    let failed = |cause| OrderError::Call {
        step: "read state",
        cause,
    };
    let read = engine::report(connections, target, "/v1/state", deadline).await;
    read.map_err(failed)?.ok_or_else(|| {
        failed(SendError::Protocol {
            peer: target.instance.clone(),
            cause: "state is empty".to_owned(),
        })
    })
}

/// Opens a connection for one order, so that the last check before the send can
/// follow it.
pub(crate) async fn open(
    connections: &Connections,
    target: &Target,
    deadline: Instant,
) -> Result<FreshConnection, OrderError> {
    let opened = connections.open(target, deadline).await;
    opened.map_err(|cause| OrderError::Call {
        step: "open",
        cause,
    })
}

/// Encodes an order as a request.
pub(crate) fn request(
    target: &Target,
    order: &Order,
    token: FencingToken,
) -> Result<Request<Full<Bytes>>, OrderError> {
    let failed = |cause: String| OrderError::Request {
        peer: target.instance.clone(),
        cause,
    };
    let body = OrderBody {
        token,
        value: &order.value,
    };
    let body = serde_json::to_vec(&body).map_err(|error| failed(error.to_string()))?;
    Request::builder()
        .method(Method::PUT)
        .uri(format!("/v1/orders/{}", order.kind.name()))
        .header(header::HOST, target.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| failed(error.to_string()))
}

/// Sends an order and waits for the answer.
pub(crate) async fn send(
    opened: FreshConnection,
    request: Request<Full<Bytes>>,
    deadline: Instant,
) -> OrderOutcome {
    let answered = async {
        let answer = opened.send(request, deadline).await?;
        let status = answer.status;
        let body = answer
            .bytes(Purpose::Answer, ANSWER_LIMIT_BYTES, deadline)
            .await?;
        Ok::<_, SendError>((status, body))
    };
    match answered.await {
        Ok((status, body)) if status.is_success() => OrderOutcome::Taken {
            state: accepted_state(&body),
        },
        Ok((status, body)) => OrderOutcome::Refused {
            reason: match serde_json::from_slice::<ErrorBody>(&body) {
                Ok(body) => format!("{}: {}", body.error.code, body.error.message),
                Err(_) => format!("status {status}"),
            },
        },
        Err(error) => OrderOutcome::Unknown {
            reason: error.to_string(),
        },
    }
}

/// An answer without a state counts as loading until the next read of the state.
fn accepted_state(body: &[u8]) -> LoadState {
    let answer = serde_json::from_slice::<OrderAnswer>(body);
    answer.map_or(LoadState::Loading, |answer| answer.state)
}
