//! The gateway: authorizes requests on declared routes, chooses the target that serves each request and
//! relays its answer.
//!
//! The crate contains the decisions and is independent of wire formats. The traits in [`ports`] cover the
//! protocols of a deployment's platform.

mod admission;
mod allowed_regions;
mod announcements;
mod budget;
mod cached_state;
mod call;
mod cold;
mod confirmations;
mod control;
mod crash_reports;
mod crash_rows;
mod daemon;
mod declared;
mod declared_weights;
mod departed;
mod drain;
mod earlier_values;
mod error;
mod evacuations;
mod first_token;
mod follow_pace;
mod follow_pause;
mod freshness;
mod host;
mod jitter;
mod kept;
mod link_rate;
mod load;
mod lost_rows;
mod named_services;
mod packed;
mod placement;
pub mod ports;
mod position;
mod probe;
mod quarantine;
mod resources;
mod rows;
mod sampling;
mod sessions;
mod slots;
mod software;
mod store_clock;
mod store_link;
mod superseded;
mod suspects;
mod target;
mod target_limits;
mod telemetry;
mod traffic;
mod view;
mod weights;
mod weights_history;

pub use admission::{Admission, PressureChange, ServiceLoad, ShortCapacity, has_room};
pub use allowed_regions::AllowedRegions;
pub use announcements::Announcements;
pub use budget::RetryBudget;
pub use cached_state::CachedState;
pub use call::{AnswerFacts, CallFacts, PromptPart, PromptShape, RequestedPause, ResponseLoad, SendFacts};
pub use cold::{ColdBound, ColdChanges, ColdEntry, ColdLimit, ColdPermit, ColdRules, ColdTargets};
pub use crash_reports::{CrashReports, CrashRowValue, FurtherCrash, SoundRowValue};
pub use daemon::{Daemon, PlatformPorts};
pub use declared::{
    CallerLimits, Declared, DesiredWeights, EngineSpec, RetrySafety, Route, Service, ServiceShare, StoreSpec,
    Workspace,
};
pub use drain::{DrainSchedule, RunBound, RunTimes};
pub use error::GatewayError;
pub use evacuations::Evacuations;
pub use first_token::{Pace, TimeParts};
pub use follow_pace::{FollowPace, PAUSE_JITTER, STORE_ANSWER_TIMEOUT};
pub use follow_pause::pause_after;
pub use freshness::{OldWeightsPolicy, old_weights_policy, weights_wait_left};
pub use host::{Bounds, HostSettings};
pub use kept::{
    AbandonedScopes, CachePlan, CacheScope, IsolatedWorkspaces, KeptCache, KeptEvent, PartKey, PlanRequest,
    PollSource, RegionStore, StoreChanges, StoreDirectory, StoreList, StoreUpdate, salt_of, scope_of_salt,
    weights_of_salt,
};
pub use link_rate::LinkRate;
pub use load::{LoadEstimate, ReportedLoad, SendOutcome, Work};
pub use lost_rows::LostRow;
pub use packed::{Base, CompressedValue, MAX_VALUE_BYTES, PackedValue, UnpackError};
pub use placement::{Candidate, Choice, Decision, Demand, decide, fetch_limit};
pub use position::Position;
pub use quarantine::{Crash, Crashes, Fingerprint};
pub use resources::ConnectionShares;
pub use rows::TableUpdate;
pub use sampling::{decide_from, sample};
pub use sessions::{SessionKey, Sessions};
pub use slots::{SlotHosts, SlotQuota, SlotSchedule};
pub use software::{
    Baseline, BaselineChange, BaselineWrite, Leftovers, OriginKey, OriginPart, OriginRecords, OriginUnknown,
    OriginWrite, RecordNeed, ServiceSoftware, StreamOrigin, stream_lifetime,
};
pub use store_clock::StoreClock;
pub use store_link::UpdateSource;
pub use suspects::{
    AnswerStage, CrashEvidence, CrashRecord, PartEvidence, PartFingerprint, PartSet, PartSuccesses,
    PartTrials, SoundRecord, SuspectPart, SuspectParts, find_suspect_parts,
};
pub use target::Target;
pub use target_limits::{LimitChange, LimitPermit, LimitRecord, NamedLimit, SlotTime, TargetLimits};
pub use traffic::{EventSplitter, Exclusion, PlacementRules, Progress};
pub use view::{HostEntry, Regions, View, is_sole_owner};
pub use weights::{Rollout, RolloutAction, RolloutInput, is_overdue};
pub use weights_history::{DeclaredAge, Replacement, WeightsHistory};
