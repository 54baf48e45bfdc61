//! What answers say of their upstreams: that they leave, that they want rest, their rate limits.
//!
//! Every answer passes here, direct or through another daemon, to a request, an order or a
//! resumed stream. It is about the incarnation to which the call was sent, whatever is registered
//! when it arrives.

use std::time::Duration;

use mangofront_engines::{UpstreamKey, key_of};
use mangofront_limits::Moment;
use mangofront_routes::Upstream;
use mangofront_telemetry::metrics::NoticeKind;
use mangofront_upstream::UpstreamResponse;

use super::UpstreamClient;
use crate::dialect::{AnswerHead, NamedRest};
use crate::trace;

/// Longest rest that is kept: an upstream that asks for more is asked again after it.
const LONGEST_REST: Duration = Duration::from_secs(600);

impl UpstreamClient {
    /// Records what the answer to a call, which was sent at `sent_at`, says of its upstream.
    pub(crate) fn observe_answer(
        &self,
        upstream: &Upstream,
        answer: &UpstreamResponse,
        request_id: &str,
        sent_at: Moment,
    ) {
        let dialect = &self.0.parts.dialect;
        let head = dialect.read_answer(answer.status, &answer.headers);
        let limits = &self.0.parts.limits;
        limits.observe(upstream, &head, request_id, sent_at);
        let Some(speaker) = self.speaker(upstream, &head) else {
            return;
        };
        if head.is_leaving {
            self.record_leaving(speaker, request_id);
        }
        match head.rest {
            NamedRest::Absent => {}
            NamedRest::Invalid => trace::rest_invalid(upstream, request_id),
            NamedRest::Named(rest) => {
                self.record_rest(speaker, rest, request_id);
                // The one that caused the refusal may not be the one that answered.
                let upstreams = &self.0.parts.upstreams;
                let at_fault = head
                    .at_fault
                    .and_then(|address| upstreams.at_address(address));
                if let Some(other) = at_fault.filter(|other| *other != speaker) {
                    self.record_rest(other, rest, request_id);
                }
            }
        }
    }

    /// The upstream that answered: by now another one may be registered at the address.
    fn speaker(&self, upstream: &Upstream, head: &AnswerHead) -> Option<UpstreamKey> {
        let called = key_of(upstream);
        if !head.wrong_upstream {
            return Some(called);
        }
        let registered = self.0.parts.upstreams.at_address(upstream.address);
        registered.filter(|key| *key != called)
    }

    fn record_leaving(&self, upstream: UpstreamKey, request_id: &str) {
        let upstreams = &self.0.parts.upstreams;
        if upstreams.record_leaving(upstream) {
            let id = upstreams.id_of(upstream).unwrap_or_default();
            trace::upstream_says_it_leaves(&id, request_id);
            self.0.parts.metrics.upstream_notice(NoticeKind::Leaving);
        }
    }

    fn record_rest(&self, upstream: UpstreamKey, rest: Duration, request_id: &str) {
        let upstreams = &self.0.parts.upstreams;
        upstreams.record_rest(upstream, rest.min(LONGEST_REST));
        let id = upstreams.id_of(upstream).unwrap_or_default();
        trace::upstream_asks_for_rest(&id, rest, request_id);
        self.0.parts.metrics.upstream_notice(NoticeKind::Rest);
    }
}
