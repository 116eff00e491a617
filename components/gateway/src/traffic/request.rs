use std::sync::Arc;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use utils::{ModelId, Monotonic, ServiceId};

use crate::PromptShape;
use crate::declared::{Route, Workspace};
use crate::kept::{cache_scope, salt_of};
use crate::placement::Demand;
use crate::quarantine::Fingerprint;
use crate::sessions::SessionKey;

/// A request on its way.
pub(crate) struct Call {
    /// Identifier that the caller gave it.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target_uri: Uri,
    /// Headers as they came.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Route.
    pub route: Arc<Route>,
    /// Service that was drawn for it.
    pub service: ServiceId,
    /// Workspace.
    pub workspace: Option<Arc<Workspace>>,
    /// Prompt.
    pub prompt: Option<PromptShape>,
    /// Last event that the caller has.
    pub last_event: Option<String>,
    /// When its time is up.
    pub deadline: Monotonic,
    /// Names it among the requests that crash targets.
    pub fingerprint: Fingerprint,
}

impl Call {
    pub(crate) fn model(&self) -> Option<&ModelId> {
        self.prompt.as_ref().map(|prompt| &prompt.model)
    }

    /// What placement has to weigh.
    pub(crate) fn demand(&self) -> Demand {
        let prompt = self.prompt.as_ref();
        Demand {
            prompt_tokens: prompt.map_or(0, |p| p.tokens_in),
            shared_tokens: prompt.map_or(0, PromptShape::shared_tokens),
            memory: prompt.map_or(0, |p| p.tokens_in + p.tokens_out / 2),
            priority: self.priority().unwrap_or(0),
            latency_target: self.route.latency_target,
        }
    }

    /// Names what the prompt shares with others.
    pub(crate) fn session_key(&self) -> Option<SessionKey> {
        let prompt = self.prompt.as_ref()?;
        let part = prompt.session()?;
        let wall = cache_scope(self.workspace.as_deref());
        let text = format!("{wall}\n{}\n{}", prompt.model, part.id);
        Some(utils::digest(text.as_bytes()).first_u64())
    }

    /// Kept cache is shared only under the same name: the workspace if it is isolated, and the weight version.
    pub(crate) fn cache_salt(&self, weights: Option<u64>) -> Option<String> {
        Some(salt_of(
            self.workspace.as_deref(),
            self.model()?,
            weights.unwrap_or(0),
        ))
    }

    /// Rank at the target: the workspace's goes before the route's.
    pub(crate) fn priority(&self) -> Option<u8> {
        self.prompt.as_ref()?;
        let workspace = self.workspace.as_ref().and_then(|w| w.priority);
        Some(workspace.unwrap_or(self.route.priority).min(9))
    }
}
