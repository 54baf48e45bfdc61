//! Prefill of prompts that exceed one engine's memory.
//!
//! The placement selects the engines and their shares. Here the memory is reserved
//! on all of them or on none, and each computes its share of the prefill. The first
//! member then generates the answer under the same reservation. No memory is
//! reserved while a request waits for a group with free memory.

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

/// Time after which an engine frees a reservation that is not renewed.
const LEASE: Duration = Duration::from_secs(3);

/// Time limit for reserving memory on all members of a group.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Memory that the first member needs in addition to its share, in tokens: the last
/// token of the prompt is computed together with the answer.
const LEADER_EXTRA_TOKENS: u64 = 1;

/// Reservation and prefill of a group for one attempt.
#[derive(Debug)]
pub(crate) struct GroupPrefill<'a> {
    pub(crate) entry: &'a Entry,
    pub(crate) request: &'a CompletionRequest,
    /// Number of the attempt, which makes the reservation's id unique.
    pub(crate) attempt: u32,
    pub(crate) members: &'a [GroupMember],
    pub(crate) priority: u8,
}

impl GroupPrefill<'_> {
    /// Reserves the shares of all members, or none; computes nothing.
    ///
    /// # Errors
    /// [`SendError`] of the member that refused or failed.
    pub(crate) async fn reserve(&self) -> Result<GroupReservation, SendError> {
        let connections = &self.entry.parts().connections;
        let deadline = self.request.caller.deadline;
        let reserve_deadline = deadline.min(Instant::now() + RESERVE_TIMEOUT);
        reserve(
            connections,
            &self.reservation_id(),
            &shares(self.members),
            LEASE,
            reserve_deadline,
        )
        .await
    }

    /// Computes the prompt on the members, as long as their leases are valid.
    ///
    /// # Errors
    /// [`SendError`] of the member that failed or whose lease was lost.
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
                reservation: self.reservation_id(),
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

    fn reservation_id(&self) -> String {
        format!("{}-{}", self.request.id, self.attempt)
    }
}

/// Whether `error` says that a member has no free memory.
pub(crate) fn is_out_of_memory(error: &SendError) -> bool {
    match error {
        SendError::Refused { detail, .. } => {
            detail.outcome == Outcome::NotRun && detail.code == "no_memory"
        }
        _ => false,
    }
}

/// Number of prompt tokens that a member computes; the first member's share also
/// includes the answer.
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
