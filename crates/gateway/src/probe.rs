//! Probes of upstreams, which tell a lost path from a failed upstream.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Request, Uri, header};
use http_body_util::Full;
use mangofront_paths::PathFault;
use mangofront_routes::Upstream;
use mangofront_upstream::{
    ConnectionFault, Connections, FreshConnection, SendError, Target, UpstreamResponse,
};

/// Time for an upstream to accept a connection: one that accepts none in this time is down
/// or unreachable.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for an upstream to answer a probe.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Connections that are tried: an upstream that has too many may close one and accept the
/// next.
const MAX_CONNECTIONS: usize = 2;

/// Largest answer to a probe, in bytes.
const ANSWER_LIMIT_BYTES: usize = 1024 * 1024;

/// Result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeResult {
    /// The upstream answered.
    Answered,
    /// It accepted a connection and did not answer in time.
    Silent,
    /// It closed each new connection and keeps others open, as it has too many.
    Overloaded,
    /// It closed each new connection.
    Closed,
    /// It accepted no connection in time.
    NotConnected,
    /// It refused connections.
    Refused,
}

impl ProbeResult {
    const ALL: [Self; 6] = [
        Self::Answered,
        Self::Silent,
        Self::Overloaded,
        Self::Closed,
        Self::NotConnected,
        Self::Refused,
    ];

    /// The result of a connection that could not be opened.
    pub(crate) fn of_failed_connect(error: &SendError) -> Self {
        let SendError::ConnectionFailed { fault, .. } = error else {
            return Self::NotConnected;
        };
        match fault {
            ConnectionFault::Refused => Self::Refused,
            ConnectionFault::Reset => Self::Closed,
            ConnectionFault::Other => Self::NotConnected,
        }
    }

    /// Name in logs and between daemons; it must not change.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Silent => "does not answer",
            Self::Overloaded => "keeps connections and closes new ones",
            Self::Closed => "closes new connections",
            Self::NotConnected => "takes no connection in time",
            Self::Refused => "refuses connections",
        }
    }

    pub(crate) fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|result| result.name() == name)
    }

    /// How the path fails, if it does.
    pub(crate) fn fault(self) -> Option<PathFault> {
        match self {
            Self::Answered => None,
            Self::Overloaded | Self::Closed | Self::Refused => Some(PathFault::Refused),
            Self::Silent | Self::NotConnected => Some(PathFault::Silent),
        }
    }

    /// Whether the upstream certainly runs: the end of a process closes all its connections at
    /// once.
    pub(crate) fn shows_life(self) -> bool {
        match self {
            Self::Answered | Self::Silent | Self::Overloaded => true,
            Self::Closed | Self::NotConnected | Self::Refused => false,
        }
    }
}

/// Probes an upstream on a new connection.
///
/// `on_answer` is told of an answer on `path`. Without a path that upstreams of the service answer,
/// a connection that stays open counts as an answer.
pub(crate) async fn probe(
    connections: &Connections,
    upstream: &Upstream,
    path: Option<&str>,
    on_answer: impl Fn(&UpstreamResponse),
) -> ProbeResult {
    let target = target_of(upstream);
    let mut result = ProbeResult::Closed;
    for _ in 0..MAX_CONNECTIONS {
        let deadline = Instant::now() + CONNECT_TIMEOUT;
        result = match connections.open(&target, deadline).await {
            Err(error) => ProbeResult::of_failed_connect(&error),
            Ok(opened) => match path {
                Some(path) => request_answer(opened, upstream, path, &on_answer).await,
                None => settle(opened).await,
            },
        };
        if result != ProbeResult::Closed {
            break;
        }
    }
    result
}

/// The upstream as the target of a connection.
pub(crate) fn target_of(upstream: &Upstream) -> Target {
    Target {
        instance: upstream.id.clone(),
        address: upstream.address,
    }
}

async fn request_answer(
    opened: FreshConnection,
    upstream: &Upstream,
    path: &str,
    on_answer: &impl Fn(&UpstreamResponse),
) -> ProbeResult {
    let Some(request) = probe_request(upstream, path) else {
        return settle(opened).await;
    };
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    match opened.send(request, deadline).await {
        Ok(answer) => {
            on_answer(&answer);
            // Read to the end, so that the connection can be reused. The head is the answer.
            answer.discard(ANSWER_LIMIT_BYTES, deadline).await;
            ProbeResult::Answered
        }
        Err(SendError::Timeout { .. }) => ProbeResult::Silent,
        Err(_) => ProbeResult::Closed,
    }
}

fn probe_request(upstream: &Upstream, path: &str) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse::<Uri>().ok()?;
    let host = HeaderValue::try_from(upstream.address.to_string()).ok()?;
    request.headers_mut().insert(header::HOST, host);
    Some(request)
}

async fn settle(opened: FreshConnection) -> ProbeResult {
    match opened.settle().await {
        true => ProbeResult::Answered,
        false => ProbeResult::Closed,
    }
}
