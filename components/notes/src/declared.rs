use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use utils::{Digest, FailureDomainId, ModelId, NoteVersion, RegionId, ServiceId, WeightVersion, WorkspaceId};

/// All entries that the accepted notes declare, as of one version.
///
/// The maps are persistent: a clone shares their nodes, so the cost of a version grows with the length of its
/// note.
///
/// ```
/// let declared = notes::Declared::default();
/// assert_eq!(declared.version, 0);
/// ```
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Declared {
    /// Version of the last accepted note; 0 before the first.
    pub version: NoteVersion,
    /// Workspaces by name.
    pub workspaces: OrdMap<WorkspaceId, Workspace>,
    /// Model deployments by name.
    pub deployments: OrdMap<ModelId, Deployment>,
    /// Plain services by name.
    pub services: OrdMap<ServiceId, PlainService>,
    /// Placement rules by name.
    pub rules: OrdMap<Arc<str>, Rule>,
}

/// A customer's workspace: API keys, limits and preferences.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Workspace {
    /// BLAKE3 digests of the workspace's API keys.
    pub key_digests: Vec<Digest>,
    /// Limits on the requests of the workspace.
    pub limits: Limits,
    /// Weights of the parts of the placement cost.
    pub cost: CostWeights,
    /// Priority from 0 to 9; under load, requests with a lower number are served first.
    pub priority: u8,
}

/// Limits on the requests of one workspace, summed over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests per second.
    pub requests_per_second: f64,
    /// Prompt tokens per second.
    pub prompt_tokens_per_second: f64,
    /// Maximum number of concurrent streams.
    pub open_streams: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            requests_per_second: 100.0,
            prompt_tokens_per_second: 200_000.0,
            open_streams: 1_000,
        }
    }
}

/// Weights of the parts of a placement's cost, in seconds of time to first token.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CostWeights {
    /// Weight of a second until the first token.
    pub first_token: f64,
    /// Weight of a thousand recomputed prompt tokens.
    pub recomputed: f64,
    /// Weight of a megabyte over the link between regions.
    pub link: f64,
}

impl Default for CostWeights {
    fn default() -> Self {
        Self {
            first_token: 1.0,
            recomputed: 0.01,
            link: 0.01,
        }
    }
}

/// A model that engines serve.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Weight version that new requests use.
    pub weight_version: WeightVersion,
    /// Oldest weight version that new requests may use; the weight version itself if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub oldest_weight_version: Option<WeightVersion>,
    /// Adapter on top of the weights.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Workspaces that may use the model; empty for all.
    #[serde(default)]
    pub workspaces: Vec<WorkspaceId>,
    /// Maximum number of tokens that a request may ask for.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Maximum time from a request to its first token, in milliseconds; a request that would exceed it is
    /// refused early.
    #[serde(default = "default_first_token_ms")]
    pub first_token_deadline_ms: u64,
}

/// A plain service behind the entry hosts.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainService {
    /// Whether a call may be retried after it may have run.
    pub repeatable: bool,
    /// Timeout of a call, in milliseconds.
    #[serde(default = "default_call_ms")]
    pub timeout_ms: u64,
    /// Workspaces that may call the service; empty for all.
    #[serde(default)]
    pub workspaces: Vec<WorkspaceId>,
}

/// Placement rule for work of workspaces and models. Every rule that matches must allow a placement.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rule {
    /// Workspaces that the rule covers; empty for all.
    pub workspaces: Vec<WorkspaceId>,
    /// Models and services that the rule covers; empty for all.
    pub models: Vec<ModelId>,
    /// Whether the named regions and failure domains are allowed or excluded.
    pub effect: Effect,
    /// Regions that the rule names.
    pub regions: Vec<RegionId>,
    /// Failure domains that the rule names, as `region/domain`.
    pub failure_domains: Vec<FailureDomainId>,
}

/// Whether a rule allows or excludes the regions and failure domains that it names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Allows only the named regions and failure domains.
    #[default]
    Only,
    /// Allows all but the named regions and failure domains.
    Never,
}

impl PlainService {
    /// Returns the timeout of a call.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

impl Deployment {
    /// Returns the maximum time from a request to its first token.
    pub fn first_token_deadline(&self) -> Duration {
        Duration::from_millis(self.first_token_deadline_ms)
    }

    /// Returns the weight versions that new requests may use.
    pub fn weight_versions(&self) -> RangeInclusive<WeightVersion> {
        self.oldest_weight_version.unwrap_or(self.weight_version)..=self.weight_version
    }

    /// Returns whether a workspace may use the model.
    pub fn is_open_to(&self, workspace: &str) -> bool {
        is_listed(&self.workspaces, workspace)
    }
}

impl PlainService {
    /// Returns whether a workspace may call the service.
    pub fn is_open_to(&self, workspace: &str) -> bool {
        is_listed(&self.workspaces, workspace)
    }
}

impl Rule {
    /// Returns whether the rule lets work of `workspace` for `model` run in a failure domain of a region.
    pub fn allows(&self, workspace: &str, model: &str, region: &str, failure_domain: &str) -> bool {
        if !is_listed(&self.workspaces, workspace) || !is_listed(&self.models, model) {
            return true;
        }
        let domain = format!("{region}/{failure_domain}");
        let named =
            self.regions.iter().any(|r| &**r == region) || self.failure_domains.iter().any(|d| **d == domain);
        named == (self.effect == Effect::Only)
    }
}

impl Declared {
    /// Returns whether every rule lets work of `workspace` for `model` run in a failure domain of a region.
    pub fn allows(&self, workspace: &str, model: &str, region: &str, failure_domain: &str) -> bool {
        self.rules
            .values()
            .all(|rule| rule.allows(workspace, model, region, failure_domain))
    }
}

fn is_listed(list: &[Arc<str>], name: &str) -> bool {
    list.is_empty() || list.iter().any(|entry| &**entry == name)
}

fn default_max_tokens() -> u32 {
    4_096
}

fn default_first_token_ms() -> u64 {
    10_000
}

fn default_call_ms() -> u64 {
    5_000
}
