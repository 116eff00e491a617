//! Liveness of hosts and targets, ownership by rendezvous hashing, and the fenced lease for orders to
//! targets, as state machines without I/O.

mod damping;
mod exchange;
mod gossip;
mod heartbeat;
mod hosts;
mod input;
mod lease;
mod lease_row;
mod measure;
mod membership;
mod neighbours;
mod ownership;
mod peer;
mod polling;
mod pool;
mod probing;
mod rollout;
mod tag;
mod target;
mod view;

pub use damping::Damping;
pub use heartbeat::{
    Body, Demand, Heartbeat, HeartbeatError, HostStatus, MAX_PAYLOAD_BYTES, Quarantined, Rumour,
    TargetSummary, WIRE_OVERHEAD_BYTES,
};
pub use input::{Effect, Input, MembershipEvent, Observation};
pub use lease::{LeaseEffect, LeaseInput, LeaseRules, ORDERS_KEY, OrderLease, WriteOutcome};
pub use lease_row::{LeaseRow, LoadSlot};
pub use measure::{MeasureOptions, Measurement, measure};
pub use membership::{Identity, Membership};
pub use neighbours::neighbours;
pub use ownership::{Owners, Ownership, SHARDS, ShardId, shard};
pub use polling::{Backoff, poll_interval};
pub use rollout::{DesiredVersions, Installed, Rollout};
pub use tag::{HostTag, TargetTag, WorkspaceTag};
pub use view::{HostEntry, LivenessReason, MembershipView, ReachableHost, TargetEntry, TargetLiveness};
