use std::collections::BTreeSet;

use utils::RegionId;

/// Regions in which requests may be served, cached and stored.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum AllowedRegions {
    /// Any region.
    #[default]
    Any,
    /// Only these; none if the set is empty.
    Only(BTreeSet<RegionId>),
}

impl AllowedRegions {
    /// Returns whether a region is allowed. A failure domain without a known region is in no allowed one.
    ///
    /// ```
    /// use gateway::AllowedRegions;
    ///
    /// let south = AllowedRegions::Only(["south".into()].into());
    /// assert!(south.allow(Some(&"south".into())) && !south.allow(Some(&"north".into())));
    /// assert!(!south.allow(None) && AllowedRegions::Any.allow(None));
    /// ```
    pub fn allow(&self, region: Option<&RegionId>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// Returns the regions that both allow.
    ///
    /// ```
    /// use gateway::AllowedRegions;
    ///
    /// let south = AllowedRegions::Only(["south".into()].into());
    /// assert_eq!(AllowedRegions::Any.intersect(&south), south);
    /// ```
    #[must_use]
    pub fn intersect(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Any, regions) | (regions, Self::Any) => regions.clone(),
            (Self::Only(a), Self::Only(b)) => Self::Only(a.intersection(b).cloned().collect()),
        }
    }
}
