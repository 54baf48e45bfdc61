//! The regions in which requests may run.

use std::collections::BTreeSet;

use mangofront_settings::ids::Region;
use serde::{Deserialize, Serialize};

/// Regions in which the requests of a route or an organisation may run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum AllowedRegions {
    /// Every region.
    #[default]
    Any,
    /// These regions only; if there are none, nothing may run anywhere.
    Only(BTreeSet<Region>),
}

impl AllowedRegions {
    /// Whether requests may run in `region`; a region that is not known is in none of the listed
    /// ones.
    #[must_use]
    pub fn allows(&self, region: Option<&str>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// The regions that both allow.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Any, only) | (only, Self::Any) => only.clone(),
            (Self::Only(one), Self::Only(two)) => {
                Self::Only(one.intersection(two).cloned().collect())
            }
        }
    }
}
