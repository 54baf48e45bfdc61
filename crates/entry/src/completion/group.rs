//! Prompts larger than one engine's memory.
//!
//! The placement names the engines and their shares; here the memory is
//! reserved on all of them or none, and each computes its share of the
//! prefill. The first member then generates the answer under the same
//! reservation. Nothing is held while waiting for a group that is not free.

use std::pin::pin;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select, try_join_all};
use mangofront_http::Outcome;
use mangofront_placement::GroupMember;
use mangofront_upstream::reservation::{
    GroupReservation, Segment, Share, compute_segment, reserve,
};
use mangofront_upstream::{SendError, Target};

use super::CompletionRequest;
use crate::context::Entry;

/// Time after which an engine frees a reservation that nobody renews.
const LEASE: Duration = Duration::from_secs(3);

/// Longest time for all members of a group to grant their shares.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Memory that the first member needs beside its share, in tokens: the last token of the prompt is computed with the answer.
const LEADER_EXTRA_TOKENS: u64 = 1;

/// What a group does for one attempt.
#[derive(Debug)]
pub(crate) struct Preparation<'a> {
    pub(crate) entry: &'a Entry,
    pub(crate) request: &'a CompletionRequest,
    /// Number of the attempt; no two reservations may share one.
    pub(crate) attempt: u32,
    pub(crate) members: &'a [GroupMember],
    pub(crate) priority: u8,
}

impl Preparation<'_> {
    /// Reserves each member's share, or none; nothing is computed.
    ///
    /// # Errors
    /// [`SendError`] of the member that refused or failed.
    pub(crate) async fn reserve(&self) -> Result<GroupReservation, SendError> {
        let connections = &self.entry.parts().connections;
        let deadline = self.request.caller.deadline;
        let until = deadline.min(Instant::now() + RESERVE_TIMEOUT);
        reserve(connections, &self.id(), &shares(self.members), LEASE, until).await
    }

    /// Computes the prompt on the members, while their leases hold.
    ///
    /// # Errors
    /// [`SendError`] of the member that failed or stopped to answer.
    pub(crate) async fn compute(
        &self,
        reservation: &mut GroupReservation,
    ) -> Result<(), SendError> {
        let connections = &self.entry.parts().connections;
        let deadline = self.request.caller.deadline;
        let max_tokens = self.request.prompt.max_tokens;
        let mut offset_tokens = 0;
        let segments = self.members.iter().enumerate().map(|(index, member)| {
            let segment = Segment {
                reservation: self.id(),
                request: self.request.id.clone(),
                attempt: self.attempt,
                tokens: prompt_tokens(index, member, max_tokens),
                offset_tokens,
                priority: self.priority,
            };
            offset_tokens += segment.tokens;
            async move { compute_segment(connections, &target(member), &segment, deadline).await }
        });
        match select(try_join_all(segments), pin!(reservation.lease_lost())).await {
            Either::Left((computed, _)) => computed.map(drop),
            Either::Right((error, _)) => Err(error),
        }
    }

    fn id(&self) -> String {
        format!("{}-{}", self.request.id, self.attempt)
    }
}

/// Whether `error` says that a group's memory is in use now.
pub(crate) fn is_full(error: &SendError) -> bool {
    match error {
        SendError::Refused { detail, .. } => {
            detail.outcome == Outcome::NotRun && detail.code == "no_memory"
        }
        _ => false,
    }
}

/// Tokens of the prompt that a member computes; the first one's share holds the
/// answer too.
fn prompt_tokens(index: usize, member: &GroupMember, max_tokens: u32) -> u64 {
    let answer_tokens = if index == 0 { u64::from(max_tokens) } else { 0 };
    member.tokens.saturating_sub(answer_tokens).max(1)
}

fn shares(group: &[GroupMember]) -> Vec<Share> {
    let share = |(index, member): (usize, &GroupMember)| {
        let extra_tokens = if index == 0 { LEADER_EXTRA_TOKENS } else { 0 };
        Share {
            target: target(member),
            tokens: member.tokens + extra_tokens,
        }
    };
    group.iter().enumerate().map(share).collect()
}

fn target(member: &GroupMember) -> Target {
    Target {
        instance: member.instance.clone(),
        address: member.address,
    }
}
