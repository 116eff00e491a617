//! Kept cache: which parts of prompts the stores hold, what a request fetches, and what it saves.
//!
//! Answers prompts that return after an engine has dropped them: fetching a part costs a fraction of reading it again.

mod directory;
mod plan;
mod salt;

pub use directory::{KeptEvent, PartKey, StoreChanges, StoreDirectory, StoreList, StoreUpdate};
pub(crate) use plan::OLD_WEIGHTS_DROP_DELAY;
pub(crate) use plan::region_stores;
pub use plan::{CachePlan, KeptCache, PlanRequest, RegionStore};
pub(crate) use salt::cache_scope;
pub use salt::{salt_of, weights_of_salt};
