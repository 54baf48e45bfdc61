//! What answers say of their upstreams: that they leave, and their rate limits.
//!
//! Every answer passes here, direct or through another daemon, to a request, an order or a
//! resumed stream. It is about the incarnation to which the call was sent, whatever is registered
//! when it arrives.

use mangofront_engines::{UpstreamKey, key_of};
use mangofront_limits::Moment;
use mangofront_routes::Upstream;
use mangofront_telemetry::metrics::NoticeKind;
use mangofront_upstream::UpstreamResponse;

use super::UpstreamClient;
use crate::dialect::AnswerHead;
use crate::trace;

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
}
