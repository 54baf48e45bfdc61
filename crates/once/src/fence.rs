//! Fences between the lives of a voter, and the grants that count despite them.
//!
//! A voter that gave its records to a later life of another tells so with each
//! of its grants. Then no grant of an earlier life of that other counts beside
//! its own.

use std::collections::BTreeMap;

use mangofront_settings::ids::{Incarnation, InstanceId};

use crate::ids::Process;
use crate::message::Grant;
use crate::options::Weakness;

/// Latest lives of other voters that this one has given its records to.
///
/// Invariant: an incarnation in it never falls.
#[derive(Debug, Default)]
pub(crate) struct Fences(BTreeMap<InstanceId, Incarnation>);

impl Fences {
    /// Notes that `reader` gets records.
    pub(crate) fn raise(&mut self, reader: &Process) {
        let fence = self.0.entry(reader.instance.clone()).or_default();
        *fence = reader.incarnation.max(*fence);
    }

    /// The fences as a grant tells them.
    pub(crate) fn told(&self) -> Vec<(InstanceId, Incarnation)> {
        let fences = self.0.iter();
        fences
            .map(|(instance, incarnation)| (instance.clone(), *incarnation))
            .collect()
    }
}

/// Grants that count together: none of an earlier life of a voter that one of
/// the others has already given its records to.
pub(crate) fn counted(grants: &[Grant], weakness: Weakness) -> usize {
    if weakness == Weakness::NoIncarnationFence {
        return grants.len();
    }
    let fenced = |voter: &Process| {
        grants
            .iter()
            .flat_map(|grant| &grant.fences)
            .any(|(instance, incarnation)| {
                *instance == voter.instance && *incarnation > voter.incarnation
            })
    };
    let current = grants.iter().filter(|grant| !fenced(&grant.voter));
    current.count()
}
