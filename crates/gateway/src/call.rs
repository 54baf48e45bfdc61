//! Admission of one request: route, organisation and lease.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, Uri, header};
use hyper::body::Incoming;
use mangofront_http::Body;
use mangofront_routes::{AllowedRegions, ConfigurationVersion, Organisation, Route, RouteTable};
use mangofront_settings::ids::ServiceName;

use crate::answer;
use crate::dialect::{CallHead, Credentials, EventId, PromptPart, TokenCounts};
use crate::drain::Stage;
use crate::fingerprint::Fingerprint;
use crate::gateway::{Gateway, InProgress};
use crate::quarantine::Suspects;
use crate::refusal::{KeyFault, Refusal};
use crate::{request_body, stopping, trace};

/// Time after which a caller may retry when this daemon can't serve it for now; by then the
/// load balancer has seen that the daemon is not ready.
const RETRY_AFTER_UNAVAILABLE: Duration = Duration::from_millis(300);

/// A request that was admitted.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) id: String,
    /// Identifies repeated sends of the same request by its caller.
    pub(crate) fingerprint: Fingerprint,
    pub(crate) arrived: Instant,
    /// When the caller gives up or the timeout of the route ends, whichever is earlier.
    pub(crate) deadline: Instant,
    pub(crate) route: Route,
    pub(crate) service: ServiceName,
    pub(crate) organisation: Option<Organisation>,
    /// Regions that both the route and the organisation allow.
    pub(crate) allowed_regions: AllowedRegions,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) last_event_id: Option<EventId>,
    pub(crate) tokens: Option<TokenCounts>,
    /// Parts of its prompt in order.
    pub(crate) prompt_parts: Rc<[PromptPart]>,
    /// What of it may crash upstreams.
    pub(crate) suspects: Suspects,
    pub(crate) version: ConfigurationVersion,
    pub(crate) lease_age: Option<Duration>,
    /// Dropped when the answer is complete.
    pub(crate) _in_progress: InProgress,
}

