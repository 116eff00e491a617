use std::sync::Arc;

use http_io::{HeldBody, MemoryHolder};
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use utils::{ModelId, Monotonic, ServiceId, SoftwareVersion};

use super::connect::CallNumber;
use crate::declared::{Route, Workspace};
use crate::kept::{CacheScope, salt_of};
use crate::placement::Demand;
use crate::quarantine::Fingerprint;
use crate::sessions::SessionKey;
use crate::suspects::PartFingerprint;
use crate::{AllowedRegions, Declared, Pace, PromptShape};

/// A request that is being routed.
pub(crate) struct Call {
    /// Request id that the caller gave.
    pub id: String,
    /// Number of the request at this host; callers may use an id more than once.
    pub number: CallNumber,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target_uri: Uri,
    /// Headers as received.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Arc<HeldBody>,
    /// Connection that the memory of the request and its answer is charged to.
    pub memory: MemoryHolder,
    /// Version of the declarations that the request was admitted under.
    pub declared: u64,
    /// Route that the request matches.
    pub route: Arc<Route>,
    /// Service that was chosen from the route's services.
    pub service: ServiceId,
    /// The caller's API key, if it gave one.
    pub key: Option<String>,
    /// Workspace of the API key, if it has one.
    pub workspace: Option<Arc<Workspace>>,
    /// Shape of the prompt, if there is one.
    pub prompt: Option<PromptShape>,
    /// Id of the last event that the caller has received.
    pub last_event: Option<String>,
    /// Software version that began the stream, once an event of it has been passed to the caller; the stream goes on at no
    /// other one.
    pub software: Option<SoftwareVersion>,
    /// Time after which no answer is awaited any more.
    pub deadline: Monotonic,
    /// Identifies the request in the quarantine.
    pub fingerprint: Fingerprint,
    /// Parts of the prompt that other prompts may share.
    pub shared_parts: Vec<PartFingerprint>,
    /// Whether the request is sent once although it holds a quarantined part, which it may clear.
    pub is_trial: bool,
}

impl Call {
    /// Returns the most output tokens; 0 for an answer that is not a stream, `None` for a stream of unknown length.
    pub(crate) fn output_tokens(&self) -> Option<u32> {
        output_tokens(self.prompt.as_ref(), &self.route)
    }

    pub(crate) fn model(&self) -> Option<&ModelId> {
        self.prompt.as_ref().map(|prompt| &prompt.model)
    }

    /// Returns lists of regions that must all allow a target. They are those of the route and of the workspace in the newest
    /// declaration. If that would not admit the request as it was admitted, those in the declaration of the admission are
    /// added, as no declaration allows what halves of two allow together.
    pub(crate) fn allowed_regions<'a>(&'a self, newest: Option<&'a Declared>) -> [&'a AllowedRegions; 4] {
        let any = &AllowedRegions::Any;
        let route = newest.and_then(|newest| newest.route(&self.route.host, self.target_uri.path()));
        let workspace = self.workspace.as_deref();
        let named = workspace.and_then(|w| newest?.workspace_regions(&w.name));
        let of_route = route.map_or(any, |route| &route.allowed_regions);
        let of_workspace = named.unwrap_or(any);
        let is_current = newest
            .zip(route)
            .is_some_and(|(newest, route)| self.would_be_admitted(newest, route));
        if is_current {
            return [of_route, of_workspace, any, any];
        }
        let of_admitted = workspace.map_or(any, |w| &w.allowed_regions);
        [of_route, of_workspace, &self.route.allowed_regions, of_admitted]
    }

    /// Whether a declaration, in which the request matches a route, would admit it for its workspace and send it to its
    /// service.
    fn would_be_admitted(&self, declared: &Declared, route: &Route) -> bool {
        let key = self.key.as_deref();
        let holder = key.and_then(|key| declared.workspace(key)).map(|w| &w.name);
        let is_same = holder == self.workspace.as_ref().map(|w| &w.name);
        let needs_key = declared.needs_keys() && !route.is_anonymous;
        is_same && (holder.is_some() || !needs_key) && route.sends_to(&self.service)
    }

    /// Returns the resources and the latency that the request needs.
    pub(crate) fn demand(&self, pace: Pace, now: Monotonic) -> Demand {
        let prompt = self.prompt.as_ref();
        Demand {
            prompt_tokens: prompt.map_or(0, |p| p.tokens_in),
            shared_tokens: prompt.map_or(0, PromptShape::shared_tokens),
            memory: prompt.map_or(0, |p| p.tokens_in + p.tokens_out / 2),
            priority: self.placement_priority(),
            latency_target: self.route.latency_target,
            time_left: self.deadline.saturating_sub(now),
            pace,
        }
    }

    /// Returns the priority in the competition for room. A stream that goes on is the most urgent: it can go to targets of one
    /// version only, and what the caller has received of it is lost otherwise.
    fn placement_priority(&self) -> u8 {
        match self.software {
            Some(_) => 0,
            None => self.priority().unwrap_or(0),
        }
    }

    /// Returns the scope of the request's cache under the newest declaration. A workspace that was isolated when the request
    /// was admitted stays so.
    fn cache_scope<'a>(&'a self, newest: Option<&'a Declared>) -> CacheScope<'a> {
        let workspace = self.workspace.as_deref();
        let name = workspace.map(|workspace| &*workspace.name);
        match (workspace, newest) {
            (Some(workspace), _) if workspace.is_isolated => CacheScope::Isolated(&workspace.name),
            (_, Some(newest)) => newest.isolated().scope_of(name),
            (_, None) => CacheScope::Shared,
        }
    }

    /// Returns the key of the prompt part that later requests share, within the workspace if it is isolated.
    pub(crate) fn session_key(&self, newest: Option<&Declared>) -> Option<SessionKey> {
        let prompt = self.prompt.as_ref()?;
        let part = prompt.session()?;
        let scope = self.cache_scope(newest).text();
        let text = format!("{scope}\n{}\n{}", prompt.model, part.id);
        Some(utils::digest(text.as_bytes()).first_u64())
    }

    /// Returns the salt for kept cache. Requests share kept cache only under the same salt: the workspace if
    /// it is isolated, else those that are, the model, and the weight version.
    pub(crate) fn cache_salt(&self, newest: Option<&Declared>, weights: Option<u64>) -> Option<String> {
        let scope = self.cache_scope(newest);
        Some(salt_of(scope, self.model()?, weights.unwrap_or(0)))
    }

    /// Returns the priority at the target: the workspace's if it has one, else the route's.
    pub(crate) fn priority(&self) -> Option<u8> {
        self.prompt.as_ref()?;
        let workspace = self.workspace.as_ref().and_then(|w| w.priority);
        Some(workspace.unwrap_or(self.route.priority).min(9))
    }
}

/// Returns the most output tokens of a request on a route; 0 for an answer that is not a stream, `None` for a stream
/// of unknown length.
pub(crate) fn output_tokens(prompt: Option<&PromptShape>, route: &Route) -> Option<u32> {
    match prompt {
        Some(prompt) => Some(prompt.tokens_out),
        None => (!route.retry_safety.is_stream()).then_some(0),
    }
}
