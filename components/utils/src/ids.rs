use std::sync::Arc;

/// Identifier of an entry host.
pub type HostId = Arc<str>;
/// Identifier of a target: a model engine, a plain service or a store host.
pub type TargetId = Arc<str>;
/// Identifier of a region.
pub type RegionId = Arc<str>;
/// Identifier of a failure domain within a region.
pub type FailureDomainId = Arc<str>;
/// Identifier of a workspace.
pub type WorkspaceId = Arc<str>;
/// Identifier of a model deployment.
pub type ModelId = Arc<str>;
/// Identifier of a plain service.
pub type ServiceId = Arc<str>;
/// Version of a target's software; not of its weights.
pub type SoftwareVersion = Arc<str>;
/// Version of a model's weights; increases with each release.
pub type WeightVersion = u32;
/// Identifier of a caller's request, unique across all hosts.
pub type RequestId = u128;
/// Number of an attempt to send a request to a target, starting at 1.
pub type Attempt = u32;
/// Incarnation of a process; differs after each restart.
pub type Incarnation = u64;
/// Version of the accepted release notes, starting at 1.
pub type NoteVersion = u64;
/// Fencing token of a lease.
pub type Epoch = u64;
