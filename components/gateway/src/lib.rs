//! Requests on declared routes: which workspace may call what, where a request runs, and how its answer comes back.
//!
//! The crate decides and knows no wire format. What a deployment's platform speaks is behind the traits in [`ports`].

mod beliefs;
mod budget;
mod call;
mod control;
mod daemon;
mod declared;
mod error;
mod freshness;
mod host;
mod jitter;
mod kept;
mod load;
mod placement;
pub mod ports;
mod quarantine;
mod rows;
mod sessions;
mod target;
mod telemetry;
mod traffic;
mod view;
mod weights;

pub use beliefs::{Beliefs, Learned};
pub use budget::RetryBudget;
pub use call::{AnswerFacts, CallFacts, LoadNote, PromptPart, PromptShape, SendFacts};
pub use daemon::{Daemon, Parts};
pub use declared::{
    CallerLimits, Declared, EngineSpec, NamedWeights, Repeat, Route, Service, ServiceShare, StoreSpec,
    Workspace,
};
pub use error::GatewayError;
pub use freshness::{OldWeights, old_weights};
pub use host::{Bounds, HostSettings};
pub use kept::{
    CachePlan, KeptCache, KeptEvent, PartKey, PlanRequest, RegionStore, StoreChanges, StoreDirectory,
    StoreList, StoreUpdate, salt_of, weights_of_salt,
};
pub use load::{LoadEstimate, ReportedLoad, SendOutcome, Work};
pub use placement::{Candidate, Choice, Decision, Demand, decide};
pub use quarantine::{Crash, Crashes, Fingerprint};
pub use rows::Told;
pub use sessions::{SessionKey, Sessions};
pub use target::Target;
pub use traffic::{EventSplitter, Progress};
pub use view::{HostEntry, Named, Regions, View, does_alone};
pub use weights::{LoadOrder, Rollout, RolloutInput, is_overdue};
