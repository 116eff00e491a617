//! Decision logic for placement, retries, admission, quarantine and transfers, without clock, I/O or threads:
//! time and random values are arguments. Decisions are returned as values that include their reasons.

mod admission;
mod backoff;
mod baseline;
mod copies;
mod ejection;
mod limits;
mod links;
mod memory;
mod placement;
mod placement_choice;
mod placement_cost;
mod placement_view;
mod quarantine;
mod retention;
mod retry;
mod transfers;

pub use admission::{FairQueue, Popped, Pushed, QueueKey, QueuedRequest, ShedReason};
pub use backoff::Backoff;
pub use baseline::LeastLoaded;
pub use copies::{CacheIndex, Copies, MAX_PIECES, NoCopies, StoreCopy, StoreKey, TargetCopy};
pub use ejection::{ServiceTarget, ServiceTargetKey, ServiceTargets};
pub use limits::{DemandMeter, TokenBucket, rate_share};
pub use links::{LinkHealth, LinkMeter, VolumeBudget};
pub use memory::{Grant, Holder, HolderPhase, MemoryBudget, MemoryRequest, choose_to_close};
pub use placement::{
    Candidate, CandidateKey, Chosen, CostTerms, Fetch, Placement, PlacementRequest, Placer, Rejected,
    RejectedReason, TargetState,
};
pub use placement_choice::CacheAware;
pub use placement_view::{LinkView, PlacementView, ServingIndex, StoreView};
pub use quarantine::{Crash, Fingerprint, Permit, Quarantine, Suspicion, TryId, TryOutcome, fingerprint};
pub use retention::{Retention, StoredPiece, WriteBack};
pub use retry::{FailedTry, NextTry, RetryBudget, RetryDecision, StopReason, next_try};
pub use transfers::{TransferStart, Transfers};
