use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use slotmap::new_key_type;
use utils::{Digest, FailureDomainId, ModelId, Monotonic, RegionId, TargetId, WeightVersion, WorkspaceId};

use crate::PlacementView;

new_key_type! {
    /// Key of a candidate in a [`PlacementView`].
    pub struct CandidateKey;
}

/// Whether a target accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Accepts new work.
    #[default]
    Live,
    /// Finishes its requests and accepts no new ones.
    Leaving,
    /// Has not responded recently.
    Suspect,
}

/// A target with its last reported load.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Name of the target.
    pub id: TargetId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Region of the target.
    pub region: RegionId,
    /// Failure domain inside the region.
    pub failure_domain: FailureDomainId,
    /// Whether it accepts new work.
    pub state: TargetState,
    /// Models and weight versions that it serves.
    pub versions: Vec<(ModelId, WeightVersion)>,
    /// Prompt tokens that were queued at the time of the report.
    pub queued_prompt_tokens: u64,
    /// Drafts that were running at the time of the report.
    pub running: u32,
    /// Maximum number of concurrent drafts.
    pub slots: u32,
    /// Prompt tokens processed per second.
    pub prefill_tokens_per_second: f64,
    /// When the report was made.
    pub reported_at: Monotonic,
    /// Prompt tokens sent since the report, by this host and, as far as they are reported, by its peers.
    pub sent_since_tokens: u64,
    /// Open requests of this host at the target.
    pub open: u32,
}

/// A prompt that needs a target, with its constraints and cost weights.
#[derive(Debug, Clone)]
pub struct PlacementRequest<'a> {
    /// Workspace of the caller.
    pub workspace: &'a WorkspaceId,
    /// Model to run.
    pub model: &'a ModelId,
    /// Weight version to run.
    pub weight_version: WeightVersion,
    /// Names of the full pieces of the prompt.
    pub pieces: &'a [Digest],
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Region of the host that decides.
    pub region: &'a RegionId,
    /// Targets to exclude.
    pub excluded: &'a [TargetId],
    /// Time until the deadline of the first token.
    pub time_left: Duration,
    /// Cost of each second until the first token, in seconds; set for the workspace.
    pub first_token_weight: f64,
    /// Cost of recomputing a thousand prompt tokens, in seconds.
    pub recomputed_weight: f64,
    /// Cost of a megabyte over the link between regions, in seconds.
    pub link_weight: f64,
    /// Random seed that spreads the decisions of different hosts over equal targets.
    pub seed: u64,
}

/// A piece to import before the prompt runs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Fetch {
    /// Name of the piece.
    pub piece: Digest,
    /// Address of the store to read from.
    pub store: SocketAddr,
    /// Whether the transfer crosses the link between regions.
    pub crosses_regions: bool,
}

/// The cost of running a request at a candidate, by component.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(Serialize)]
pub struct CostTerms {
    /// Expected time in the target's queue, in seconds.
    pub queue_seconds: f64,
    /// Expected duration of the transfers, in seconds.
    pub fetch_seconds: f64,
    /// Expected time to process the remaining prompt, in seconds.
    pub prefill_seconds: f64,
    /// Prompt tokens in the target's cache.
    pub resident_tokens: u32,
    /// Prompt tokens read from stores.
    pub fetched_tokens: u32,
    /// Prompt tokens to recompute although a copy is known, including unconfirmed pieces that are expected to
    /// be missing.
    pub recomputed_tokens: u32,
    /// Bytes sent over the link between regions.
    pub link_bytes: u64,
    /// Weighted sum of the components, in seconds.
    pub total: f64,
}

/// The target that a placement chose.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Chosen {
    /// Key of the target in the view.
    #[serde(skip)]
    pub key: CandidateKey,
    /// Name of the target.
    pub target: TargetId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Cost by component.
    pub cost: CostTerms,
    /// Pieces to import before the prompt runs.
    pub fetches: Vec<Fetch>,
}

/// Why a target was not chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectedReason {
    /// It is leaving.
    Leaving,
    /// It has not responded recently.
    Suspect,
    /// It does not serve the model at the requested weight version.
    NoVersion,
    /// The request excludes it, for example after a failed try.
    Excluded,
    /// The rules do not allow this target.
    Forbidden,
    /// The budget of the link between regions is too low for the prompt.
    LinkBudget,
    /// The first token would miss its deadline; holds the expected time to it, in seconds.
    TooLate(f64),
    /// Another target costs less; holds the cost of this one, in seconds.
    Costlier(f64),
}

/// A target that was not chosen.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Rejected {
    /// Name of the target.
    pub target: TargetId,
    /// Why it was not chosen.
    pub reason: RejectedReason,
}

/// A placement decision with its reasons.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Placement {
    /// The chosen target, if any target can take the request.
    pub chosen: Option<Chosen>,
    /// Targets that were not chosen. [`crate::CacheAware`] lists at most five: the cheapest first, then
    /// targets that can't take the request. [`crate::LeastLoaded`] lists all of them, unsorted.
    pub rejected: Vec<Rejected>,
    /// Number of evaluated targets.
    pub considered: usize,
}

/// Decides where a prompt runs.
pub trait Placer: Send + Sync {
    /// Chooses a target. `allowed` returns whether the rules allow a candidate for the request.
    fn place(
        &self,
        view: &PlacementView,
        req: &PlacementRequest<'_>,
        allowed: &dyn Fn(&Candidate) -> bool,
        now: Monotonic,
    ) -> Placement;
}
