use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use utils::{Digest, FailureDomainId, ModelId, NoteVersion, RegionId, ServiceId, WeightVersion, WorkspaceId};

/// Everything that the accepted notes declare, as of one version.
///
/// The maps are persistent: a clone shares their nodes, so a version costs as much as its note is long.
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
    /// Rules for where work may run, by name.
    pub rules: OrdMap<Arc<str>, Rule>,
}

/// A customer's space: keys, limits and preferences.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Workspace {
    /// BLAKE3 digests of the API keys that belong to the workspace.
    pub key_digests: Vec<Digest>,
    /// Limits on what the workspace sends.
    pub limits: Limits,
    /// What placement should save.
    pub cost: CostWeights,
    /// Requests with a lower number are served first under load; 0 to 9.
    pub priority: u8,
}

/// Limits on what one workspace sends, over all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests a second.
    pub requests_per_second: f64,
    /// Prompt tokens a second.
    pub prompt_tokens_per_second: f64,
    /// Streams open at once.
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

/// How much each part of a placement's cost counts, in seconds of time to first token.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CostWeights {
    /// For a second until the first token.
    pub first_token: f64,
    /// For a thousand prompt tokens computed again.
    pub recomputed: f64,
    /// For a megabyte over the link between regions.
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
    /// Most tokens that a request may ask for.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Longest time from a request to its first token, in milliseconds; later is refused early.
    #[serde(default = "default_first_token_ms")]
    pub first_token_deadline_ms: u64,
}

/// A plain service behind the entry hosts.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainService {
    /// Whether a call may be sent again after it may have run.
    pub repeatable: bool,
    /// Longest time for a call, in milliseconds.
    #[serde(default = "default_call_ms")]
    pub timeout_ms: u64,
    /// Workspaces that may call the service; empty for all.
    #[serde(default)]
    pub workspaces: Vec<WorkspaceId>,
}

/// Where work of a workspace or model may run. Every rule that matches must allow a place.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rule {
    /// Workspaces that the rule covers; empty for all.
    pub workspaces: Vec<WorkspaceId>,
    /// Models and services that the rule covers; empty for all.
    pub models: Vec<ModelId>,
    /// What the rule does.
    pub effect: Effect,
    /// Regions that the rule names.
    pub regions: Vec<RegionId>,
    /// Failure domains that the rule names, as `region/domain`.
    pub failure_domains: Vec<FailureDomainId>,
}

/// Whether a rule names the places that are allowed or those that are not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Only the named places.
    #[default]
    Only,
    /// All but the named places.
    Never,
}

impl PlainService {
    /// Longest time for a call.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

impl Deployment {
    /// Longest time from a request to its first token.
    pub fn first_token_deadline(&self) -> Duration {
        Duration::from_millis(self.first_token_deadline_ms)
    }

    /// Weight versions that new requests may use.
    pub fn weight_versions(&self) -> RangeInclusive<WeightVersion> {
        self.oldest_weight_version.unwrap_or(self.weight_version)..=self.weight_version
    }

    /// Whether a workspace may use the model.
    pub fn is_open_to(&self, workspace: &str) -> bool {
        is_listed(&self.workspaces, workspace)
    }
}

impl PlainService {
    /// Whether a workspace may call the service.
    pub fn is_open_to(&self, workspace: &str) -> bool {
        is_listed(&self.workspaces, workspace)
    }
}

impl Rule {
    /// Whether the rule lets work of `workspace` for `model` run in a place.
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
    /// Whether every rule lets work of `workspace` for `model` run in a place.
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
