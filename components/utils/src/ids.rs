use std::sync::Arc;

/// Name of an entry host.
pub type HostId = Arc<str>;
/// Name of a target: a model engine, a plain service or a store host.
pub type TargetId = Arc<str>;
/// Name of a region.
pub type RegionId = Arc<str>;
/// Name of a failure domain inside a region.
pub type FailureDomainId = Arc<str>;
/// Name of a workspace.
pub type WorkspaceId = Arc<str>;
/// Name of a model deployment.
pub type ModelId = Arc<str>;
/// Name of a plain service.
pub type ServiceId = Arc<str>;
/// Version of a model's weights; grows with each release.
pub type WeightVersion = u32;
/// Identifier of a caller's request, unique over all hosts.
pub type RequestId = u128;
/// Number of a try at a target, from 1.
pub type Attempt = u32;
/// Identifies one run of a process; differs after each restart.
pub type Incarnation = u64;
/// Version of the accepted release notes, from 1.
pub type NoteVersion = u64;
/// Fencing number of a lease.
pub type Epoch = u64;
