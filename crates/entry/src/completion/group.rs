//! Prompts larger than one engine's memory.
//!
//! The placement names the engines and their shares; here the memory is
//! reserved on all of them or none, and each computes its share of the
//! prefill. The first member then generates the answer under the same
//! reservation. Nothing is held while waiting for a group that is not free.

use std::time::{Duration, Instant};

use futures_util::future::try_join_all;
use mangofront_http::Outcome;
use mangofront_placement::{GroupMember, Placed};
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

/// Reserves the group of `placed` and computes the prompt on it; `None` when
/// one engine is enough.
///
/// # Errors
/// [`SendError`] of the member that refused or failed.
pub(crate) async fn prepare(
    entry: &Entry,
    request: &CompletionRequest,
    attempt: u32,
    placed: &Placed,
) -> Result<Option<GroupReservation>, SendError> {
    let Some(group) = &placed.group else {
        return Ok(None);
    };
    let deadline = request.caller.deadline;
    let connections = &entry.parts().connections;
    let id = format!("{}-{attempt}", request.id);
    let shares = shares(group);
    let until = deadline.min(Instant::now() + RESERVE_TIMEOUT);
    let reservation = reserve(connections, &id, &shares, LEASE, until).await?;
    let mut offset_tokens = 0;
    let segments = group.iter().enumerate().map(|(index, member)| {
        let tokens = prompt_tokens(index, member, request.prompt.max_tokens);
        let segment = Segment {
            reservation: id.clone(),
            request: request.id.clone(),
            attempt,
            tokens,
            offset_tokens,
            priority: placed.priority,
        };
        offset_tokens += tokens;
        async move { compute_segment(connections, &target(member), &segment, deadline).await }
    });
    try_join_all(segments).await?;
    Ok(Some(reservation))
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
