//! Pure decisions: no clock, no I/O, no threads. Each decision returns a value that explains itself.

mod baseline;
mod copies;
mod placement;

pub use baseline::LeastLoaded;
pub use copies::{CacheIndex, Copies, MAX_PIECES, NoCopies, StoreCopy, StoreKey, TargetCopy};
pub use placement::{
    Candidate, CandidateKey, Chosen, CostTerms, Fetch, Placement, PlacementRequest, PlacementView, Placer,
    Rejected, RejectedReason, TargetState,
};
