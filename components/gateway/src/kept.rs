//! Kept cache: which parts of prompts the stores hold, what a request fetches, and what it saves.
//!
//! Answers prompts that return after an engine has dropped them: fetching a part costs a fraction of reading it again.

mod directory;
mod plan;
mod salt;

pub use directory::{KeptEvent, PartKey, StoreChanges, StoreDirectory, StoreList, StoreNews};
pub(crate) use plan::REPLACED_SETTLED_AFTER;
pub(crate) use plan::stores_near;
pub use plan::{CachePlan, KeptCache, PlanRequest, StoreAt};
pub(crate) use salt::wall_of;
pub use salt::{salt_of, weights_of_salt};
