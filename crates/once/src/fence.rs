//! Fences against grants of former incarnations of a voter.
//!
//! A voter that gave its records to a later incarnation of another voter lists
//! that incarnation in each of its grants. Together with such a grant, none of an
//! earlier incarnation of that other voter counts.

use std::collections::BTreeMap;

use mangofront_settings::ids::{Incarnation, InstanceId};

use crate::ids::Process;
use crate::message::Grant;
use crate::options::DisabledSafeguard;

/// Latest incarnations of other voters that this one has given its records to.
///
/// Invariant: the incarnation of an instance never decreases.
#[derive(Debug, Default)]
pub(crate) struct Fences(BTreeMap<InstanceId, Incarnation>);

impl Fences {
    /// Fences the incarnations of the instance of `reader` before this one.
    pub(crate) fn raise(&mut self, reader: &Process) {
        let fence = self.0.entry(reader.instance.clone()).or_default();
        *fence = reader.incarnation.max(*fence);
    }

    /// The fences as they are sent with a grant.
    pub(crate) fn to_vec(&self) -> Vec<(InstanceId, Incarnation)> {
        let fences = self.0.iter();
        fences
            .map(|(instance, incarnation)| (instance.clone(), *incarnation))
            .collect()
    }
}

/// Counts the grants that none of the others fences, see the module.
pub(crate) fn count_valid(grants: &[Grant], disabled: DisabledSafeguard) -> usize {
    if disabled == DisabledSafeguard::IncarnationFence {
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
