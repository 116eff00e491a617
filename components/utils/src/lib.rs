//! Identifiers, clocks, hashing and rendezvous hashing shared by all crates.

mod clock;
mod digest;
mod ids;
mod rendezvous;

pub use clock::{Clock, ManualClock, Monotonic, SystemClock};
pub use digest::{Digest, Hasher, ParseDigestError, digest};
pub use ids::{
    Attempt, Epoch, FailureDomainId, HostId, Incarnation, ModelId, NoteVersion, RegionId, RequestId,
    ServiceId, SoftwareVersion, TargetId, WeightVersion, WorkspaceId,
};
pub use rendezvous::{rendezvous_order, rendezvous_score};
