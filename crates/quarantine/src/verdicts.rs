//! The verdict of group testing: which suspects are blamed for which crashes.

use std::collections::{BTreeSet, HashMap};

use crate::BLAMED_CRASHES;
use crate::suspect::{IncarnationKey, Suspect};

/// Which suspects are blamed, and which crashes that explains.
#[derive(Debug, Default)]
pub(crate) struct Verdicts {
    blamed: HashMap<Suspect, usize>,
    explained: BTreeSet<IncarnationKey>,
}

impl Verdicts {
    /// Computes the verdicts from the crashes of which each suspect was not cleared; those with
    /// fewer than [`BLAMED_CRASHES`] are never blamed.
    ///
    /// The suspect that explains the most crashes is blamed, and those crashes count against no
    /// other one; and so on, as long as a suspect explains enough. Suspects that explain the same
    /// crashes are all blamed, as nothing tells them apart.
    pub(crate) fn compute(
        suspects: impl Iterator<Item = (Suspect, BTreeSet<IncarnationKey>)>,
    ) -> Self {
        let mut verdicts = Self::default();
        let mut left: Vec<(Suspect, BTreeSet<IncarnationKey>)> = suspects.collect();
        left.retain(|(_, crashes)| crashes.len() >= BLAMED_CRASHES);
        left.sort_unstable_by_key(|(suspect, _)| *suspect);
        while let Some(most) = left
            .iter()
            .map(|(suspect, crashes)| (crashes.len(), suspect.is_prompt_part(), crashes))
            .max_by_key(|(count, is_part, _)| (*count, *is_part))
            .map(|(_, _, crashes)| crashes.clone())
        {
            let equal = left.iter().filter(|(_, crashes)| *crashes == most);
            let blamed = equal.map(|(suspect, _)| (*suspect, most.len()));
            verdicts.blamed.extend(blamed);
            verdicts.explained.extend(&most);
            for (_, crashes) in &mut left {
                crashes.retain(|incarnation| !most.contains(incarnation));
            }
            left.retain(|(_, crashes)| crashes.len() >= BLAMED_CRASHES);
        }
        verdicts
    }

    /// Crashes for which a suspect is blamed.
    pub(crate) fn blamed_for(&self, suspect: Suspect) -> Option<usize> {
        self.blamed.get(&suspect).copied()
    }

    /// Number of `crashes` that no blamed suspect explains.
    pub(crate) fn unexplained(&self, crashes: impl Iterator<Item = IncarnationKey>) -> usize {
        crashes
            .filter(|incarnation| !self.explained.contains(incarnation))
            .count()
    }

    /// The suspects that are blamed.
    pub(crate) fn blamed(&self) -> impl Iterator<Item = Suspect> {
        self.blamed.keys().copied()
    }
}
