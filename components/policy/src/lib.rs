//! Pure decisions: no clock, no I/O, no threads. Each decision returns a value that explains itself.

mod baseline;
mod copies;
mod ejection;
mod links;
mod placement;
mod placement_choice;
mod placement_cost;
mod placement_view;
mod retention;
mod transfers;

pub use baseline::LeastLoaded;
pub use copies::{CacheIndex, Copies, MAX_PIECES, NoCopies, StoreCopy, StoreKey, TargetCopy};
pub use ejection::{ServiceTarget, ServiceTargetKey, ServiceTargets};
pub use links::{LinkHealth, LinkMeter, VolumeBudget};
pub use placement::{
    Candidate, CandidateKey, Chosen, CostTerms, Fetch, Placement, PlacementRequest, Placer, Rejected,
    RejectedReason, TargetState,
};
pub use placement_choice::CacheAware;
pub use placement_view::{LinkView, PlacementView, ServingIndex, StoreView};
pub use retention::{Kept, Retention, WriteBack};
pub use transfers::{TransferStart, Transfers};
