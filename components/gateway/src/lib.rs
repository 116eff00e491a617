//! The gateway: authorizes requests on declared routes, chooses the target that serves each request and
//! relays its answer.
//!
//! The crate contains the decisions and is independent of wire formats. The traits in [`ports`] cover the
//! protocols of a deployment's platform.

mod announcements;
mod budget;
mod cached_state;
mod call;
mod control;
mod crash_rows;
mod daemon;
mod decay;
mod declared;
mod departed;
mod drain;
mod error;
mod first_token;
mod freshness;
mod host;
mod jitter;
mod kept;
mod link;
mod load;
mod lost_rows;
mod placement;
pub mod ports;
mod position;
mod probe;
mod quarantine;
mod rows;
mod sampling;
mod sessions;
mod speed;
mod suspects;
mod target;
mod telemetry;
mod traffic;
mod view;
mod weights;
mod weights_history;

pub use announcements::Announcements;
pub use budget::RetryBudget;
pub use cached_state::{CachedState, UpdateSource};
pub use call::{
    AnswerFacts, CallFacts, PromptPart, PromptShape, RequestedPause, ResponseLoad, SendFacts, ServerSpeed,
};
pub use daemon::{Daemon, PlatformPorts};
pub use declared::{
    CallerLimits, Declared, DesiredWeights, EngineSpec, RetrySafety, Route, Service, ServiceShare, StoreSpec,
    Workspace,
};
pub use drain::{DrainSchedule, RunBound, RunTimes};
pub use error::GatewayError;
pub use first_token::{Pace, TimeParts};
pub use freshness::{OldWeightsPolicy, old_weights_policy, weights_wait_left};
pub use host::{Bounds, HostSettings};
pub use kept::{
    CachePlan, CacheScope, KeptCache, KeptEvent, PartKey, PlanRequest, RegionStore, StoreChanges,
    StoreDirectory, StoreList, StoreUpdate, salt_of, weights_of_salt,
};
pub use link::LinkUse;
pub use load::{LoadEstimate, OtherHostsLoad, ReportedLoad, SendOutcome, Work, average_others};
pub use lost_rows::LostRow;
pub use placement::{
    Candidate, Choice, Decision, Demand, FleetEffects, TargetCondition, decide, fetch_limit, spread_for,
};
pub use position::Position;
pub use quarantine::{Crash, Crashes, Fingerprint};
pub use rows::TableUpdate;
pub use sampling::{decide_from, sample};
pub use sessions::{OwnerRank, SessionKey, Sessions};
pub use speed::{ServiceTimes, StreamTimes, TargetSpeed};
pub use suspects::{
    AnswerStage, CrashEvidence, CrashRecord, PartEvidence, PartFingerprint, PartSet, PartSuccesses,
    PartTrials, SuspectPart, SuspectParts, find_suspect_parts,
};
pub use target::Target;
pub use traffic::{EventSplitter, Progress, Suspensions};
pub use view::{HostEntry, Regions, View, is_sole_owner};
pub use weights::{Rollout, RolloutAction, RolloutInput, is_overdue};
pub use weights_history::{DeclaredAge, Replacement, WeightsHistory};