impl Call {
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Handles one request.
pub(crate) async fn handle(
    gateway: Gateway,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Response<Body> {
    let arrived = Instant::now();
    let in_progress = gateway.begin_request();
    let (head, mut body) = request.into_parts();
    let drain = gateway.drain();
    let read = gateway.parts().dialect.read_call(&head);
    let has_key = matches!(&read, Ok(call) if matches!(call.credentials, Credentials::Key(_)));
    let published = &gateway.parts().published;
    // A daemon that refuses new requests refuses this one below.
    drain
        .until_refusing(published.wait_until_usable(has_key))
        .await;
    let table = published.table();
    let body_limit_bytes = gateway.body_limit_bytes();
    let (path, version) = (
        head.uri.path().to_owned(),
        table.as_ref().map_or(0, |table| table.version()),
    );
    let id = match &read {
        Ok(call) => call.request_id.clone(),
        Err(_) => String::new(),
    };
    let admitted = match read {
        Ok(call_head) => admit(&gateway, table.as_deref(), &call_head, &path),
        Err(error) => Err(Refusal::BadHead(error.to_string())),
    };
    let served = match admitted {
        Ok(admitted) => {
            let deadline = arrived + admitted.time_limit();
            let memory = gateway.body_memory();
            let reading = request_body::read(memory, &mut body, body_limit_bytes, deadline);
            match drain.until_refusing(reading).await {
                Some(read) => read.map(|body| (admitted, body)),
                None => {
                    drain.record_refused_unsent();
                    Err(stopping::not_sent())
                }
            }
        }
        Err(refusal) => Err(refusal),
    };
    let is_reusable = match served {
        Ok(_) => true,
        Err(_) => request_body::discard_rest(&mut body, body_limit_bytes).await,
    };
    let mut response = match served {
        Ok((admitted, body)) => {
            let deadline = arrived + admitted.time_limit();
            let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
            let organisation = admitted.organisation.as_ref();
            let organisation = organisation.map(|organisation| organisation.id.as_str());
            let fingerprint = Fingerprint::of(organisation, &head.method, path, &body);
            let parts = &admitted.head.prompt_parts;
            let suspects = Suspects::new(fingerprint, &admitted.service, organisation, parts);
            let allowed_regions = admitted.allowed_regions();
            let call = Call {
                id: admitted.head.request_id,
                fingerprint,
                arrived,
                deadline,
                allowed_regions,
                route: admitted.route,
                service: admitted.service,
                organisation: admitted.organisation,
                method: head.method,
                uri: head.uri,
                headers: head.headers,
                body,
                last_event_id: admitted.head.last_event_id,
                tokens: admitted.head.tokens,
                prompt_parts: admitted.head.counted_parts.into(),
                suspects,
                version,
                lease_age: gateway.parts().published.lease().age(),
                _in_progress: in_progress,
            };
            answer::answer(&gateway, Rc::new(call)).await
        }
        Err(refusal) => {
            let parts = gateway.parts();
            let lease = parts.published.lease();
            trace::refused(&id, &path, &peer.to_string(), &refusal, lease);
            parts.metrics.refused(refusal.code());
            refusal.into_response(&id)
        }
    };
    if gateway.stage() != Stage::Serving || !is_reusable {
        let headers = response.headers_mut();
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Route, service and organisation of a request.
struct Admitted {
    head: CallHead,
    route: Route,
    service: ServiceName,
    organisation: Option<Organisation>,
}

impl Admitted {
    /// Time for which the caller waits or the route allows, whichever is less.
    fn time_limit(&self) -> Duration {
        let caller_timeout = self.head.timeout.unwrap_or(self.route.timeout);
        caller_timeout.min(self.route.timeout)
    }

    /// Regions that both the route and the organisation allow.
    fn allowed_regions(&self) -> AllowedRegions {
        let by_route = &self.route.allowed_regions;
        match &self.organisation {
            Some(organisation) => by_route.intersection(&organisation.allowed_regions),
            None => by_route.clone(),
        }
    }
}

fn admit(
    gateway: &Gateway,
    table: Option<&RouteTable>,
    head: &CallHead,
    path: &str,
) -> Result<Admitted, Refusal> {
    if gateway.stage() == Stage::Refusing {
        return Err(stopping::not_sent());
    }
    let table = table.ok_or_else(|| unavailable("no_configuration"))?;
    let lease = gateway.parts().published.lease();
    let may_be_stale = !lease.is_younger_than(gateway.options().ready_lease);
    let Some(route) = table.find(&head.host, path) else {
        // A route that was added recently may be unknown to this daemon only.
        let unknown = if may_be_stale {
            unavailable("route_not_known_yet")
        } else {
            Refusal::NoRoute
        };
        return Err(unknown);
    };
    let organisation = find_organisation(gateway, table, route, &head.credentials, may_be_stale)?;
    let service = route.service_for(gateway.next_request_number());
    let service = service.ok_or_else(|| unavailable("no_service"))?.clone();
    Ok(Admitted {
        head: head.clone(),
        route: route.clone(),
        service,
        organisation,
    })
}

/// Finds the organisation of a request, if its key may still be accepted.
///
/// Only a request without credentials is anonymous: one whose key is not accepted must not run as
/// anybody else's, on whatever route.
fn find_organisation(
    gateway: &Gateway,
    table: &RouteTable,
    route: &Route,
    credentials: &Credentials,
    may_be_stale: bool,
) -> Result<Option<Organisation>, Refusal> {
    let key = match credentials {
        Credentials::Key(key) => key,
        Credentials::Absent if route.needs_no_key || !table.needs_keys() => return Ok(None),
        Credentials::Absent if may_be_stale => return Err(unavailable("route_not_confirmed")),
        Credentials::Absent => return Err(Refusal::NotIdentified(KeyFault::Missing)),
        Credentials::Unreadable => return Err(Refusal::NotIdentified(KeyFault::Unreadable)),
    };
    let Some(organisation) = table.organisation(key) else {
        // A key that was added recently may be unknown to this daemon only.
        let unknown = if may_be_stale {
            unavailable("key_not_known_yet")
        } else {
            Refusal::NotIdentified(KeyFault::Unknown)
        };
        return Err(unknown);
    };
    let published = &gateway.parts().published;
    let is_confirmed = published
        .lease()
        .is_younger_than(gateway.options().key_lease);
    if !is_confirmed || !published.is_introduced() {
        return Err(unavailable("keys_not_confirmed"));
    }
    Ok(Some(organisation.clone()))
}

fn unavailable(reason: &'static str) -> Refusal {
    Refusal::NotRun {
        reason,
        retry_after: RETRY_AFTER_UNAVAILABLE,
    }
}
