//! Kept cache: KV cache of prompt parts in stores outside the engines. Covers the directories of the stores,
//! and the plans of what a request fetches and saves.
//!
//! Stores serve prompts that return after an engine has evicted them: fetching a part costs a fraction of
//! computing it again.

mod abandoned;
mod directory;
mod isolated;
mod plan;
mod poll_source;
mod salt;

pub use abandoned::AbandonedScopes;
pub use directory::{KeptEvent, PartKey, StoreChanges, StoreDirectory, StoreList, StoreUpdate};
pub use isolated::IsolatedWorkspaces;
pub(crate) use plan::OLD_WEIGHTS_DROP_DELAY;
pub(crate) use plan::region_stores;
pub use plan::{CachePlan, KeptCache, PlanRequest, RegionStore};
pub use poll_source::PollSource;
pub use salt::{CacheScope, salt_of, scope_of_salt, weights_of_salt};
